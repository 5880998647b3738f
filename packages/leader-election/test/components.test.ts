/** The parts of leader election one by one: leases, retention, candidates, rejections, tokens. */
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

/** The store counts 6000 ms from the renewal's arrival; a leader's clock may run fast or slow by 0.05 %. */
test('a lease is provably alive for less than the store keeps it, whatever the clocks do', () => {
  for (const drift of [-0.0005, 0, 0.0005]) {
    for (const travelMs of [0, 5, 2000]) {
      const lease = new LeaseValidity(LEASE);
      const steady = (ms: number) => ms * (1 + drift);
      lease.extend(steady(0), steady(2 * travelMs));
      const storeEndsAt = travelMs + LEASE.ttlMs;
      for (let at = 2 * travelMs; at < storeEndsAt + 100; at += 1) {
        if (lease.valid(steady(at))) assert.ok(at < storeEndsAt, `${drift} ${travelMs} ${at}`);
      }
      assert.ok(travelMs > 1000 || lease.valid(steady(5000)), 'and for most of it');
    }
  }
});

test('a lease that ran out in between is valid since its next renewal', () => {
  const lease = new LeaseValidity(LEASE);
  lease.extend(0, 10);
  lease.extend(3000, 3010);
  assert.equal(lease.validSince, 10, 'without a break');
  lease.extend(20_000, 20_005);
  assert.equal(lease.validSince, 20_005);
  lease.end();
  assert.equal(lease.valid(20_006), false);
});

test('retention: only time that was observed counts, and a revision expires after all of it', () => {
  const options = { keepMs: 16_000, clockDrift: 0.001 };
  let record = observeElapsed(EMPTY_RETENTION, 0, 100, options);
  const expiredAfter: (number | null)[] = [];
  for (let round = 1; round <= 20; round++) {
    record = observeElapsed(record, 1002, 100 + round, options);
    expiredAfter.push(expiredRevision(record, options.keepMs));
  }
  assert.deepEqual(expiredAfter.slice(0, 15), Array(15).fill(null));
  assert.deepEqual(expiredAfter.slice(15), [100, 101, 102, 103, 104]);
  assert.ok(record.marks.length <= 18, `${record.marks.length} marks`);
  const back = observeElapsed(record, -5_000_000, 200, options);
  assert.equal(back.observedMs, record.observedMs, 'a clock that goes back observes nothing');
});

test('candidates: the former leader comes last, who leads fewer roles comes first', () => {
  const member = (node: string) => ({
    node,
    incarnation: 'x',
    revision: 1,
    supportsElection: true,
  });
  const ledBy = (node: string | null, former: string | null) => ({
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
  const free = candidateOrder(view(new Map()), 'd');
  assert.deepEqual([...free].sort(), ['a', 'b', 'c']);
  const [first, second] = free as [string, string];
  const busy = candidateOrder(view(new Map([['other', ledBy(first, null)]])), 'd');
  assert.equal(busy.at(-1), first);
  const former = candidateOrder(view(new Map([['d', ledBy(null, second)]])), 'd');
  assert.equal(former.at(-1), second);
});

test('rejections: one line with both tokens for a replaced leader, none for one that was not replaced', async () => {
  const rows: [string, () => Promise<number | null>, number | null, number | null][] = [
    ['named by the receiver', () => Promise.resolve(null), 9, 9],
    ['read from the store', () => Promise.resolve(8), null, 8],
    ['still the newest', () => Promise.resolve(7), null, null],
    ['store unavailable', () => Promise.reject(new StoreUnavailableError('out')), null, null],
  ];
  for (const [name, currentToken, named, logged] of rows) {
    const lines: object[] = [];
    const log = { info: (fields: object) => void lines.push(fields), debug: () => undefined };
    const rejections = new FencingRejections(currentToken, log);
    rejections.record({ role: 'd', fencingToken: fencingToken(7), rejectedBy: 'store' }, named);
    await rejections.settled();
    const line = {
      role: 'd',
      fencingToken: 7,
      newerToken: logged,
      rejectedBy: 'store',
      rejections: 1,
    };
    assert.deepEqual(lines, logged === null ? [] : [line], name);
    const counts = { replaced: logged === null ? 0 : 1, leaseInDoubt: logged === null ? 1 : 0 };
    assert.deepEqual(rejections.counts, counts, name);
  }
});

test('an action needs a fencing token and a recorded intent: a number or an absent intent is rejected', () => {
  const act = (token: FencingToken): number => token;
  // @ts-expect-error a number is no token
  assert.equal(act(3), 3);
  assert.equal(act(fencingToken(3)), 3);
  for (const wrong of [-1, 0.5, NaN, 2 ** 60]) assert.throws(() => fencingToken(wrong), RangeError);
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
