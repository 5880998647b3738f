/**
 * Packing of completion bitmaps into slots. A slot is one stored value that holds the bitmaps of many ranges of a
 * shard, so a shard needs about one write per save interval, however many array jobs it runs.
 */
import { SLOT_FILL_RATIO } from '../../core/jobs/constants.js';
import { encodeCompletions, type CompletionBitmaps } from '../../store/codecs/completions.js';
import { storeKey } from '../../store/keys.js';
import type { WatchCache } from '../../store/watch-cache.js';
import type { CompletionBatch } from './completion-batch.js';

/** Returns the size of a slot's stored value in bytes. */
export const slotBytes = (slot: CompletionBitmaps): number =>
  JSON.stringify(encodeCompletions(slot)).length;

/** Returns the number of hex characters of a bitmap that covers that many tasks. */
export const bitmapLength = (tasks: number): number => Math.ceil(tasks / 4);

/** Returns the name of a range within a slot. */
export const rangeName = (uid: string, from: number): string => `${uid}/${from}`;

const parseRangeName = (name: string): { readonly uid: string; readonly from: number } => {
  const separator = name.lastIndexOf('/');
  return { uid: name.slice(0, separator), from: Number(name.slice(separator + 1)) };
};

/** Yields the number and value of each cached slot of the shard. */
export function* storedSlots(
  cache: WatchCache,
  shard: number,
): Generator<[slot: number, value: CompletionBitmaps]> {
  const prefix = `${shard}/`;
  for (const [id, { value }] of cache.tables.completions) {
    if (id.startsWith(prefix)) yield [Number(id.slice(prefix.length)), value];
  }
}

/**
 * Returns the bitmaps of a slot without those of ended jobs, cut to the current ends of their ranges. A range may be
 * in two slots, and owners may have updated either copy: a task is done if one of them says so.
 */
const liveBitmaps = (
  cache: WatchCache,
  shard: number,
  slot: CompletionBitmaps,
): Map<string, string> => {
  const live = new Map<string, string>();
  for (const name of slot.keys()) {
    const { uid, from } = parseRangeName(name);
    const job = cache.tables.activeJobs.get(uid);
    const range = job?.value.ranges.find(
      (candidate) => candidate.shard === shard && candidate.from === from,
    );
    const bitmap = cache.completedTasks(shard, uid, from);
    if (range === undefined || bitmap === undefined) continue;
    live.set(name, bitmap.slice(0, bitmapLength(range.to - from)));
  }
  return live;
};

/** Working copies of a shard's slots, which are updated before they are written. */
export class CompletionSlots {
  private constructor(
    private readonly cache: WatchCache,
    private readonly shard: number,
    private readonly valueBytes: number,
    private readonly slots: Map<number, Map<string, string>>,
    /** number of a slot that takes no bitmaps */
    private readonly excluded: number | null,
  ) {}

  /** Returns working copies of all cached slots of the shard, without the bitmaps of ended jobs. */
  static load(cache: WatchCache, shard: number, valueBytes: number): CompletionSlots {
    const slots = new Map<number, Map<string, string>>();
    for (const [slot, value] of storedSlots(cache, shard)) {
      slots.set(slot, liveBitmaps(cache, shard, value));
    }
    return new CompletionSlots(cache, shard, valueBytes, slots, null);
  }

  /** Returns the same copies without one slot, whose number is also not used for new bitmaps. */
  without(excluded: number): CompletionSlots {
    const others = new Map([...this.slots].filter(([slot]) => slot !== excluded));
    return new CompletionSlots(this.cache, this.shard, this.valueBytes, others, excluded);
  }

  entries(): IterableIterator<[slot: number, bitmaps: Map<string, string>]> {
    return this.slots.entries();
  }

  get(slot: number): Map<string, string> {
    return this.slots.get(slot)!;
  }

  /** Returns the slot that holds the range, or null if none does. */
  findSlot(range: string): number | null {
    for (const [slot, bitmaps] of this.slots) if (bitmaps.has(range)) return slot;
    return null;
  }

  /** Returns the slot that holds the range already, else the first one with enough space, else a new one. */
  slotFor(range: string, bitmap: string): number {
    const present = this.findSlot(range);
    if (present !== null) return present;
    const maxBytes = this.valueBytes * SLOT_FILL_RATIO - bitmap.length;
    let slot = 0;
    for (; this.slots.has(slot) || slot === this.excluded; slot++) {
      if (slot !== this.excluded && slotBytes(this.get(slot)) <= maxBytes) return slot;
    }
    this.slots.set(slot, new Map());
    return slot;
  }

  /** Puts a bitmap into the slot that `slotFor` selects, and returns that slot. */
  place(range: string, bitmap: string): number {
    const slot = this.slotFor(range, bitmap);
    this.get(slot).set(range, bitmap);
    return slot;
  }

  /** Returns the range's bitmap in this slot as the cache shows it. */
  storedBitmap(slot: number, range: string): string | undefined {
    return this.cache.tables.completions.get(`${this.shard}/${slot}`)?.value.get(range);
  }

  /**
   * Adds the write of a slot to the batch. The write is guarded by the slot's revision, because a write whose answer
   * was lost may be carried out after newer ones and would otherwise undo them.
   */
  addWrite(
    batch: CompletionBatch,
    slot: number,
    bitmaps: CompletionBitmaps = this.get(slot),
  ): void {
    const revision = this.cache.tables.completions.get(`${this.shard}/${slot}`)?.revision ?? 0;
    const value = encodeCompletions(bitmaps);
    batch.add({ put: storeKey.completions(this.shard, slot), value }, revision);
  }
}
