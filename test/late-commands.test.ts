/**
 * Copies of direct commands that were executed and answered reach their worker once more, seconds later, under the
 * fencing token and agent epoch of the original. A whole controller, with stand-ins for store, cloud and workers.
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { Cluster } from './standins/cluster.js';

const LEASE_S = 12;
const CANCEL_S = 26;
const RUN_MS = 9000;
const COPY_DELAY_MS = 5000;
const JOB = { Vcpus: 2, Cards: 0, MemGb: 1, GuessS: 60, Pieces: 12 };
/** Most jobs that are submitted until one of them is started by direct command. */
const MAX_SUBMISSIONS = 10;

/** Runs a scenario on a cluster with idle machines, whose workers get a copy of each direct message with a start. */
const withCopies = async (
  copyDelayMs: number,
  scenario: (cluster: Cluster) => Promise<void>,
): Promise<void> => {
  const cluster = new Cluster({
    controllers: 1,
    runMs: RUN_MS,
    leaseS: LEASE_S,
    cancelS: CANCEL_S,
  });
  try {
    await cluster.open();
    const first = await cluster.submit('n0', JOB);
    await cluster.waitUntil('tasks run', 20, () => cluster.runningTasks(first) >= 8);
    await cluster.cancel('n0', first);
    await cluster.waitUntil('tasks are gone', 10, () => cluster.runningTasks(first) === 0);
    for (const host of cluster.workerHosts()) host.commandCopyDelayMs = copyDelayMs;
    await scenario(cluster);
    assert.deepEqual(cluster.world.violations, []);
  } finally {
    cluster.close();
  }
};

const sumOverHosts = (cluster: Cluster, count: 'commandCopies' | 'commandCopiesArrived'): number =>
  cluster.workerHosts().reduce((sum, host) => sum + host[count], 0);

/** Waits until the copies of all messages that were sent before have arrived. */
const waitForCopies = async (cluster: Cluster): Promise<void> => {
  const sent = sumOverHosts(cluster, 'commandCopies');
  assert.ok(sent > 0, 'direct starts were sent');
  await cluster.waitUntil(
    'copies arrive',
    30,
    () => sumOverHosts(cluster, 'commandCopiesArrived') >= sent,
  );
};

/** Submits jobs until one of them is started by direct command. Returns its uid. */
const submitUntilStartedDirectly = async (cluster: Cluster, tasks = 4): Promise<string> => {
  for (let submissions = 0; submissions < MAX_SUBMISSIONS; submissions++) {
    const uid = await cluster.submit('n0', { ...JOB, Pieces: tasks });
    for (let tenths = 0; tenths < 10; tenths++) {
      await cluster.runFor(0.1);
      if (sumOverHosts(cluster, 'commandCopies') > 0) return uid;
    }
  }
  assert.fail('no job was started by direct command');
};

/** Submits jobs whose attempts fail until one of them was started by direct command. Returns its uid. */
const submitWithFailedAttempt = async (cluster: Cluster): Promise<string> => {
  for (const { worker } of cluster.workerHosts()) worker.failsTasks = true;
  const uid = await submitUntilStartedDirectly(cluster);
  for (const { worker } of cluster.workerHosts()) worker.failsTasks = false;
  return uid;
};

const listsEndedAttempts = (cluster: Cluster): boolean =>
  cluster
    .workerHosts()
    .some(({ worker }) => [...worker.tasks.values()].some(({ state }) => state === 'exited'));

const waitUntilDone = (cluster: Cluster, uid: string): Promise<void> =>
  cluster.waitUntil(`${uid} done`, 60, async () => (await cluster.statusOf('n0', uid)) === 'done');

/** Cancels the job, and checks that late copies start none of its tasks once they are gone. */
const cancelAndWaitForCopies = async (cluster: Cluster, uid: string): Promise<void> => {
  await cluster.cancel('n0', uid);
  await cluster.waitUntil('tasks are gone', 10, () => cluster.runningTasks(uid) === 0);
  const startsBefore = cluster.world.startsAfterCancellation;
  await waitForCopies(cluster);
  assert.equal(cluster.world.startsAfterCancellation, startsBefore);
};

describe('a copy of an answered direct start arrives late', { concurrency: 4 }, () => {
  test('after its attempt failed and was replaced: the task does not run on two machines', () =>
    withCopies(COPY_DELAY_MS, async (cluster) => {
      const uid = await submitWithFailedAttempt(cluster);
      await waitForCopies(cluster);
      await waitUntilDone(cluster, uid);
    }));

  test('while the controller that replaced its failed attempt is down: the task does not run on two machines', () =>
    withCopies(COPY_DELAY_MS, async (cluster) => {
      const uid = await submitWithFailedAttempt(cluster);
      await cluster.waitUntil(
        'the failed attempts are replaced and forgotten',
        60,
        () => cluster.runningTasks(uid) === 4 && !listsEndedAttempts(cluster),
      );
      cluster.kill('n0');
      for (const host of cluster.workerHosts()) host.deliverCommandCopies();
      await cluster.start('n0');
      await waitUntilDone(cluster, uid);
    }));

  test('after its job was cancelled: none of its tasks starts again', () =>
    withCopies(COPY_DELAY_MS, async (cluster) => {
      await cancelAndWaitForCopies(cluster, await submitUntilStartedDirectly(cluster));
    }));

  test('after its task completed and its job was cancelled: the task does not start again', () =>
    withCopies(RUN_MS + COPY_DELAY_MS, async (cluster) => {
      const uid = await submitUntilStartedDirectly(cluster, 40);
      await cluster.waitUntil('tasks complete', 30, () => cluster.world.completed.has(uid));
      await cluster.runFor(1);
      await cancelAndWaitForCopies(cluster, uid);
    }));
});
