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

/** The job's range once its task has migrated. */
const MIGRATED = [{ from: 0, to: 1, shard: 0, term: 4 }];

/** The task fits nowhere in shard 1 for long enough, and would fit into shard 0. */
const unschedulable = async (outcome: ControllerScene['outcome']): Promise<ControllerScene> => {
  const scene = new ControllerScene();
  scene.shardWithFreeCapacity = { shard: 0, tasks: 2 };
  scene.tick();
  scene.outcome = outcome;
  await scene.tickAt(MIGRATION_DELAY_MS + 1);
  return scene;
};

test('an unschedulable task migrates to a shard where it fits', async () => {
  const scene = await unschedulable(() => ({ ok: true, epoch: 50 }));
  assert.deepEqual(scene.ranges(), MIGRATED);
  scene.showChanges(50);
  scene.tick();
  assert.equal(scene.owned(1)?.shard.jobs.size, 0, 'gone from here');
  assert.equal(scene.owned(0)?.shard.waitingTasks(0, 0), 1, 'and waits there');
});

test('a task whose migration meets a conflict stays in its shard', async () => {
  const scene = await unschedulable(() => ({ ok: false, failed: [JOB_KEY] }));
  await flushStoreCalls();
  scene.tick();
  assert.equal(scene.owned(1)?.shard.waitingTasks(0, 0), 1);
});

test('a migration whose answer was lost is settled by the present record', async () => {
  // The first attempt was carried out, but its answer got lost; the second one meets a conflict.
  let attempts = 0;
  let committed: unknown = null;
  const scene = await unschedulable(([write]) => {
    attempts += 1;
    if (attempts > 1) return { ok: false, failed: [JOB_KEY] };
    if (write !== undefined && 'put' in write) committed = write.value;
    return noAnswer();
  });
  scene.stored = { key: JOB_KEY, value: committed, revision: 40 };
  await sleep(STORE_RETRY_MS + 200);
  assert.equal(attempts, 2);
  assert.deepEqual(scene.ranges(), MIGRATED, 'only the present record tells');
  scene.tick();
  assert.equal(scene.owned(1)?.shard.waitingTasks(0, 0) ?? 0, 0, 'not brought back as not started');
});

test('tasks migrate to a shard that is allocated less only after a long wait, and once in a while', async () => {
  const scene = new ControllerScene();
  scene.lessAllocatedShard = 0;
  // The preferred node of shard 1 is away, or the shard would fail back meanwhile.
  scene.showChanges(21, [watchChange('nodes/n1/b', undefined, 21)]);
  scene.tick();
  const migrations = () =>
    scene.written.flat().filter((write) => 'put' in write && write.put === JOB_KEY).length;
  await scene.tickAt(BALANCING_DELAY_MS - 1);
  assert.equal(migrations(), 0, 'capacity may still become free here');
  await scene.tickAt(BALANCING_DELAY_MS + MIGRATION_INTERVAL_MS);
  assert.equal(migrations(), 1);
  assert.deepEqual(scene.ranges(), MIGRATED);
});

test('a closed controller does not go on trying to migrate tasks', async () => {
  // The retries kept the process of a test alive for ever.
  const scene = await unschedulable(noAnswer);
  scene.controller.close();
  const before = scene.written.length;
  await sleep(2 * STORE_RETRY_MS + 200);
  assert.ok(scene.written.length <= before + 1, 'at most the attempt that was under way');
});
