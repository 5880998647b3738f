/**
 * Splitting of slots that were written while the store allowed larger values, and which are now too large to be
 * written again as they are.
 */
import { SLOT_FILL_RATIO } from '../../core/jobs/constants.js';
import type { CompletionBitmaps } from '../../store/codecs/completions.js';
import { CompletionBatch } from './completion-batch.js';
import { CompletionSlots, slotBytes, storedSlots } from './completion-slots.js';
import type { CompletionContext } from './completion-context.js';

/** The result of distributing the bitmaps of an oversized slot. */
interface SlotSplit {
  /** bitmaps that stay in the slot */
  readonly kept: CompletionBitmaps;
  /** the other slots, with copies of the bitmaps that do not stay */
  readonly others: CompletionSlots;
  /** other slots that must be written before any bitmap is removed from the oversized one */
  readonly changed: ReadonlySet<number>;
}

/** Distributes the bitmaps of an oversized slot: up to `maxBytes` stay in it, the rest is copied to other slots. */
const planSplit = (
  slots: CompletionSlots,
  largeSlot: number,
  bitmaps: CompletionBitmaps,
  maxBytes: number,
): SlotSplit => {
  const kept = new Map<string, string>();
  const others = slots.without(largeSlot);
  const changed = new Set<number>();
  for (const [range, bitmap] of bitmaps) {
    const otherSlot = others.findSlot(range);
    if (otherSlot !== null) {
      // An earlier owner may have updated either copy, so the other slot must have the complete bitmap first.
      if (others.storedBitmap(otherSlot, range) !== bitmap) changed.add(otherSlot);
    } else if (slotBytes(kept) + bitmap.length + range.length < maxBytes) {
      kept.set(range, bitmap);
    } else {
      changed.add(others.place(range, bitmap));
    }
  }
  return { kept, others, changed };
};

/** Finds slots that are too large for the store, and splits them step by step. */
export class SlotSplitter {
  /** by slot value; cached because slots are checked several times a second */
  readonly #encodedBytes = new WeakMap<CompletionBitmaps, number>();

  constructor(private readonly context: CompletionContext) {}

  /**
   * Returns one step of splitting a slot of the shard, or null if no slot has to be split. If the split takes more
   * than one transaction, the excess bitmaps are first copied to other slots, and the last transaction removes them
   * from the oversized slot.
   */
  nextStep(shard: number): CompletionBatch | null {
    if (!this.#hasOversizedSlot(shard)) return null;
    const { cache, storeLimits } = this.context;
    const { valueBytes, transactionOps } = storeLimits;
    const maxBytes = valueBytes * SLOT_FILL_RATIO;
    const slots = CompletionSlots.load(cache, shard, valueBytes);
    for (const [slot, bitmaps] of slots.entries()) {
      // A slot that is too large because of a range that can't be split stays as it is, and remains readable.
      const longest = Math.max(0, ...[...bitmaps.values()].map((bitmap) => bitmap.length));
      if (slotBytes(bitmaps) <= valueBytes || longest > maxBytes) continue;
      const { kept, others, changed } = planSplit(slots, slot, bitmaps, maxBytes);
      const batch = new CompletionBatch(transactionOps);
      for (const other of [...changed].slice(0, transactionOps)) others.addWrite(batch, other);
      const isLastStep = changed.size < transactionOps;
      if (isLastStep) slots.addWrite(batch, slot, kept);
      return batch;
    }
    return null;
  }

  #hasOversizedSlot(shard: number): boolean {
    const { cache, storeLimits } = this.context;
    for (const [, value] of storedSlots(cache, shard)) {
      const bytes = this.#encodedBytes.get(value) ?? slotBytes(value);
      this.#encodedBytes.set(value, bytes);
      if (bytes > storeLimits.valueBytes) return true;
    }
    return false;
  }
}
