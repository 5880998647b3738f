/**
 * One shard whose network delivers every direct command that it ever sent once more after each step, to the worker that
 * got the original. No attempt that its worker was told to forget starts again, and no task runs on two machines.
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import type { JobSpec } from '../src/core/model.js';
import { StartFencing } from '../src/core/shard/start-fencing.js';
import { Shard, type MachineState } from '../src/core/shard/shard.js';
import { toCandidate } from '../src/rebalancing/move-candidates.js';
import { job, LEASE_MS, machine, settings, shardWith, tokensOf } from './helpers.js';
import { RUN_MS, SCENE_JOB, ShardScene, STEP_MS } from './shard-scene.js';
import { CANCEL_MS, FakeWorker } from './standins/worker.js';

/** The job whose direct starts are held up. */
const HELD_JOB = 'job-000009';

interface PathCase {
  /** how the attempts end, and what happens then */
  readonly name: string;
  readonly spec?: Partial<JobSpec>;
  readonly runMs?: number;
  readonly injectFaults: (scene: ShardScene) => void;
}

const setFailing = (scene: ShardScene, fails: boolean): void => {
  for (const worker of scene.workers.values()) worker.failsTasks = fails;
};

/** Lets all running tasks fail and their replacements run. */
const failAndReplace = (scene: ShardScene): void => {
  for (const worker of scene.workers.values()) worker.failRunningTasks();
  scene.run(4);
};

/** Lets all running tasks fail, and one of them migrate to a shard with a machine of its own. Returns that shard. */
const failAndMigrate = (scene: ShardScene): Shard => {
  for (const worker of scene.workers.values()) worker.failRunningTasks();
  scene.step([scene.shard]);
  const other = new Shard(1, tokensOf(scene.shard.tokens.last + 1), settings());
  const state = scene.shard.jobs.get(SCENE_JOB)!;
  const ranges = [{ from: 0, to: 1, shard: 0, term: 1 }];
  scene.shard.beginMigration(state, ranges);
  scene.shard.endMigration(state, ranges, true, scene.now);
  scene.store.add(job({}, other.term, 1), machine('d', { shard: 1, term: other.term }));
  scene.workers.set('d', new FakeWorker('d', scene.world, RUN_MS, LEASE_MS, scene.now));
  return other;
};

const PATHS: PathCase[] = [
  { name: 'the attempts failed', injectFaults: failAndReplace },
  {
    name: 'work of a higher rank preempted the tasks',
    spec: { tasks: 6, priority: 'low' },
    runMs: 30_000,
    injectFaults: (scene) => {
      scene.run(1);
      assert.equal(scene.runningTasks(SCENE_JOB), 6, 'the machines are full');
      scene.store.add(job({ uid: 'job-000002', tasks: 6, priority: 'production' }));
      // Each step has one pass, which preempts one task.
      scene.run(8);
      assert.equal(scene.runningTasks(SCENE_JOB), 0, 'all tasks were preempted');
      assert.equal(scene.runningTasks('job-000002'), 6);
    },
  },
  {
    name: 'the attempts were stopped',
    injectFaults: (scene) => {
      for (const placement of scene.shard.jobs.get(SCENE_JOB)!.placements.values()) {
        scene.shard.requestStop(placement, 0, scene.now);
      }
      scene.run(4);
    },
  },
  {
    name: 'the tasks completed, and their job was cancelled later',
    spec: { tasks: 12 },
    injectFaults: (scene) => {
      scene.run(RUN_MS / STEP_MS + 2);
      scene.saveCompletions();
      scene.run(3);
      scene.cancel();
    },
  },
  { name: 'the job was cancelled while its tasks ran', injectFaults: (scene) => scene.cancel() },
  {
    name: 'the workers refused the starts for lack of capacity',
    injectFaults: (scene) => {
      for (const worker of scene.workers.values()) worker.endRunningTasks('no_room');
      scene.run(6);
    },
  },
  {
    name: 'a gang lost a task and began again under another attempt number',
    spec: { kind: 'gang', tasks: 4 },
    injectFaults: failAndReplace,
  },
  {
    name: 'no answer arrived',
    spec: { tasks: 20 },
    injectFaults: (scene) => {
      scene.losesAnswers = true;
      scene.run(12);
      setFailing(scene, true);
      scene.run(5);
      setFailing(scene, false);
      scene.losesAnswers = false;
    },
  },
  {
    name: 'a new owner took over after the attempts had failed',
    injectFaults: (scene) => {
      for (const worker of scene.workers.values()) worker.failRunningTasks();
      scene.run(1);
      scene.shard = shardWith(scene.store, scene.shard.tokens.last + 1, {}, scene.now);
      scene.run(4);
    },
  },
  {
    name: 'the lease of an unreachable machine expired',
    runMs: 2 * LEASE_MS,
    injectFaults: (scene) => {
      for (const worker of scene.workers.values()) {
        if (worker.tasks.size > 0) scene.unreachable.add(worker);
      }
      scene.run(2 * (LEASE_MS / STEP_MS));
      scene.unreachable.clear();
    },
  },
];

describe('copies of all direct commands arrive again and again', () => {
  for (const { name, spec, runMs, injectFaults } of PATHS) {
    test(`${name}: no attempt starts again`, () => {
      const scene = new ShardScene({ tasks: 4, ...spec }, runMs);
      injectFaults(scene);
      for (let round = 0; round < 15; round++) {
        scene.run(8);
        scene.saveCompletions();
      }
      assert.equal(scene.attemptsListed, 0, 'all attempts are forgotten in the end');
      if (!scene.world.cancelledAt.has(SCENE_JOB)) {
        assert.equal(scene.world.completed.get(SCENE_JOB)?.size, spec?.tasks ?? 4);
      }
    });
  }

  test('a failed task migrated to another shard: it does not run on machines of both', () => {
    const scene = new ShardScene({ tasks: 1 });
    scene.run(20, [failAndMigrate(scene)]);
    assert.equal(scene.world.completed.get(SCENE_JOB)?.size, 1);
  });

  test('a failed task migrated to another shard and was cancelled there: it does not start again', () => {
    const scene = new ShardScene({ tasks: 1 });
    const other = failAndMigrate(scene);
    scene.run(3, [other]);
    assert.equal(scene.runningTasks(SCENE_JOB), 1);
    scene.cancel();
    scene.run(60, [other]);
    assert.equal(scene.runningTasks(SCENE_JOB), 0);
  });

  test('machines moved to another shard: copies of the source start nothing there', () => {
    const scene = new ShardScene({ tasks: 4 });
    for (const target of scene.shard.machines.values()) target.cordoned = true;
    for (let second = 0; second < 30; second++) {
      scene.run(1);
      scene.saveCompletions();
    }
    const other = new Shard(1, tokensOf(scene.shard.tokens.last + 1), settings());
    for (const target of [...scene.shard.machines.values()]) {
      assert.ok(toCandidate(scene.shard, target, scene.now).readyToMove, target.record.name);
      scene.store.add(machine(target.record.name, { shard: 1, term: other.term }));
    }
    const moved = job({ uid: 'job-000002', tasks: 6 }, other.term, 1);
    scene.store.add(moved);
    scene.run(20, [other]);
    assert.equal(scene.world.completed.get('job-000002')?.size, 6);
  });

  test('a worker lists a running attempt no longer: its task starts elsewhere only once copies are refused', () => {
    const scene = new ShardScene({ tasks: 1 });
    const [message] = scene.sent.splice(0);
    const { worker, token, agentEpoch, commands } = message!;
    worker.terminate();
    let startedElsewhere = false;
    for (let second = 0; second < 20; second++) {
      scene.step([scene.shard]);
      for (const { name, tasks } of scene.workers.values()) {
        if (name !== worker.name && tasks.size > 0) startedElsewhere = true;
      }
      assert.ok(!startedElsewhere || worker.fencingToken > token, `at ${scene.now} ms`);
    }
    assert.equal(worker.executeDirect(token, agentEpoch, commands), false);
    assert.equal(scene.world.completed.get(SCENE_JOB)?.size, 1);
  });

  test('a machine moves to another shard only once its worker refuses all copies', () => {
    const scene = new ShardScene({ tasks: 4 });
    const isReady = (target: MachineState) =>
      toCandidate(scene.shard, target, scene.now).readyToMove;
    for (const target of scene.shard.machines.values()) target.cordoned = true;
    for (let second = 0; second < 30; second++) {
      scene.run(1);
      scene.saveCompletions();
      for (const target of scene.shard.machines.values()) {
        const refused = scene.sent.every(
          ({ worker, token }) => worker.name !== target.record.name || token < worker.fencingToken,
        );
        assert.ok(!isReady(target) || refused, `${target.record.name} at ${scene.now} ms`);
      }
    }
    assert.ok([...scene.shard.machines.values()].every(isReady), 'all machines may move');
  });
});

/** What happens between the direct start of a job's tasks, which is held up, and its arrival. */
const HELD_STARTS: { readonly name: string; readonly injectFaults: (scene: ShardScene) => void }[] =
  [
    { name: 'nothing else happens', injectFaults: () => undefined },
    {
      name: 'the machines send heartbeats, and get neither answers nor commands',
      injectFaults: (scene) => loseFor(scene, scene.withoutCommands),
    },
    {
      name: 'the heartbeats of the machines are lost',
      injectFaults: (scene) => loseFor(scene, scene.withoutHeartbeats),
    },
    {
      name: 'the store does not answer any more',
      injectFaults: (scene) => {
        scene.hasAuthority = false;
      },
    },
    {
      name: 'the workers restart',
      injectFaults: (scene) => {
        for (const worker of scene.workers.values()) worker.restart(scene.now);
      },
    },
    {
      name: 'a new owner takes over',
      injectFaults: (scene) => {
        scene.shard = shardWith(scene.store, scene.shard.tokens.last + 1, {}, scene.now);
      },
    },
    {
      name: 'the machines move to another shard',
      injectFaults: (scene) => {
        for (const target of scene.shard.machines.values()) target.cordoned = true;
        scene.run(20);
        assert.ok([...scene.shard.machines.values()].every((m) => isReadyToMove(scene, m)));
        const other = new Shard(1, tokensOf(scene.shard.tokens.last + 1), settings());
        for (const name of scene.workers.keys()) {
          scene.store.add(machine(name, { shard: 1, term: other.term }));
        }
        scene.shard = other;
      },
    },
  ];

/** Loses all messages of one direction of all machines for less than a lease. */
const loseFor = (scene: ShardScene, lost: Set<FakeWorker>): void => {
  for (const worker of scene.workers.values()) lost.add(worker);
  scene.run(LEASE_MS / STEP_MS - 2);
  lost.clear();
};

const isReadyToMove = (scene: ShardScene, target: MachineState): boolean =>
  toCandidate(scene.shard, target, scene.now).readyToMove;

describe('a direct start is held up until the time for cancelling its job is over', () => {
  for (const { name, injectFaults } of HELD_STARTS) {
    test(`${name}: it does not start the task`, () => {
      const scene = new ShardScene({ tasks: 1 }, 10 * CANCEL_MS);
      scene.cancel();
      scene.run(3);
      scene.holdsCommands = true;
      scene.store.add(job({ uid: HELD_JOB, tasks: 4 }));
      scene.shard.sync(scene.store, scene.now);
      scene.shard.placeAll(scene.now);
      scene.sendDirectCommands(scene.shard);
      const held = scene.sent.filter(({ commands }) =>
        commands.some(({ uid }) => uid === HELD_JOB),
      );
      assert.ok(held.length > 0, 'starts are held up');
      scene.store.jobs.delete(HELD_JOB);
      scene.world.cancelledAt.set(HELD_JOB, scene.now);
      injectFaults(scene);
      scene.run(CANCEL_MS / STEP_MS + 3);
      scene.holdsCommands = false;
      const { startsAfterCancellation } = scene.world;
      scene.run(LEASE_MS / STEP_MS);
      assert.equal(scene.world.startsAfterCancellation, startsAfterCancellation);
    });
  }
});

describe('fencing of direct starts', () => {
  const fencing = () => new StartFencing({ first: 10, last: 12 });

  test('a start is executable until a higher token than its own is confirmed', () => {
    const tracked = fencing();
    tracked.settle(tracked.recordStart('j/0@1', 0), true);
    tracked.confirmToken(10);
    assert.equal(tracked.isExecutable('j/0@1'), true);
    tracked.raiseToken(100);
    assert.equal(tracked.token, 11);
    assert.equal(tracked.isExecutable('j/0@1'), true, 'the worker has not confirmed it yet');
    tracked.confirmToken(11);
    assert.equal(tracked.isExecutable('j/0@1'), false);
  });

  test('the token is not raised while a start is in flight, which the worker would refuse', () => {
    const tracked = fencing();
    const start = tracked.recordStart('j/0@1', 0);
    tracked.raiseToken(100);
    assert.equal(tracked.token, 10);
    tracked.settle(start, true);
    tracked.raiseToken(100);
    assert.equal(tracked.token, 11);
    tracked.raiseToken(200);
    assert.equal(tracked.token, 11, 'no start has this token');
  });

  test('a start without an answer is void once a higher token is confirmed', () => {
    const tracked = fencing();
    const start = tracked.recordStart('j/0@1', 0);
    tracked.raiseToken(60_000);
    tracked.confirmToken(11);
    assert.equal(start.state, 'void');
    assert.equal(tracked.hasUnsettledStarts, false);
  });

  test('no start is sent directly under the last token, since it could not be fenced off', () => {
    const tracked = fencing();
    for (const now of [0, 1]) {
      assert.equal(tracked.mayStartDirectly, true);
      tracked.settle(tracked.recordStart(`j/0@${now}`, now), true);
      tracked.raiseToken(now);
    }
    assert.equal(tracked.token, 12);
    assert.equal(tracked.mayStartDirectly, false);
  });
});
