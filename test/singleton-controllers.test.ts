/**
 * Tests of singleton controllers on whole controllers, while leaders freeze, end and are replaced. Every test also
 * checks that the rules of the protocol are kept.
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { leaderKey, transferRequestKey, type LeaderRecord } from '@sumacstep/leader-election';
import type { SingletonsConfig } from '../src/config/singletons.js';
import { GARBAGE_COLLECTOR_ROLE, ORPHAN_COLLECTOR_ROLE } from '../src/singletons/roles.js';
import { electionEntryKey } from '../src/store/keys.js';
import { Cluster, type ClusterOptions } from './standins/cluster.js';
import type { Version } from './standins/controllers.js';
import type { Request } from './standins/server.js';

const LEASE_S = 12;
const CANCEL_S = 20;
const CONFIG: SingletonsConfig = {
  recordReturnIntents: true,
  collectOrphans: true,
  collectGarbage: true,
  finalStateRetentionMs: 86_400_000,
  garbageCollectionWritesPerS: 100,
};
const IDLE_KEEP_S = 20;

const leaderOf = (cluster: Cluster, role: string): LeaderRecord | null => {
  const record = cluster.stored(leaderKey(role)) as LeaderRecord | undefined;
  return record === undefined || record.holder === null ? null : record;
};

const untilLed = (cluster: Cluster, role: string, by?: string) =>
  cluster.waitUntil(`${role} is led by ${by ?? 'any node'}`, 20, () => {
    const node = leaderOf(cluster, role)?.holder?.node;
    return node !== undefined && (by === undefined || node === by);
  });

const scenario = (
  name: string,
  options: Partial<ClusterOptions>,
  run: (cluster: Cluster) => Promise<void>,
): void => {
  test(name, async () => {
    const cluster = new Cluster({
      runMs: 1500,
      leaseS: LEASE_S,
      cancelS: CANCEL_S,
      features: { duties: CONFIG },
      ...options,
    });
    try {
      await cluster.open();
      await run(cluster);
      assert.deepEqual(cluster.world.violations, []);
    } finally {
      cluster.close();
    }
  });
};

const untilDone = (cluster: Cluster, node: string, uid: string) =>
  cluster.waitUntil(
    `${uid} is done`,
    40,
    async () => (await cluster.statusOf(node, uid)) === 'done',
  );

const PROCESSES: Record<string, Version> = {
  n0: 'current-process',
  n1: 'current-process',
  n2: 'current-process',
};

describe('singleton controllers: replaced leaders', () => {
  scenario(
    'a frozen leader is replaced, and does nothing for its former roles and shards when it wakes',
    { versions: PROCESSES },
    async (cluster) => {
      await untilLed(cluster, ORPHAN_COLLECTOR_ROLE);
      const { holder, token } = leaderOf(cluster, ORPHAN_COLLECTOR_ROLE)!;
      const frozenNode = holder!.node;
      const otherNode = cluster.nodes.find((node) => node !== frozenNode)!;
      const jobBeforeFreeze = await cluster.submit(otherNode, { Pieces: 12 });
      // The writes that the leader sends from now on arrive after its successor has begun.
      cluster.storeProxies.get(frozenNode)!.transactionDelayMs = 14_000;
      await cluster.runFor(1);
      cluster.processOf(frozenNode).freeze(true);
      await cluster.waitUntil('another node leads the role', 20, () => {
        const record = leaderOf(cluster, ORPHAN_COLLECTOR_ROLE);
        return record !== null && record.holder!.node !== frozenNode;
      });
      const successor = leaderOf(cluster, ORPHAN_COLLECTOR_ROLE)!;
      assert.ok(successor.token > token);
      const jobDuringFreeze = await cluster.submit(otherNode, { Pieces: 12 });
      await cluster.runFor(8);
      cluster.storeProxies.get(frozenNode)!.transactionDelayMs = 0;
      cluster.processOf(frozenNode).freeze(false);
      await untilDone(cluster, otherNode, jobBeforeFreeze);
      await untilDone(cluster, otherNode, jobDuringFreeze);
      await cluster.runFor(4);
      assert.deepEqual(
        leaderOf(cluster, ORPHAN_COLLECTOR_ROLE),
        successor,
        'no late write has changed the leader record',
      );
    },
  );

  scenario(
    'a machine without any record is returned by the leader exactly once',
    {},
    async (cluster) => {
      await untilLed(cluster, ORPHAN_COLLECTOR_ROLE);
      const name = await cluster.cloud.bootUnknownMachine();
      await cluster.waitUntil('the machine is gone', 40, () => !cluster.cloud.machines.has(name));
      assert.deepEqual(
        cluster.cloud.returnedMachines.filter((returnedName) => returnedName === name),
        [name],
      );
      const list = cluster.stored(electionEntryKey.returns('unrecorded')) as { machines: string[] };
      assert.ok(list.machines.includes(name), 'the intent to return the machine is recorded');
    },
  );
});

/** Runs a job, and holds back the returns of its machines once they are idle. Resolves with their names. */
const holdReturnsOfIdleMachines = async (cluster: Cluster): Promise<readonly string[]> => {
  const first = await cluster.submit('n0', { Pieces: 8 });
  await untilDone(cluster, 'n0', first);
  cluster.cloud.holdsReturns = true;
  await cluster.waitUntil('idle machines are being returned', IDLE_KEEP_S + 20, () => {
    return cluster.cloud.heldReturns.length > 0;
  });
  return cluster.cloud.heldReturns;
};

const restartAllNodes = async (cluster: Cluster): Promise<void> => {
  for (const node of cluster.nodes) cluster.kill(node);
  await Promise.all(cluster.nodes.map((node) => cluster.start(node)));
  for (const node of cluster.nodes)
    await cluster.waitUntil(`${node} is ready`, 20, () => cluster.isReady(node));
};

/** Returns those of the machines on which tasks of the job are. */
const machinesWithTasksOf = (
  cluster: Cluster,
  uid: string,
  names: readonly string[],
): readonly string[] =>
  names.filter((name) =>
    [...(cluster.cloud.machines.get(name)?.worker.tasks.values() ?? [])].some(
      (task) => task.uid === uid,
    ),
  );

describe('singleton controllers: late returns', { concurrency: 3 }, () => {
  scenario(
    'a machine return that the cloud executes late does not hit a machine that the next owner uses',
    {},
    async (cluster) => {
      const returning = await holdReturnsOfIdleMachines(cluster);
      // The nodes that sent the returns end; the next owners get a job whose tasks would fit these machines.
      await restartAllNodes(cluster);
      const second = await cluster.submit('n1', { Pieces: 8, GuessS: 5 });
      await cluster.waitUntil('the second job runs', 40, () => cluster.runningTasks(second) > 0);
      const used = machinesWithTasksOf(cluster, second, returning);
      assert.deepEqual(used, [], 'no task was started on a machine that is being returned');
      cluster.cloud.holdsReturns = false;
      await untilDone(cluster, 'n1', second);
    },
  );

  scenario(
    'a late return hits a machine that the next owner uses, since returns are not recorded: its tasks run elsewhere',
    { features: {}, runMs: (index) => (index < 8 ? 1500 : 15_000) },
    async (cluster) => {
      const returning = await holdReturnsOfIdleMachines(cluster);
      await restartAllNodes(cluster);
      const second = await cluster.submit('n1', { Pieces: 16, GuessS: 15 });
      await cluster.waitUntil(
        'tasks run on a machine whose return is held back',
        40,
        () => machinesWithTasksOf(cluster, second, returning).length > 0,
      );
      cluster.cloud.holdsReturns = false;
      await untilDone(cluster, 'n1', second);
    },
  );

  scenario(
    'the leader that returns an unknown machine ends, and the return is executed under its successor: no task ran there',
    {},
    async (cluster) => {
      await untilLed(cluster, ORPHAN_COLLECTOR_ROLE);
      cluster.cloud.holdsReturns = true;
      const name = await cluster.cloud.bootUnknownMachine();
      const { worker } = cluster.cloud.machines.get(name)!;
      await cluster.waitUntil('its return is held back', 40, () =>
        cluster.cloud.heldReturns.includes(name),
      );
      const { holder, token } = leaderOf(cluster, ORPHAN_COLLECTOR_ROLE)!;
      cluster.kill(holder!.node);
      const other = cluster.nodes.find((node) => node !== holder!.node)!;
      const uid = await cluster.submit(other, { Pieces: 12 });
      await cluster.waitUntil(
        'another node leads the role',
        20,
        () => (leaderOf(cluster, ORPHAN_COLLECTOR_ROLE)?.token ?? 0) > token,
      );
      await cluster.runFor(3);
      assert.equal(worker.tasks.size, 0);
      cluster.cloud.holdsReturns = false;
      await untilDone(cluster, other, uid);
      assert.equal(worker.tasks.size, 0);
    },
  );
});

describe('singleton controllers: garbage collection', () => {
  scenario(
    'a final state is deleted after its retention time, and a late acceptance does not bring back the job',
    { features: { duties: { ...CONFIG, finalStateRetentionMs: 4000 } } },
    async (cluster) => {
      await untilLed(cluster, GARBAGE_COLLECTOR_ROLE);
      const acceptances: Request[] = [];
      for (const proxy of cluster.storeProxies.values()) {
        proxy.onTransaction = (request) => {
          const { Writes: writes } = request.body as { Writes: { Put?: string }[] };
          if (writes.some((write) => write.Put?.startsWith('active/'))) acceptances.push(request);
        };
      }
      const uid = await cluster.submit('n0', { Pieces: 1 });
      await untilDone(cluster, 'n0', uid);
      const final = `final/${uid}`;
      assert.ok(cluster.stored(final) !== undefined);
      const endedAt = Date.now();
      await cluster.waitUntil(
        'the final state is deleted',
        30,
        () => cluster.stored(final) === undefined,
      );
      assert.ok(Date.now() - endedAt >= 3500, 'not deleted before the retention time has passed');
      assert.equal(acceptances.length, 1);
      const lateAnswer = await cluster.store.handle(acceptances[0]!);
      assert.ok(
        lateAnswer !== 'hang' && lateAnswer.status === 409,
        'the store rejects the late acceptance',
      );
      const next = await cluster.submit('n1', { Pieces: 1 });
      await untilDone(cluster, 'n1', next);
    },
  );
});

describe('singleton controllers: transfer and versions', () => {
  scenario('a role is transferred to the node that an operator asks for', {}, async (cluster) => {
    await untilLed(cluster, ORPHAN_COLLECTOR_ROLE);
    const { holder, token } = leaderOf(cluster, ORPHAN_COLLECTOR_ROLE)!;
    const to = cluster.nodes.find((node) => node !== holder!.node)!;
    cluster.store.putValues({ [transferRequestKey(ORPHAN_COLLECTOR_ROLE)]: { to, id: 'r1' } });
    await untilLed(cluster, ORPHAN_COLLECTOR_ROLE, to);
    assert.equal(leaderOf(cluster, ORPHAN_COLLECTOR_ROLE)!.token, token + 1);
    assert.equal(
      cluster.stored(transferRequestKey(ORPHAN_COLLECTOR_ROLE)),
      undefined,
      'the transfer request is deleted',
    );
    cluster.kill(to);
    await cluster.waitUntil(
      'another node takes over the role',
      20,
      () => leaderOf(cluster, ORPHAN_COLLECTOR_ROLE)?.token === token + 2,
    );
  });

  scenario(
    'while a node runs the production version, no node leads and shards adopt unknown machines',
    { versions: { n2: 'production' } },
    async (cluster) => {
      const untilAdopted = async () => {
        const name = await cluster.cloud.bootUnknownMachine();
        const found = `machines/found-${name}`;
        await cluster.waitUntil(
          'a shard has adopted the machine',
          40,
          () => cluster.stored(found) !== undefined,
        );
        assert.ok(
          !cluster.cloud.returnedMachines.includes(name),
          'the machine has not been returned',
        );
      };
      await untilAdopted();
      await cluster.replace('n2', 'current');
      await untilLed(cluster, ORPHAN_COLLECTOR_ROLE);
      const orphaned = await cluster.cloud.bootUnknownMachine();
      await cluster.waitUntil('the machine is returned', 40, () =>
        cluster.cloud.returnedMachines.includes(orphaned),
      );
      await cluster.replace('n2', 'production');
      await untilAdopted();
      const uid = await cluster.submit('n0');
      await untilDone(cluster, 'n0', uid);
    },
  );
});
