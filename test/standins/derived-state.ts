/** Checks what a shard derives from its placements against the placements themselves. */
import assert from 'node:assert/strict';
import type { Resources } from '../../src/core/model.js';
import { isUndispatched } from '../../src/core/shard/placements.js';
import type { JobState, MachineState, Shard } from '../../src/core/shard/shard.js';

/** Largest difference between a running sum and a new one. */
const TOLERANCE = 1e-9;

const countBy = <Item, Key>(
  items: Iterable<Item>,
  keyOf: (item: Item) => Key,
): Map<Key, number> => {
  const counts = new Map<Key, number>();
  for (const item of items) counts.set(keyOf(item), (counts.get(keyOf(item)) ?? 0) + 1);
  return counts;
};

const assertEqualAmounts = (actual: Resources, expected: Resources): void => {
  for (const kind of ['cpus', 'gpus', 'memoryGb'] as const) {
    const difference = Math.abs(actual[kind] - expected[kind]);
    assert.ok(difference < TOLERANCE, `${kind}: ${actual[kind]} instead of ${expected[kind]}`);
  }
};

const totalDemand = (jobs: Iterable<JobState>): Resources => {
  const total = { cpus: 0, gpus: 0, memoryGb: 0 };
  for (const { spec } of jobs) {
    total.cpus += spec.demand.cpus;
    total.gpus += spec.demand.gpus;
    total.memoryGb += spec.demand.memoryGb;
  }
  return total;
};

const assertMachine = (machine: MachineState): void => {
  const placements = [...machine.tasks.values()];
  const jobs = placements.map(({ job }) => job);
  assert.deepEqual(
    machine.tasksByJob,
    countBy(jobs, (job) => job),
  );
  const used = totalDemand(jobs);
  const { cpus, gpus, memoryGb } = machine.type ?? { cpus: 0, gpus: 0, memoryGb: 0 };
  assertEqualAmounts(machine.free, {
    cpus: cpus - used.cpus,
    gpus: gpus - used.gpus,
    memoryGb: memoryGb - used.memoryGb,
  });
  const hasUnsentStarts = placements.some(isUndispatched);
  assert.ok(machine.hasUnsentStarts || !hasUnsentStarts, 'a start is to be sent');
  const hasUnsentStops = placements.some(({ stop }) => stop?.sentDirectly === false);
  assert.ok(machine.hasUnsentStops || !hasUnsentStops, 'a stop is to be sent');
};

const assertJob = (job: JobState, machines: ReadonlyMap<string, MachineState>): void => {
  const placements = [...job.placements.values()];
  assert.deepEqual(
    job.placementsByZone,
    countBy(placements, ({ machine }) => machine.record.zone),
  );
  assert.equal(job.runningTasks, placements.filter(({ state }) => state === 'running').length);
  for (const placement of placements) {
    const { name } = placement.machine.record;
    const onMachine = machines.get(name)?.tasks.get(`${job.spec.uid}/${placement.index}`);
    assert.equal(onMachine, placement, `${name} has the placement`);
    assert.equal(job.waitingTasks.has(placement.index), false, 'a placed task does not wait');
  }
};

/** Asserts that all counts, sums and marks of the shard agree with its placements. */
export const assertDerivedState = ({ jobs, machines, state }: Shard): void => {
  for (const machine of machines.values()) assertMachine(machine);
  for (const job of jobs.values()) assertJob(job, machines);
  const placed = [...machines.values()].flatMap(({ tasks }) => [...tasks.values()]);
  for (const team of state.settings.teams.keys()) {
    const ofTeam = placed.map(({ job }) => job).filter(({ spec }) => spec.team === team);
    assertEqualAmounts(state.usedBy(team), totalDemand(ofTeam));
  }
  const unknown = [...machines.values()].some(({ unknownTaskCount }) => unknownTaskCount > 0);
  assert.equal(state.hasUnknownTasks, unknown);
};
