/**
 * Packing of completion bitmaps into slots. A slot is one stored value with the bitmaps of many ranges of a
 * shard, so that a shard costs about one write in a while, however many arrays it runs.
 */
import { SLOT_FILL_RATIO } from '../../core/jobs/constants.js';
import { encodeCompletions, type CompletionBitmaps } from '../../store/codecs/completions.js';
import { storeKey } from '../../store/keys.js';
import type { WatchCache } from '../../store/watch-cache.js';
import type { CompletionBatch } from './completion-batch.js';

/** Bytes of a slot's stored value. */
export const slotBytes = (slot: CompletionBitmaps): number =>
  JSON.stringify(encodeCompletions(slot)).length;

/** Hex characters of a bitmap that covers so many tasks. */
export const bitmapLength = (tasks: number): number => Math.ceil(tasks / 4);

/** The name of a range within a slot. */
export const rangeName = (uid: string, from: number): string => `${uid}/${from}`;

const parseRangeName = (name: string): { readonly uid: string; readonly from: number } => {
  const separator = name.lastIndexOf('/');
  return { uid: name.slice(0, separator), from: Number(name.slice(separator + 1)) };
};

/** The shard's part of the cached slots, with their numbers. */
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
 * The bitmaps of a slot without those of ended jobs, cut to the present ends of their ranges. A range that
 * stands in two slots is done where either says so, whichever copy an owner went on with.
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
    const range = job?.value.ranges.find((each) => each.shard === shard && each.from === from);
    const bitmap = cache.completedTasks(shard, uid, from);
    if (range === undefined || bitmap === undefined) continue;
    live.set(name, bitmap.slice(0, bitmapLength(range.to - from)));
  }
  return live;
};

/** Working copies of a shard's slots, into which bitmaps are put before they are written. */
export class CompletionSlots {
  private constructor(
    private readonly cache: WatchCache,
    private readonly shard: number,
    private readonly valueBytes: number,
    private readonly slots: Map<number, Map<string, string>>,
    /** a slot that takes no bitmaps */
    private readonly excluded: number | null,
  ) {}

  /** The live bitmaps of all slots that the cache shows. */
  static load(cache: WatchCache, shard: number, valueBytes: number): CompletionSlots {
    const slots = new Map<number, Map<string, string>>();
    for (const [slot, value] of storedSlots(cache, shard)) {
      slots.set(slot, liveBitmaps(cache, shard, value));
    }
    return new CompletionSlots(cache, shard, valueBytes, slots, null);
  }

  /** The same copies without one slot, which also gets no new bitmaps. */
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

  /** The slot that holds the range, if any does. */
  findSlot(range: string): number | null {
    for (const [slot, bitmaps] of this.slots) if (bitmaps.has(range)) return slot;
    return null;
  }

  /** The slot that holds the range already, else the first one with room, else a new one. */
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

  /** Puts a bitmap into the slot that suits it, and says which one that is. */
  place(range: string, bitmap: string): number {
    const slot = this.slotFor(range, bitmap);
    this.get(slot).set(range, bitmap);
    return slot;
  }

  /** The bitmap that the store is known to hold in this slot. */
  storedBitmap(slot: number, range: string): string | undefined {
    return this.cache.tables.completions.get(`${this.shard}/${slot}`)?.value.get(range);
  }

  /**
   * Adds the write of a slot to the batch. A write without an answer may be carried out after newer ones and
   * would undo what those saved, so it depends on the slot's revision.
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
