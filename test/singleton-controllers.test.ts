/**
 * Singleton controllers on whole controller processes while their leaders freeze, end and are replaced. The rules of
 * the protocol are watched in every case.
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
    'a frozen leader is replaced, and does nothing for its roles and shards when it wakes',
    { versions: PROCESSES },
    async (cluster) => {
      await untilLed(cluster, ORPHAN_COLLECTOR_ROLE);
      const { holder, token } = leaderOf(cluster, ORPHAN_COLLECTOR_ROLE)!;
      const frozen = holder!.node;
      const other = cluster.nodes.find((n) => n !== frozen)!;
      const before = await cluster.submit(other, { Pieces: 12 });
      // What it sends now arrives after its successor has begun.
      cluster.storeProxies.get(frozen)!.transactionDelayMs = 14_000;
      await cluster.runFor(1);
      cluster.processOf(frozen).freeze(true);
      await cluster.waitUntil('another node leads its role', 20, () => {
        const record = leaderOf(cluster, ORPHAN_COLLECTOR_ROLE);
        return record !== null && record.holder!.node !== frozen;
      });
      const promoted = leaderOf(cluster, ORPHAN_COLLECTOR_ROLE)!;
      assert.ok(promoted.token > token);
      const during = await cluster.submit(other, { Pieces: 12 });
      await cluster.runFor(8);
      cluster.storeProxies.get(frozen)!.transactionDelayMs = 0;
      cluster.processOf(frozen).freeze(false);
      await untilDone(cluster, other, before);
      await untilDone(cluster, other, during);
      await cluster.runFor(4);
      assert.deepEqual(
        leaderOf(cluster, ORPHAN_COLLECTOR_ROLE),
        promoted,
        'nothing late changed the record',
      );
    },
  );

  scenario(
    'a machine that no record knows is returned by the one leader, once',
    {},
    async (cluster) => {
      await untilLed(cluster, ORPHAN_COLLECTOR_ROLE);
      const name = await cluster.cloud.bootUnknownMachine();
      await cluster.waitUntil('it is gone', 40, () => !cluster.cloud.machines.has(name));
      assert.deepEqual(
        cluster.cloud.returnedMachines.filter((n) => n === name),
        [name],
      );
      const list = cluster.stored(electionEntryKey.returns('unrecorded')) as { machines: string[] };
      assert.ok(list.machines.includes(name), 'recorded before it was sent');
    },
  );
});

describe('singleton controllers: late returns', () => {
  scenario(
    'a return that arrives late meets no machine that the next owner uses',
    {},
    async (cluster) => {
      const first = await cluster.submit('n0', { Pieces: 8 });
      await untilDone(cluster, 'n0', first);
      cluster.cloud.holdsReturns = true;
      await cluster.waitUntil('idle machines are being returned', IDLE_KEEP_S + 20, () => {
        return cluster.cloud.heldReturns.length > 0;
      });
      // Whoever sent the returns ends; the next owners get work that would fit these machines.
      const doomed = cluster.cloud.heldReturns;
      for (const node of cluster.nodes) cluster.kill(node);
      await Promise.all(cluster.nodes.map((node) => cluster.start(node)));
      for (const node of cluster.nodes)
        await cluster.waitUntil(`${node} ready`, 20, () => cluster.isReady(node));
      const second = await cluster.submit('n1', { Pieces: 8, GuessS: 5 });
      await cluster.waitUntil('it runs', 40, () => cluster.runningTasks(second) > 0);
      const carries = (name: string) =>
        [...(cluster.cloud.machines.get(name)?.worker.tasks.values() ?? [])].some(
          (t) => t.uid === second,
        );
      const used = doomed.filter(carries);
      assert.deepEqual(used, [], 'nothing was started on them');
      cluster.cloud.holdsReturns = false;
      await untilDone(cluster, 'n1', second);
    },
  );
});

describe('singleton controllers: garbage collection', () => {
  scenario(
    'a final state is deleted after its retention time, and a late acceptance does not bring the job back',
    { features: { duties: { ...CONFIG, finalStateRetentionMs: 4000 } } },
    async (cluster) => {
      await untilLed(cluster, GARBAGE_COLLECTOR_ROLE);
      const accepted: Request[] = [];
      for (const door of cluster.storeProxies.values()) {
        door.onTransaction = (request) => {
          const { Writes: writes } = request.body as { Writes: { Put?: string }[] };
          if (writes.some((w) => w.Put?.startsWith('active/'))) accepted.push(request);
        };
      }
      const uid = await cluster.submit('n0', { Pieces: 1 });
      await untilDone(cluster, 'n0', uid);
      const final = `final/${uid}`;
      assert.ok(cluster.stored(final) !== undefined);
      const endedAt = Date.now();
      await cluster.waitUntil('it is deleted', 30, () => cluster.stored(final) === undefined);
      assert.ok(Date.now() - endedAt >= 3500, 'not before its time');
      assert.equal(accepted.length, 1);
      const late = await cluster.store.handle(accepted[0]!);
      assert.ok(late !== 'hang' && late.status === 409, 'refused by the store');
      const next = await cluster.submit('n1', { Pieces: 1 });
      await untilDone(cluster, 'n1', next);
    },
  );
});

describe('singleton controllers: transfer and versions', () => {
  scenario('a role is transferred to the node that an operator asks for', {}, async (cluster) => {
    await untilLed(cluster, ORPHAN_COLLECTOR_ROLE);
    const { holder, token } = leaderOf(cluster, ORPHAN_COLLECTOR_ROLE)!;
    const to = cluster.nodes.find((n) => n !== holder!.node)!;
    cluster.store.putValues({ [transferRequestKey(ORPHAN_COLLECTOR_ROLE)]: { to, id: 'r1' } });
    await untilLed(cluster, ORPHAN_COLLECTOR_ROLE, to);
    assert.equal(leaderOf(cluster, ORPHAN_COLLECTOR_ROLE)!.token, token + 1);
    assert.equal(
      cluster.stored(transferRequestKey(ORPHAN_COLLECTOR_ROLE)),
      undefined,
      'the request is gone',
    );
    cluster.kill(to);
    await cluster.waitUntil(
      'another one takes it over',
      20,
      () => leaderOf(cluster, ORPHAN_COLLECTOR_ROLE)?.token === token + 2,
    );
  });

  scenario(
    'while the version in production serves, no node leads and shards adopt machines',
    { versions: { n2: 'production' } },
    async (cluster) => {
      const adopted = async () => {
        const name = await cluster.cloud.bootUnknownMachine();
        const found = `machines/found-${name}`;
        await cluster.waitUntil(
          'a shard has adopted it',
          40,
          () => cluster.stored(found) !== undefined,
        );
        assert.ok(!cluster.cloud.returnedMachines.includes(name), 'and nobody has returned it');
      };
      await adopted();
      await cluster.replace('n2', 'current');
      await untilLed(cluster, ORPHAN_COLLECTOR_ROLE);
      const orphaned = await cluster.cloud.bootUnknownMachine();
      await cluster.waitUntil('it is returned', 40, () =>
        cluster.cloud.returnedMachines.includes(orphaned),
      );
      await cluster.replace('n2', 'production');
      await adopted();
      const uid = await cluster.submit('n0');
      await untilDone(cluster, 'n0', uid);
    },
  );
});
