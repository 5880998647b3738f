/** An index of machines by unused volume. */
import { ROUNDING_TOLERANCE } from '../constants.js';
import { EQUAL_VOLUME_TOLERANCE, INDEX_BLOCK_SIZE, FIT_VOLUME_TOLERANCE } from './constants.js';
import { unusedVolume } from './unused-volume.js';
import type { MachineState } from '../shard/types.js';
import type { Resources } from '../model.js';

/** A machine with its free capacity and unused volume at the time when it was put into the index. */
interface Entry {
  readonly machine: MachineState;
  readonly volume: number;
  readonly free: Resources;
}

/** The order of the index: by unused volume, then by name. */
const isBefore = (a: Entry, b: Entry): boolean =>
  a.volume < b.volume || (a.volume === b.volume && a.machine.record.name < b.machine.record.name);

/**
 * Returns the first position in a sorted list for which `isPast` holds, by binary search; the length of the list if it
 * holds for none. If it holds for an item it has to hold for all items behind it.
 */
const firstPosition = <T>(sorted: readonly T[], isPast: (item: T) => boolean): number => {
  let low = 0;
  let high = sorted.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (isPast(sorted[middle]!)) high = middle;
    else low = middle + 1;
  }
  return low;
};

/** Consecutive entries of the index, with the largest free amount of each resource on any of their machines. */
class Block {
  #cpus = 0;
  #gpus = 0;
  #memoryGb = 0;

  constructor(readonly entries: Entry[]) {
    this.measure();
  }

  /** Recomputes the largest free amounts; must be called whenever `entries` has changed. */
  measure(): void {
    this.#cpus = this.#gpus = this.#memoryGb = 0;
    for (const { free } of this.entries) {
      this.#cpus = Math.max(this.#cpus, free.cpus);
      this.#gpus = Math.max(this.#gpus, free.gpus);
      this.#memoryGb = Math.max(this.#memoryGb, free.memoryGb);
    }
  }

  /** Returns false if the demand fits no machine of the block for certain. */
  mayFit(demand: Resources): boolean {
    return (
      demand.cpus <= this.#cpus + ROUNDING_TOLERANCE &&
      demand.gpus <= this.#gpus + ROUNDING_TOLERANCE &&
      demand.memoryGb <= this.#memoryGb + ROUNDING_TOLERANCE
    );
  }

  get last(): Entry {
    return this.entries[this.entries.length - 1]!;
  }
}

/**
 * Machines ordered by unused volume. The machine with the least unused volume that fits a demand is found without
 * visiting all machines: the search skips machines with less volume than the demand, and whole blocks of consecutive
 * machines none of which has enough of some resource. `put` must be called for a machine whenever its free capacity has
 * changed.
 */
export class UnusedVolumeIndex {
  /** in order; no block is empty */
  #blocks: Block[] = [];
  readonly #entries = new Map<MachineState, Entry>();

  constructor(
    machines: Iterable<MachineState>,
    private readonly largest: Resources,
  ) {
    for (const machine of machines) this.#entries.set(machine, this.#entry(machine));
    const sorted = [...this.#entries.values()].sort((a, b) => (isBefore(a, b) ? -1 : 1));
    for (let start = 0; start < sorted.length; start += INDEX_BLOCK_SIZE) {
      this.#blocks.push(new Block(sorted.slice(start, start + INDEX_BLOCK_SIZE)));
    }
  }

  get size(): number {
    return this.#entries.size;
  }

  machines(): Iterable<MachineState> {
    return this.#entries.keys();
  }

  #entry(machine: MachineState): Entry {
    return { machine, volume: unusedVolume(machine.free, this.largest), free: machine.free };
  }

  /**
   * Returns the position of the block that holds the entry, or into which it belongs; the number of blocks if the entry
   * comes after all others.
   */
  #blockOf(entry: Entry): number {
    return firstPosition(this.#blocks, (block) => !isBefore(block.last, entry));
  }

  /** Removes the machine if the index holds it. */
  remove(machine: MachineState): void {
    const entry = this.#entries.get(machine);
    if (entry === undefined) return;
    this.#entries.delete(machine);
    const position = this.#blockOf(entry);
    const block = this.#blocks[position]!;
    block.entries.splice(block.entries.indexOf(entry), 1);
    if (block.entries.length === 0) this.#blocks.splice(position, 1);
    else block.measure();
  }

  /** Adds the machine, or moves it to the position of its present free capacity. */
  put(machine: MachineState): void {
    this.remove(machine);
    const entry = this.#entry(machine);
    this.#entries.set(machine, entry);
    if (this.#blocks.length === 0) {
      this.#blocks.push(new Block([entry]));
      return;
    }
    const position = Math.min(this.#blockOf(entry), this.#blocks.length - 1);
    const { entries } = this.#blocks[position]!;
    entries.splice(
      firstPosition(entries, (other) => !isBefore(other, entry)),
      0,
      entry,
    );
    if (entries.length <= 2 * INDEX_BLOCK_SIZE) this.#blocks[position]!.measure();
    else this.#split(position);
  }

  #split(position: number): void {
    const { entries } = this.#blocks[position]!;
    const halves = [entries.slice(0, INDEX_BLOCK_SIZE), entries.slice(INDEX_BLOCK_SIZE)];
    this.#blocks.splice(position, 1, ...halves.map((half) => new Block(half)));
  }

  /**
   * Yields the machines by descending unused volume, without the blocks of machines that the demand cannot fit. The
   * caller has to check whether the demand fits a machine.
   */
  *mostUnusedFirst(demand: Resources): Iterable<MachineState> {
    for (let position = this.#blocks.length - 1; position >= 0; position--) {
      const block = this.#blocks[position]!;
      if (!block.mayFit(demand)) continue;
      for (let i = block.entries.length - 1; i >= 0; i--) yield block.entries[i]!.machine;
    }
  }

  /**
   * Returns the machine with the least unused volume among those that `accepts` returns true for, the first by name of
   * those with equal volume, or null. `accepts` must return true only for machines that the demand fits.
   */
  leastUnused(demand: Resources, accepts: (machine: MachineState) => boolean): MachineState | null {
    const minimumVolume = unusedVolume(demand, this.largest) - FIT_VOLUME_TOLERANCE;
    const start = firstPosition(this.#blocks, (block) => block.last.volume >= minimumVolume);
    let best: MachineState | null = null;
    let maximumVolume = Infinity;
    for (let position = start; position < this.#blocks.length; position++) {
      const block = this.#blocks[position]!;
      if (block.entries[0]!.volume > maximumVolume) break;
      if (!block.mayFit(demand)) continue;
      for (const { machine, volume } of block.entries) {
        if (volume < minimumVolume) continue;
        if (volume > maximumVolume) break;
        if (best !== null && machine.record.name > best.record.name) continue;
        if (!accepts(machine)) continue;
        if (best === null) maximumVolume = volume + EQUAL_VOLUME_TOLERANCE;
        best = machine;
      }
    }
    return best;
  }
}
