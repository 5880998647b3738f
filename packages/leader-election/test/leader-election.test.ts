import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setImmediate as turn } from 'node:timers/promises';
import {
  LeaderElection,
  leaderKey,
  fencingToken,
  FencingRejections,
  StoreUnavailableError,
  type Guard,
  type ElectionView,
  type CompareAndSwapResult,
} from '@sumacstep/leader-election';

const ME = { node: 'a', incarnation: 'one' };
const member = (node: string, revision: number) => ({
  node,
  incarnation: 'one',
  revision,
  supportsElection: true,
});

/** A manager whose transactions are kept, and answered by the test. */
const scene = (holder: string, living: readonly string[]) => {
  const sent: {
    guards: readonly Guard[];
    answer: (outcome: CompareAndSwapResult | Error) => void;
  }[] = [];
  const record = {
    holder: { node: holder, incarnation: 'one' },
    former: null,
    token: fencingToken(4),
    sinceMs: 0,
  };
  const view: ElectionView = {
    members: living.map((node, i) => member(node, 10 + i)),
    records: new Map([['d', { value: record, revision: 7 }]]),
    transferRequests: new Map(),
  };
  const log = { info: () => undefined, debug: () => undefined };
  const manager = new LeaderElection(
    {
      self: ME,
      roles: ['d'],
      candidateDelayMs: 0,
      memberKey: (m) => `nodes/${m.node}/${m.incarnation}`,
    },
    {
      store: {
        compareAndSwap: (_urgency, guards) =>
          new Promise((resolve, reject) => {
            const answer = (outcome: CompareAndSwapResult | Error) =>
              outcome instanceof Error ? reject(outcome) : resolve(outcome);
            sent.push({ guards, answer });
          }),
      },
      view: () => view,
      hasAuthority: () => true,
      onCommitted: () => undefined,
      steadyMs: () => 0,
      wallClockMs: () => 0,
      rejections: new FencingRejections(() => Promise.resolve(null), log),
      log,
    },
  );
  return { manager, sent };
};

test('a takeover depends on the record, the own life, and the end of the former one', () => {
  const { manager, sent } = scene('b', ['a', 'c']);
  manager.tick();
  assert.deepEqual(sent[0]?.guards, [
    { key: leaderKey('d'), revision: 7 },
    { key: 'nodes/a/one', revision: 10 },
    { key: 'nodes/b/one', revision: 0 },
  ]);
});

test('while the outcome of a hand-over is unknown its sender does not act, and repeats it', async () => {
  const { manager, sent } = scene('a', ['a', 'c']);
  const authorization = manager.authorize('d');
  assert.ok(authorization !== null && authorization.isValid());
  manager.release('d');
  assert.equal(authorization.isValid(), false, 'not from here on');
  assert.equal(manager.authorize('d'), null);
  sent[0]!.answer(new StoreUnavailableError('no answer'));
  await turn();
  assert.equal(authorization.isValid(), false, 'it may be carried out yet');
  manager.tick();
  assert.deepEqual(sent[1]!.guards, sent[0]!.guards, 'the same again');
  sent[1]!.answer({ ok: false, failed: ['nodes/c/one'] });
  await turn();
  assert.ok(authorization.isValid(), 'refused, so no copy of it can be carried out any more');
});
