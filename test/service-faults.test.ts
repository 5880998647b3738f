import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { Cluster, type ClusterOptions } from './standins/cluster.js';
import type { WorkerHost } from './standins/cloud.js';

/**
 * Standing services on three whole controllers while machines, zones and controllers fail. In every row
 * the rules hold, the service is never `done`, all replicas run again on machines that can be reached
 * within the row's bound, and after the cancellation all of them are gone in time.
 */
const LEASE_S = 8;
const CANCEL_S = 18;
const FOREVER_MS = 1e9;
const LIMITED = { name: 'limited', cpus: 0, gpus: 0, cpusMax: 8, gpusMax: 0 };
const REPLICA = {
  Shape: 'service',
  Rank: 'prod',
  Vcpus: 1,
  Cards: 0,
  MemGb: 1,
  GuessS: 0,
  Reclaimable: false,
};

interface Row {
  readonly name: string;
  readonly options?: Partial<ClusterOptions>;
  readonly service: Record<string, unknown> & { readonly Pieces: number };
  /** what fails; the bound counts from its end */
  readonly fault: (c: Cluster, uid: string) => Promise<void> | void;
  /** s until all replicas run again on machines that can be reached */
  readonly within: number;
}

const reachable = (h: WorkerHost) => !h.worker.hung && !h.losesHeartbeats && !h.losesCommands;

const onHost = (h: WorkerHost, uid: string): number =>
  [...h.worker.tasks.values()].filter((t) => t.uid === uid && t.state === 'running').length;

/** Replicas on machines that can be reached. */
const served = (c: Cluster, uid: string): number =>
  c
    .workerHosts()
    .filter(reachable)
    .reduce((sum, h) => sum + onHost(h, uid), 0);

const carrying = (c: Cluster, uid: string): WorkerHost[] =>
  c.workerHosts().filter((h) => onHost(h, uid) > 0);

/** Breaks one machine that carries replicas, and waits until they are not served any more. */
const breakOne = (breaks: (h: WorkerHost) => void) => (c: Cluster, uid: string) => {
  const before = served(c, uid);
  breaks(carrying(c, uid)[0]!);
  assert.ok(served(c, uid) < before);
};

const MACHINE_FAULTS: [string, (h: WorkerHost) => void][] = [
  ['hangs', (h) => (h.worker.hung = true)],
  ['reaches no controller', (h) => (h.losesHeartbeats = true)],
  ['commands lost', (h) => (h.losesCommands = true)],
  ['is cut off both ways', (h) => (h.losesHeartbeats = h.losesCommands = true)],
];

const ROWS: Row[] = [
  ...MACHINE_FAULTS.map(([what, breaks]): Row => ({
    // Longer than the lease: a machine that hears nothing goes on reporting until its lease ends.
    name: `a machine with replicas ${what}`,
    service: { ...REPLICA, Pieces: 4 },
    fault: breakOne(breaks),
    within: 2 * LEASE_S,
  })),
  {
    name: 'the machine of a service of one replica is gone',
    service: { ...REPLICA, Pieces: 1 },
    fault: (c, uid) => c.cloud.kill(carrying(c, uid)[0]!.worker.name),
    within: 2 * LEASE_S,
  },
  {
    name: 'a machine of a service of hundreds of replicas is gone',
    service: { ...REPLICA, Vcpus: 0.1, MemGb: 0.1, Pieces: 200 },
    fault: (c, uid) => c.cloud.kill(carrying(c, uid)[0]!.worker.name),
    within: 3 * LEASE_S,
  },
  {
    name: 'a machine of replicas with GPUs is gone, and another one has to be rented',
    service: { ...REPLICA, Vcpus: 2, Cards: 2, Pieces: 3 },
    fault: (c, uid) => c.cloud.kill(carrying(c, uid)[0]!.worker.name),
    within: 3 * LEASE_S,
  },
  {
    name: 'a spot machine is taken back after a notice',
    service: { ...REPLICA, Reclaimable: true, Pieces: 4 },
    fault: async (c, uid) => {
      const host = carrying(c, uid)[0]!;
      host.worker.preemptionNoticeS = 4;
      await c.runFor(4);
      assert.equal(onHost(host, uid), 0, 'its replicas left before it went');
      c.cloud.kill(host.worker.name);
    },
    within: LEASE_S,
  },
  {
    name: 'all machines of a service that is bound to one zone are gone',
    options: { zones: ['z', 'y'] },
    service: { ...REPLICA, OneZone: true, Pieces: 4 },
    fault: (c, uid) => {
      for (const h of carrying(c, uid)) c.cloud.kill(h.worker.name);
    },
    within: 3 * LEASE_S,
  },
  {
    name: 'one of two zones is cut off under a service that is spread over both',
    options: { zones: ['z', 'y'] },
    service: { ...REPLICA, Spread: true, Pieces: 6 },
    fault: async (c, uid) => {
      const cut = c.workerHosts().filter((h) => h.worker.zone === 'y');
      for (const h of cut) h.losesHeartbeats = h.losesCommands = true;
      for (let t = 0; t < 4; t++) {
        await c.runFor(1);
        assert.ok(served(c, uid) >= 3, 'the other zone serves its half');
      }
      for (const h of cut) h.losesHeartbeats = h.losesCommands = false;
    },
    within: 3 * LEASE_S,
  },
  {
    name: 'all controllers are away for longer than a worker lease',
    service: { ...REPLICA, Pieces: 4 },
    fault: async (c, uid) => {
      for (const n of c.nodes) c.kill(n);
      await c.runFor(LEASE_S + 3);
      assert.equal(c.runningTasks(uid), 0, 'the leases have ended');
      await Promise.all(c.nodes.map((n) => c.start(n)));
    },
    within: 3 * LEASE_S,
  },
  {
    // A change of owner alone stops nothing.
    name: 'every controller is started again, one after the other',
    service: { ...REPLICA, Pieces: 4 },
    fault: async (c, uid) => {
      const { starts: started } = c.world;
      for (const n of c.nodes) {
        await c.replace(n, 'current');
        assert.equal(c.runningTasks(uid), 4);
      }
      assert.equal(c.world.starts, started);
    },
    within: 1,
  },
  {
    name: 'the state service is out for longer than a worker lease',
    service: { ...REPLICA, Pieces: 4 },
    fault: async (c, uid) => {
      c.store.unavailable = true;
      await c.runFor(LEASE_S + 2);
      assert.equal(served(c, uid), 4, 'replicas go on');
      c.store.recover();
    },
    within: 1,
  },
  {
    // As a faulty job would: tried elsewhere with growing pauses, and never given up.
    name: 'replicas fail on every machine for a while',
    service: { ...REPLICA, Pieces: 2 },
    fault: async (c, uid) => {
      const spoil = () => {
        for (const h of c.workerHosts()) h.worker.failsTasks = true;
      };
      spoil();
      for (const h of carrying(c, uid)) c.cloud.kill(h.worker.name);
      const { starts: started } = c.world;
      for (let t = 0; t < 24; t++) {
        await c.runFor(0.5);
        spoil();
      }
      assert.ok(c.world.starts - started < 40, 'the pauses grow');
      for (const h of c.workerHosts()) h.worker.failsTasks = false;
    },
    within: 6 * LEASE_S,
  },
];

const withCluster = async (
  options: Partial<ClusterOptions>,
  work: (c: Cluster) => Promise<void>,
): Promise<void> => {
  const c = new Cluster({ runMs: FOREVER_MS, leaseS: LEASE_S, cancelS: CANCEL_S, ...options });
  try {
    await c.open();
    await work(c);
    assert.deepEqual(c.world.violations, []);
  } finally {
    c.close();
  }
};

const cancelAll = async (c: Cluster, uids: readonly string[]) => {
  for (const uid of uids) assert.equal(await c.cancel('n1', uid), 'cancelled');
  await c.waitUntil('its replicas are gone', CANCEL_S, () =>
    uids.every((u) => c.runningTasks(u) === 0),
  );
};

describe('services while something fails', { concurrency: 5 }, () => {
  for (const row of ROWS) {
    test(row.name, async () => {
      await withCluster(row.options ?? {}, async (c) => {
        const uid = await c.submit('n0', row.service);
        const all = row.service.Pieces;
        await c.waitUntil('all replicas run', 40, () => served(c, uid) === all);
        await row.fault(c, uid);
        await c.waitUntil(`${all} replicas run again`, row.within, () => served(c, uid) === all);
        assert.equal(c.runningTasks(uid), all, 'none runs twice');
        for (const n of c.nodes) {
          await c.waitUntil(
            `${n} knows it`,
            20,
            async () => (await c.statusOf(n, uid)) === 'running',
          );
        }
        await cancelAll(c, [uid]);
      });
    });
  }

  test('replicas that end by themselves again and again: never done, run again', async () => {
    await withCluster({ runMs: 700 }, async (c) => {
      const uid = await c.submit('n0', { ...REPLICA, Pieces: 2 });
      await c.waitUntil('they have run again', 40, () => c.world.starts >= 6);
      for (const n of c.nodes) {
        assert.ok(['queued', 'running'].includes(await c.statusOf(n, uid)));
      }
      await cancelAll(c, [uid]);
    });
  });

  test("a team's limit: more than all of it is refused, what others use is waited for", async () => {
    await withCluster({ teams: [LIMITED] }, async (c) => {
      const limited = { ...REPLICA, Owner: 'limited', Vcpus: 2 };
      for (const n of c.nodes) {
        const body = c.submission({ ...limited, Pieces: 5 });
        const answer = await c.call(n, 'POST', '/submissions', body);
        assert.equal(answer.status, 422, 'five replicas of two CPUs are over eight');
        assert.equal((await c.call(n, 'GET', `/submissions/${body.Uid}`)).status, 404);
      }
      const first = await c.submit('n0', { ...limited, Pieces: 3 });
      await c.waitUntil('the first runs', 40, () => served(c, first) === 3);
      const second = await c.submit('n1', { ...limited, Pieces: 4 });
      await c.runFor(4);
      assert.equal(served(c, first), 3);
      assert.ok(served(c, second) <= 1, 'one CPU pair is left for it');
      await cancelAll(c, [first]);
      await c.waitUntil('the second runs', 2 * LEASE_S, () => served(c, second) === 4);
      await cancelAll(c, [second]);
    });
  });
});
