import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { Cluster } from './standins/cluster.js';

/**
 * The state service refuses one owner alone, another controller confirms cancellations, then
 * the service is out for all for longer than a cancellation may take, while the workers go on reporting
 * to the owner that knows nothing of it. Without word between controllers, or leases that end, the
 * tasks run on to their end.
 */
const OPTIONS = { runMs: 90_000, leaseS: 4, cancelS: 10 };
/** cut into three ranges, one for each controller if they are alike */
const JOB = { Pieces: 48, Vcpus: 1, Cards: 0, MemGb: 1, GuessS: 200 };
const TASKS = JOB.Pieces;

interface Row {
  readonly name: string;
  /** right after the confirmation */
  readonly then: (c: Cluster) => Promise<void> | void;
  /** refused before anybody cancels; the others hear of it by their feeds */
  readonly refused: readonly string[];
  /** the work that nobody cancelled runs on, or its leases end too */
  readonly survives: boolean;
}

const ROWS: Row[] = [
  {
    name: 'the controllers are in touch',
    refused: ['n0'],
    then: () => undefined,
    survives: true,
  },
  {
    name: 'the confirming controller ends at once, before it tells anybody',
    refused: ['n0', 'n2'],
    then: (c) => c.kill('n1'),
    survives: false,
  },
  {
    name: 'it ends and is back inside the outage',
    refused: ['n0', 'n2'],
    then: async (c) => {
      c.kill('n1');
      await sleep(300);
      await c.start('n1');
    },
    survives: false,
  },
  {
    name: 'connections between the controllers are refused',
    refused: ['n0', 'n2'],
    then: (c) => c.partitionFromPeers('n1', true),
    survives: false,
  },
];

describe('the gap', { concurrency: true }, () => {
  for (const row of ROWS) {
    test(row.name, async () => {
      const c = new Cluster(OPTIONS);
      try {
        await c.open();
        const doomed = await c.submit('n0', JOB);
        const kept = await c.submit('n1', JOB);
        await c.waitUntil(
          'all of it runs',
          30,
          () => c.runningTasks(doomed) + c.runningTasks(kept) === 2 * TASKS,
        );
        // Every shard has tasks of both jobs, so that whoever is refused has some.
        for (const n of row.refused) c.storeProxies.get(n)!.unavailable = true;
        await sleep(300);
        await c.cancel('n1', doomed);
        c.store.unavailable = true;
        await row.then(c);
        await c.runFor(OPTIONS.cancelS + 2);
        assert.equal(c.runningTasks(doomed), 0, 'cancelled tasks are gone in time');
        assert.deepEqual(c.world.violations, []);
        assert.equal(
          c.runningTasks(kept) === TASKS,
          row.survives,
          `${c.runningTasks(kept)} others run`,
        );
        const status = await c.statusOf('n0', doomed);
        assert.ok(['cancelled', '503'].includes(status), `no older answer: ${status}`);
        c.partitionFromPeers('n1', false);
        for (const n of row.refused) c.storeProxies.get(n)!.unavailable = false;
        c.store.recover();
        await c.waitUntil(
          'n0 knows',
          20,
          async () => (await c.statusOf('n0', doomed)) === 'cancelled',
        );
        await c.waitUntil('the rest runs again', 40, () => c.runningTasks(kept) === TASKS);
        assert.equal(c.runningTasks(doomed), 0);
        assert.deepEqual(c.world.violations, []);
      } finally {
        c.close();
      }
    });
  }

  test('a plain outage, longer than any lease and any cancellation, ends no running work', async () => {
    const c = new Cluster(OPTIONS);
    try {
      await c.open();
      const uid = await c.submit('n0', JOB);
      await c.waitUntil('all of it runs', 30, () => c.runningTasks(uid) === TASKS);
      const { starts: started } = c.world;
      c.store.unavailable = true;
      await c.runFor(OPTIONS.cancelS + 2);
      assert.equal(c.runningTasks(uid), TASKS);
      c.store.recover();
      await c.runFor(3);
      assert.equal(c.world.starts, started, 'nothing had to start again');
      assert.deepEqual(c.world.violations, []);
    } finally {
      c.close();
    }
  });
});
