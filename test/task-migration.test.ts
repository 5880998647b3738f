/** Migration of unschedulable tasks to other shards, including conflicts and lost answers. */
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { test } from 'node:test';
import {
  BALANCING_DELAY_MS,
  MIGRATION_DELAY_MS,
  MIGRATION_INTERVAL_MS,
} from '../src/shards/constants.js';
import { STORE_RETRY_MS } from '../src/store/constants.js';
import {
  watchChange,
  ControllerScene,
  JOB_KEY,
  noAnswer,
  flushStoreCalls,
} from './controller-scene.js';

/** The job's ranges after its task has migrated. */
const MIGRATED = [{ from: 0, to: 1, shard: 0, term: 4 }];

/** Returns a scene whose task has fitted nowhere in shard 1 for long enough to migrate, and fits into shard 0. */
const sceneWithUnschedulableTask = async (
  outcome: ControllerScene['outcome'],
): Promise<ControllerScene> => {
  const scene = new ControllerScene();
  scene.shardWithFreeCapacity = { shard: 0, tasks: 2 };
  scene.tick();
  scene.outcome = outcome;
  await scene.tickAt(MIGRATION_DELAY_MS + 1);
  return scene;
};

test('an unschedulable task migrates to a shard where it fits', async () => {
  const scene = await sceneWithUnschedulableTask(() => ({ ok: true, epoch: 50 }));
  assert.deepEqual(scene.ranges(), MIGRATED);
  scene.showChanges(50);
  scene.tick();
  assert.equal(scene.owned(1)?.shard.jobs.size, 0, 'the job has left shard 1');
  assert.equal(scene.owned(0)?.shard.waitingTasks(0, 0), 1, 'its task waits in shard 0');
});

test('a task whose migration fails with a conflict stays in its shard', async () => {
  const scene = await sceneWithUnschedulableTask(() => ({ ok: false, failed: [JOB_KEY] }));
  await flushStoreCalls();
  scene.tick();
  assert.equal(scene.owned(1)?.shard.waitingTasks(0, 0), 1);
});

test('a migration whose answer was lost is settled by the current record of the job', async () => {
  // The first attempt is carried out, but its answer is lost. The second attempt fails with a conflict.
  let attempts = 0;
  let committed: unknown = null;
  const scene = await sceneWithUnschedulableTask(([write]) => {
    attempts += 1;
    if (attempts > 1) return { ok: false, failed: [JOB_KEY] };
    if (write !== undefined && 'put' in write) committed = write.value;
    return noAnswer();
  });
  scene.stored = { key: JOB_KEY, value: committed, revision: 40 };
  await sleep(STORE_RETRY_MS + 200);
  assert.equal(attempts, 2);
  assert.deepEqual(scene.ranges(), MIGRATED, 'the cache shows the current record');
  scene.tick();
  assert.equal(
    scene.owned(1)?.shard.waitingTasks(0, 0) ?? 0,
    0,
    'the task is not brought back as not started',
  );
});

test('tasks migrate to a less allocated shard only after a long wait', async () => {
  const scene = new ControllerScene();
  scene.lessAllocatedShard = 0;
  // The preferred node of shard 1 is not live, so that the shard does not fail back during the test.
  scene.showChanges(21, [watchChange('nodes/n1/b', undefined, 21)]);
  scene.tick();
  const migrations = () =>
    scene.written.flat().filter((write) => 'put' in write && write.put === JOB_KEY).length;
  await scene.tickAt(BALANCING_DELAY_MS - 1);
  assert.equal(migrations(), 0, 'capacity may still become free in shard 1');
  await scene.tickAt(BALANCING_DELAY_MS + MIGRATION_INTERVAL_MS);
  assert.equal(migrations(), 1);
  assert.deepEqual(scene.ranges(), MIGRATED);
});

test('a closed controller does not retry a migration', async () => {
  // Endless retries after the close once kept a test process alive.
  const scene = await sceneWithUnschedulableTask(noAnswer);
  scene.controller.close();
  const before = scene.written.length;
  await sleep(2 * STORE_RETRY_MS + 200);
  assert.ok(
    scene.written.length <= before + 1,
    'at most the attempt in flight at the close is sent',
  );
});
