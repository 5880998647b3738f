import assert from 'node:assert/strict';
import { test } from 'node:test';
import { planCapacity, type CapacityInput } from '../src/core/capacity/capacity-planner.js';
import type { Command, Heartbeat } from '../src/core/model.js';
import type { Shard } from '../src/core/shard/shard.js';
import { job, LEASE_MS, machine, machineType, shardWith, settings, Store } from './helpers.js';
import { CANCEL_MS, FakeWorker, World } from './standins/worker.js';

const RUN_MS = 20_000;
const HEARTBEAT_MS = settings().heartbeatIntervalMs;

/** What the shard would return to the cloud now. */
const returns = (shard: Shard, now: number): string[] => {
  const input: CapacityInput = {
    shard,
    shardCount: 1,
    types: new Map([['m', machineType()]]),
    zones: ['z'],
    objectives: [],
    classStats: new Map(),
    activeTasksElsewhere: new Map(),
    expectedJobs: [],
    pendingRentals: [],
    inBackoff: () => true,
    reserveSigma: 1,
    drainS: 45,
    idleKeepMs: 1e9,
    maxMachines: 100,
    now,
  };
  return planCapacity(input).returns.map((g) => g.name);
};

/** A heartbeat and its answer, which reaches the worker or not. */
const exchangeHeartbeat = (
  shard: Shard,
  worker: FakeWorker,
  now: number,
  answerArrives = true,
): readonly Command[] => {
  worker.advance(now);
  shard.expireLeases(now);
  shard.placeAll(now);
  const heartbeat = worker.heartbeat();
  const result = shard.handleHeartbeat(heartbeat, now, true);
  if (result.kind !== 'answer') return [];
  if (answerArrives) worker.answered(shard.term, result.commands, now, heartbeat.agentEpoch);
  return result.commands;
};
const runsOn = (world: World, task: string): string[] => [...(world.on.get(task) ?? [])];

test('heartbeats arrive but commands are lost: its work goes elsewhere, it is returned', () => {
  const cases: { name: string; direct: boolean }[] = [
    { name: 'starts in answers are lost', direct: false },
    { name: 'direct starts have no answer either', direct: true },
  ];
  for (const { name, direct } of cases) {
    const world = new World();
    const shard = shardWith(new Store().add(machine('a'), machine('b'), job()));
    const a = new FakeWorker('a', world, RUN_MS, LEASE_MS, 0);
    const b = new FakeWorker('b', world, RUN_MS, LEASE_MS, 0);
    exchangeHeartbeat(shard, a, 0);
    shard.handleCommandStatus(a.heartbeat(), 100);
    if (direct) {
      shard.placeAll(200);
      assert.equal(shard.directCommands(200).length, 1, name);
    }
    exchangeHeartbeat(shard, b, 300);
    let now = HEARTBEAT_MS;
    for (; now < 2 * LEASE_MS && runsOn(world, 'job-000001/0').length === 0; now += HEARTBEAT_MS) {
      exchangeHeartbeat(shard, a, now, false);
      if (returns(shard, now).includes('a')) {
        a.vanish();
        shard.removeMachine('a', now);
      }
      exchangeHeartbeat(shard, b, now + 1);
      exchangeHeartbeat(shard, b, now + 600);
    }
    assert.deepEqual(
      runsOn(world, 'job-000001/0'),
      ['b'],
      `${name}: it runs where commands arrive`,
    );
    assert.ok(now <= 8 * HEARTBEAT_MS, `${name}: after ${now} ms`);
    assert.ok(
      !shard.machines.has('a') || shard.machines.get('a')!.commandsLostSince !== null,
      name,
    );
    assert.deepEqual(world.broken, [], name);
  }
});

test('one lost answer is no reason to return a machine', () => {
  const world = new World();
  const shard = shardWith(new Store().add(machine('a'), job()));
  const a = new FakeWorker('a', world, RUN_MS, LEASE_MS, 0);
  exchangeHeartbeat(shard, a, 0);
  exchangeHeartbeat(shard, a, HEARTBEAT_MS, false);
  exchangeHeartbeat(shard, a, 2 * HEARTBEAT_MS);
  exchangeHeartbeat(shard, a, 3 * HEARTBEAT_MS);
  assert.deepEqual(runsOn(world, 'job-000001/0'), ['a']);
  assert.deepEqual(returns(shard, 6 * HEARTBEAT_MS), []);
});

test('a cancelled task on a machine that ignores commands is gone in time: the machine is returned', () => {
  const world = new World();
  const store = new Store().add(machine('a'), job());
  // A lease longer than the time for cancellations: it does not end the task in time by itself.
  const shard = shardWith(store, 1, { leaseMs: 10 * CANCEL_MS });
  const a = new FakeWorker('a', world, 10 * CANCEL_MS, 10 * CANCEL_MS, 0);
  exchangeHeartbeat(shard, a, 0);
  exchangeHeartbeat(shard, a, 600);
  assert.deepEqual(runsOn(world, 'job-000001/0'), ['a']);
  store.jobs.delete('job-000001');
  shard.sync(store, 1000);
  world.cancelledAt.set('job-000001', 1000);
  let now = 1000;
  while (!returns(shard, now).includes('a')) {
    exchangeHeartbeat(shard, a, now, false);
    now += HEARTBEAT_MS;
    assert.ok(now < 1000 + CANCEL_MS, 'too late for the cloud to answer in time');
  }
  assert.ok(now < 1000 + 0.75 * CANCEL_MS, `given back after ${now} ms`);
});

test('late copies of heartbeats change nothing: table', () => {
  /** Everything about a machine that a heartbeat could change. */
  const knows = (shard: Shard) => {
    const machineState = shard.machines.get('a');
    const jobState = shard.jobs.get('job-000001');
    return {
      machine: machineState && [
        machineState.agentEpoch,
        machineState.lastStatusCounter,
        machineState.lastStatusAt,
        machineState.leaseRenewedAt,
        machineState.confirmedSince,
        machineState.unknownTaskCount,
      ],
      tasks: machineState && [...machineState.tasks.keys()],
      job: jobState && [
        jobState.waitingTasks.length,
        [...jobState.placements.keys()],
        [...jobState.savedCompletions],
        [...jobState.unsavedCompletions],
        jobState.consecutiveFailures,
      ],
    };
  };
  const scene = () => {
    const world = new World();
    const store = new Store().add(machine('a'), job());
    const shard = shardWith(store);
    const a = new FakeWorker('a', world, RUN_MS, LEASE_MS, 0);
    const sent: Heartbeat[] = [];
    const say = (now: number) => {
      exchangeHeartbeat(shard, a, now);
      sent.push({ ...a.heartbeat(), counter: a.counter - 1 });
    };
    return { world, store, shard, a, sent, say };
  };
  type Scene = ReturnType<typeof scene>;
  const cases: [string, (cluster: Scene) => Shard, (cluster: Scene) => void][] = [
    [
      'of the same agent epoch, by seconds',
      (cluster) => cluster.shard,
      (cluster) => cluster.say(4000),
    ],
    [
      'of a task that has completed since',
      (cluster) => cluster.shard,
      (cluster) => {
        for (let now = 3000; now <= 27_000; now += 3000) cluster.say(now);
        cluster.shard.markCompletionsSaved('job-000001', [0]);
        cluster.say(28_000);
        cluster.say(29_000);
      },
    ],
    [
      'of an earlier agent epoch',
      (cluster) => cluster.shard,
      (cluster) => {
        cluster.a.advance(5 * LEASE_MS);
        cluster.say(5 * LEASE_MS);
        cluster.say(5 * LEASE_MS + 600);
      },
    ],
    [
      'after the machine was returned',
      (cluster) => cluster.shard,
      (cluster) => {
        cluster.a.vanish();
        cluster.shard.removeMachine('a', 2000);
      },
    ],
  ];
  for (const [name, owner, since] of cases) {
    const cluster = scene();
    for (const now of [0, 600, 1200]) cluster.say(now);
    const copies = [...cluster.sent];
    since(cluster);
    const shard = owner(cluster);
    const before = knows(shard);
    const at = 20 * LEASE_MS;
    for (const copy of copies)
      assert.notEqual(shard.handleHeartbeat(copy, at, true).kind, 'answer', name);
    assert.deepEqual(knows(shard), before, name);
    assert.deepEqual(cluster.world.broken, [], name);
  }
});

test('a copy from before a takeover does not count as an answer to the new owner', () => {
  const world = new World();
  const store = new Store().add(machine('a'), machine('b'), job());
  const old = shardWith(store, 1);
  const a = new FakeWorker('a', world, RUN_MS, LEASE_MS, 0);
  const b = new FakeWorker('b', world, RUN_MS, LEASE_MS, 0);
  exchangeHeartbeat(old, a, 0);
  const idle = a.heartbeat();
  exchangeHeartbeat(old, a, 600);
  assert.deepEqual(runsOn(world, 'job-000001/0'), ['a']);
  const shard = shardWith(store, 2, {}, 1000);
  exchangeHeartbeat(shard, b, 1000);
  exchangeHeartbeat(shard, b, 1600);
  shard.handleHeartbeat(idle, 1700, true);
  assert.equal(shard.recovered, false, 'it was made before our term');
  exchangeHeartbeat(shard, b, 2200);
  assert.deepEqual(runsOn(world, 'job-000001/0'), ['a']);
  exchangeHeartbeat(shard, a, 2300);
  exchangeHeartbeat(shard, a, 2900);
  assert.equal(shard.recovered, true);
  assert.equal(shard.jobs.get('job-000001')?.placements.get(0)?.machine.record.name, 'a');
  assert.deepEqual(world.broken, []);
});

test('nobody starves: with a steady stream of newer small jobs, the large ones get their turn', () => {
  const whole = { cpus: 8, gpus: 2, memoryGb: 8 };
  const cases: { name: string; large: Parameters<typeof job>[0]; withinS: number }[] = [
    // Three run times: those before it, those beside it, and collecting the machines.
    {
      name: 'a gang of four machines',
      large: { kind: 'gang', tasks: 4, demand: whole },
      withinS: 60,
    },
    { name: 'a gang in one zone', large: { kind: 'gang', tasks: 6, oneZone: true }, withinS: 60 },
    { name: 'a large array', large: { tasks: 40 }, withinS: 120 },
  ];
  for (const { name, large, withinS } of cases) {
    const world = new World();
    const store = new Store();
    const names = ['a', 'b', 'c', 'd', 'e'];
    for (const n of names) store.add(machine(n));
    const shard = shardWith(store, 1, { startObjectives: () => [10] });
    const workers = names.map((n) => new FakeWorker(n, world, RUN_MS, LEASE_MS, 0));
    let small = 100;
    const started = new Set<string>();
    let now = 0;
    for (; now < withinS * 1000; now += 600) {
      // The queue of small jobs never runs dry.
      while (
        [...shard.jobs.values()].filter((jobState) => jobState.waitingTasks.length > 0).length < 8
      ) {
        small += 1;
        store.add(job({ uid: `job-${small}` }));
        shard.sync(store, now);
      }
      if (now === 6000) {
        store.add(job({ uid: 'job-000099', ...large }));
        shard.sync(store, now);
      }
      for (const worker of workers) exchangeHeartbeat(shard, worker, now);
      for (const jobState of [...shard.jobs.values()]) {
        shard.markCompletionsSaved(jobState.spec.uid, [...jobState.unsavedCompletions]);
        if (jobState.savedCompletions.size === jobState.spec.tasks)
          store.jobs.delete(jobState.spec.uid);
      }
      shard.sync(store, now);
      for (const [task, on] of world.on) {
        if (task.startsWith('job-000099/') && on.size > 0) started.add(task);
      }
      if (started.size === (large?.tasks ?? 0)) break;
    }
    assert.equal(started.size, large?.tasks, `${name}: started by ${now} ms`);
    assert.deepEqual(world.broken, [], name);
  }
});

test('a gang that was only noted down and is stopped waits once, not twice', () => {
  const store = new Store().add(
    machine('a', { spot: true }),
    machine('b', { spot: true }),
    job({ kind: 'gang', tasks: 4, checkpointS: 5, saveS: 2 }),
  );
  const shard = shardWith(store);
  const workers = ['a', 'b'].map((n) => new FakeWorker(n, new World(), RUN_MS, LEASE_MS, 0));
  for (const worker of workers) shard.handleHeartbeat(worker.heartbeat(), 0, true);
  for (const worker of workers) worker.direct(shard.term, 1, []);
  for (const worker of workers) shard.handleCommandStatus(worker.heartbeat(), 100);
  shard.placeAll(200);
  const [first] = [...shard.jobs.get('job-000001')!.placements.values()];
  shard.requestStop(first!, 3, 300);
  assert.deepEqual(shard.jobs.get('job-000001')?.waitingTasks, [0, 1, 2, 3]);
});

test('a job that missed an aim is not passed over by newer ones until it has begun', () => {
  const store = new Store().add(machine('a'));
  // Room for one job at a time; the aims are 60 s and 300 s after acceptance.
  const whole = { cpus: 8, gpus: 2, memoryGb: 8 };
  const shard = shardWith(store, 1, { startObjectives: () => [60, 300] });
  store.add(job({ uid: 'job-000001', demand: whole }));
  shard.sync(store, 0);
  for (const seconds of [100, 110, 120]) {
    store.add(job({ uid: `job-${seconds}`, demand: whole }));
    shard.sync(store, seconds * 1000);
  }
  const first = (now: number) => shard.queue(now)[0]?.spec.uid;
  assert.equal(first(50_000), 'job-000001');
  // Its next aim is at 300 s, those of the others at 160 s and later: but it has not begun.
  assert.equal(first(121_000), 'job-000001');
});

test('a gang that is stopped to save is told as a whole', () => {
  const world = new World();
  const store = new Store().add(
    machine('a', { spot: true }),
    machine('b', { spot: true }),
    job({ kind: 'gang', tasks: 4, checkpointS: 5, saveS: 2 }),
  );
  const shard = shardWith(store);
  const a = new FakeWorker('a', world, RUN_MS, LEASE_MS, 0);
  const b = new FakeWorker('b', world, RUN_MS, LEASE_MS, 0);
  for (const now of [0, 600, 1200])
    for (const worker of [a, b]) exchangeHeartbeat(shard, worker, now);
  assert.equal(shard.jobs.get('job-000001')?.placements.size, 4);
  a.noticeS = 10;
  shard.handleHeartbeat(a.heartbeat(), 2000, true);
  const told = shard.directCommands(2000).flatMap((d) => d.commands);
  assert.equal(
    told.filter((copy) => copy.op === 'stop' && copy.graceS >= 2).length,
    4,
    'also on machine b',
  );
});

test('a machine that only answers commands gets nothing new, and is returned', () => {
  const world = new World();
  const shard = shardWith(new Store().add(machine('a'), job({ tasks: 1 })));
  const a = new FakeWorker('a', world, RUN_MS, LEASE_MS, 0);
  exchangeHeartbeat(shard, a, 0);
  // Answers to commands look like heartbeats, but they renew no lease: all that starts is killed by it.
  const answers = (now: number) => {
    a.advance(now);
    shard.expireLeases(now);
    shard.handleCommandStatus(a.heartbeat(), now);
  };
  for (let now = HEARTBEAT_MS; now <= 4 * HEARTBEAT_MS; now += HEARTBEAT_MS) answers(now);
  assert.deepEqual(returns(shard, 4 * HEARTBEAT_MS), [], 'a few heartbeats may be lost');
  const now = 5 * HEARTBEAT_MS;
  answers(now);
  assert.ok(returns(shard, now).includes('a'));
  assert.equal(shard.isFresh(shard.machines.get('a')!, now), false);
});

test('a record that goes without a return: what runs there is not started elsewhere before its lease ends', () => {
  for (const moved of [true, false]) {
    const world = new World();
    const store = new Store().add(machine('a'), machine('b'), job());
    const shard = shardWith(store);
    const a = new FakeWorker('a', world, 10 * LEASE_MS, LEASE_MS, 0);
    const b = new FakeWorker('b', world, 10 * LEASE_MS, LEASE_MS, 0);
    for (let now = 0; now < 2 * HEARTBEAT_MS; now += HEARTBEAT_MS / 2)
      exchangeHeartbeat(shard, a, now);
    assert.deepEqual(runsOn(world, 'job-000001/0'), ['a']);
    if (moved) store.add(machine('a', { shard: 1 }));
    else store.machines.delete('a');
    const from = 2 * HEARTBEAT_MS;
    shard.sync(store, from);
    for (let now = from; now < from + 2 * LEASE_MS; now += HEARTBEAT_MS / 2) {
      a.advance(now);
      exchangeHeartbeat(shard, b, now);
      assert.deepEqual(world.broken, []);
    }
    assert.deepEqual(runsOn(world, 'job-000001/0'), ['b'], 'in the end it runs again');
    assert.equal(shard.machines.has('a'), false);
  }
});
