/** Completion bitmaps of task ranges, splitting of jobs into ranges, and routing of ranges to shards. */
import {
  MIN_RANGE_TASKS,
  MAX_RANGE_TASKS,
  RANGE_NAME_BYTES,
  SLOT_FILL_RATIO,
} from './constants.js';
import type { JobRecord, TaskRange } from '../model.js';

/**
 * Encodes the completed tasks of a range as a bitmap in hexadecimal: four tasks per character, the first task in the
 * highest bit.
 */
export const encodeDone = (
  range: { from: number; to: number },
  done: { has(task: number): boolean },
): string => {
  let bitmap = '';
  for (let first = range.from; first < range.to; first += 4) {
    let nibble = 0;
    for (let bit = 0; bit < 4; bit++) {
      if (first + bit < range.to && done.has(first + bit)) nibble |= 8 >> bit;
    }
    bitmap += nibble.toString(16);
  }
  return bitmap;
};

/** Returns the completed tasks of a range, decoded from its bitmap. */
export const decodeDone = (range: { from: number; to: number }, bitmap: string): Set<number> => {
  const done = new Set<number>();
  for (let position = 0; position < bitmap.length; position++) {
    const nibble = Number.parseInt(bitmap[position]!, 16);
    for (let bit = 0; bit < 4; bit++) {
      const task = range.from + position * 4 + bit;
      if ((nibble & (8 >> bit)) !== 0 && task < range.to) done.add(task);
    }
  }
  return done;
};

/** Counts the completed tasks of a range in its bitmap. */
export const countDone = (range: { from: number; to: number }, bitmap: string): number => {
  let count = 0;
  for (let position = 0; position < bitmap.length; position++) {
    let nibble = Number.parseInt(bitmap[position]!, 16);
    const remaining = range.to - range.from - position * 4;
    // The bitmap may be longer than the range: it was written before the range was split.
    if (remaining < 4) nibble &= 0xf << (4 - Math.max(0, remaining));
    for (; nibble > 0; nibble &= nibble - 1) count += 1;
  }
  return count;
};

/** Returns the union of two bitmaps of the same range, as long as the longer one. */
export const mergeDone = (a: string, b: string): string => {
  const [longer, shorter] = a.length >= b.length ? [a, b] : [b, a];
  let bitmap = '';
  for (let position = 0; position < shorter.length; position++) {
    const nibble = Number.parseInt(longer[position]!, 16) | Number.parseInt(shorter[position]!, 16);
    bitmap += nibble.toString(16);
  }
  return bitmap + longer.slice(shorter.length);
};

/** 32-bit FNV-1a hash of the UTF-16 code units of the text. */
const hash = (text: string): number => {
  let value = 2166136261;
  for (let i = 0; i < text.length; i++) value = Math.imul(value ^ text.charCodeAt(i), 16777619);
  return value >>> 0;
};

/** Returns the shard that accounts for the limit or the guarantee of the team. */
export const shardOfTeam = (team: string, shards: number): number => hash(team) % shards;
/** Returns the shard that adopts a machine without a record. */
export const shardOfMachine = (name: string, shards: number): number => hash(name) % shards;

/** Returns the largest range, in tasks, whose bitmap fits a value of the store together with its name. */
export const maxRangeTasks = (valueBytes: number): number =>
  Math.max(
    MIN_RANGE_TASKS,
    Math.min(MAX_RANGE_TASKS, 4 * Math.floor(valueBytes * SLOT_FILL_RATIO - RANGE_NAME_BYTES)),
  );

/**
 * Splits the tasks of a job into ranges [from, to). The caller assigns the ranges to shards. With `singleShard` the
 * ranges are as long as `maxTasks` allows; otherwise there is about one for each shard, unless they would be shorter
 * than `MIN_RANGE_TASKS`.
 */
export const splitIntoRanges = (
  tasks: number,
  shards: number,
  singleShard: boolean,
  maxTasks = MAX_RANGE_TASKS,
): [number, number][] => {
  const preferredSize = singleShard ? tasks : Math.max(MIN_RANGE_TASKS, Math.ceil(tasks / shards));
  const size = Math.min(preferredSize, maxTasks);
  const ranges: [number, number][] = [];
  for (let from = 0; from < tasks; from += size) ranges.push([from, Math.min(tasks, from + size)]);
  return ranges;
};

/** The properties of a shard by which the tasks of one job are routed. */
export interface ShardLoad {
  readonly shard: number;
  /** allocation ratio of the shard, waiting tasks included */
  readonly load: number;
  /** a task of the job, or all tasks of a gang, would fit in the shard now */
  readonly fitsNow: boolean;
  /** they fit now, and a machine on which a task fits holds the image of the job */
  readonly hasImage: boolean;
}

/**
 * Chooses the shard for tasks of a job as the paper does: at random among the shards with a load below the threshold,
 * or the least loaded shard if there are none. In the paper a shard on whose machines a task does not fit passes the
 * task on to a shard where it fits. Here the random choice already prefers shards where the task is known to fit, and
 * among them those where the task need not fetch its image.
 */
export const chooseShard = (
  loads: readonly ShardLoad[],
  threshold: number,
  random: (below: number) => number,
): number => {
  const belowThreshold = loads.filter((shard) => shard.load < threshold);
  if (belowThreshold.length > 0) {
    const preferences = [
      belowThreshold.filter((shard) => shard.hasImage),
      belowThreshold.filter((shard) => shard.fitsNow),
      belowThreshold,
    ];
    const choices = preferences.find((shards) => shards.length > 0)!;
    return choices[random(choices.length)]!.shard;
  }
  let leastLoaded = loads[0]!;
  for (const shard of loads) if (shard.load < leastLoaded.load) leastLoaded = shard;
  return leastLoaded.shard;
};

/** Returns whether every range of the job is complete according to its saved bitmap. */
export const allDone = (
  job: JobRecord,
  savedBitmap: (range: TaskRange) => string | undefined,
): boolean =>
  job.ranges.every((range) => {
    const bitmap = savedBitmap(range);
    return bitmap !== undefined && countDone(range, bitmap) === range.to - range.from;
  });
