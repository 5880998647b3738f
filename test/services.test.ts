import assert from 'node:assert/strict';
import { test } from 'node:test';
import { planCapacity, type CapacityInput } from '../src/core/capacity/capacity-planner.js';
import type { Shard } from '../src/core/shard/shard.js';
import { REPLICA_STABLE_MS } from '../src/core/reachability/constants.js';
import { job, LEASE_MS, machine, machineType, shardWith, settings, Store } from './helpers.js';
import { FakeWorker, World } from './standins/worker.js';

/** Standing services: replicas that run until the job is cancelled, whatever becomes of machines. */
const FOREVER = 1e12;
const HEARTBEAT_MS = settings().heartbeatIntervalMs;
const SMALL = { cpus: 1, gpus: 0, memoryGb: 1 };
const service = (over: Parameters<typeof job>[0] = {}) =>
  job({ kind: 'service', estimateS: 0, demand: SMALL, priority: 'production', ...over });
const UID = 'job-000001';

const plan = (shard: Shard, now: number, over: Partial<CapacityInput> = {}) =>
  planCapacity({
    shard,
    shardCount: 1,
    types: new Map([['m', machineType()]]),
    zones: ['z', 'y'],
    objectives: [],
    classStats: new Map(),
    activeTasksElsewhere: new Map(),
    expectedJobs: [],
    pendingRentals: [],
    inBackoff: () => false,
    reserveSigma: 1,
    drainS: 45,
    idleKeepMs: 0,
    maxMachines: 100,
    now,
    ...over,
  });

/** A heartbeat of the worker, which obeys its answer. */
const exchangeHeartbeat = (shard: Shard, worker: FakeWorker, now: number): void => {
  worker.advance(now);
  const heartbeat = worker.heartbeat();
  const result = shard.handleHeartbeat(heartbeat, now, true);
  if (result.kind !== 'answer') return;
  worker.onHeartbeatAnswer(shard.term, result.commands, now, heartbeat.agentEpoch);
};

const scene = (names: readonly string[], over: Parameters<typeof job>[0] = {}, runMs = FOREVER) => {
  const world = new World();
  const store = new Store().add(...names.map((name) => machine(name)));
  const shard = shardWith(store);
  const workers = new Map(
    names.map(
      (name) => [name, new FakeWorker(name, world, runMs, LEASE_MS, -2 * HEARTBEAT_MS)] as const,
    ),
  );
  const exchangeHeartbeats = (now: number, who: readonly string[] = names) => {
    shard.expireLeases(now);
    for (const name of who) exchangeHeartbeat(shard, workers.get(name)!, now);
    shard.placeAll(now);
  };
  const run = (from: number, to: number, who: readonly string[] = names) => {
    for (let now = from; now <= to; now += HEARTBEAT_MS / 3) exchangeHeartbeats(now, who);
  };
  // The service comes once all machines are known.
  run(-2 * HEARTBEAT_MS, -1);
  store.add(service(over));
  shard.sync(store, 0);
  const on = (name: string) => [...world.runningOn].filter(([, m]) => m.has(name)).length;
  return { world, store, shard, workers, exchangeHeartbeats, run, on };
};

test('replicas are not all put on one machine, as long as others have room', () => {
  const cases: { tasks: number; names: string[]; most: number }[] = [
    { tasks: 3, names: ['a', 'b', 'c'], most: 2 },
    { tasks: 6, names: ['a', 'b'], most: 3 },
    { tasks: 6, names: ['a'], most: 6 },
    { tasks: 1, names: ['a', 'b'], most: 1 },
  ];
  for (const { tasks, names, most } of cases) {
    const cluster = scene(names, { tasks });
    cluster.run(0, 4 * HEARTBEAT_MS);
    assert.equal(cluster.shard.jobs.get(UID)?.placements.size, tasks);
    for (const name of names)
      assert.ok(cluster.on(name) <= most, `${tasks} on ${names.length}: ${cluster.on(name)}`);
    assert.deepEqual(cluster.world.violations, []);
  }
});

test('a replica that ends by itself runs again, is never done, and is not started at full speed', () => {
  const cluster = scene(['a', 'b'], { tasks: 2 }, HEARTBEAT_MS);
  cluster.run(0, 60 * HEARTBEAT_MS);
  const state = cluster.shard.jobs.get(UID)!;
  assert.equal(state.savedCompletions.size + state.unsavedCompletions.size, 0);
  assert.equal(state.ended, false);
  assert.ok(cluster.world.starts > 4, `${cluster.world.starts} starts`);
  assert.ok(cluster.world.starts < 60, `${cluster.world.starts} starts: the pauses do not grow`);
  assert.deepEqual(cluster.world.violations, []);
  // One that was well for a while starts again at once.
  const now = 60 * HEARTBEAT_MS + 2 * REPLICA_STABLE_MS;
  assert.ok(now - state.lastFailureAt > REPLICA_STABLE_MS);
});

test('what somebody has saved as done of a service counts for nothing', () => {
  const store = new Store().add(machine('a'), service({ tasks: 2 }));
  store.doneBitmaps.set(`${UID}/0`, 'c');
  const shard = shardWith(store, 2);
  assert.equal(shard.jobs.get(UID)?.waitingTasks.length, 2);
});

test('failing replicas: other machines, growing pauses, never given up', () => {
  const cluster = scene(['a', 'b', 'c'], { tasks: 1 });
  for (const worker of cluster.workers.values()) worker.failsTasks = true;
  cluster.run(0, 40 * HEARTBEAT_MS);
  const before = cluster.world.starts;
  assert.ok(before >= 3 && before < 30, `${before} starts`);
  for (const worker of cluster.workers.values()) worker.failsTasks = false;
  for (const m of cluster.shard.machines.values()) {
    if (m.faultStatus === 'quarantined') m.faultStatus = 'probation';
  }
  cluster.run(41 * HEARTBEAT_MS, 41 * HEARTBEAT_MS + 90_000);
  assert.equal(
    cluster.shard.jobs.get(UID)?.placements.size,
    1,
    'it runs within 90 s once a machine is well',
  );
  assert.deepEqual(cluster.world.violations, []);
});

test('a machine with replicas whose heartbeats are lost is returned sooner, and only then they run elsewhere', () => {
  const cluster = scene(['a', 'b'], { tasks: 2 });
  cluster.run(0, 3 * HEARTBEAT_MS);
  const lost = cluster.on('a') > 0 ? 'a' : 'b';
  const other = lost === 'a' ? 'b' : 'a';
  const from = 3 * HEARTBEAT_MS;
  cluster.run(from + 1, from + 2.5 * HEARTBEAT_MS, [other]);
  const patient = { idleKeepMs: 1e9 };
  assert.deepEqual(plan(cluster.shard, from + 2.5 * HEARTBEAT_MS, patient).returns, []);
  const now = from + 3.5 * HEARTBEAT_MS;
  cluster.exchangeHeartbeats(now, [other]);
  assert.equal(plan(cluster.shard, now).returns[0]?.reason, 'heartbeats lost');
  assert.equal(cluster.on(lost), 1, 'still there as far as anybody knows');
  cluster.workers.get(lost)!.terminate();
  cluster.shard.removeMachine(lost, now);
  cluster.run(now + 1, now + 3 * HEARTBEAT_MS, [other]);
  assert.equal(cluster.on(other), 2);
  assert.deepEqual(cluster.world.violations, []);
});

test('a machine about to go loses its replicas at once, and they run elsewhere', () => {
  const cluster = scene(['a', 'b'], { tasks: 2 });
  cluster.run(0, 3 * HEARTBEAT_MS);
  cluster.workers.get('a')!.preemptionNoticeS = 8;
  cluster.run(3 * HEARTBEAT_MS + 1, 5 * HEARTBEAT_MS);
  assert.deepEqual([cluster.on('a'), cluster.on('b')], [0, 2]);
  assert.deepEqual(cluster.world.violations, []);
});

test('a machine with a replica does not count as idle; a quarantined one is emptied first', () => {
  const cluster = scene(['a', 'b'], { tasks: 1 });
  cluster.run(0, 3 * HEARTBEAT_MS);
  const busy = cluster.on('a') > 0 ? 'a' : 'b';
  const now = 50 * HEARTBEAT_MS;
  cluster.run(3 * HEARTBEAT_MS + 1, now);
  assert.ok(!plan(cluster.shard, now).returns.some((g) => g.name === busy));
  cluster.shard.machines.get(busy)!.faultStatus = 'quarantined';
  assert.ok(
    !plan(cluster.shard, now).returns.some((g) => g.name === busy),
    'its replica moves first',
  );
  cluster.run(now + 1, now + 3 * HEARTBEAT_MS);
  assert.equal(cluster.on(busy), 0);
  assert.equal(cluster.on(busy === 'a' ? 'b' : 'a'), 1);
  assert.ok(plan(cluster.shard, now + 3 * HEARTBEAT_MS).returns.some((g) => g.name === busy));
});

test('a new owner takes running replicas into its state and stops none', () => {
  const cluster = scene(['a', 'b'], { tasks: 3 });
  cluster.run(0, 3 * HEARTBEAT_MS);
  const { starts: started } = cluster.world;
  const shard = shardWith(cluster.store, 2, {}, 4 * HEARTBEAT_MS);
  for (let now = 4 * HEARTBEAT_MS; now < 8 * HEARTBEAT_MS; now += HEARTBEAT_MS / 2) {
    shard.placeAll(now);
    for (const worker of cluster.workers.values()) exchangeHeartbeat(shard, worker, now);
  }
  assert.equal(shard.jobs.get(UID)?.placements.size, 3);
  assert.equal(cluster.world.starts, started);
  assert.deepEqual(cluster.world.violations, []);
});

test('cancelled replicas are stopped, and nothing starts again', () => {
  const cluster = scene(['a', 'b'], { tasks: 4 });
  cluster.run(0, 3 * HEARTBEAT_MS);
  cluster.store.jobs.delete(UID);
  cluster.shard.sync(cluster.store, 3 * HEARTBEAT_MS);
  cluster.world.cancelledAt.set(UID, 3 * HEARTBEAT_MS);
  cluster.run(3 * HEARTBEAT_MS + 1, 8 * HEARTBEAT_MS);
  assert.equal(cluster.on('a') + cluster.on('b'), 0);
  assert.equal(cluster.world.startsAfterCancellation, 0);
  assert.equal(cluster.shard.jobs.has(UID), false);
});

test('a service finds room by stopping lower work, never by stopping its equals', () => {
  for (const [priority, room] of [
    ['low', true],
    ['production', false],
  ] as const) {
    const whole = { cpus: 8, gpus: 2, memoryGb: 8 };
    const other = job({ uid: 'job-000002', priority, demand: whole });
    const world = new World();
    const store = new Store().add(machine('a'), other);
    const shard = shardWith(store);
    const a = new FakeWorker('a', world, FOREVER, LEASE_MS, 0);
    for (let now = 0; now < 8 * HEARTBEAT_MS; now += HEARTBEAT_MS / 2) {
      if (now === 2 * HEARTBEAT_MS) {
        store.add(service());
        shard.sync(store, now);
      }
      shard.placeAll(now);
      exchangeHeartbeat(shard, a, now);
    }
    assert.equal(world.runningOn.get(`${UID}/0`)?.size ?? 0, room ? 1 : 0, priority);
  }
});

test('a replica that no machine can take gets one in the zone that its service needs: table', () => {
  // Counted as a whole, machines of another zone, or full of replicas that never end, hid the need: a
  // service spread over two zones waited for ever with half of its replicas.
  const full = service({ uid: 'job-000009', tasks: 8, spot: false });
  const cases: [string, Parameters<typeof job>[0], ReturnType<typeof machine>[], string[]][] = [
    ['spread, machines in one zone', { tasks: 4, spread: true }, [machine('a')], ['y']],
    [
      'spread, machines in both zones',
      { tasks: 4, spread: true },
      [machine('a'), machine('b', { zone: 'y' })],
      [],
    ],
    ['bound to a zone without machines', { tasks: 1, zone: 'y' }, [machine('a')], ['y']],
    ['anywhere, room', { tasks: 4 }, [machine('a')], []],
    ['anywhere, the machine is full of replicas', { tasks: 4 }, [machine('full')], ['z', 'y']],
  ];
  for (const [name, over, machines, zones] of cases) {
    const store = new Store().add(...machines);
    const world = new World();
    const shard = shardWith(store);
    const workers = machines.map((m) => {
      return new FakeWorker(m.name, world, FOREVER, LEASE_MS, 0, m.zone);
    });
    const exchangeHeartbeats = (now: number) => {
      shard.placeAll(now);
      for (const worker of workers) exchangeHeartbeat(shard, worker, now);
    };
    exchangeHeartbeats(0);
    if (machines[0]!.name === 'full') store.add(full);
    shard.sync(store, 1);
    for (let now = 1; now < 4 * HEARTBEAT_MS; now += HEARTBEAT_MS / 3) exchangeHeartbeats(now);
    store.add(service({ ...over, spot: false }));
    shard.sync(store, 4 * HEARTBEAT_MS);
    for (let now = 4 * HEARTBEAT_MS; now < 8 * HEARTBEAT_MS; now += HEARTBEAT_MS / 3)
      exchangeHeartbeats(now);
    // The class as a whole has all the machines that it needs.
    const pending = [{ type: 'm', zone: 'z', spot: true, count: 9 }];
    const { rentals: rent } = plan(shard, 8 * HEARTBEAT_MS, {
      pendingRentals: pending,
      idleKeepMs: 1e9,
    });
    const served = shard.jobs.get(UID)!.waitingTasks.length === 0;
    assert.equal(served, zones.length === 0, name);
    const rented = rent.map(({ zone }) => zone);
    if (zones.length === 0) assert.deepEqual(rented, [], name);
    else
      assert.ok(rented.length > 0 && rented.every((z) => zones.includes(z)), `${name}: ${rented}`);
    assert.deepEqual(world.violations, [], name);
  }
});

test('a shard keeps an ordinary machine in every zone once a service that spreads is known: table', () => {
  // Otherwise half of the replicas wait for a boot (50 s on Sfax's day rollout).
  const here = [machine('a'), machine('b')];
  const both = [machine('a'), machine('b', { zone: 'y' })];
  const cases: [
    string,
    ReturnType<typeof job>,
    ReturnType<typeof machine>[],
    zones: string[],
    returned: number,
  ][] = [
    ['spread, one zone only', service({ spread: true, spot: false, tasks: 1 }), here, ['y'], 1],
    ['spread, both zones', service({ spread: true, spot: false, tasks: 1 }), both, [], 0],
    ['not spread', service({ spot: false, tasks: 1 }), both, [], 2],
    ['spread on spot machines', service({ spread: true, spot: true, tasks: 1 }), both, [], 2],
  ];
  for (const [name, record, machines, zones, returned] of cases) {
    const shard = shardWith(new Store().add(...machines));
    const now = 10 * HEARTBEAT_MS;
    for (const m of machines) {
      const worker = new FakeWorker(m.name, new World(), FOREVER, LEASE_MS, now, m.zone);
      const first = worker.heartbeat();
      shard.handleHeartbeat(first, now, true);
      worker.onHeartbeatAnswer(shard.term, [], now, first.agentEpoch);
      shard.handleHeartbeat(worker.heartbeat(), now + 1, true);
    }
    const stats = new Map([['c', { tasksPerS: 0, runS: null, sample: record.spec }]]);
    const { rentals: rent, returns } = plan(shard, now + HEARTBEAT_MS, { classStats: stats });
    assert.deepEqual(
      rent.filter(({ spot }) => !spot).map(({ zone, count }) => [zone, count]),
      zones.map((z) => [z, 1]),
      name,
    );
    assert.equal(returns.length, returned, name);
  }
});

test('capacity: replicas that run keep their room, whatever their run time', () => {
  const store = new Store().add(service({ tasks: 20, spot: false }));
  const stats = new Map([['c', { tasksPerS: 0, runS: null, sample: null }]]);
  const { rentals: rent } = plan(shardWith(store), 0, { classStats: stats });
  const machines = rent.reduce((sum, w) => sum + w.count, 0);
  assert.equal(machines, 3, '20 replicas, eight to a machine');
  assert.ok(rent.every(({ spot }) => !spot));
});
