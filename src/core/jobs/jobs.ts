import {
  MIN_RANGE_TASKS,
  MAX_RANGE_TASKS,
  RANGE_NAME_BYTES,
  SLOT_FILL_RATIO,
} from './constants.js';
import type { JobRecord, JobSpec, TaskRange, Team } from '../model.js';

/** Completed tasks of a range as a bitmap in hex, four tasks a character, first task first. */
export const encodeDone = (
  range: { from: number; to: number },
  done: { has(task: number): boolean },
): string => {
  let out = '';
  for (let i = range.from; i < range.to; i += 4) {
    let nibble = 0;
    for (let b = 0; b < 4; b++) if (i + b < range.to && done.has(i + b)) nibble |= 8 >> b;
    out += nibble.toString(16);
  }
  return out;
};

/** The done tasks of a range, by its bitmap. */
export const decodeDone = (range: { from: number; to: number }, bits: string): Set<number> => {
  const done = new Set<number>();
  for (let c = 0; c < bits.length; c++) {
    const nibble = Number.parseInt(bits[c]!, 16);
    for (let b = 0; b < 4; b++) {
      const index = range.from + c * 4 + b;
      if ((nibble & (8 >> b)) !== 0 && index < range.to) done.add(index);
    }
  }
  return done;
};

/** How many tasks of the range a bitmap shows as done. */
export const countDone = (range: { from: number; to: number }, bits: string): number => {
  let count = 0;
  for (let c = 0; c < bits.length; c++) {
    let nibble = Number.parseInt(bits[c]!, 16);
    const left = range.to - range.from - c * 4;
    // The bitmap of an earlier, longer cut says more than is asked.
    if (left < 4) nibble &= 0xf << (4 - Math.max(0, left));
    for (; nibble > 0; nibble &= nibble - 1) count += 1;
  }
  return count;
};

/** What either of two bitmaps of the same range says is done; the longer one's length. */
export const mergeDone = (a: string, b: string): string => {
  const [long, short] = a.length >= b.length ? [a, b] : [b, a];
  let out = '';
  for (let c = 0; c < short.length; c++) {
    out += (Number.parseInt(long[c]!, 16) | Number.parseInt(short[c]!, 16)).toString(16);
  }
  return out + long.slice(short.length);
};

/** Whether the team has a quota limit. */
export const hasLimit = (team: Team | undefined): boolean =>
  team !== undefined && (team.cpusMax > 0 || team.gpusMax > 0);

/** Whether the team has a guaranteed share. */
export const hasGuarantee = (team: Team | undefined): boolean =>
  team !== undefined && (team.cpus > 0 || team.gpus > 0);

/** Gangs, jobs that look at zones and teams with a limit or guarantee need one owner that counts for all. */
export const requiresSingleShard = (spec: JobSpec, team: Team | undefined): boolean =>
  spec.kind === 'gang' || spec.oneZone || spec.spread || hasLimit(team) || hasGuarantee(team);

const hash = (text: string): number => {
  let h = 2166136261;
  for (let i = 0; i < text.length; i++) h = Math.imul(h ^ text.charCodeAt(i), 16777619);
  return h >>> 0;
};

/** The shard of a team whose limit or guarantee needs one book-keeper. */
export const shardOfTeam = (team: string, shards: number): number => hash(team) % shards;
/** The shard that adopts a machine nobody recorded. */
export const shardOfMachine = (name: string, shards: number): number => hash(name) % shards;

/** Tasks of a range whose bitmap fits a value of the state service, beside its name. */
export const maxRangeTasks = (valueBytes: number): number =>
  Math.max(
    MIN_RANGE_TASKS,
    Math.min(MAX_RANGE_TASKS, 4 * Math.floor(valueBytes * SLOT_FILL_RATIO - RANGE_NAME_BYTES)),
  );

/** Cuts a job into ranges; the shards are chosen by the caller. */
export const splitIntoRanges = (
  tasks: number,
  shards: number,
  whole: boolean,
  most = MAX_RANGE_TASKS,
): [number, number][] => {
  const wanted = whole ? tasks : Math.max(MIN_RANGE_TASKS, Math.ceil(tasks / shards));
  const size = Math.min(wanted, most);
  const out: [number, number][] = [];
  for (let from = 0; from < tasks; from += size) out.push([from, Math.min(tasks, from + size)]);
  return out;
};

/** What routing knows of a shard. */
export interface ShardLoad {
  readonly shard: number;
  /** allocation ratio of the shard, waiting tasks included */
  readonly load: number;
  /** true if the demand fits on some machine now */
  readonly fitsNow: boolean;
  /** true if such a machine holds the image */
  readonly hasImage: boolean;
}

/**
 * Routing of the paper: a random shard under the threshold, else the least loaded. A shard where the
 * task fits nowhere passes it to one where it fits, which routing does at once for what it knows,
 * and first of all to one where it need not fetch its image.
 */
export const chooseShard = (
  loads: readonly ShardLoad[],
  threshold: number,
  random: (below: number) => number,
): number => {
  const light = loads.filter((l) => l.load < threshold);
  if (light.length > 0) {
    const choices = [light.filter((l) => l.hasImage), light.filter((l) => l.fitsNow), light];
    const best = choices.find((c) => c.length > 0)!;
    return best[random(best.length)]!.shard;
  }
  let best = loads[0]!;
  for (const l of loads) if (l.load < best.load) best = l;
  return best.shard;
};

/** True if every range is complete, by what is saved. */
export const allDone = (job: JobRecord, saved: (range: TaskRange) => string | undefined): boolean =>
  job.ranges.every((r) => {
    const bits = saved(r);
    return bits !== undefined && countDone(r, bits) === r.to - r.from;
  });
