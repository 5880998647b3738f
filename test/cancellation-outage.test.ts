/**
 * Cancelled tasks end in time although their owner can't learn of the cancellation from the store.
 *
 * The store refuses one owner only, another controller confirms a cancellation, and then the store is unavailable
 * to all controllers for longer than a cancellation may take. Meanwhile the workers keep sending heartbeats to the
 * owner that does not know of it. Without gossip between controllers and withheld lease renewals, the tasks would run to their end.
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { Cluster } from './standins/cluster.js';

const OPTIONS = { runMs: 90_000, leaseS: 4, cancelS: 10 };
/** Split into three ranges, one for each controller if all are equally loaded. */
const JOB = { Pieces: 48, Vcpus: 1, Cards: 0, MemGb: 1, GuessS: 200 };
const TASKS = JOB.Pieces;

interface OutageCase {
  readonly name: string;
  /** what happens right after the cancellation is confirmed */
  readonly afterConfirmation: (cluster: Cluster) => Promise<void> | void;
  /** controllers that the store refuses before the cancellation; all others learn of it by their watches */
  readonly refused: readonly string[];
  /** whether tasks of the other job keep running; otherwise their leases expire too */
  readonly survives: boolean;
}

const CASES: OutageCase[] = [
  {
    name: 'the controllers reach each other',
    refused: ['n0'],
    afterConfirmation: () => undefined,
    survives: true,
  },
  {
    name: 'the confirming controller ends before it sends the cancellation to a peer',
    refused: ['n0', 'n2'],
    afterConfirmation: (cluster) => cluster.kill('n1'),
    survives: false,
  },
  {
    name: 'the confirming controller ends and restarts during the outage',
    refused: ['n0', 'n2'],
    afterConfirmation: async (cluster) => {
      cluster.kill('n1');
      await sleep(300);
      await cluster.start('n1');
    },
    survives: false,
  },
  {
    name: 'connections between the controllers are refused',
    refused: ['n0', 'n2'],
    afterConfirmation: (cluster) => cluster.partitionFromPeers('n1', true),
    survives: false,
  },
];

describe('cancelled tasks end in time during a store outage', { concurrency: true }, () => {
  for (const outage of CASES) {
    test(outage.name, async () => {
      const cluster = new Cluster(OPTIONS);
      try {
        await cluster.open();
        const cancelledJob = await cluster.submit('n0', JOB);
        const otherJob = await cluster.submit('n1', JOB);
        await cluster.waitUntil(
          'all tasks of both jobs run',
          30,
          () => cluster.runningTasks(cancelledJob) + cluster.runningTasks(otherJob) === 2 * TASKS,
        );
        // Every shard has tasks of both jobs, so each refused owner has some.
        for (const node of outage.refused) cluster.storeProxies.get(node)!.unavailable = true;
        await sleep(300);
        await cluster.cancel('n1', cancelledJob);
        cluster.store.unavailable = true;
        await outage.afterConfirmation(cluster);
        await cluster.runFor(OPTIONS.cancelS + 2);
        assert.equal(cluster.runningTasks(cancelledJob), 0, 'cancelled tasks have ended in time');
        assert.deepEqual(cluster.world.violations, []);
        assert.equal(
          cluster.runningTasks(otherJob) === TASKS,
          outage.survives,
          `${cluster.runningTasks(otherJob)} tasks of the other job run`,
        );
        const status = await cluster.statusOf('n0', cancelledJob);
        assert.ok(
          ['cancelled', '503'].includes(status),
          `an outdated status was returned: ${status}`,
        );
        cluster.partitionFromPeers('n1', false);
        for (const node of outage.refused) cluster.storeProxies.get(node)!.unavailable = false;
        cluster.store.recover();
        await cluster.waitUntil(
          'n0 returns the status cancelled',
          20,
          async () => (await cluster.statusOf('n0', cancelledJob)) === 'cancelled',
        );
        await cluster.waitUntil(
          'all tasks of the other job run again',
          40,
          () => cluster.runningTasks(otherJob) === TASKS,
        );
        assert.equal(cluster.runningTasks(cancelledJob), 0);
        assert.deepEqual(cluster.world.violations, []);
      } finally {
        cluster.close();
      }
    });
  }

  test('an outage without cancellations, longer than a lease and a cancellation, ends no running task', async () => {
    const cluster = new Cluster(OPTIONS);
    try {
      await cluster.open();
      const uid = await cluster.submit('n0', JOB);
      await cluster.waitUntil('all tasks run', 30, () => cluster.runningTasks(uid) === TASKS);
      const { starts: started } = cluster.world;
      cluster.store.unavailable = true;
      await cluster.runFor(OPTIONS.cancelS + 2);
      assert.equal(cluster.runningTasks(uid), TASKS);
      cluster.store.recover();
      await cluster.runFor(3);
      assert.equal(cluster.world.starts, started, 'no task had to start again');
      assert.deepEqual(cluster.world.violations, []);
    } finally {
      cluster.close();
    }
  });
});
