import { fencedCompareAndSwap } from '@sumacstep/leader-election';
import type { Logger } from 'pino';
import type { PlatformConfig } from '../config/platform.js';
import { MAX_RANGE_TASKS, SLOT_FILL } from '../core/jobs/constants.js';
import { BATCH_BYTES } from './constants.js';
import type { JobState } from '../core/shard/types.js';
import { allDone, encodeDone, maxRangeTasks } from '../core/jobs/jobs.js';
import type { JobRecord, TaskRange } from '../core/model.js';
import type { OwnedShard } from './owned-shard.js';
import { CALL_PRIORITY, StoreRequestError, type StoreClient } from '../store/store-client.js';
import { encodeJob, encodeCompletions, key, type CompletionBitmaps } from '../store/keys.js';
import type { WatchCache } from '../store/watch-cache.js';
import type { Guard, Write } from '../wire/schemas.js';

interface Batch {
  readonly guards: Guard[];
  readonly writes: Write[];
  readonly saved: { uid: string; indexes: number[] }[];
  readonly finished: string[];
}

const sizeOf = (slot: CompletionBitmaps): number => JSON.stringify(encodeCompletions(slot)).length;

/** Names of a range within a slot. */
const rangeKey = (uid: string, from: number): string => `${uid}/${from}`;

/**
 * Saves completions of the shards that this node owns: ended jobs move to their final state, and
 * completed tasks of the others go into bitmaps, many ranges in one value, so that a shard costs
 * about one write in a while, however many arrays it runs.
 */
export class Completions {
  readonly #slotSizes = new WeakMap<CompletionBitmaps, number>();

  constructor(
    private readonly config: PlatformConfig,
    private readonly client: Pick<StoreClient, 'compareAndSwap'>,
    private readonly cache: WatchCache,
    private readonly now: () => number,
    private readonly log: Logger,
  ) {}

  async save(index: number, owned: OwnedShard, now: number): Promise<void> {
    if (!owned.saveDue(now)) return;
    const smaller = this.#recut(index, owned) ?? this.#split(index);
    const batch = smaller ?? this.#collect(index, owned, now);
    if (batch.writes.length === 0) return;
    owned.beginSave();
    try {
      const { guards, writes } = batch;
      const result = await fencedCompareAndSwap(
        this.client,
        owned.authorization,
        CALL_PRIORITY.completion,
        guards,
        writes,
      );
      if (result.ok) {
        for (const { uid, indexes } of batch.saved) owned.shard.completionsSaved(uid, indexes);
        for (const uid of batch.finished) this.log.info({ job: uid, shard: index }, 'job done');
        this.cache.applyOwn(batch.writes, result.epoch);
      }
      // On a conflict the cache is behind, and will show what has changed.
    } catch (error) {
      if (!(error instanceof StoreRequestError)) throw error;
      this.log.debug({ shard: index, error: error.message }, 'completions not saved');
    } finally {
      owned.endSave(this.now());
    }
  }

  #collect(index: number, owned: OwnedShard, now: number): Batch {
    const batch: Batch = { guards: [], writes: [], saved: [], finished: [] };
    const progress: { job: JobState; active: JobRecord; range: TaskRange; whole: boolean }[] = [];
    let bytes = 0;
    for (const job of owned.shard.jobs.values()) {
      const open = job.waitingTasks.length + job.placements.size + job.migratingTasks.length > 0;
      if (job.ended || job.spec.kind === 'service' || (job.unsavedTasks.size === 0 && open))
        continue;
      const { uid, tasks } = job.spec;
      const active = this.cache.tables.activeJobs.get(uid);
      if (active === undefined) continue;
      const mine = active.value.ranges.filter((r) => r.shard === index);
      const bits = open ? null : this.#bits(job, mine);
      const complete =
        bits !== null &&
        allDone(
          active.value,
          (r) => bits.get(r.from) ?? this.cache.completedTasks(r.shard, uid, r.from),
        );
      if (!complete) {
        for (const range of mine) {
          const fresh = [...job.unsavedTasks].some((i) => i >= range.from && i < range.to);
          if (fresh) progress.push({ job, active: active.value, range, whole: !open });
        }
        continue;
      }
      const add: Write[] = [
        { drop: key.activeJob(uid) },
        { put: key.finalState(uid), value: { status: 'done', tasks, done: tasks } },
      ];
      const size = JSON.stringify(add).length;
      const over = batch.writes.length + add.length > this.config.storeLimits.transactionOps;
      if (batch.writes.length > 0 && (over || bytes + size > BATCH_BYTES)) continue;
      bytes += size;
      batch.writes.push(...add);
      batch.guards.push({ key: key.activeJob(uid), revision: active.revision });
      batch.finished.push(uid);
      batch.saved.push({ uid, indexes: [...job.unsavedTasks] });
    }
    // Somebody waits for the end of a range, if it is the last one of its job.
    const due = owned.progressDue(now) || progress.some((p) => p.whole);
    if (due && progress.length > 0) {
      this.#addProgress(index, progress, batch, bytes);
      owned.noteProgress(now);
    }
    return batch;
  }

  #bits(job: JobState, ranges: readonly TaskRange[]): Map<number, string> {
    const done = { has: (i: number) => job.savedTasks.has(i) || job.unsavedTasks.has(i) };
    return new Map(ranges.map((r) => [r.from, encodeDone(r, done)]));
  }

  #addProgress(
    index: number,
    progress: readonly { job: JobState; active: JobRecord; range: TaskRange }[],
    batch: Batch,
    bytes: number,
  ): void {
    const most = this.config.storeLimits.transactionOps;
    const slots = this.#slots(index);
    const changed = new Set<number>();
    for (const { job, range } of progress) {
      const name = rangeKey(job.spec.uid, range.from);
      const bits = this.#bits(job, [range]).get(range.from)!;
      const slot = this.#slotFor(slots, name, bits);
      if (!changed.has(slot)) {
        const size = sizeOf(slots.get(slot)!) + bits.length;
        if (batch.writes.length + changed.size >= most || bytes + size > BATCH_BYTES) continue;
        bytes += size;
        changed.add(slot);
      }
      slots.get(slot)!.set(name, bits);
      const indexes = [...job.unsavedTasks].filter((i) => i >= range.from && i < range.to);
      batch.saved.push({ uid: job.spec.uid, indexes });
    }
    for (const slot of changed) {
      this.#putSlot(batch, index, slot, slots.get(slot)!);
    }
  }

  /**
   * A range from a time of larger values, whose bitmap fits none now: its end becomes a range of its
   * own, with its part of the bitmap, in one transaction. Whoever reads before or after sees all of it.
   */
  #recut(index: number, owned: OwnedShard): Batch | null {
    const { valueBytes } = this.config.storeLimits;
    const most = maxRangeTasks(valueBytes);
    if (most >= MAX_RANGE_TASKS) return null;
    for (const { spec, ended: over } of owned.shard.jobs.values()) {
      const active = over ? undefined : this.cache.tables.activeJobs.get(spec.uid);
      const long = active?.value.ranges.find((r) => r.shard === index && r.to - r.from > most);
      if (active === undefined || long === undefined) continue;
      const middle = long.from + Math.ceil((long.to - long.from - most) / 4) * 4;
      const ranges = active.value.ranges.flatMap((r) =>
        r === long
          ? [
              { ...r, to: middle },
              { ...r, from: middle },
            ]
          : [r],
      );
      const batch: Batch = { guards: [], writes: [], saved: [], finished: [] };
      const value = encodeJob({ ...active.value, ranges });
      if (JSON.stringify(value).length > valueBytes) continue;
      batch.writes.push({ put: key.activeJob(spec.uid), value });
      batch.guards.push({ key: key.activeJob(spec.uid), revision: active.revision });
      // The value may still hold the bitmap of an earlier, longer cut.
      const ends = [middle - long.from, long.to - long.from].map((i) => Math.ceil(i / 4));
      const bits = this.cache.completedTasks(index, spec.uid, long.from)?.slice(...ends);
      if (bits !== undefined && bits.length > 0) {
        const slots = this.#slots(index);
        const name = rangeKey(spec.uid, middle);
        const slot = this.#slotFor(slots, name, bits);
        slots.get(slot)!.set(name, bits);
        this.#putSlot(batch, index, slot, slots.get(slot)!);
      }
      return batch;
    }
    return null;
  }

  /**
   * A slot from a time of larger values can't be rewritten as it is. What it has too much is copied to
   * other slots first, if that takes more than one transaction, and leaves it with the last of them.
   */
  #split(index: number): Batch | null {
    if (!this.#anyTooLarge(index)) return null;
    const { valueBytes, transactionOps } = this.config.storeLimits;
    const slots = this.#slots(index);
    for (const [n, slot] of slots) {
      // What a range that can't be cut leaves too large stays as it is, readable.
      const most = Math.max(0, ...[...slot.values()].map((bits) => bits.length));
      if (sizeOf(slot) <= valueBytes || most > valueBytes * SLOT_FILL) continue;
      const kept = new Map<string, string>();
      const others = new Map([...slots].filter(([other]) => other !== n));
      const changed = new Set<number>();
      for (const [name, bits] of slot) {
        const copy = [...others].find(([, other]) => other.has(name))?.[0];
        if (copy !== undefined) {
          // An old owner may have gone on with either copy: the other one has to have it all first.
          if (this.#stored(index, copy)?.get(name) !== bits) changed.add(copy);
          continue;
        }
        if (sizeOf(kept) + bits.length + name.length < valueBytes * SLOT_FILL) {
          kept.set(name, bits);
          continue;
        }
        const target = this.#slotFor(others, name, bits, n);
        others.get(target)!.set(name, bits);
        changed.add(target);
      }
      const batch: Batch = { guards: [], writes: [], saved: [], finished: [] };
      const last = changed.size < transactionOps;
      for (const target of [...changed].slice(0, transactionOps)) {
        this.#putSlot(batch, index, target, others.get(target)!);
      }
      if (last) this.#putSlot(batch, index, n, kept);
      return batch;
    }
    return null;
  }

  /** Looked at several times a second, so the size of a value is taken once. */
  #anyTooLarge(index: number): boolean {
    const { valueBytes } = this.config.storeLimits;
    for (const [id, { value }] of this.cache.tables.completions) {
      if (!id.startsWith(`${index}/`)) continue;
      const size = this.#slotSizes.get(value) ?? sizeOf(value);
      this.#slotSizes.set(value, size);
      if (size > valueBytes) return true;
    }
    return false;
  }

  #putSlot(batch: Batch, index: number, slot: number, value: CompletionBitmaps): void {
    batch.writes.push({ put: key.completions(index, slot), value: encodeCompletions(value) });
    // A write without an answer may be carried out after newer ones, and would undo what those saved.
    const revision = this.cache.tables.completions.get(`${index}/${slot}`)?.revision ?? 0;
    batch.guards.push({ key: key.completions(index, slot), revision });
  }

  #stored(index: number, slot: number): CompletionBitmaps | undefined {
    return this.cache.tables.completions.get(`${index}/${slot}`)?.value;
  }

  /**
   * The shard's slots without what belongs to ended jobs, or to ranges that end sooner now. A range that
   * stands in two slots is done where either says so, whichever copy an owner went on with.
   */
  #slots(index: number): Map<number, Map<string, string>> {
    const out = new Map<number, Map<string, string>>();
    for (const [id, { value }] of this.cache.tables.completions) {
      if (!id.startsWith(`${index}/`)) continue;
      const live = [...value.keys()].flatMap((name): [string, string][] => {
        const uid = name.slice(0, name.lastIndexOf('/'));
        const from = Number(name.slice(name.lastIndexOf('/') + 1));
        const job = this.cache.tables.activeJobs.get(uid);
        const range = job?.value.ranges.find((r) => r.shard === index && r.from === from);
        const bits = this.cache.completedTasks(index, uid, from);
        if (range === undefined || bits === undefined) return [];
        return [[name, bits.slice(0, Math.ceil((range.to - from) / 4))]];
      });
      out.set(Number(id.slice(id.indexOf('/') + 1)), new Map(live));
    }
    return out;
  }

  /** The slot that holds the range already, else the first one with room, else a new one. */
  #slotFor(
    slots: Map<number, Map<string, string>>,
    name: string,
    bits: string,
    except = -1,
  ): number {
    for (const [n, slot] of slots) if (slot.has(name)) return n;
    const room = this.config.storeLimits.valueBytes * SLOT_FILL - bits.length;
    let n = 0;
    for (; slots.has(n) || n === except; n++) {
      if (n !== except && sizeOf(slots.get(n)!) <= room) return n;
    }
    slots.set(n, new Map());
    return n;
  }
}
