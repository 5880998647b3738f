/** The transactions that leader election sends, with a store whose answers the test controls one by one. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
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

const SELF = { node: 'a', incarnation: 'one' };
const member = (node: string, revision: number) => ({
  node,
  incarnation: 'one',
  revision,
  supportsElection: true,
});

/** Creates an election that records its transactions, and leaves it to the test to answer them. */
const startElection = (leader: string, live: readonly string[]) => {
  const sent: {
    guards: readonly Guard[];
    answer: (outcome: CompareAndSwapResult | Error) => void;
  }[] = [];
  const record = {
    holder: { node: leader, incarnation: 'one' },
    former: null,
    token: fencingToken(4),
    sinceMs: 0,
  };
  const view: ElectionView = {
    members: live.map((node, i) => member(node, 10 + i)),
    records: new Map([['d', { value: record, revision: 7 }]]),
    transferRequests: new Map(),
  };
  const log = { info: () => undefined, debug: () => undefined };
  const election = new LeaderElection(
    {
      self: SELF,
      roles: ['d'],
      candidateDelayMs: 0,
      memberKey: ({ node, incarnation }) => `nodes/${node}/${incarnation}`,
    },
    {
      store: {
        compareAndSwap: (_priority, guards) =>
          new Promise((resolve, reject) => {
            const answer = (outcome: CompareAndSwapResult | Error) => {
              if (outcome instanceof Error) reject(outcome);
              else resolve(outcome);
            };
            sent.push({ guards, answer });
          }),
      },
      view: () => view,
      hasAuthority: () => true,
      onCommitted: () => undefined,
      monotonicMs: () => 0,
      wallClockMs: () => 0,
      rejections: new FencingRejections(() => Promise.resolve(null), log),
      log,
    },
  );
  return { election, sent };
};

test('a takeover is guarded by the leader record, the own membership and the end of the former leader', () => {
  const { election, sent } = startElection('b', ['a', 'c']);
  election.tick();
  assert.deepEqual(sent[0]?.guards, [
    { key: leaderKey('d'), revision: 7 },
    { key: 'nodes/a/one', revision: 10 },
    { key: 'nodes/b/one', revision: 0 },
  ]);
});

test('while the outcome of a transfer is unknown, its sender does not act as the leader and repeats it', async () => {
  const { election, sent } = startElection('a', ['a', 'c']);
  const authorization = election.authorize('d');
  assert.ok(authorization !== null && authorization.isValid());
  election.release('d');
  assert.equal(authorization.isValid(), false, 'not valid once the transfer has begun');
  assert.equal(election.authorize('d'), null);
  sent[0]!.answer(new StoreUnavailableError('no answer'));
  await nextTurn();
  assert.equal(
    authorization.isValid(),
    false,
    'not valid while the transfer may still be executed',
  );
  election.tick();
  assert.deepEqual(sent[1]!.guards, sent[0]!.guards, 'the same transaction is sent again');
  sent[1]!.answer({ ok: false, failed: ['nodes/c/one'] });
  await nextTurn();
  assert.ok(authorization.isValid(), 'valid after a rejection: no copy can be executed');
});
