/** Counts the steps that decisions take over the tasks of jobs and machines. */
import type { JobSpec, Resources } from '../../src/core/model.js';
import type { Shard } from '../../src/core/shard/shard.js';

/** A map that counts the entries that its iterators yield. */
class CountedMap<Key, Value> extends Map<Key, Value> {
  constructor(
    entries: Iterable<[Key, Value]>,
    private readonly onStep: () => void,
  ) {
    super(entries);
  }

  *#counted<Item>(items: Iterable<Item>): MapIterator<Item> {
    for (const item of items) {
      this.onStep();
      yield item;
    }
  }

  override values(): MapIterator<Value> {
    return this.#counted({ [Symbol.iterator]: () => super.values() });
  }

  override keys(): MapIterator<Key> {
    return this.#counted({ [Symbol.iterator]: () => super.keys() });
  }

  override entries(): MapIterator<[Key, Value]> {
    return this.#counted({ [Symbol.iterator]: () => super.entries() });
  }

  override [Symbol.iterator](): MapIterator<[Key, Value]> {
    return this.entries();
  }
}

/**
 * Counts steps: each look at the demand of a counted job, each entry of the placements of a job or machine that an
 * iteration visits, and each machine tried for a task.
 */
export class WorkCounter {
  #steps = 0;

  constructor(private readonly shard: () => Shard) {}

  readonly #onStep = (): void => {
    this.#steps += 1;
  };

  /** Returns the spec with a demand that counts the looks at it. */
  counted(spec: JobSpec): JobSpec {
    const { demand } = spec;
    const onStep = this.#onStep;
    return Object.defineProperty({ ...spec }, 'demand', {
      enumerable: true,
      get(): Resources {
        onStep();
        return demand;
      },
    });
  }

  /** Counts the iterations over the placements of all jobs and machines that the shard has now. */
  watchPlacements(): void {
    const { jobs, machines } = this.shard();
    for (const job of jobs.values()) {
      Object.assign(job, { placements: new CountedMap(job.placements, this.#onStep) });
    }
    for (const machine of machines.values()) {
      Object.assign(machine, { tasks: new CountedMap(machine.tasks, this.#onStep) });
    }
  }

  /** Returns the number of steps that `act` takes. */
  stepsOf(act: () => void): number {
    const before = this.#steps;
    const { workCounters } = this.shard().state;
    const visitedBefore = workCounters.machinesVisited;
    act();
    return this.#steps - before + workCounters.machinesVisited - visitedBefore;
  }
}
