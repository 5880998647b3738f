import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  FAILBACK_HOLD_MS,
  MAX_FAILBACK_MS,
  FAILBACK_MS,
  FAILOVER_GRACE_MS,
} from '../src/core/ownership/constants.js';
import { OwnershipPolicy, type OwnershipView } from '../src/core/ownership/ownership-policy.js';

const NODES = ['n0', 'n1', 'n2'];
type Owner = [owner: string, incarnation: string];

const view = (
  me: string,
  incarnation: string,
  alive: Record<string, string[]>,
  shards: Record<number, Owner>,
): OwnershipView => ({
  node: me,
  incarnation,
  nodes: NODES,
  live: new Map(Object.entries(alive).map(([n, i]) => [n, new Set(i)])),
  owners: new Map(
    Object.entries(shards).map(([p, [owner, i]]) => [Number(p), { owner, incarnation: i }]),
  ),
  shardCount: 3,
});

const ALL = { n0: ['a'], n1: ['b'], n2: ['c'] };
const OWN = { 0: ['n0', 'a'], 1: ['n1', 'b'], 2: ['n2', 'c'] } as Record<number, Owner>;
const fitAll = (n: string) => ({ n0: 'a', n1: 'b', n2: 'c' })[n] ?? null;
const takes = (o: OwnershipPolicy, v: OwnershipView, now: number) =>
  o.decide(v, now, fitAll).map((s) => `${s.kind} ${s.shard}`);

test('taking shards: table', () => {
  const cases: [string, OwnershipView, number, string[]][] = [
    ['all is well', view('n0', 'a', ALL, OWN), 0, []],
    ['an unowned shard of ours, at once', view('n0', 'a', ALL, {}), 0, ['acquire 0']],
    [
      'our own shard after a restart, though the old lease still lives',
      view('n0', 'x', { ...ALL, n0: ['a', 'x'] }, OWN),
      0,
      ['acquire 0'],
    ],
    [
      'the shard of a dead node: the first survivor at once',
      view('n0', 'a', { n0: ['a'], n2: ['c'] }, OWN),
      0,
      ['acquire 1'],
    ],
    [
      'the shard of a dead node: the second survivor waits',
      view('n2', 'c', { n0: ['a'], n2: ['c'] }, OWN),
      FAILOVER_GRACE_MS - 1,
      [],
    ],
    [
      'and takes it when the first does not',
      view('n2', 'c', { n0: ['a'], n2: ['c'] }, OWN),
      FAILOVER_GRACE_MS,
      ['acquire 1'],
    ],
    [
      'a restarted node gets the first chance at its shard',
      view('n0', 'a', { ...ALL, n1: ['new'] }, OWN),
      FAILOVER_GRACE_MS - 1,
      [],
    ],
  ];
  for (const [name, v, now, want] of cases) {
    const o = new OwnershipPolicy();
    o.decide(v, 0, fitAll);
    assert.deepEqual(takes(o, v, now), want, name);
  }
});

test('a shard that its living node gave away is not given back at once, later each time', () => {
  // The node hears no workers: with its shard again it returned 177 machines as silent
  // (docs/incidents/2026-12-02-handed-back.md).
  const o = new OwnershipPolicy();
  const own = view('n0', 'a', ALL, OWN);
  const given = view('n0', 'a', ALL, { ...OWN, 1: ['n0', 'a'] });
  let now = 100 * FAILBACK_MS;
  for (const hold of [FAILBACK_HOLD_MS, 2 * FAILBACK_HOLD_MS, MAX_FAILBACK_MS, MAX_FAILBACK_MS]) {
    assert.deepEqual(takes(o, own, now), []);
    assert.deepEqual(takes(o, given, now + 1), []);
    assert.deepEqual(takes(o, given, now + hold), [], `kept for ${hold} ms`);
    assert.deepEqual(takes(o, given, now + hold + 1), ['transfer 1']);
    now += hold + 1;
  }
});

test('a shard of a node that had ended is given back as before', () => {
  const o = new OwnershipPolicy();
  const ended = { n0: ['a'], n2: ['c'] };
  takes(o, view('n0', 'a', ALL, OWN), 0);
  takes(o, view('n0', 'a', ended, OWN), 1000);
  takes(o, view('n0', 'a', ended, { ...OWN, 1: ['n0', 'a'] }), 2000);
  const back = view('n0', 'a', { ...ALL, n1: ['b'] }, { ...OWN, 1: ['n0', 'a'] });
  assert.deepEqual(takes(o, back, 3000), []);
  assert.deepEqual(takes(o, back, 3000 + FAILBACK_MS), ['transfer 1']);
});

test('a returned node gets its shard back after a while, later each time', () => {
  const o = new OwnershipPolicy();
  const held = view('n0', 'a', ALL, { ...OWN, 1: ['n0', 'a'] });
  assert.deepEqual(takes(o, held, 0), []);
  assert.deepEqual(takes(o, held, FAILBACK_MS - 1), []);
  assert.deepEqual(takes(o, held, FAILBACK_MS), ['transfer 1']);
  o.failedBack(1);
  assert.deepEqual(takes(o, held, FAILBACK_MS), [], 'no flapping');
  assert.deepEqual(takes(o, held, FAILBACK_MS * 2), ['transfer 1']);
  const unfit = new OwnershipPolicy();
  for (const now of [0, FAILBACK_MS * 3]) {
    assert.deepEqual(
      unfit.decide(held, now, () => null),
      [],
      'not to a node without state',
    );
  }
});
