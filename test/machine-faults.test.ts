/** Tests of a shard whose machines lose heartbeats or commands, and of gangs and queues in their presence. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { planCapacity } from '../src/core/capacity/capacity-planner.js';
import type { Command, Heartbeat } from '../src/core/model.js';
import type { Shard } from '../src/core/shard/shard.js';
import { capacityInput, job, LEASE_MS, machine, settings, shardWith, Store } from './helpers.js';
import { CANCEL_MS, FakeWorker, World } from './standins/worker.js';

const RUN_MS = 20_000;
const HEARTBEAT_MS = settings().heartbeatIntervalMs;

/** Returns the names of the machines that the shard would return to the cloud now. */
const returns = (shard: Shard, now: number): string[] => {
  const input = capacityInput(shard, now, {
    zones: ['z'],
    inBackoff: () => true,
    idleKeepMs: 1e9,
  });
  return planCapacity(input).returns.map((returned) => returned.name);
};

/** Passes one heartbeat to the shard, and its answer to the worker unless it is lost. Returns the commands. */
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
  if (answerArrives)
    worker.onHeartbeatAnswer(result.fencingToken, result.commands, now, heartbeat.agentEpoch);
  return result.commands;
};
const runsOn = (world: World, task: string): string[] => [...(world.runningOn.get(task) ?? [])];

test('heartbeats arrive but commands are lost: tasks start elsewhere, and the machine is returned', () => {
  const cases: { name: string; direct: boolean }[] = [
    { name: 'starts in answers are lost', direct: false },
    { name: 'direct starts have no answer either', direct: true },
  ];
  for (const { name, direct } of cases) {
    const world = new World();
    const shard = shardWith(new Store().add(machine('a'), machine('b'), job()));
    const workerA = new FakeWorker('a', world, RUN_MS, LEASE_MS, 0);
    const workerB = new FakeWorker('b', world, RUN_MS, LEASE_MS, 0);
    exchangeHeartbeat(shard, workerA, 0);
    shard.handleCommandStatus(workerA.heartbeat(), 100);
    if (direct) {
      shard.placeAll(200);
      assert.equal(shard.directCommands(200).length, 1, name);
    }
    exchangeHeartbeat(shard, workerB, 300);
    let now = HEARTBEAT_MS;
    for (; now < 2 * LEASE_MS && runsOn(world, 'job-000001/0').length === 0; now += HEARTBEAT_MS) {
      exchangeHeartbeat(shard, workerA, now, false);
      if (returns(shard, now).includes('a')) {
        workerA.terminate();
        shard.removeMachine('a', now);
      }
      exchangeHeartbeat(shard, workerB, now + 1);
      exchangeHeartbeat(shard, workerB, now + 600);
    }
    assert.deepEqual(
      runsOn(world, 'job-000001/0'),
      ['b'],
      `${name}: the task runs on the machine that receives commands`,
    );
    assert.ok(now <= 8 * HEARTBEAT_MS, `${name}: after ${now} ms`);
    assert.ok(
      !shard.machines.has('a') || shard.machines.get('a')!.commandsLostSince !== null,
      name,
    );
    assert.deepEqual(world.violations, [], name);
  }
});

test('a machine is not returned for one lost answer', () => {
  const world = new World();
  const shard = shardWith(new Store().add(machine('a'), job()));
  const workerA = new FakeWorker('a', world, RUN_MS, LEASE_MS, 0);
  exchangeHeartbeat(shard, workerA, 0);
  exchangeHeartbeat(shard, workerA, HEARTBEAT_MS, false);
  exchangeHeartbeat(shard, workerA, 2 * HEARTBEAT_MS);
  exchangeHeartbeat(shard, workerA, 3 * HEARTBEAT_MS);
  assert.deepEqual(runsOn(world, 'job-000001/0'), ['a']);
  assert.deepEqual(returns(shard, 6 * HEARTBEAT_MS), []);
});

test('a machine that ignores the stop of a cancelled task is returned in time', () => {
  const world = new World();
  const store = new Store().add(machine('a'), job());
  // The lease is longer than the time for cancellations, so its expiry does not end the task in time.
  const shard = shardWith(store, 1, { leaseMs: 10 * CANCEL_MS });
  const workerA = new FakeWorker('a', world, 10 * CANCEL_MS, 10 * CANCEL_MS, 0);
  exchangeHeartbeat(shard, workerA, 0);
  exchangeHeartbeat(shard, workerA, 600);
  assert.deepEqual(runsOn(world, 'job-000001/0'), ['a']);
  store.jobs.delete('job-000001');
  shard.sync(store, 1000);
  world.cancelledAt.set('job-000001', 1000);
  let now = 1000;
  while (!returns(shard, now).includes('a')) {
    exchangeHeartbeat(shard, workerA, now, false);
    now += HEARTBEAT_MS;
    assert.ok(now < 1000 + CANCEL_MS, 'returned too late for the cloud to end the machine in time');
  }
  assert.ok(now < 1000 + 0.75 * CANCEL_MS, `returned after ${now} ms`);
});

test('delayed copies of heartbeats change nothing', () => {
  /** Returns the state of the machine and the job that a heartbeat could change. */
  const snapshot = (shard: Shard) => {
    const machineState = shard.machines.get('a');
    const jobState = shard.jobs.get('job-000001');
    return {
      machine: machineState && [
        machineState.epoch?.number,
        machineState.epoch?.lastStatusCounter,
        machineState.lastStatusAt,
        machineState.epoch?.leaseRunsFrom,
        machineState.confirmedSince,
        machineState.unknownTaskCount,
      ],
      tasks: machineState && [...machineState.tasks.keys()],
      job: jobState && [
        jobState.waitingTasks.size,
        [...jobState.placements.keys()],
        [...jobState.savedCompletions],
        [...jobState.unsavedCompletions],
        jobState.consecutiveFailures,
      ],
    };
  };
  const startCluster = () => {
    const world = new World();
    const store = new Store().add(machine('a'), job());
    const shard = shardWith(store);
    const workerA = new FakeWorker('a', world, RUN_MS, LEASE_MS, 0);
    const sent: Heartbeat[] = [];
    const exchange = (now: number) => {
      exchangeHeartbeat(shard, workerA, now);
      sent.push({ ...workerA.heartbeat(), counter: workerA.counter - 1 });
    };
    return { world, store, shard, worker: workerA, sent, exchange };
  };
  type Cluster = ReturnType<typeof startCluster>;
  const cases: [string, (cluster: Cluster) => Shard, (cluster: Cluster) => void][] = [
    [
      'within the same agent epoch',
      (cluster) => cluster.shard,
      (cluster) => cluster.exchange(4000),
    ],
    [
      'with a task that has completed since',
      (cluster) => cluster.shard,
      (cluster) => {
        for (let now = 3000; now <= 27_000; now += 3000) cluster.exchange(now);
        cluster.shard.markCompletionsSaved('job-000001', [0]);
        cluster.exchange(28_000);
        cluster.exchange(29_000);
      },
    ],
    [
      'from an earlier agent epoch',
      (cluster) => cluster.shard,
      (cluster) => {
        cluster.worker.advance(5 * LEASE_MS);
        cluster.exchange(5 * LEASE_MS);
        cluster.exchange(5 * LEASE_MS + 600);
      },
    ],
    [
      'after the machine was returned',
      (cluster) => cluster.shard,
      (cluster) => {
        cluster.worker.terminate();
        cluster.shard.removeMachine('a', 2000);
      },
    ],
  ];
  for (const [name, owner, since] of cases) {
    const cluster = startCluster();
    for (const now of [0, 600, 1200]) cluster.exchange(now);
    const copies = [...cluster.sent];
    since(cluster);
    const shard = owner(cluster);
    const before = snapshot(shard);
    const at = 20 * LEASE_MS;
    for (const copy of copies)
      assert.notEqual(shard.handleHeartbeat(copy, at, true).kind, 'answer', name);
    assert.deepEqual(snapshot(shard), before, name);
    assert.deepEqual(cluster.world.violations, [], name);
  }
});

test('a delayed heartbeat from before a takeover does not confirm the term of the new owner', () => {
  const world = new World();
  const store = new Store().add(machine('a'), machine('b'), job());
  const old = shardWith(store, 1);
  const workerA = new FakeWorker('a', world, RUN_MS, LEASE_MS, 0);
  const workerB = new FakeWorker('b', world, RUN_MS, LEASE_MS, 0);
  exchangeHeartbeat(old, workerA, 0);
  const delayed = workerA.heartbeat();
  exchangeHeartbeat(old, workerA, 600);
  assert.deepEqual(runsOn(world, 'job-000001/0'), ['a']);
  const shard = shardWith(store, 2, {}, 1000);
  exchangeHeartbeat(shard, workerB, 1000);
  exchangeHeartbeat(shard, workerB, 1600);
  shard.handleHeartbeat(delayed, 1700, true);
  assert.equal(shard.recovered, false, 'the heartbeat was sent before the new term');
  exchangeHeartbeat(shard, workerB, 2200);
  assert.deepEqual(runsOn(world, 'job-000001/0'), ['a']);
  exchangeHeartbeat(shard, workerA, 2300);
  exchangeHeartbeat(shard, workerA, 2900);
  assert.equal(shard.recovered, true);
  assert.equal(shard.jobs.get('job-000001')?.placements.get(0)?.machine.record.name, 'a');
  assert.deepEqual(world.violations, []);
});

test('no starvation: large jobs start despite a steady stream of newer small jobs', () => {
  const whole = { cpus: 8, gpus: 2, memoryGb: 8 };
  const cases: { name: string; large: Parameters<typeof job>[0]; withinS: number }[] = [
    // 60 s are three run times: tasks before the job, tasks beside it, and collecting machines for it.
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
      // The queue always has small jobs.
      while (
        [...shard.jobs.values()].filter((jobState) => jobState.waitingTasks.size > 0).length < 8
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
      for (const [task, on] of world.runningOn) {
        if (task.startsWith('job-000099/') && on.size > 0) started.add(task);
      }
      if (started.size === (large?.tasks ?? 0)) break;
    }
    assert.equal(started.size, large?.tasks, `${name}: started by ${now} ms`);
    assert.deepEqual(world.violations, [], name);
  }
});

test('a gang that is stopped before any start was sent is queued once, not twice', () => {
  const store = new Store().add(
    machine('a', { spot: true }),
    machine('b', { spot: true }),
    job({ kind: 'gang', tasks: 4, checkpointS: 5, saveS: 2 }),
  );
  const shard = shardWith(store);
  const workers = ['a', 'b'].map((n) => new FakeWorker(n, new World(), RUN_MS, LEASE_MS, 0));
  for (const worker of workers) shard.handleHeartbeat(worker.heartbeat(), 0, true);
  for (const worker of workers) worker.executeDirect(shard.term, 1, []);
  for (const worker of workers) shard.handleCommandStatus(worker.heartbeat(), 100);
  shard.placeAll(200);
  const [first] = [...shard.jobs.get('job-000001')!.placements.values()];
  shard.requestStop(first!, 3, 300);
  assert.deepEqual([...shard.jobs.get('job-000001')!.waitingTasks], [0, 1, 2, 3]);
});

test('a job that missed a start objective stays ahead of newer jobs until it has begun', () => {
  const store = new Store().add(machine('a'));
  // The machine fits one job at a time. The start objectives are 60 s and 300 s after acceptance.
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
  // Its next objective is at 300 s, those of the newer jobs are at 160 s and later, but it has not begun.
  assert.equal(first(121_000), 'job-000001');
});

test('all tasks of a gang are stopped together when one of them has to save its progress', () => {
  const world = new World();
  const store = new Store().add(
    machine('a', { spot: true }),
    machine('b', { spot: true }),
    job({ kind: 'gang', tasks: 4, checkpointS: 5, saveS: 2 }),
  );
  const shard = shardWith(store);
  const workerA = new FakeWorker('a', world, RUN_MS, LEASE_MS, 0);
  const workerB = new FakeWorker('b', world, RUN_MS, LEASE_MS, 0);
  for (const now of [0, 600, 1200])
    for (const worker of [workerA, workerB]) exchangeHeartbeat(shard, worker, now);
  assert.equal(shard.jobs.get('job-000001')?.placements.size, 4);
  workerA.preemptionNoticeS = 10;
  shard.handleHeartbeat(workerA.heartbeat(), 2000, true);
  const commands = shard.directCommands(2000).flatMap((batch) => batch.commands);
  assert.equal(
    commands.filter((command) => command.op === 'stop' && command.graceS >= 2).length,
    4,
    'including those on machine b',
  );
});

test('a machine that answers commands but sends no heartbeats gets no new tasks, and is returned', () => {
  const world = new World();
  const shard = shardWith(new Store().add(machine('a'), job({ tasks: 1 })));
  const workerA = new FakeWorker('a', world, RUN_MS, LEASE_MS, 0);
  exchangeHeartbeat(shard, workerA, 0);
  // Answers to commands contain task lists like heartbeats, but renew no lease, so its expiry would kill any new task.
  const answerCommand = (now: number) => {
    workerA.advance(now);
    shard.expireLeases(now);
    shard.handleCommandStatus(workerA.heartbeat(), now);
  };
  for (let now = HEARTBEAT_MS; now <= 4 * HEARTBEAT_MS; now += HEARTBEAT_MS) answerCommand(now);
  assert.deepEqual(returns(shard, 4 * HEARTBEAT_MS), [], 'a few heartbeats may be lost');
  const now = 5 * HEARTBEAT_MS;
  answerCommand(now);
  assert.ok(returns(shard, now).includes('a'));
  assert.equal(shard.isFresh(shard.machines.get('a')!, now), false);
});

test('tasks on a machine whose record disappears without a return start elsewhere only after its lease ends', () => {
  for (const moved of [true, false]) {
    const world = new World();
    const store = new Store().add(machine('a'), machine('b'), job());
    const shard = shardWith(store);
    const workerA = new FakeWorker('a', world, 10 * LEASE_MS, LEASE_MS, 0);
    const workerB = new FakeWorker('b', world, 10 * LEASE_MS, LEASE_MS, 0);
    for (let now = 0; now < 2 * HEARTBEAT_MS; now += HEARTBEAT_MS / 2)
      exchangeHeartbeat(shard, workerA, now);
    assert.deepEqual(runsOn(world, 'job-000001/0'), ['a']);
    if (moved) store.add(machine('a', { shard: 1 }));
    else store.machines.delete('a');
    const from = 2 * HEARTBEAT_MS;
    shard.sync(store, from);
    for (let now = from; now < from + 2 * LEASE_MS; now += HEARTBEAT_MS / 2) {
      workerA.advance(now);
      exchangeHeartbeat(shard, workerB, now);
      assert.deepEqual(world.violations, []);
    }
    assert.deepEqual(runsOn(world, 'job-000001/0'), ['b'], 'the task runs again in the end');
    assert.equal(shard.machines.has('a'), false);
  }
});
