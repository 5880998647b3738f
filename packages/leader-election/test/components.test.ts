/** Unit tests of leader election's components: leases, retention, candidate order, rejections and tokens. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  Authorization,
  candidateOrder,
  expiredRevision,
  fencingToken,
  LeaseValidity,
  EMPTY_RETENTION,
  observeElapsed,
  RecordedIntent,
  FencingRejections,
  StoreUnavailableError,
  type ElectionView,
  type FencingToken,
} from '@sumacstep/leader-election';

const LEASE = { ttlMs: 6000, clockDrift: 0.001, marginMs: 500 };

// The store counts 6000 ms from the renewal's arrival; a leader's clock may run fast or slow by 0.05 %.
test('a lease is never reported alive after the store may have ended it, despite clock drift and latency', () => {
  for (const drift of [-0.0005, 0, 0.0005]) {
    for (const latencyMs of [0, 5, 2000]) {
      const lease = new LeaseValidity(LEASE);
      const steady = (ms: number) => ms * (1 + drift);
      lease.extend(steady(0), steady(2 * latencyMs));
      const storeEndsAt = latencyMs + LEASE.ttlMs;
      for (let atMs = 2 * latencyMs; atMs < storeEndsAt + 100; atMs += 1) {
        if (lease.valid(steady(atMs)))
          assert.ok(atMs < storeEndsAt, `${drift} ${latencyMs} ${atMs}`);
      }
      assert.ok(
        latencyMs > 1000 || lease.valid(steady(5000)),
        'the lease is valid for most of its duration',
      );
    }
  }
});

test('a lease that expired between two renewals counts as valid since the later renewal', () => {
  const lease = new LeaseValidity(LEASE);
  lease.extend(0, 10);
  lease.extend(3000, 3010);
  assert.equal(lease.validSince, 10, 'valid without interruption');
  lease.extend(20_000, 20_005);
  assert.equal(lease.validSince, 20_005);
  lease.end();
  assert.equal(lease.valid(20_006), false);
});

test('retention: a revision expires only after leaders have observed the whole retention time', () => {
  const options = { retentionMs: 16_000, clockDrift: 0.001 };
  let record = observeElapsed(EMPTY_RETENTION, 0, 100, options);
  const expiredAfter: (number | null)[] = [];
  for (let round = 1; round <= 20; round++) {
    record = observeElapsed(record, 1002, 100 + round, options);
    expiredAfter.push(expiredRevision(record, options.retentionMs));
  }
  assert.deepEqual(expiredAfter.slice(0, 15), Array(15).fill(null));
  assert.deepEqual(expiredAfter.slice(15), [100, 101, 102, 103, 104]);
  assert.ok(record.marks.length <= 18, `${record.marks.length} marks`);
  const afterClockStepsBack = observeElapsed(record, -5_000_000, 200, options);
  assert.equal(
    afterClockStepsBack.observedMs,
    record.observedMs,
    'no time is observed while the clock goes back',
  );
});

test('candidates: the former leader comes last, and nodes that lead fewer roles come first', () => {
  const member = (node: string) => ({
    node,
    incarnation: 'x',
    revision: 1,
    supportsElection: true,
  });
  const recordOf = (node: string | null, former: string | null) => ({
    revision: 1,
    value: {
      holder: node === null ? null : { node, incarnation: 'x' },
      former,
      token: fencingToken(1),
      sinceMs: 0,
    },
  });
  const view = (records: ElectionView['records']): ElectionView => ({
    members: ['a', 'b', 'c'].map(member),
    records,
    transferRequests: new Map(),
  });
  const orderWithoutRecords = candidateOrder(view(new Map()), 'd');
  assert.deepEqual([...orderWithoutRecords].sort(), ['a', 'b', 'c']);
  const [first, second] = orderWithoutRecords as [string, string];
  const orderWithLeader = candidateOrder(view(new Map([['other', recordOf(first, null)]])), 'd');
  assert.equal(orderWithLeader.at(-1), first);
  const former = candidateOrder(view(new Map([['d', recordOf(null, second)]])), 'd');
  assert.equal(former.at(-1), second);
});

test('rejections: an order of a replaced leader logs one line with both tokens, any other order logs none', async () => {
  // Name, token in the store, newer token that the receiver reports, newer token in the log line (null: no line).
  const cases: [string, () => Promise<number | null>, number | null, number | null][] = [
    ['newer token reported by the receiver', () => Promise.resolve(null), 9, 9],
    ['newer token read from the store', () => Promise.resolve(8), null, 8],
    ['the order has the newest token', () => Promise.resolve(7), null, null],
    ['store unavailable', () => Promise.reject(new StoreUnavailableError('out')), null, null],
  ];
  for (const [name, currentToken, reportedToken, loggedToken] of cases) {
    const lines: object[] = [];
    const log = { info: (fields: object) => void lines.push(fields), debug: () => undefined };
    const rejections = new FencingRejections(currentToken, log);
    rejections.record(
      { role: 'd', fencingToken: fencingToken(7), rejectedBy: 'store' },
      reportedToken,
    );
    await rejections.settled();
    const line = {
      role: 'd',
      fencingToken: 7,
      newerToken: loggedToken,
      rejectedBy: 'store',
      rejections: 1,
    };
    assert.deepEqual(lines, loggedToken === null ? [] : [line], name);
    const counts = {
      replaced: loggedToken === null ? 0 : 1,
      leaseInDoubt: loggedToken === null ? 1 : 0,
    };
    assert.deepEqual(rejections.counts, counts, name);
  }
});

test('actions require a fencing token and a stored intent: plain numbers and absent intents are rejected', () => {
  const takesToken = (token: FencingToken): number => token;
  // @ts-expect-error a plain number is not a token
  assert.equal(takesToken(3), 3);
  assert.equal(takesToken(fencingToken(3)), 3);
  for (const invalid of [-1, 0.5, NaN, 2 ** 60])
    assert.throws(() => fencingToken(invalid), RangeError);
  const guard = { key: 'duties/holders/d', revision: 1 };
  const leadership = { role: 'd', fencingToken: fencingToken(3), guard, isCurrent: () => true };
  const log = { info: () => undefined, debug: () => undefined };
  const authorization = new Authorization(
    leadership,
    new FencingRejections(() => Promise.resolve(null), log),
  );
  assert.throws(() => RecordedIntent.fromStored(authorization, { key: 'intent', revision: 0 }));
  assert.equal(
    RecordedIntent.fromStored(authorization, { key: 'intent', revision: 4 }).key,
    'intent',
  );
});
