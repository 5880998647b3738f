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

/** A shard with machines of all kinds, each of which has answered, and some work on them. */
const crowd = (random: (below: number) => number) => {
  const store = new Store();
  const names = Array.from({ length: 12 }, (_, i) => `m${i}`);
  for (const n of names) {
    store.add(machine(n, { spot: random(2) === 0, zone: random(2) === 0 ? 'y' : 'z' }));
  }
  for (let i = 0; i < 8; i++) {
    const demand = { cpus: 1 + random(4), gpus: random(2), memoryGb: 1 + random(20) };
    const priority = (['low', 'normal', 'high'] as const)[random(3)]!;
    store.add(
      job({ uid: `job-${i}`, demand, priority, tasks: 1 + random(3), spot: random(2) === 0 }),
    );
  }
  const shard = shardWith(store);
  for (const n of names) {
    const w = new FakeWorker(n, new World(), 1e6, LEASE_MS, 0);
    shard.handleHeartbeat(w.heartbeat(), 0, false);
    w.executeDirect(1, 1, []);
    shard.handleCommandStatus(w.heartbeat(), 1);
    for (const image of ['i', 'k']) {
      if (random(3) === 0) shard.machines.get(n)!.images.set(image, 1);
    }
  }
  shard.placeAll(2);
  return { store, shard };
};

test('the machines of a pass give the same choice as a search through all of them', () => {
  let found = 0;
  let none = 0;
  for (let seed = 1; seed <= 200; seed++) {
    const random = seededRandomInt(seed);
    const { store, shard } = crowd(random);
    const { state } = shard;
    const demand = { cpus: 1 + random(6), gpus: random(2), memoryGb: 1 + random(30) };
    const more = {
      uid: 'job-99',
      demand,
      image: ['i', 'k', 'l'][random(3)]!,
      spot: random(2) === 0,
      zone: [null, 'y', 'z'][random(3)]!,
    };
    store.add(job(more));
    shard.sync(store, 3);
    const guest = shard.jobs.get('job-99')!;
    const candidates = [...shard.machines.values()]
      .filter((m) => fits(demand, m.free) && isFeasible(state, m, guest, 3))
      .map((m) => ({ name: m.record.name, free: m.free, hasImage: m.images.has(more.image) }));
    const held = candidates.filter((c) => c.hasImage);
    const plain = bestFit(held.length > 0 ? held : candidates, state.largestCapacity)?.name ?? null;
    const rooms = new Candidates(state, demand, 3);
    const chosen = rooms.bestMachine(guest, demand)?.record.name ?? null;
    assert.equal(chosen, plain, `seed ${seed}`);
    if (chosen === null) none += 1;
    else found += 1;
    // What one job could not get, a larger one of its kind is not offered, and rightly so.
    if (chosen === null) rooms.recordUnschedulable(guest, 1);
    assert.equal(
      rooms.isKnownUnschedulable(guest, 1),
      chosen === null || rooms.isEmpty,
      `seed ${seed}`,
    );
  }
  assert.ok(found > 50 && none > 20, `${found} found, ${none} not: the cases test nothing`);
});

test('the load of a shard is what the job would have to wait behind: table', () => {
  const half = { cpus: 4, gpus: 1, memoryGb: 8 };
  const store = new Store().add(
    machine('a'),
    machine('b', { spot: true }),
    job({ uid: 'job-1', priority: 'low', tasks: 4, demand: half }),
    job({ uid: 'job-2', priority: 'normal', tasks: 1, demand: half, spot: false }),
  );
  const scene = (preempt: boolean) => {
    const shard = shardWith(store, 1, { preempt });
    for (const n of ['a', 'b']) {
      const w = new FakeWorker(n, new World(), 1e6, LEASE_MS, 0);
      shard.handleHeartbeat(w.heartbeat(), 0, false);
      w.executeDirect(1, 1, []);
      shard.handleCommandStatus(w.heartbeat(), 1);
    }
    shard.placeAll(2);
    return shard;
  };
  const { low, normal, high } = PRIORITY_RANK;
  const cases: [string, boolean, number, boolean, number][] = [
    ['everything, on all machines', true, low, true, 5 / 4],
    ['the same rank and above', true, normal, true, 1 / 4],
    ['machines that it may use', true, normal, false, 1 / 2],
    ['nothing of its rank', true, high, false, 0],
    ['nothing gives way: everything counts', false, high, true, 5 / 4],
  ];
  for (const [name, preempt, rank, spot, want] of cases) {
    assert.equal(scene(preempt).allocationRatios(3)[loadIndex(rank, spot)], want, name);
  }
  const shard = scene(true);
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
