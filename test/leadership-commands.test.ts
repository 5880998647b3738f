/** `sumacstep duties` while controllers end, requests conflict and the store has an outage. */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { leaderKey, transferRequestKey, type LeaderRecord } from '@sumacstep/leader-election';
import type { LeadershipOutput } from '../src/commands/duties.js';
import { parseSingletonsConfig } from '../src/config/singletons.js';
import { ConfigError } from '../src/config/platform.js';
import { ORPHAN_COLLECTOR_ROLE } from '../src/singletons/roles.js';
import { Cluster } from './standins/cluster.js';
import { withCommands, type CommandResult } from './standins/commands.js';

type Command = (...args: string[]) => Promise<CommandResult>;
const ROLE = ORPHAN_COLLECTOR_ROLE;

const statusOf = async (run: Command): Promise<LeadershipOutput['duties'][number]> => {
  const shown = JSON.parse((await run('--json')).stdout) as LeadershipOutput;
  return shown.duties.find(({ duty }) => duty === ROLE)!;
};

/** The leader ends; its successor is shown once its lease has ended. */
const showsFailover = async (
  cluster: Cluster,
  run: Command,
  first: LeaderRecord,
): Promise<void> => {
  const shown = JSON.parse((await run('--json')).stdout) as LeadershipOutput;
  const reclaim = shown.duties.find(({ duty }) => duty === ROLE)!;
  assert.equal(reclaim.holder, first.holder!.node);
  assert.equal(reclaim.token, first.token);
  assert.equal(reclaim.until.kind, 'lease_renewed');
  assert.equal(shown.parts.length, 3);

  cluster.kill(first.holder!.node);
  const seen = new Set<string>();
  await cluster.waitUntil('another leader is shown', 20, async () => {
    const status = await statusOf(run);
    seen.add(`${status.until.kind} ${status.token}`);
    return status.token === first.token + 1 && status.until.kind === 'lease_renewed';
  });
  assert.ok(seen.has(`lease_renewed ${first.token}`), 'until its lease ends');
};

/** The node that ended: the request waits, visibly, until it is withdrawn. */
const waitsForEndedNode = async (cluster: Cluster, run: Command, ended: string): Promise<void> => {
  assert.equal((await run('hand-over', ROLE, '--to', ended, '--id', 'a')).exitCode, 0);
  const other = await run('hand-over', ROLE, '--to', ended, '--id', 'b');
  assert.equal(other.exitCode, 3);
  assert.match(other.stderr, /another request waits \(a\)/);
  const { stdout: out } = await run();
  assert.match(out, new RegExp(`to ${ended} \\(a\\), waits for ${ended} to live`));
  assert.equal((await run('withdraw', ROLE)).exitCode, 0);
  assert.equal(cluster.stored(transferRequestKey(ROLE)), undefined);
};

describe('sumacstep duties', () => {
  test('shows leaders during a failover, and transfers by request', async () => {
    const features = { duties: parseSingletonsConfig('', '') };
    const cluster = new Cluster({ runMs: 500, leaseS: 10, cancelS: 20, features });
    const record = () => cluster.stored(leaderKey(ROLE)) as LeaderRecord | undefined;
    try {
      await cluster.open();
      await cluster.waitUntil('held', 20, () => record() !== undefined);
      const shardsOwned = () =>
        ['0', '1', '2'].every((i) => cluster.stored(`parts/${i}`) !== undefined);
      await cluster.waitUntil('all shards are owned', 20, shardsOwned);
      await withCommands(cluster.store.address, 'duties', async (run) => {
        const first = record()!;
        await showsFailover(cluster, run, first);
        const to = cluster.nodes.find(
          (n) => n !== first.holder!.node && n !== record()!.holder!.node,
        )!;
        const asked = await Promise.all([
          run('hand-over', ROLE, '--to', to, '--id', 'same'),
          run('hand-over', ROLE, '--to', to, '--id', 'same'),
        ]);
        assert.deepEqual(
          asked.map((r) => r.exitCode),
          [0, 0],
          'the same id is one request',
        );
        await cluster.waitUntil(`${to} holds it`, 20, () => record()?.holder?.node === to);
        const text = (await run('show')).stdout;
        assert.match(text, /^DUTY +HOLDER +TOKEN +SINCE +UNTIL +HAND-OVER\n/);
        assert.match(text, new RegExp(`^reclaim +${to} +${record()!.token} `, 'm'));

        await waitsForEndedNode(cluster, run, first.holder!.node);
      });
    } finally {
      cluster.close();
    }
  });
});

describe('sumacstep duties: errors', () => {
  test('invalid input is named and changes nothing; without the store nothing is shown', async () => {
    await withCommands('127.0.0.1:9', 'duties', async (run) => {
      const bad: [string[], RegExp][] = [
        [['hand-over', 'rent'], /no such duty: rent \(reclaim, clear, move\)/],
        [['hand-over', ROLE, '--to', 'n7'], /no such node: n7 \(n0, n1, n2\)/],
        [['withdraw', 'rent'], /no such duty: rent/],
      ];
      for (const [args, says] of bad) {
        const { exitCode: code, stderr: err } = await run(...args);
        assert.equal(code, 2, args.join(' '));
        assert.match(err, says);
      }
      for (const args of [[], ['--json'], ['hand-over', ROLE], ['withdraw', ROLE]]) {
        const { exitCode: code, stdout: out, stderr: err } = await run(...args);
        assert.equal(code, 1, args.join(' '));
        assert.equal(out, '');
        assert.match(err, /^sumacstep: the state service: /);
      }
    });
  });

  test('settings: each bad key is named', () => {
    const text = '[clear]\nfinal_keep_h = 0\nfinal_keep = 3\n[returns]\nrecord = maybe\n[x]\ny = 1';
    try {
      parseSingletonsConfig('duties.ini', text);
      assert.fail('accepted');
    } catch (error) {
      assert.ok(error instanceof ConfigError);
      const problems = error.problems.join('\n');
      for (const key of ['clear.final_keep_h', 'final_keep"', 'returns.record', '"x"']) {
        assert.ok(problems.includes(key), `${key} in ${problems}`);
      }
    }
  });
});
