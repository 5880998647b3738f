import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { leaderKey, transferRequestKey, type LeaderRecord } from '@sumacstep/leader-election';
import type { DutiesConfig } from '../src/config/duties.js';
import { GARBAGE_COLLECTOR_ROLE, ORPHAN_COLLECTOR_ROLE } from '../src/singletons/roles.js';
import { dutyEntryKey } from '../src/store/election-entries.js';
import { Cluster, type ClusterOptions } from './standins/cluster.js';
import type { Version } from './standins/controllers.js';
import type { Request } from './standins/server.js';

/**
 * Exclusive duties on whole controllers while their holders freeze, end and are replaced. The rules of the
 * protocol are watched in every case.
 */
const LEASE_S = 12;
const CANCEL_S = 20;
const DUTIES: DutiesConfig = {
  recordReturns: true,
  reclaim: true,
  clear: true,
  finalKeepMs: 86_400_000,
  clearWritesPerS: 100,
};
const IDLE_KEPT_S = 20;

const holderOf = (c: Cluster, duty: string): LeaderRecord | null => {
  const record = c.stored(leaderKey(duty)) as LeaderRecord | undefined;
  return record === undefined || record.holder === null ? null : record;
};

const held = (c: Cluster, duty: string, by?: string) =>
  c.until(`${duty} is held by ${by ?? 'anybody'}`, 20, () => {
    const node = holderOf(c, duty)?.holder?.node;
    return node !== undefined && (by === undefined || node === by);
  });

const scene = (
  name: string,
  options: Partial<ClusterOptions>,
  play: (c: Cluster) => Promise<void>,
): void => {
  test(name, async () => {
    const c = new Cluster({
      runMs: 1500,
      leaseS: LEASE_S,
      cancelS: CANCEL_S,
      features: { duties: DUTIES },
      ...options,
    });
    try {
      await c.open();
      await play(c);
      assert.deepEqual(c.world.broken, []);
    } finally {
      c.close();
    }
  });
};

const done = (c: Cluster, node: string, uid: string) =>
  c.until(`${uid} is done`, 40, async () => (await c.statusOf(node, uid)) === 'done');

const processes: Record<string, Version> = {
  n0: 'current-process',
  n1: 'current-process',
  n2: 'current-process',
};

describe('single holder', () => {
  scene(
    'a frozen holder is replaced, and does nothing for its duties and shards when it wakes',
    { versions: processes },
    async (c) => {
      await held(c, ORPHAN_COLLECTOR_ROLE);
      const { holder, token } = holderOf(c, ORPHAN_COLLECTOR_ROLE)!;
      const frozen = holder!.node;
      const other = c.names.find((n) => n !== frozen)!;
      const before = await c.submit(other, { Pieces: 12 });
      // What it sends now arrives after its successor has begun.
      c.doors.get(frozen)!.slowWritesMs = 14_000;
      await c.pass(1);
      c.processOf(frozen).freeze(true);
      await c.until('another node has its duty', 20, () => {
        const record = holderOf(c, ORPHAN_COLLECTOR_ROLE);
        return record !== null && record.holder!.node !== frozen;
      });
      const promoted = holderOf(c, ORPHAN_COLLECTOR_ROLE)!;
      assert.ok(promoted.token > token);
      const during = await c.submit(other, { Pieces: 12 });
      await c.pass(8);
      c.doors.get(frozen)!.slowWritesMs = 0;
      c.processOf(frozen).freeze(false);
      await done(c, other, before);
      await done(c, other, during);
      await c.pass(4);
      assert.deepEqual(
        holderOf(c, ORPHAN_COLLECTOR_ROLE),
        promoted,
        'nothing late changed the record',
      );
    },
  );

  scene('a machine that no record knows is returned by the one holder, once', {}, async (c) => {
    await held(c, ORPHAN_COLLECTOR_ROLE);
    const name = await c.cloud.bootUnknown();
    await c.until('it is gone', 40, () => !c.cloud.machines.has(name));
    assert.deepEqual(
      c.cloud.returned.filter((n) => n === name),
      [name],
    );
    const list = c.stored(dutyEntryKey.returns('unrecorded')) as { machines: string[] };
    assert.ok(list.machines.includes(name), 'recorded before it was sent');
  });

  scene('a return that arrives late meets no machine that the next owner uses', {}, async (c) => {
    const first = await c.submit('n0', { Pieces: 8 });
    await done(c, 'n0', first);
    c.cloud.holdsReturns = true;
    await c.until('idle machines are being returned', IDLE_KEPT_S + 20, () => {
      return c.cloud.heldReturns.length > 0;
    });
    // Whoever sent the returns ends; the next owners get work that would fit these machines.
    const doomed = c.cloud.heldReturns;
    for (const node of c.names) c.kill(node);
    await Promise.all(c.names.map((node) => c.start(node)));
    for (const node of c.names) await c.until(`${node} ready`, 20, () => c.ready(node));
    const second = await c.submit('n1', { Pieces: 8, GuessS: 5 });
    await c.until('it runs', 40, () => c.running(second) > 0);
    const carries = (name: string) =>
      [...(c.cloud.machines.get(name)?.worker.tasks.values() ?? [])].some((t) => t.uid === second);
    const used = doomed.filter(carries);
    assert.deepEqual(used, [], 'nothing was started on them');
    c.cloud.holdsReturns = false;
    await done(c, 'n1', second);
  });

  scene(
    'a final state is cleared after its time, and a late acceptance does not bring the job back',
    { features: { duties: { ...DUTIES, finalKeepMs: 4000 } } },
    async (c) => {
      await held(c, GARBAGE_COLLECTOR_ROLE);
      const accepted: Request[] = [];
      for (const door of c.doors.values()) {
        door.seen = (request) => {
          const { Writes: writes } = request.body as { Writes: { Put?: string }[] };
          if (writes.some((w) => w.Put?.startsWith('active/'))) accepted.push(request);
        };
      }
      const uid = await c.submit('n0', { Pieces: 1 });
      await done(c, 'n0', uid);
      const final = `final/${uid}`;
      assert.ok(c.stored(final) !== undefined);
      const endedAt = Date.now();
      await c.until('it is cleared', 30, () => c.stored(final) === undefined);
      assert.ok(Date.now() - endedAt >= 3500, 'not before its time');
      assert.equal(accepted.length, 1);
      const late = await c.state.handle(accepted[0]!);
      assert.ok(late !== 'hang' && late.status === 409, 'refused by the store');
      const next = await c.submit('n1', { Pieces: 1 });
      await done(c, 'n1', next);
    },
  );

  scene('a duty goes to the node that an operator asks for', {}, async (c) => {
    await held(c, ORPHAN_COLLECTOR_ROLE);
    const { holder, token } = holderOf(c, ORPHAN_COLLECTOR_ROLE)!;
    const to = c.names.find((n) => n !== holder!.node)!;
    c.state.seed({ [transferRequestKey(ORPHAN_COLLECTOR_ROLE)]: { to, id: 'r1' } });
    await held(c, ORPHAN_COLLECTOR_ROLE, to);
    assert.equal(holderOf(c, ORPHAN_COLLECTOR_ROLE)!.token, token + 1);
    assert.equal(
      c.stored(transferRequestKey(ORPHAN_COLLECTOR_ROLE)),
      undefined,
      'the request is gone',
    );
    c.kill(to);
    await c.until(
      'another one takes it over',
      20,
      () => holderOf(c, ORPHAN_COLLECTOR_ROLE)?.token === token + 2,
    );
  });

  scene(
    'while the version in production serves, no duty begins and shards adopt machines',
    { versions: { n2: 'production' } },
    async (c) => {
      const adopted = async () => {
        const name = await c.cloud.bootUnknown();
        const found = `machines/found-${name}`;
        await c.until('a shard has adopted it', 40, () => c.stored(found) !== undefined);
        assert.ok(!c.cloud.returned.includes(name), 'and nobody has returned it');
      };
      await adopted();
      await c.replace('n2', 'current');
      await held(c, ORPHAN_COLLECTOR_ROLE);
      const reclaimed = await c.cloud.bootUnknown();
      await c.until('it is returned', 40, () => c.cloud.returned.includes(reclaimed));
      await c.replace('n2', 'production');
      await adopted();
      const uid = await c.submit('n0');
      await done(c, 'n0', uid);
    },
  );
});
