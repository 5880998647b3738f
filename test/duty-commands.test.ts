import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { leaderKey, transferRequestKey, type LeaderRecord } from '@sumacstep/leader-election';
import type { LeadershipOutput } from '../src/commands/duties.js';
import { parseDuties } from '../src/config/duties.js';
import { ConfigError } from '../src/config/platform.js';
import { ORPHAN_COLLECTOR_ROLE } from '../src/singletons/roles.js';
import { Cluster } from './standins/cluster.js';
import { withCommands } from './standins/commands.js';

/** The commands of duties while controllers end, requests meet and the state service is out. */
describe('sumacstep duties', () => {
  test('shows holders during a failover, and hands over by request', async () => {
    const features = { duties: parseDuties('', '') };
    const c = new Cluster({ runMs: 500, leaseS: 10, cancelS: 20, features });
    const record = () => c.stored(leaderKey(ORPHAN_COLLECTOR_ROLE)) as LeaderRecord | undefined;
    try {
      await c.open();
      await c.until('held', 20, () => record() !== undefined);
      const shardsOwned = () => ['0', '1', '2'].every((i) => c.stored(`parts/${i}`) !== undefined);
      await c.until('all shards are owned', 20, shardsOwned);
      await withCommands(c.state.address, 'duties', async (run) => {
        const first = record()!;
        const shown = JSON.parse((await run('--json')).out) as LeadershipOutput;
        const reclaim = shown.duties.find((d) => d.duty === ORPHAN_COLLECTOR_ROLE)!;
        assert.equal(reclaim.holder, first.holder!.node);
        assert.equal(reclaim.token, first.token);
        assert.equal(reclaim.until.kind, 'lease_renewed');
        assert.equal(shown.parts.length, 3);

        c.kill(first.holder!.node);
        const seen = new Set<string>();
        await c.until('another holder is shown', 20, async () => {
          const now = JSON.parse((await run('--json')).out) as LeadershipOutput;
          const status = now.duties.find((d) => d.duty === ORPHAN_COLLECTOR_ROLE)!;
          seen.add(`${status.until.kind} ${status.token}`);
          return status.token === first.token + 1 && status.until.kind === 'lease_renewed';
        });
        assert.ok(seen.has(`lease_renewed ${first.token}`), 'until its lease ends');

        const to = c.names.find((n) => n !== first.holder!.node && n !== record()!.holder!.node)!;
        const asked = await Promise.all([
          run('hand-over', ORPHAN_COLLECTOR_ROLE, '--to', to, '--id', 'same'),
          run('hand-over', ORPHAN_COLLECTOR_ROLE, '--to', to, '--id', 'same'),
        ]);
        assert.deepEqual(
          asked.map((r) => r.code),
          [0, 0],
          'the same id is one request',
        );
        await c.until(`${to} holds it`, 20, () => record()?.holder?.node === to);
        const text = (await run('show')).out;
        assert.match(text, /^DUTY +HOLDER +TOKEN +SINCE +UNTIL +HAND-OVER\n/);
        assert.match(text, new RegExp(`^reclaim +${to} +${record()!.token} `, 'm'));

        // The node that ended: the request waits, visibly, until it is withdrawn.
        const gone = first.holder!.node;
        assert.equal(
          (await run('hand-over', ORPHAN_COLLECTOR_ROLE, '--to', gone, '--id', 'a')).code,
          0,
        );
        const other = await run('hand-over', ORPHAN_COLLECTOR_ROLE, '--to', gone, '--id', 'b');
        assert.equal(other.code, 3);
        assert.match(other.err, /another request waits \(a\)/);
        assert.match(
          (await run()).out,
          new RegExp(`to ${gone} \\(a\\), waits for ${gone} to live`),
        );
        assert.equal((await run('withdraw', ORPHAN_COLLECTOR_ROLE)).code, 0);
        assert.equal(c.stored(transferRequestKey(ORPHAN_COLLECTOR_ROLE)), undefined);
      });
    } finally {
      c.close();
    }
  });

  test('bad input is named and changes nothing; without the state service nothing is shown', async () => {
    await withCommands('127.0.0.1:9', 'duties', async (run) => {
      const bad: [string[], RegExp][] = [
        [['hand-over', 'rent'], /no such duty: rent \(reclaim, clear, move\)/],
        [['hand-over', ORPHAN_COLLECTOR_ROLE, '--to', 'n7'], /no such node: n7 \(n0, n1, n2\)/],
        [['withdraw', 'rent'], /no such duty: rent/],
      ];
      for (const [args, says] of bad) {
        const { code, err } = await run(...args);
        assert.equal(code, 2, args.join(' '));
        assert.match(err, says);
      }
      for (const args of [
        [],
        ['--json'],
        ['hand-over', ORPHAN_COLLECTOR_ROLE],
        ['withdraw', ORPHAN_COLLECTOR_ROLE],
      ]) {
        const { code, out, err } = await run(...args);
        assert.equal(code, 1, args.join(' '));
        assert.equal(out, '');
        assert.match(err, /^sumacstep: the state service: /);
      }
    });
  });

  test('settings: each bad key is named', () => {
    const text = '[clear]\nfinal_keep_h = 0\nfinal_keep = 3\n[returns]\nrecord = maybe\n[x]\ny = 1';
    try {
      parseDuties('duties.ini', text);
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
