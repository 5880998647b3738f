/** `sumacstep shares`: moves as an operator asks for them, on three whole controllers that fail meanwhile. */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { decodeMove, moveKey, shardLockKey, type Move } from '@sumacstep/shard-rebalancing';
import type { PlanOutput, ShardsOutput } from '../src/commands/shares.js';
import { parseSingletonsConfig } from '../src/config/singletons.js';
import { parseRebalancingConfig } from '../src/config/rebalancing.js';
import { Cluster, type ClusterOptions } from './standins/cluster.js';
import { withCommands, type CommandResult } from './standins/commands.js';

const FEATURES = { duties: parseSingletonsConfig('', ''), shares: parseRebalancingConfig('', '') };
const LEASE_S = 10;
type Command = (...args: string[]) => Promise<CommandResult>;

const scenario = (
  name: string,
  options: Partial<ClusterOptions>,
  steps: (cluster: Cluster, run: Command) => Promise<void>,
): void => {
  test(name, async () => {
    const cluster = new Cluster({
      runMs: 1500,
      leaseS: LEASE_S,
      cancelS: 20,
      features: FEATURES,
      ...options,
    });
    try {
      await cluster.open();
      await cluster.waitUntil('all shards are owned', 20, () =>
        ['0', '1', '2'].every((i) => cluster.stored(`parts/${i}`) !== undefined),
      );
      await withCommands(cluster.store.address, 'shares', (run) => steps(cluster, run));
      assert.deepEqual(cluster.world.violations, []);
    } finally {
      cluster.close();
    }
  });
};

const moveOf = (cluster: Cluster, id: string): Move => decodeMove(cluster.stored(moveKey(id)))!;

const machinesOf = (cluster: Cluster, shard: number): string[] =>
  [...cluster.store.items].flatMap(([key, { value }]) => {
    if (!key.startsWith('machines/')) return [];
    // The stored form of a machine group.
    const { part, hosts } = value as { part: number; hosts: Record<string, number> };
    return part === shard ? Object.keys(hosts) : [];
  });

/** Submits until some shard has machines; returns that shard. */
const shardWithMachines = async (cluster: Cluster): Promise<number> => {
  let shard = -1;
  await cluster.waitUntil('a shard has machines that are up', 40, () => {
    shard = [0, 1, 2].find((i) => machinesOf(cluster, i).length > 0) ?? -1;
    return shard >= 0 && cluster.world.runningOn.size > 0;
  });
  return shard;
};

const untilState = (cluster: Cluster, id: string, wanted: Move['state'], seconds = 40) =>
  cluster.waitUntil(`${id} is ${wanted}`, seconds, () => moveOf(cluster, id).state === wanted);

const untilDone = (cluster: Cluster, uid: string) =>
  cluster.waitUntil(
    `${uid} is done`,
    60,
    async () => (await cluster.statusOf('n0', uid)) === 'done',
  );

const ownerOf = (cluster: Cluster, shard: number) =>
  (cluster.stored(`parts/${shard}`) as { owner: string }).owner;

describe('sumacstep shares', () => {
  scenario(
    'plan changes nothing; a move is one by its id; conflicts are named',
    {},
    async (cluster, run) => {
      const uid = await cluster.submit('n0', { Pieces: 8, Spread: false });
      const from = await shardWithMachines(cluster);
      const to = (from + 1) % 3;
      const ends = ['--from', String(from), '--to', String(to), '--count', '1'];
      const before = cluster.store.revision;
      const planned = await run('plan', ...ends, '--json');
      const [plan] = JSON.parse(planned.stdout) as PlanOutput[];
      assert.deepEqual([plan!.heldBy, plan!.obstacle, plan!.lacking], [null, null, 0]);
      assert.ok(plan!.matching.length > 0);
      assert.ok(
        ![...cluster.store.items.keys()].some((key) => key.startsWith('shares/')),
        `${before}`,
      );

      const asked = await Promise.all([1, 2].map(() => run('move', ...ends, '--id', 'first')));
      assert.deepEqual(
        asked.map((r) => r.exitCode),
        [0, 0],
      );
      const other = await run('move', ...ends, '--id', 'second');
      if (cluster.stored(shardLockKey(from)) !== undefined) {
        assert.equal(other.exitCode, 3, other.stderr);
        assert.match(other.stderr, /another move holds it \(first\)/);
      }
      await untilState(cluster, 'first', 'finished');
      const shown = JSON.parse((await run('--json')).stdout) as ShardsOutput;
      assert.equal(shown.moves.find((m) => m.id === 'first')?.moved.length, 1);
      assert.equal(cluster.stored(shardLockKey(from)), undefined, 'the shards are free again');
      await untilDone(cluster, uid);
    },
  );
});

describe('sumacstep shares: restarts', () => {
  for (const who of ['source', 'target', 'coordinator'] as const) {
    scenario(`the ${who}'s process ends right after the request`, {}, async (cluster, run) => {
      const uid = await cluster.submit('n0', { Pieces: 12 });
      const from = await shardWithMachines(cluster);
      const to = (from + 1) % 3;
      await run('move', '--from', `${from}`, '--to', `${to}`, '--count', '1', '--id', 'm');
      const coordinator = cluster.stored('duties/holders/move') as { holder: { node: string } };
      const node =
        who === 'coordinator'
          ? coordinator.holder.node
          : ownerOf(cluster, who === 'source' ? from : to);
      cluster.kill(node);
      await cluster.runFor(1);
      await cluster.start(node);
      await cluster.waitUntil(`${node} ready`, 30, () => cluster.isReady(node));
      await cluster.waitUntil('over', 60, () =>
        ['finished', 'aborted'].includes(moveOf(cluster, 'm').state),
      );
      const more = await cluster.submit(node, { Pieces: 6 });
      await untilDone(cluster, uid);
      await untilDone(cluster, more);
    });
  }
});

describe('sumacstep shares: standing services', () => {
  scenario(
    'machines under a standing service stay; at the deadline the shares are as before',
    { runMs: 1e9 },
    async (cluster, run) => {
      const service = { Shape: 'service', Rank: 'prod', Pieces: 2, Reclaimable: false, GuessS: 0 };
      const uid = await cluster.submit('n0', { ...service, Vcpus: 4, Cards: 0 });
      await cluster.waitUntil('it runs', 40, () => cluster.runningTasks(uid) === 2);
      const from = await shardWithMachines(cluster);
      const before = machinesOf(cluster, from).sort();
      const ends = ['--from', `${from}`, '--to', `${(from + 1) % 3}`, '--count', '50'];
      await run('move', ...ends, '--id', 'm', '--within-s', '12');
      await cluster.waitUntil(
        'it says what it waits for',
        12,
        () => moveOf(cluster, 'm').waitsFor !== null,
      );
      assert.match((await run()).stdout, /a standing service runs there|more machines of the kind/);
      await untilState(cluster, 'm', 'aborted');
      const kept = machinesOf(cluster, from).sort();
      const serving = before.filter((name) => cluster.cloud.machines.has(name));
      assert.deepEqual(
        serving.filter((name) => !kept.includes(name)),
        [],
      );
      assert.equal(cluster.runningTasks(uid), 2, 'no replica was stopped');
    },
  );
});

describe('sumacstep shares: return and versions', () => {
  scenario('machines go back at the stated time', {}, async (cluster, run) => {
    // Long enough that the planner of capacity keeps the machines.
    const uids = await Promise.all([0, 1, 2].map((i) => cluster.submit(`n${i}`, { Pieces: 40 })));
    const from = await shardWithMachines(cluster);
    const to = (from + 1) % 3;
    const ends = ['--from', `${from}`, '--to', `${to}`, '--count', '1', '--id', 'm'];
    const returnAt = new Date(Date.now() + 16_000).toISOString();
    const asked = await run('move', ...ends, '--within-s', '14', '--return-at', returnAt);
    assert.equal(asked.exitCode, 0, asked.stderr);
    await cluster.waitUntil('lent', 20, () =>
      ['lent', 'aborted'].includes(moveOf(cluster, 'm').state),
    );
    const [lent] = moveOf(cluster, 'm').moved;
    if (lent !== undefined && moveOf(cluster, 'm').state === 'lent') {
      assert.ok(machinesOf(cluster, to).includes(lent));
    }
    await cluster.waitUntil('over', 60, () =>
      ['finished', 'aborted'].includes(moveOf(cluster, 'm').state),
    );
    assert.ok(
      lent === undefined || !machinesOf(cluster, to).includes(lent),
      'it is not there any more',
    );
    for (const uid of uids) await untilDone(cluster, uid);
  });

  scenario(
    'while the version in production serves, a move waits and says so',
    { versions: { n2: 'production' } },
    async (cluster, run) => {
      await run('move', '--from', '0', '--to', '1', '--count', '1', '--id', 'm');
      await cluster.runFor(3);
      assert.equal(moveOf(cluster, 'm').state, 'requested');
      const plan = await run('plan', '--from', '0', '--to', '1', '--count', '1');
      assert.match(plan.stdout, /waits for a node that does not know moves/);
      assert.equal((await run('abort', 'm')).exitCode, 0);
      await cluster.replace('n2', 'current');
      await untilState(cluster, 'm', 'aborted');
    },
  );
});

describe('sumacstep shares: errors', () => {
  test('invalid input is named, exit 2; without the store exit 1', async () => {
    await withCommands('127.0.0.1:9', 'shares', async (run) => {
      const ends = ['--from', '0', '--to', '1'];
      const bad: [string[], RegExp][] = [
        [['move', '--from', '0', '--to', '7', '--count', '1'], /to: no such part: 7/],
        [['move', ...ends, '--count', '-3'], /count: /],
        [['move', ...ends, '--count', '100000'], /count: one move holds \d+ machines at most/],
        [['move', ...ends, '--count', '1', '--within-s', '-5'], /deadlineMs: is past/],
        [['move', ...ends, '--count', '1', '--kind', 'cheap'], /filter\.spot: /],
        [['plan', '--from', '0', '--to', '0', '--count', '1'], /to: must be another part/],
        [['move', '--plan', '/nonexistent'], /\/nonexistent: /],
      ];
      for (const [args, says] of bad) {
        const { exitCode: code, stderr: err } = await run(...args);
        assert.equal(code, 2, `${args.join(' ')}: ${err}`);
        assert.match(err, says);
      }
      for (const args of [[], ['move', ...ends, '--count', '1'], ['abort', 'm']]) {
        const { exitCode: code, stdout: out, stderr: err } = await run(...args);
        assert.equal(code, 1, args.join(' '));
        assert.equal(out, '');
        assert.match(err, /^sumacstep: the state service: /);
      }
    });
  });
});
