import { ROUNDING_TOLERANCE } from '../constants.js';
import { EQUAL_VOLUME_TOLERANCE, INDEX_BLOCK_SIZE, FIT_VOLUME_TOLERANCE } from './constants.js';
import { unusedVolume } from './unused-volume.js';
import type { MachineState } from '../shard/types.js';
import type { Resources } from '../model.js';

interface Entry {
  readonly m: MachineState;
  readonly volume: number;
  readonly free: Resources;
}

const isBefore = (a: Entry, b: Entry): boolean =>
  a.volume < b.volume || (a.volume === b.volume && a.m.record.name < b.m.record.name);

/** The first position in a sorted list for which `isPast` holds; it holds for all behind it. */
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

/** Neighbours in the order, with the largest free amount of each resource on any of them. */
class Block {
  #cpus = 0;
  #gpus = 0;
  #memoryGb = 0;

  constructor(readonly entries: Entry[]) {
    this.measure();
  }

  measure(): void {
    this.#cpus = this.#gpus = this.#memoryGb = 0;
    for (const { free } of this.entries) {
      this.#cpus = Math.max(this.#cpus, free.cpus);
      this.#gpus = Math.max(this.#gpus, free.gpus);
      this.#memoryGb = Math.max(this.#memoryGb, free.memoryGb);
    }
  }

  /** False if the demand surely fits none of them. */
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
 * Machines ordered by unused volume, so that the least unused volume of those that fit is found without
 * looking at all of them: what has less volume than the demand is left out, and so are whole blocks of
 * neighbours none of which has enough of some resource. A machine has to be put anew whenever its free
 * amounts change.
 */
export class UnusedVolumeIndex {
  #blocks: Block[] = [];
  readonly #entries = new Map<MachineState, Entry>();

  constructor(
    machines: Iterable<MachineState>,
    private readonly largest: Resources,
  ) {
    for (const m of machines) this.#entries.set(m, this.#entry(m));
    const sorted = [...this.#entries.values()].sort((a, b) => (isBefore(a, b) ? -1 : 1));
    for (let at = 0; at < sorted.length; at += INDEX_BLOCK_SIZE) {
      this.#blocks.push(new Block(sorted.slice(at, at + INDEX_BLOCK_SIZE)));
    }
  }

  get size(): number {
    return this.#entries.size;
  }

  machines(): Iterable<MachineState> {
    return this.#entries.keys();
  }

  #entry(m: MachineState): Entry {
    return { m, volume: unusedVolume(m.free, this.largest), free: m.free };
  }

  /** Position of the block that holds the entry, or would; past the end if the entry is the last of all. */
  #blockOf(entry: Entry): number {
    return firstPosition(this.#blocks, (block) => !isBefore(block.last, entry));
  }

  remove(m: MachineState): void {
    const entry = this.#entries.get(m);
    if (entry === undefined) return;
    this.#entries.delete(m);
    const at = this.#blockOf(entry);
    const block = this.#blocks[at]!;
    block.entries.splice(block.entries.indexOf(entry), 1);
    if (block.entries.length === 0) this.#blocks.splice(at, 1);
    else block.measure();
  }

  /** Adds the machine, or moves it to where its free amounts place it now. */
  put(m: MachineState): void {
    this.remove(m);
    const entry = this.#entry(m);
    this.#entries.set(m, entry);
    if (this.#blocks.length === 0) {
      this.#blocks.push(new Block([entry]));
      return;
    }
    const at = Math.min(this.#blockOf(entry), this.#blocks.length - 1);
    const { entries } = this.#blocks[at]!;
    entries.splice(
      firstPosition(entries, (other) => !isBefore(other, entry)),
      0,
      entry,
    );
    if (entries.length <= 2 * INDEX_BLOCK_SIZE) this.#blocks[at]!.measure();
    else this.#split(at);
  }

  #split(at: number): void {
    const { entries } = this.#blocks[at]!;
    const halves = [entries.slice(0, INDEX_BLOCK_SIZE), entries.slice(INDEX_BLOCK_SIZE)];
    this.#blocks.splice(at, 1, ...halves.map((half) => new Block(half)));
  }

  /** Machines that may fit the demand, those with the most unused volume first. */
  *mostUnusedFirst(demand: Resources): Iterable<MachineState> {
    for (let at = this.#blocks.length - 1; at >= 0; at--) {
      const block = this.#blocks[at]!;
      if (!block.mayFit(demand)) continue;
      for (let i = block.entries.length - 1; i >= 0; i--) yield block.entries[i]!.m;
    }
  }

  /**
   * The machine with the least unused volume among those that `takes` accepts; of equal ones the first
   * by name. `takes` must accept only machines that the demand fits.
   */
  leastUnused(demand: Resources, takes: (m: MachineState) => boolean): MachineState | null {
    const least = unusedVolume(demand, this.largest) - FIT_VOLUME_TOLERANCE;
    const from = firstPosition(this.#blocks, (block) => block.last.volume >= least);
    let best: MachineState | null = null;
    let most = Infinity;
    for (let at = from; at < this.#blocks.length; at++) {
      const block = this.#blocks[at]!;
      if (block.entries[0]!.volume > most) break;
      if (!block.mayFit(demand)) continue;
      for (const { m, volume } of block.entries) {
        if (volume < least) continue;
        if (volume > most) break;
        if (best !== null && m.record.name > best.record.name) continue;
        if (!takes(m)) continue;
        if (best === null) most = volume + EQUAL_VOLUME_TOLERANCE;
        best = m;
      }
    }
    return best;
  }
}
