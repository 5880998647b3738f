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

/** Runs a scenario on a cluster whose workers get a copy of each direct message with a start. */
const withCopies = async (scenario: (cluster: Cluster) => Promise<void>): Promise<void> => {
  const cluster = new Cluster({
    controllers: 1,
    runMs: RUN_MS,
    leaseS: LEASE_S,
    cancelS: CANCEL_S,
  });
  try {
    await cluster.open();
    // Machines boot for a first job, so that the jobs of the scenario get direct starts.
    const first = await cluster.submit('n0', JOB);
    await cluster.waitUntil('tasks run', 20, () => cluster.runningTasks(first) >= 8);
    await cluster.cancel('n0', first);
    await cluster.waitUntil('tasks are gone', 10, () => cluster.runningTasks(first) === 0);
    for (const host of cluster.workerHosts()) host.commandCopyDelayMs = COPY_DELAY_MS;
    await scenario(cluster);
    assert.deepEqual(cluster.world.violations, []);
  } finally {
    cluster.close();
  }
};

const sumOverHosts = (cluster: Cluster, count: 'commandCopies' | 'commandCopiesArrived'): number =>
  cluster.workerHosts().reduce((sum, host) => sum + host[count], 0);

/** Waits until all copies of the messages that were sent so far have arrived. */
const waitForCopies = async (cluster: Cluster): Promise<void> => {
  await cluster.runFor(COPY_DELAY_MS / 1000 + 0.5);
  assert.ok(sumOverHosts(cluster, 'commandCopiesArrived') > 0, 'copies of direct starts arrived');
};

/** Submits a job whose attempts fail until one was started by direct command. Returns its uid. */
const submitWithFailedAttempt = async (cluster: Cluster): Promise<string> => {
  for (const { worker } of cluster.workerHosts()) worker.failsTasks = true;
  const uid = await cluster.submit('n0', { ...JOB, Pieces: 4 });
  await cluster.waitUntil('a direct start', 20, () => sumOverHosts(cluster, 'commandCopies') > 0);
  for (const { worker } of cluster.workerHosts()) worker.failsTasks = false;
  return uid;
};

describe('a copy of an answered direct start arrives late', { concurrency: 4 }, () => {
  test('after its attempt failed and was replaced: the task does not run on two machines', () =>
    withCopies(async (cluster) => {
      const uid = await submitWithFailedAttempt(cluster);
      await waitForCopies(cluster);
      await cluster.waitUntil(
        'done',
        60,
        async () => (await cluster.statusOf('n0', uid)) === 'done',
      );
    }));

  test('as the controller is killed and back at once: the task does not run on two machines', () =>
    withCopies(async (cluster) => {
      const uid = await submitWithFailedAttempt(cluster);
      await cluster.runFor((COPY_DELAY_MS - 500) / 1000);
      cluster.kill('n0');
      await cluster.start('n0');
      await waitForCopies(cluster);
      await cluster.waitUntil(
        `${uid} done`,
        60,
        async () => (await cluster.statusOf('n0', uid)) === 'done',
      );
    }));

  test('after its job was cancelled: none of its tasks starts again', () =>
    withCopies(async (cluster) => {
      const uid = await cluster.submit('n0', JOB);
      await cluster.waitUntil('tasks run', 10, () => cluster.runningTasks(uid) > 3);
      await cluster.cancel('n0', uid);
      await cluster.waitUntil('tasks are gone', 10, () => cluster.runningTasks(uid) === 0);
      const startsBefore = cluster.world.startsAfterCancellation;
      await waitForCopies(cluster);
      assert.equal(cluster.world.startsAfterCancellation, startsBefore);
    }));
});
