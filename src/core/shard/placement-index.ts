/**
 * The placements of a shard with the counts and sums that are derived from them: by machine, job, zone and team. Each
 * change of a placement updates them in constant time, so that decisions need not visit all tasks of a machine or job.
 */
import type { Resources } from '../model.js';
import { ZERO_RESOURCES } from '../model.js';
import { ResourceSum } from '../resource-sum.js';
import { taskKey } from './placements.js';
import type { JobState, MachineState, Placement, PlacementState } from './types.js';

/** Changes the count of a key by `by`; a key whose count is 0 has no entry. */
const changeCount = <Key>(counts: Map<Key, number>, key: Key, by: number): void => {
  const count = (counts.get(key) ?? 0) + by;
  if (count === 0) counts.delete(key);
  else counts.set(key, count);
};

/** Adds and removes placements, and keeps everything up to date that is derived from them. */
export class PlacementIndex {
  readonly #usageByTeam = new Map<string, ResourceSum>();

  /** Returns the total demand of the placed tasks of the team. */
  usedBy(team: string): Resources {
    return this.#usageByTeam.get(team)?.value ?? ZERO_RESOURCES;
  }

  /** Adds a placement to its job and machine. */
  add(placement: Placement): void {
    const { job, index, machine, zone } = placement;
    const { uid, demand, team } = job.spec;
    job.placements.set(index, placement);
    changeCount(job.placementsByZone, zone, 1);
    this.#countRunning(placement, 1);
    machine.tasks.set(taskKey(uid, index), placement);
    changeCount(machine.tasksByJob, job, 1);
    machine.hasUnsentStarts = true;
    machine.usedCapacity.add(demand);
    updateFreeCapacity(machine);
    this.#usageOf(team).add(demand);
  }

  /** Removes a placement from its job and machine. */
  remove(placement: Placement): void {
    const { job, index, machine, zone } = placement;
    const { uid, demand, team } = job.spec;
    job.placements.delete(index);
    changeCount(job.placementsByZone, zone, -1);
    this.#countRunning(placement, -1);
    machine.tasks.delete(taskKey(uid, index));
    changeCount(machine.tasksByJob, job, -1);
    machine.usedCapacity.remove(demand);
    updateFreeCapacity(machine);
    this.#usageOf(team).remove(demand);
  }

  /** Sets the state of a placed task. */
  setState(placement: Placement, state: PlacementState): void {
    this.#countRunning(placement, -1);
    placement.state = state;
    this.#countRunning(placement, 1);
  }

  #countRunning({ job, state }: { job: JobState; state: PlacementState }, by: number): void {
    if (state === 'running') job.runningTasks += by;
  }

  #usageOf(team: string): ResourceSum {
    let usage = this.#usageByTeam.get(team);
    if (usage === undefined) {
      usage = new ResourceSum();
      this.#usageByTeam.set(team, usage);
    }
    return usage;
  }
}

const updateFreeCapacity = (machine: MachineState): void => {
  const { cpus, gpus, memoryGb } = machine.type ?? ZERO_RESOURCES;
  const used = machine.usedCapacity.value;
  machine.free = {
    cpus: cpus - used.cpus,
    gpus: gpus - used.gpus,
    memoryGb: memoryGb - used.memoryGb,
  };
};
