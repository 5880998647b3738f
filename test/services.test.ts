/** Services: jobs whose replicas run until the job is cancelled, whatever happens to their machines. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { planCapacity, type CapacityInput } from '../src/core/capacity/capacity-planner.js';
import type { Shard } from '../src/core/shard/shard.js';
import { REPLICA_STABLE_MS } from '../src/core/reachability/constants.js';
import { capacityInput, job, LEASE_MS, machine, settings, shardWith, Store } from './helpers.js';
import { FakeWorker, World } from './standins/worker.js';

const FOREVER_MS = 1e12;
const HEARTBEAT_MS = settings().heartbeatIntervalMs;
const SMALL_DEMAND = { cpus: 1, gpus: 0, memoryGb: 1 };
const service = (overrides: Parameters<typeof job>[0] = {}) =>
  job({
    kind: 'service',
    estimateS: 0,
    demand: SMALL_DEMAND,
    priority: 'production',
    ...overrides,
  });
const UID = 'job-000001';

const plan = (shard: Shard, now: number, overrides: Partial<CapacityInput> = {}) =>
  planCapacity(capacityInput(shard, now, overrides));

/** Delivers a heartbeat of the worker to the shard; the worker carries out the commands in the answer. */
const exchangeHeartbeat = (shard: Shard, worker: FakeWorker, now: number): void => {
  worker.advance(now);
  const heartbeat = worker.heartbeat();
  const result = shard.handleHeartbeat(heartbeat, now, true);
  if (result.kind !== 'answer') return;
  worker.onHeartbeatAnswer(result.fencingToken, result.commands, now, heartbeat.agentEpoch);
};

const startCluster = (
  names: readonly string[],
  overrides: Parameters<typeof job>[0] = {},
  runMs = FOREVER_MS,
) => {
  const world = new World();
  const store = new Store().add(...names.map((name) => machine(name)));
  const shard = shardWith(store);
  const workers = new Map(
    names.map(
      (name) => [name, new FakeWorker(name, world, runMs, LEASE_MS, -2 * HEARTBEAT_MS)] as const,
    ),
  );
  const exchangeHeartbeats = (now: number, reporting: readonly string[] = names) => {
    shard.expireLeases(now);
    for (const name of reporting) exchangeHeartbeat(shard, workers.get(name)!, now);
    shard.placeAll(now);
  };
  const run = (from: number, to: number, reporting: readonly string[] = names) => {
    for (let now = from; now <= to; now += HEARTBEAT_MS / 3) exchangeHeartbeats(now, reporting);
  };
  // The service is submitted once all machines are known.
  run(-2 * HEARTBEAT_MS, -1);
  store.add(service(overrides));
  shard.sync(store, 0);
  const tasksOn = (name: string) => [...world.runningOn].filter(([, m]) => m.has(name)).length;
  return { world, store, shard, workers, exchangeHeartbeats, run, tasksOn };
};

test('replicas are not all placed on one machine while other machines have free capacity', () => {
  const cases: { tasks: number; names: string[]; maxPerMachine: number }[] = [
    { tasks: 3, names: ['a', 'b', 'c'], maxPerMachine: 2 },
    { tasks: 6, names: ['a', 'b'], maxPerMachine: 3 },
    { tasks: 6, names: ['a'], maxPerMachine: 6 },
    { tasks: 1, names: ['a', 'b'], maxPerMachine: 1 },
  ];
  for (const { tasks, names, maxPerMachine } of cases) {
    const cluster = startCluster(names, { tasks });
    cluster.run(0, 4 * HEARTBEAT_MS);
    assert.equal(cluster.shard.jobs.get(UID)?.placements.size, tasks);
    for (const name of names)
      assert.ok(
        cluster.tasksOn(name) <= maxPerMachine,
        `${tasks} on ${names.length}: ${cluster.tasksOn(name)}`,
      );
    assert.deepEqual(cluster.world.violations, []);
  }
});

test('a replica that exits is started again with backoff, and is never done', () => {
  const cluster = startCluster(['a', 'b'], { tasks: 2 }, HEARTBEAT_MS);
  cluster.run(0, 60 * HEARTBEAT_MS);
  const state = cluster.shard.jobs.get(UID)!;
  assert.equal(state.savedCompletions.size + state.unsavedCompletions.size, 0);
  assert.equal(state.ended, false);
  assert.ok(cluster.world.starts > 4, `${cluster.world.starts} starts`);
  assert.ok(cluster.world.starts < 60, `${cluster.world.starts} starts: the backoff does not grow`);
  assert.deepEqual(cluster.world.violations, []);
  // A replica whose previous failure is longer ago than this is started again without backoff.
  const now = 60 * HEARTBEAT_MS + 2 * REPLICA_STABLE_MS;
  assert.ok(now - state.lastFailureAt > REPLICA_STABLE_MS);
});

test('saved completions of a service are ignored', () => {
  const store = new Store().add(machine('a'), service({ tasks: 2 }));
  store.doneBitmaps.set(`${UID}/0`, 'c');
  const shard = shardWith(store, 2);
  assert.equal(shard.jobs.get(UID)?.waitingTasks.size, 2);
});

test('failing replicas are started on other machines with growing backoff, and never given up', () => {
  const cluster = startCluster(['a', 'b', 'c'], { tasks: 1 });
  for (const worker of cluster.workers.values()) worker.failsTasks = true;
  cluster.run(0, 40 * HEARTBEAT_MS);
  const before = cluster.world.starts;
  assert.ok(before >= 3 && before < 30, `${before} starts`);
  for (const worker of cluster.workers.values()) worker.failsTasks = false;
  for (const machineState of cluster.shard.machines.values()) {
    if (machineState.faultStatus === 'quarantined') machineState.faultStatus = 'probation';
  }
  cluster.run(41 * HEARTBEAT_MS, 41 * HEARTBEAT_MS + 90_000);
  assert.equal(
    cluster.shard.jobs.get(UID)?.placements.size,
    1,
    'it runs within 90 s once a machine is healthy',
  );
  assert.deepEqual(cluster.world.violations, []);
});

test('a machine with replicas is returned sooner when its heartbeats are lost, and only then they run elsewhere', () => {
  const cluster = startCluster(['a', 'b'], { tasks: 2 });
  cluster.run(0, 3 * HEARTBEAT_MS);
  const lost = cluster.tasksOn('a') > 0 ? 'a' : 'b';
  const other = lost === 'a' ? 'b' : 'a';
  const from = 3 * HEARTBEAT_MS;
  cluster.run(from + 1, from + 2.5 * HEARTBEAT_MS, [other]);
  const keepIdleMachines = { idleKeepMs: 1e9 };
  assert.deepEqual(plan(cluster.shard, from + 2.5 * HEARTBEAT_MS, keepIdleMachines).returns, []);
  const now = from + 3.5 * HEARTBEAT_MS;
  cluster.exchangeHeartbeats(now, [other]);
  assert.equal(plan(cluster.shard, now).returns[0]?.reason, 'heartbeats lost');
  assert.equal(cluster.tasksOn(lost), 1, 'the replica may still run there');
  cluster.workers.get(lost)!.terminate();
  cluster.shard.removeMachine(lost, now);
  cluster.run(now + 1, now + 3 * HEARTBEAT_MS, [other]);
  assert.equal(cluster.tasksOn(other), 2);
  assert.deepEqual(cluster.world.violations, []);
});

test('after a preemption notice the replicas leave the machine at once and run elsewhere', () => {
  const cluster = startCluster(['a', 'b'], { tasks: 2 });
  cluster.run(0, 3 * HEARTBEAT_MS);
  cluster.workers.get('a')!.preemptionNoticeS = 8;
  cluster.run(3 * HEARTBEAT_MS + 1, 5 * HEARTBEAT_MS);
  assert.deepEqual([cluster.tasksOn('a'), cluster.tasksOn('b')], [0, 2]);
  assert.deepEqual(cluster.world.violations, []);
});

test('a machine with a replica is not returned as idle; a quarantined one is drained before its return', () => {
  const cluster = startCluster(['a', 'b'], { tasks: 1 });
  cluster.run(0, 3 * HEARTBEAT_MS);
  const busy = cluster.tasksOn('a') > 0 ? 'a' : 'b';
  const now = 50 * HEARTBEAT_MS;
  cluster.run(3 * HEARTBEAT_MS + 1, now);
  assert.ok(!plan(cluster.shard, now).returns.some((g) => g.name === busy));
  cluster.shard.machines.get(busy)!.faultStatus = 'quarantined';
  assert.ok(
    !plan(cluster.shard, now).returns.some((g) => g.name === busy),
    'its replica moves first',
  );
  cluster.run(now + 1, now + 3 * HEARTBEAT_MS);
  assert.equal(cluster.tasksOn(busy), 0);
  assert.equal(cluster.tasksOn(busy === 'a' ? 'b' : 'a'), 1);
  assert.ok(plan(cluster.shard, now + 3 * HEARTBEAT_MS).returns.some((g) => g.name === busy));
});

test('a new owner takes running replicas into its state and stops none', () => {
  const cluster = startCluster(['a', 'b'], { tasks: 3 });
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
  const cluster = startCluster(['a', 'b'], { tasks: 4 });
  cluster.run(0, 3 * HEARTBEAT_MS);
  cluster.store.jobs.delete(UID);
  cluster.shard.sync(cluster.store, 3 * HEARTBEAT_MS);
  cluster.world.cancelledAt.set(UID, 3 * HEARTBEAT_MS);
  cluster.run(3 * HEARTBEAT_MS + 1, 8 * HEARTBEAT_MS);
  assert.equal(cluster.tasksOn('a') + cluster.tasksOn('b'), 0);
  assert.equal(cluster.world.startsAfterCancellation, 0);
  assert.equal(cluster.shard.jobs.has(UID), false);
});

test('a service preempts tasks of lower priority, never tasks of the same priority', () => {
  for (const [priority, expectStart] of [
    ['low', true],
    ['production', false],
  ] as const) {
    const wholeMachine = { cpus: 8, gpus: 2, memoryGb: 8 };
    const other = job({ uid: 'job-000002', priority, demand: wholeMachine });
    const world = new World();
    const store = new Store().add(machine('a'), other);
    const shard = shardWith(store);
    const worker = new FakeWorker('a', world, FOREVER_MS, LEASE_MS, 0);
    for (let now = 0; now < 8 * HEARTBEAT_MS; now += HEARTBEAT_MS / 2) {
      if (now === 2 * HEARTBEAT_MS) {
        store.add(service());
        shard.sync(store, now);
      }
      shard.placeAll(now);
      exchangeHeartbeat(shard, worker, now);
    }
    assert.equal(world.runningOn.get(`${UID}/0`)?.size ?? 0, expectStart ? 1 : 0, priority);
  }
});

test('for a replica that fits no machine, one is rented in the zone that its service needs (table)', () => {
  // When capacity was counted over all zones, machines of another zone, or machines full of replicas that never end,
  // hid the shortage: a service spread over two zones waited forever with half of its replicas.
  const fullMachineService = service({ uid: 'job-000009', tasks: 8, spot: false });
  const cases: [string, Parameters<typeof job>[0], ReturnType<typeof machine>[], string[]][] = [
    ['spread, machines in one zone', { tasks: 4, spread: true }, [machine('a')], ['y']],
    [
      'spread, machines in both zones',
      { tasks: 4, spread: true },
      [machine('a'), machine('b', { zone: 'y' })],
      [],
    ],
    ['bound to a zone without machines', { tasks: 1, zone: 'y' }, [machine('a')], ['y']],
    ['anywhere, a machine with free capacity', { tasks: 4 }, [machine('a')], []],
    ['anywhere, the machine is full of replicas', { tasks: 4 }, [machine('full')], ['z', 'y']],
  ];
  for (const [name, overrides, machines, zones] of cases) {
    const store = new Store().add(...machines);
    const world = new World();
    const shard = shardWith(store);
    const workers = machines.map((record) => {
      return new FakeWorker(record.name, world, FOREVER_MS, LEASE_MS, 0, record.zone);
    });
    const exchangeHeartbeats = (now: number) => {
      shard.placeAll(now);
      for (const worker of workers) exchangeHeartbeat(shard, worker, now);
    };
    exchangeHeartbeats(0);
    if (machines[0]!.name === 'full') store.add(fullMachineService);
    shard.sync(store, 1);
    for (let now = 1; now < 4 * HEARTBEAT_MS; now += HEARTBEAT_MS / 3) exchangeHeartbeats(now);
    store.add(service({ ...overrides, spot: false }));
    shard.sync(store, 4 * HEARTBEAT_MS);
    for (let now = 4 * HEARTBEAT_MS; now < 8 * HEARTBEAT_MS; now += HEARTBEAT_MS / 3)
      exchangeHeartbeats(now);
    // The job class as a whole has all the machines that it needs.
    const pending = [{ type: 'm', zone: 'z', spot: true, count: 9 }];
    const { rentals } = plan(shard, 8 * HEARTBEAT_MS, {
      pendingRentals: pending,
      idleKeepMs: 1e9,
    });
    const served = shard.jobs.get(UID)!.waitingTasks.size === 0;
    assert.equal(served, zones.length === 0, name);
    const rented = rentals.map(({ zone }) => zone);
    if (zones.length === 0) assert.deepEqual(rented, [], name);
    else
      assert.ok(rented.length > 0 && rented.every((z) => zones.includes(z)), `${name}: ${rented}`);
    assert.deepEqual(world.violations, [], name);
  }
});

test('a shard keeps an on-demand machine in every zone once a spread service is known (table)', () => {
  // Otherwise half of the replicas wait for a machine to boot (50 s on Sfax's day rollout).
  const oneZone = [machine('a'), machine('b')];
  const bothZones = [machine('a'), machine('b', { zone: 'y' })];
  const cases: [
    string,
    ReturnType<typeof job>,
    ReturnType<typeof machine>[],
    zones: string[],
    returned: number,
  ][] = [
    ['spread, one zone only', service({ spread: true, spot: false, tasks: 1 }), oneZone, ['y'], 1],
    ['spread, both zones', service({ spread: true, spot: false, tasks: 1 }), bothZones, [], 0],
    ['not spread', service({ spot: false, tasks: 1 }), bothZones, [], 2],
    ['spread on spot machines', service({ spread: true, spot: true, tasks: 1 }), bothZones, [], 2],
  ];
  for (const [name, record, machines, zones, returned] of cases) {
    const shard = shardWith(new Store().add(...machines));
    const now = 10 * HEARTBEAT_MS;
    for (const machineRecord of machines) {
      const worker = new FakeWorker(
        machineRecord.name,
        new World(),
        FOREVER_MS,
        LEASE_MS,
        now,
        machineRecord.zone,
      );
      const first = worker.heartbeat();
      shard.handleHeartbeat(first, now, true);
      worker.onHeartbeatAnswer(shard.term, [], now, first.agentEpoch);
      shard.handleHeartbeat(worker.heartbeat(), now + 1, true);
    }
    const classStats = new Map([['c', { tasksPerS: 0, runS: null, sample: record.spec }]]);
    const { rentals, returns } = plan(shard, now + HEARTBEAT_MS, { classStats });
    assert.deepEqual(
      rentals.filter(({ spot }) => !spot).map(({ zone, count }) => [zone, count]),
      zones.map((z) => [z, 1]),
      name,
    );
    assert.equal(returns.length, returned, name);
  }
});

test('capacity is planned for all replicas, whatever the run time of their job class', () => {
  const store = new Store().add(service({ tasks: 20, spot: false }));
  const classStats = new Map([['c', { tasksPerS: 0, runS: null, sample: null }]]);
  const { rentals } = plan(shardWith(store), 0, { classStats });
  const machines = rentals.reduce((sum, w) => sum + w.count, 0);
  assert.equal(machines, 3, '20 replicas, eight to a machine');
  assert.ok(rentals.every(({ spot }) => !spot));
});
