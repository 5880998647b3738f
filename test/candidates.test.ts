/** Choice of machines within a scheduling pass, and the allocation ratios by which new jobs are routed. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { loadIndex } from '../src/core/capacity/allocation-ratio.js';
import { isFeasible } from '../src/core/placement/constraints.js';
import { fits, PRIORITY_RANK } from '../src/core/model.js';
import { bestFit } from '../src/core/placement/unused-volume.js';
import { Candidates } from '../src/core/placement/candidates.js';
import { seededRandomInt } from '../src/random.js';
import { job, LEASE_MS, machine, shardWith, Store } from './helpers.js';
import { FakeWorker, World } from './standins/worker.js';

/** Returns a shard with random machines, all of which have acknowledged its term, and random jobs placed on them. */
const randomShard = (random: (below: number) => number) => {
  const store = new Store();
  const names = Array.from({ length: 12 }, (_, i) => `m${i}`);
  for (const name of names) {
    store.add(machine(name, { spot: random(2) === 0, zone: random(2) === 0 ? 'y' : 'z' }));
  }
  for (let i = 0; i < 8; i++) {
    const demand = { cpus: 1 + random(4), gpus: random(2), memoryGb: 1 + random(20) };
    const priority = (['low', 'normal', 'high'] as const)[random(3)]!;
    store.add(
      job({ uid: `job-${i}`, demand, priority, tasks: 1 + random(3), spot: random(2) === 0 }),
    );
  }
  const shard = shardWith(store);
  for (const name of names) {
    const worker = new FakeWorker(name, new World(), 1e6, LEASE_MS, 0);
    shard.handleHeartbeat(worker.heartbeat(), 0, false);
    worker.executeDirect(1, 1, []);
    shard.handleCommandStatus(worker.heartbeat(), 1);
    for (const image of ['i', 'k']) {
      if (random(3) === 0) shard.machines.get(name)!.images.set(image, 1);
    }
  }
  shard.placeAll(2);
  return { store, shard };
};

test('the index of candidates chooses the same machine as a search through all machines', () => {
  let found = 0;
  let none = 0;
  for (let seed = 1; seed <= 200; seed++) {
    const random = seededRandomInt(seed);
    const { store, shard } = randomShard(random);
    const { state } = shard;
    const demand = { cpus: 1 + random(6), gpus: random(2), memoryGb: 1 + random(30) };
    const addedSpec = {
      uid: 'job-99',
      demand,
      image: ['i', 'k', 'l'][random(3)]!,
      spot: random(2) === 0,
      zone: [null, 'y', 'z'][random(3)]!,
    };
    store.add(job(addedSpec));
    shard.sync(store, 3);
    const addedJob = shard.jobs.get('job-99')!;
    const feasible = [...shard.machines.values()]
      .filter((m) => fits(demand, m.free) && isFeasible(state, m, addedJob, 3))
      .map((m) => ({ name: m.record.name, free: m.free, hasImage: m.images.has(addedSpec.image) }));
    const withImage = feasible.filter((each) => each.hasImage);
    const expected =
      bestFit(withImage.length > 0 ? withImage : feasible, state.largestCapacity)?.name ?? null;
    const candidates = new Candidates(state, demand, 3);
    const chosen = candidates.bestMachine(addedJob, demand)?.record.name ?? null;
    assert.equal(chosen, expected, `seed ${seed}`);
    if (chosen === null) none += 1;
    else found += 1;
    // The pass rules out the job without a search exactly if a search has failed or there are no candidates.
    if (chosen === null) candidates.recordUnschedulable(addedJob, 1);
    assert.equal(
      candidates.isKnownUnschedulable(addedJob, 1),
      chosen === null || candidates.isEmpty,
      `seed ${seed}`,
    );
  }
  assert.ok(
    found > 50 && none > 20,
    `${found} found, ${none} not found: the random cases are too uniform`,
  );
});

test('the load of a shard counts only the tasks that a new job would have to wait for', () => {
  const half = { cpus: 4, gpus: 1, memoryGb: 8 };
  const store = new Store().add(
    machine('a'),
    machine('b', { spot: true }),
    job({ uid: 'job-1', priority: 'low', tasks: 4, demand: half }),
    job({ uid: 'job-2', priority: 'normal', tasks: 1, demand: half, spot: false }),
  );
  const placedShard = (preempt: boolean) => {
    const shard = shardWith(store, 1, { preempt });
    for (const name of ['a', 'b']) {
      const worker = new FakeWorker(name, new World(), 1e6, LEASE_MS, 0);
      shard.handleHeartbeat(worker.heartbeat(), 0, false);
      worker.executeDirect(1, 1, []);
      shard.handleCommandStatus(worker.heartbeat(), 1);
    }
    shard.placeAll(2);
    return shard;
  };
  const { low, normal, high } = PRIORITY_RANK;
  const cases: [string, boolean, number, boolean, number][] = [
    ['lowest rank, may use spot: all tasks, on all machines', true, low, true, 5 / 4],
    ['tasks of the same rank or above', true, normal, true, 1 / 4],
    ['no spot: only ordinary machines count', true, normal, false, 1 / 2],
    ['only tasks of lower ranks are placed', true, high, false, 0],
    ['no preemption: all tasks count', false, high, true, 5 / 4],
  ];
  for (const [name, preempt, rank, spot, expected] of cases) {
    assert.equal(placedShard(preempt).allocationRatios(3)[loadIndex(rank, spot)], expected, name);
  }
  const shard = placedShard(true);
  assert.deepEqual(
    shard.preemptibleMachines(3).map(({ machine: m, rank }) => [m.record.name, rank]),
    [
      ['a', high],
      ['b', normal],
    ],
  );
  assert.equal(shard.waitingTasks(normal, 3), 0);
  assert.equal(shard.waitingTasks(low, 3), 1);
});
