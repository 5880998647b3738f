/** Machines whose workers begin another agent epoch while no heartbeat of theirs is answered. */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import type { JobSpec } from '../src/core/model.js';
import { seededRandomInt } from '../src/random.js';
import { job, LEASE_MS, shardWith } from './helpers.js';
import { SCENE_JOB, ShardScene, STEP_MS } from './shard-scene.js';
import { Cluster } from './standins/cluster.js';
import type { FakeWorker } from './standins/worker.js';

const LEASE_STEPS = LEASE_MS / STEP_MS;
/** Longer than the leases that a case waits for, so that no task completes before. */
const RUN_MS = 4 * LEASE_MS;
/** Steps after the last answered heartbeat at which the worker restarts, while the shard still takes it for reachable. */
const RESTART_STEPS = 5;

/** Returns the worker that runs tasks, whose heartbeats reach no controller from now on. */
const loseHeartbeats = (scene: ShardScene): FakeWorker => {
  const worker = [...scene.workers.values()].find(({ tasks }) => tasks.size > 0)!;
  scene.withoutHeartbeats.add(worker);
  return worker;
};

/** Places a further job on the worker's machine, whose starts go there directly. */
const placeOn = (scene: ShardScene, worker: FakeWorker, uid: string): void => {
  const others = [...scene.shard.machines.values()].filter(
    ({ record }) => record.name !== worker.name,
  );
  for (const other of others) other.cordoned = true;
  scene.store.add(job({ uid, tasks: 1 }));
  scene.run(2);
  for (const other of others) other.cordoned = false;
};

/** Lets the worker restart, and the shard learn of it by the answer to a direct start that the worker refuses. */
const restartAndRefuse = (scene: ShardScene, worker: FakeWorker, uid = 'job-000002'): void => {
  worker.restart(scene.now);
  placeOn(scene, worker, uid);
  assert.ok(worker.tasks.size > 0, 'tasks start directly in the new agent epoch');
};

/** Lets a new owner take the shard over, which knows the machines' addresses and probes their workers. */
const takeOver = (scene: ShardScene): void => {
  const { machines } = scene.shard;
  scene.shard = shardWith(scene.store, scene.shard.tokens.last + 1, {}, scene.now);
  for (const machine of scene.shard.machines.values()) {
    machine.address = machines.get(machine.record.name)?.address ?? null;
  }
};

interface EpochCase {
  /** how the shard learns of the new agent epoch */
  readonly name: string;
  readonly spec?: Partial<JobSpec>;
  readonly beginEpoch: (scene: ShardScene, worker: FakeWorker) => void;
}

const EPOCHS: EpochCase[] = [
  {
    name: 'the answer to a refused command',
    beginEpoch: (scene, worker) => restartAndRefuse(scene, worker),
  },
  {
    name: 'the answer to a refused command, for a gang',
    spec: { kind: 'gang' },
    beginEpoch: (scene, worker) => restartAndRefuse(scene, worker),
  },
  {
    name: 'the answer to a refused command, for replicas of a service',
    spec: { kind: 'service' },
    beginEpoch: (scene, worker) => restartAndRefuse(scene, worker),
  },
  {
    name: 'the answer to a refused command, twice',
    beginEpoch: (scene, worker) => {
      restartAndRefuse(scene, worker);
      scene.store.jobs.delete('job-000002');
      restartAndRefuse(scene, worker, 'job-000003');
    },
  },
  {
    name: 'the answer to a refused command, with heartbeats that may not be answered',
    beginEpoch: (scene, worker) => {
      restartAndRefuse(scene, worker);
      for (let second = 0; second < 5; second++) {
        scene.shard.handleHeartbeat(worker.heartbeat(), scene.now, false, false);
        scene.run(1);
      }
    },
  },
  {
    name: 'the answer to a refused command, before a new owner adopts the tasks',
    beginEpoch: (scene, worker) => {
      restartAndRefuse(scene, worker);
      takeOver(scene);
      scene.run(3);
    },
  },
  {
    name: 'a heartbeat whose answer is lost',
    beginEpoch: (scene, worker) => {
      worker.restart(scene.now);
      scene.shard.handleHeartbeat(worker.heartbeat(), scene.now, true);
      scene.run(2);
    },
  },
  {
    name: 'a heartbeat that may not be answered',
    beginEpoch: (scene, worker) => {
      worker.restart(scene.now);
      scene.shard.handleHeartbeat(worker.heartbeat(), scene.now, false, false);
      scene.run(2);
    },
  },
  {
    name: "a heartbeat that a command's answer overtook",
    beginEpoch: (scene, worker) => {
      worker.restart(scene.now);
      const heartbeat = worker.heartbeat();
      placeOn(scene, worker, 'job-000002');
      scene.shard.handleHeartbeat(heartbeat, scene.now, true);
    },
  },
  {
    name: 'a late copy of a heartbeat',
    beginEpoch: (scene, worker) => {
      worker.restart(scene.now);
      const heartbeat = worker.heartbeat();
      scene.run(3);
      scene.shard.handleHeartbeat(heartbeat, scene.now, true);
      scene.run(2);
    },
  },
  {
    name: 'a probe, several agent epochs after the known one expired',
    beginEpoch: (scene, worker) => {
      scene.unreachable.add(worker);
      scene.run(3 * LEASE_STEPS);
      scene.unreachable.delete(worker);
      scene.run(2);
    },
  },
  {
    name: 'the probe of a new owner',
    beginEpoch: (scene, worker) => {
      worker.restart(scene.now);
      takeOver(scene);
      scene.run(3);
    },
  },
];

describe('a worker without answered heartbeats begins an agent epoch', { concurrency: 4 }, () => {
  for (const { name, spec, beginEpoch } of EPOCHS) {
    test(`known by ${name}: no task runs elsewhere before that epoch's own lease has expired`, () => {
      const scene = new ShardScene({ tasks: 1, ...spec }, RUN_MS);
      const worker = loseHeartbeats(scene);
      scene.run(RESTART_STEPS);
      beginEpoch(scene, worker);
      scene.run(3 * LEASE_STEPS);
      scene.withoutHeartbeats.delete(worker);
      scene.run(2 * (RUN_MS / STEP_MS));
      if (spec?.kind !== 'service') assert.equal(scene.world.completed.get(SCENE_JOB)?.size, 1);
    });
  }
});

const SOAK_SEEDS = 300;
const SOAK_STEPS = 240;

/** Puts the item into the set, or removes it, each with a probability in percent. */
const toggle = <Item>(
  set: Set<Item>,
  item: Item,
  [addPercent, removePercent]: readonly [number, number],
  random: (below: number) => number,
): void => {
  if (random(100) < addPercent) set.add(item);
  if (random(100) < removePercent) set.delete(item);
};

/** Brings about one step's random faults of workers, of the controller's authority, and changes of owner. */
const injectRandomFaults = (scene: ShardScene, random: (below: number) => number): void => {
  for (const worker of scene.workers.values()) {
    toggle(scene.withoutHeartbeats, worker, [4, 4], random);
    toggle(scene.withoutCommands, worker, [2, 15], random);
    toggle(scene.unreachable, worker, [1, 10], random);
    if (random(100) >= (scene.withoutHeartbeats.has(worker) ? 8 : 1)) continue;
    worker.restart(scene.now);
    if (random(2) === 0) worker.counter = 0;
  }
  scene.hasAuthority = random(100) < (scene.hasAuthority ? 97 : 10);
  scene.losesAnswers = random(100) < (scene.losesAnswers ? 80 : 2);
  if (random(1000) < 7) takeOver(scene);
};

const addAndCancelJobs = (scene: ShardScene, random: (below: number) => number): void => {
  const { jobs } = scene.store;
  if (random(100) < 12 && jobs.size < 6) {
    const kind = random(4) === 0 ? 'service' : 'array';
    scene.store.add(job({ uid: `job-${scene.now}`, tasks: 1 + random(2), kind }, scene.shard.term));
  }
  const cancelled = [...jobs.keys()][random(Math.max(1, jobs.size))];
  if (random(100) < 3 && cancelled !== undefined) jobs.delete(cancelled);
};

test('workers restart, links and answers fail and owners change at random, with fixed seeds: no task runs on two machines', () => {
  let starts = 0;
  for (let seed = 1; seed <= SOAK_SEEDS; seed++) {
    const random = seededRandomInt(seed);
    const scene = new ShardScene({ tasks: 2 }, 20_000 + random(60_000));
    for (let step = 0; step < SOAK_STEPS; step++) {
      injectRandomFaults(scene, random);
      addAndCancelJobs(scene, random);
      scene.run(1);
      scene.saveCompletions();
      for (const { spec, savedCompletions } of scene.shard.jobs.values()) {
        const isDone = spec.kind !== 'service' && savedCompletions.size === spec.tasks;
        if (isDone) scene.store.jobs.delete(spec.uid);
      }
    }
    starts += scene.world.starts;
  }
  assert.ok(starts > 5000, `only ${starts} starts: too few to test anything`);
});

test('each step of a worker that restarts without heartbeats is an event for the log', () => {
  const scene = new ShardScene({ tasks: 1 }, RUN_MS);
  const worker = loseHeartbeats(scene);
  scene.run(RESTART_STEPS);
  restartAndRefuse(scene, worker);
  scene.run(2 * LEASE_STEPS);
  const events = scene.shard.machineEvents.map(({ type, agentEpoch, tasks, learnedBy }) => ({
    type,
    agentEpoch,
    tasks,
    learnedBy,
  }));
  assert.deepEqual(events.slice(0, 3), [
    { type: 'epoch-began', agentEpoch: 2, tasks: 2, learnedBy: 'command' },
    { type: 'silent-start', agentEpoch: 2, tasks: 2, learnedBy: null },
    { type: 'lease-expired', agentEpoch: 2, tasks: 2, learnedBy: null },
  ]);
});

test("a restarted worker counts its messages anew, known by a command's answer: its heartbeats are answered", () => {
  const scene = new ShardScene({ tasks: 1 }, RUN_MS);
  scene.run(20);
  const worker = loseHeartbeats(scene);
  worker.counter = 0;
  restartAndRefuse(scene, worker);
  scene.withoutHeartbeats.delete(worker);
  const { agentEpoch } = worker;
  scene.run(2 * LEASE_STEPS);
  assert.equal(worker.agentEpoch, agentEpoch, 'its lease is renewed');
});

test('a worker restarts while no heartbeat of it arrives at its controller: its new tasks do not run on two machines', async () => {
  const cluster = new Cluster({
    controllers: 1,
    runMs: 120_000,
    leaseS: 12,
    cancelS: 26,
    heartbeatIntervalS: 2.5,
  });
  const task = { Vcpus: 2, Cards: 0, MemGb: 1, GuessS: 120 };
  try {
    await cluster.open();
    const first = await cluster.submit('n0', { ...task, Pieces: 12 });
    await cluster.waitUntil('tasks run', 20, () => cluster.runningTasks(first) === 12);
    const host = cluster.workerHosts()[0]!;
    cluster.cloud.holdsReturns = true;
    host.losesHeartbeats = true;
    await cluster.runFor(4);
    host.worker.restart(Date.now());
    await cluster.cancel('n0', first);
    const second = await cluster.submit('n0', { ...task, Pieces: 12 });
    await cluster.waitUntil('tasks run', 5, () => cluster.runningTasks(second) === 12);
    assert.ok(host.worker.tasks.size > 0, 'tasks start directly in the new agent epoch');
    await cluster.runFor(16);
    assert.deepEqual(cluster.world.violations, []);
  } finally {
    cluster.close();
  }
});
