/**
 * Splitting of slots that were written when values of the store could be larger: they can't be rewritten as
 * they are.
 */
import { SLOT_FILL_RATIO } from '../../core/jobs/constants.js';
import type { CompletionBitmaps } from '../../store/codecs/completions.js';
import { CompletionBatch } from './completion-batch.js';
import { CompletionSlots, slotBytes, storedSlots } from './completion-slots.js';
import type { CompletionContext } from './completion-context.js';

/** What becomes of a slot that is split. */
interface SlotSplit {
  readonly kept: CompletionBitmaps;
  /** the other slots, with copies of what is not kept */
  readonly others: CompletionSlots;
  /** other slots that have to be written before the split one may lose anything */
  readonly changed: ReadonlySet<number>;
}

const planSplit = (
  slots: CompletionSlots,
  large: number,
  bitmaps: CompletionBitmaps,
  maxBytes: number,
): SlotSplit => {
  const kept = new Map<string, string>();
  const others = slots.without(large);
  const changed = new Set<number>();
  for (const [range, bitmap] of bitmaps) {
    const copy = others.findSlot(range);
    if (copy !== null) {
      // An old owner may have gone on with either copy: the other one has to have it all first.
      if (others.storedBitmap(copy, range) !== bitmap) changed.add(copy);
    } else if (slotBytes(kept) + bitmap.length + range.length < maxBytes) {
      kept.set(range, bitmap);
    } else {
      changed.add(others.place(range, bitmap));
    }
  }
  return { kept, others, changed };
};

/** Finds slots that are too large, and splits them step by step. */
export class SlotSplitter {
  /** by slot value: looked at several times a second, so the size is taken once */
  readonly #encodedBytes = new WeakMap<CompletionBitmaps, number>();

  constructor(private readonly context: CompletionContext) {}

  /**
   * One step of splitting a slot of the shard. What the slot holds too much is copied to other slots first,
   * if that takes more than one transaction, and leaves it with the last of them. Null if there is no such slot.
   */
  nextStep(shard: number): CompletionBatch | null {
    if (!this.#hasOversizedSlot(shard)) return null;
    const { cache, storeLimits } = this.context;
    const { valueBytes, transactionOps } = storeLimits;
    const maxBytes = valueBytes * SLOT_FILL_RATIO;
    const slots = CompletionSlots.load(cache, shard, valueBytes);
    for (const [slot, bitmaps] of slots.entries()) {
      // What a range that can't be cut leaves too large stays as it is, readable.
      const longest = Math.max(0, ...[...bitmaps.values()].map((bitmap) => bitmap.length));
      if (slotBytes(bitmaps) <= valueBytes || longest > maxBytes) continue;
      const { kept, others, changed } = planSplit(slots, slot, bitmaps, maxBytes);
      const batch = new CompletionBatch(transactionOps);
      for (const target of [...changed].slice(0, transactionOps)) others.addWrite(batch, target);
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
