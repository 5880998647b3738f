/**
 * Services on three whole controllers while machines, zones and controllers fail. In every case the invariants hold,
 * the service is never `done`, all replicas run again on reachable machines within the bound of the case, and after the
 * cancellation all of them are gone in time.
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { Cluster, type ClusterOptions } from './standins/cluster.js';
import type { WorkerHost } from './standins/cloud.js';

const LEASE_S = 8;
const CANCEL_S = 18;
const FOREVER_MS = 1e9;
const LIMITED_TEAM = { name: 'limited', cpus: 0, gpus: 0, cpusMax: 8, gpusMax: 0 };
const REPLICA = {
  Shape: 'service',
  Rank: 'prod',
  Vcpus: 1,
  Cards: 0,
  MemGb: 1,
  GuessS: 0,
  Reclaimable: false,
};

interface FaultCase {
  readonly name: string;
  readonly options?: Partial<ClusterOptions>;
  readonly service: Record<string, unknown> & { readonly Pieces: number };
  /** injects the fault; `recoveryWithinS` counts from its return */
  readonly injectFault: (cluster: Cluster, uid: string) => Promise<void> | void;
  /** bound on the time until all replicas run again on reachable machines */
  readonly recoveryWithinS: number;
}

const reachable = (host: WorkerHost) =>
  !host.worker.hung && !host.losesHeartbeats && !host.losesCommands;

const replicasOn = (host: WorkerHost, uid: string): number =>
  [...host.worker.tasks.values()].filter((t) => t.uid === uid && t.state === 'running').length;

/** Returns the number of replicas that run on reachable machines. */
const servedReplicas = (cluster: Cluster, uid: string): number =>
  cluster
    .workerHosts()
    .filter(reachable)
    .reduce((sum, host) => sum + replicasOn(host, uid), 0);

const hostsWithReplicas = (cluster: Cluster, uid: string): WorkerHost[] =>
  cluster.workerHosts().filter((host) => replicasOn(host, uid) > 0);

/** Applies the fault to one machine with replicas and checks that its replicas no longer count as reachable. */
const breakOneMachine =
  (applyFault: (host: WorkerHost) => void) => (cluster: Cluster, uid: string) => {
    const before = servedReplicas(cluster, uid);
    applyFault(hostsWithReplicas(cluster, uid)[0]!);
    assert.ok(servedReplicas(cluster, uid) < before);
  };

const MACHINE_FAULTS: [string, (host: WorkerHost) => void][] = [
  ['hangs', (host) => (host.worker.hung = true)],
  ['reaches no controller', (host) => (host.losesHeartbeats = true)],
  ['loses commands', (host) => (host.losesCommands = true)],
  ['is cut off both ways', (host) => (host.losesHeartbeats = host.losesCommands = true)],
];

const FAULT_CASES: FaultCase[] = [
  ...MACHINE_FAULTS.map(([faultName, applyFault]): FaultCase => ({
    // Longer than the lease: a machine that loses commands goes on sending heartbeats until its lease expires.
    name: `a machine with replicas ${faultName}: they run elsewhere`,
    service: { ...REPLICA, Pieces: 4 },
    injectFault: breakOneMachine(applyFault),
    recoveryWithinS: 2 * LEASE_S,
  })),
  {
    name: 'the machine of a service of one replica is gone: the replica runs elsewhere',
    service: { ...REPLICA, Pieces: 1 },
    injectFault: (cluster, uid) =>
      cluster.cloud.kill(hostsWithReplicas(cluster, uid)[0]!.worker.name),
    recoveryWithinS: 2 * LEASE_S,
  },
  {
    name: 'a machine of a service of hundreds of replicas is gone: they run elsewhere',
    service: { ...REPLICA, Vcpus: 0.1, MemGb: 0.1, Pieces: 200 },
    injectFault: (cluster, uid) =>
      cluster.cloud.kill(hostsWithReplicas(cluster, uid)[0]!.worker.name),
    recoveryWithinS: 3 * LEASE_S,
  },
  {
    name: 'a machine of replicas with GPUs is gone, and another one has to be rented: they run there',
    service: { ...REPLICA, Vcpus: 2, Cards: 2, Pieces: 3 },
    injectFault: (cluster, uid) =>
      cluster.cloud.kill(hostsWithReplicas(cluster, uid)[0]!.worker.name),
    recoveryWithinS: 3 * LEASE_S,
  },
  {
    name: 'a spot machine is preempted after a notice: its replicas leave before',
    service: { ...REPLICA, Reclaimable: true, Pieces: 4 },
    injectFault: async (cluster, uid) => {
      const host = hostsWithReplicas(cluster, uid)[0]!;
      host.worker.preemptionNoticeS = 4;
      await cluster.runFor(4);
      assert.equal(replicasOn(host, uid), 0, 'its replicas left before the preemption');
      cluster.cloud.kill(host.worker.name);
    },
    recoveryWithinS: LEASE_S,
  },
  {
    name: 'all machines of a service that is bound to one zone are gone: all replicas run again',
    options: { zones: ['z', 'y'] },
    service: { ...REPLICA, OneZone: true, Pieces: 4 },
    injectFault: (cluster, uid) => {
      for (const host of hostsWithReplicas(cluster, uid)) cluster.cloud.kill(host.worker.name);
    },
    recoveryWithinS: 3 * LEASE_S,
  },
  {
    name: 'one of two zones of a spread service is cut off: the other one serves its half',
    options: { zones: ['z', 'y'] },
    service: { ...REPLICA, Spread: true, Pieces: 6 },
    injectFault: async (cluster, uid) => {
      const cutHosts = cluster.workerHosts().filter((host) => host.worker.zone === 'y');
      for (const host of cutHosts) host.losesHeartbeats = host.losesCommands = true;
      for (let round = 0; round < 4; round++) {
        await cluster.runFor(1);
        assert.ok(servedReplicas(cluster, uid) >= 3, 'the other zone serves its half');
      }
      for (const host of cutHosts) host.losesHeartbeats = host.losesCommands = false;
    },
    recoveryWithinS: 3 * LEASE_S,
  },
  {
    name: 'all controllers are down for longer than a worker lease: all replicas run again',
    service: { ...REPLICA, Pieces: 4 },
    injectFault: async (cluster, uid) => {
      for (const node of cluster.nodes) cluster.kill(node);
      await cluster.runFor(LEASE_S + 3);
      assert.equal(cluster.runningTasks(uid), 0, 'the leases have expired');
      await Promise.all(cluster.nodes.map((n) => cluster.start(n)));
    },
    recoveryWithinS: 3 * LEASE_S,
  },
  {
    // A change of owner alone must not stop any task.
    name: 'all controllers restart one after the other: no replica stops or is started again',
    service: { ...REPLICA, Pieces: 4 },
    injectFault: async (cluster, uid) => {
      const { starts: started } = cluster.world;
      for (const node of cluster.nodes) {
        await cluster.replace(node, 'current');
        assert.equal(cluster.runningTasks(uid), 4);
      }
      assert.equal(cluster.world.starts, started);
    },
    recoveryWithinS: 1,
  },
  {
    name: 'the state service is unavailable for longer than a worker lease: all replicas go on',
    service: { ...REPLICA, Pieces: 4 },
    injectFault: async (cluster, uid) => {
      cluster.store.unavailable = true;
      await cluster.runFor(LEASE_S + 2);
      assert.equal(servedReplicas(cluster, uid), 4, 'replicas go on');
      cluster.store.recover();
    },
    recoveryWithinS: 1,
  },
  {
    // Handled as for a faulty job: replicas are started on other machines with growing backoff, and never given up.
    name: 'replicas fail on every machine for a while: retried with growing backoff, and run in the end',
    service: { ...REPLICA, Pieces: 2 },
    injectFault: async (cluster, uid) => {
      const makeAllFaulty = () => {
        for (const host of cluster.workerHosts()) host.worker.failsTasks = true;
      };
      makeAllFaulty();
      for (const host of hostsWithReplicas(cluster, uid)) cluster.cloud.kill(host.worker.name);
      const { starts: started } = cluster.world;
      for (let round = 0; round < 24; round++) {
        await cluster.runFor(0.5);
        makeAllFaulty();
      }
      assert.ok(cluster.world.starts - started < 40, 'the backoff grows');
      for (const host of cluster.workerHosts()) host.worker.failsTasks = false;
    },
    recoveryWithinS: 6 * LEASE_S,
  },
];

const withCluster = async (
  options: Partial<ClusterOptions>,
  work: (cluster: Cluster) => Promise<void>,
): Promise<void> => {
  const cluster = new Cluster({
    runMs: FOREVER_MS,
    leaseS: LEASE_S,
    cancelS: CANCEL_S,
    ...options,
  });
  try {
    await cluster.open();
    await work(cluster);
    assert.deepEqual(cluster.world.violations, []);
  } finally {
    cluster.close();
  }
};

const cancelAll = async (cluster: Cluster, uids: readonly string[]) => {
  for (const uid of uids) assert.equal(await cluster.cancel('n1', uid), 'cancelled');
  await cluster.waitUntil('the replicas are gone', CANCEL_S, () =>
    uids.every((u) => cluster.runningTasks(u) === 0),
  );
};

describe('services during faults', { concurrency: 5 }, () => {
  for (const faultCase of FAULT_CASES) {
    test(faultCase.name, async () => {
      await withCluster(faultCase.options ?? {}, async (cluster) => {
        const uid = await cluster.submit('n0', faultCase.service);
        const total = faultCase.service.Pieces;
        await cluster.waitUntil(
          'all replicas run',
          40,
          () => servedReplicas(cluster, uid) === total,
        );
        await faultCase.injectFault(cluster, uid);
        await cluster.waitUntil(
          `${total} replicas run again`,
          faultCase.recoveryWithinS,
          () => servedReplicas(cluster, uid) === total,
        );
        assert.equal(cluster.runningTasks(uid), total, 'none runs twice');
        for (const node of cluster.nodes) {
          await cluster.waitUntil(
            `${node} reports it running`,
            20,
            async () => (await cluster.statusOf(node, uid)) === 'running',
          );
        }
        await cancelAll(cluster, [uid]);
      });
    });
  }

  test('replicas that exit again and again are started again, and the service is never done', async () => {
    await withCluster({ runMs: 700 }, async (cluster) => {
      const uid = await cluster.submit('n0', { ...REPLICA, Pieces: 2 });
      await cluster.waitUntil('replicas were started again', 40, () => cluster.world.starts >= 6);
      for (const node of cluster.nodes) {
        assert.ok(['queued', 'running'].includes(await cluster.statusOf(node, uid)));
      }
      await cancelAll(cluster, [uid]);
    });
  });

  test("a service above its team's limit is refused; one that fits waits while other services use the limit", async () => {
    await withCluster({ teams: [LIMITED_TEAM] }, async (cluster) => {
      const limited = { ...REPLICA, Owner: 'limited', Vcpus: 2 };
      for (const node of cluster.nodes) {
        const body = cluster.submission({ ...limited, Pieces: 5 });
        const answer = await cluster.call(node, 'POST', '/submissions', body);
        assert.equal(answer.status, 422, 'five replicas of two CPUs are over eight');
        assert.equal((await cluster.call(node, 'GET', `/submissions/${body.Uid}`)).status, 404);
      }
      const first = await cluster.submit('n0', { ...limited, Pieces: 3 });
      await cluster.waitUntil('the first runs', 40, () => servedReplicas(cluster, first) === 3);
      const second = await cluster.submit('n1', { ...limited, Pieces: 4 });
      await cluster.runFor(4);
      assert.equal(servedReplicas(cluster, first), 3);
      assert.ok(servedReplicas(cluster, second) <= 1, 'the limit leaves two CPUs to it');
      await cancelAll(cluster, [first]);
      await cluster.waitUntil(
        'the second runs',
        2 * LEASE_S,
        () => servedReplicas(cluster, second) === 4,
      );
      await cancelAll(cluster, [second]);
    });
  });
});
