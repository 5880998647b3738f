import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  FAILBACK_HOLD_MS,
  MAX_FAILBACK_DELAY_MS,
  FAILBACK_DELAY_MS,
  FAILOVER_GRACE_MS,
} from '../src/core/ownership/constants.js';
import {
  OwnershipPolicy,
  type Owner,
  type OwnershipView,
} from '../src/core/ownership/ownership-policy.js';

const NODES = ['n0', 'n1', 'n2'];
type Owners = Readonly<Record<number, Owner>>;
type LiveIncarnations = Readonly<Record<string, readonly string[]>>;

const ownedBy = (owner: string, incarnation: string): Owner => ({ owner, incarnation });

const view = (
  node: string,
  incarnation: string,
  live: LiveIncarnations,
  owners: Owners,
): OwnershipView => ({
  node,
  incarnation,
  nodes: NODES,
  live: new Map(Object.entries(live).map(([name, lives]) => [name, new Set(lives)])),
  owners: new Map(Object.entries(owners).map(([shard, owner]) => [Number(shard), owner])),
  shardCount: 3,
});

const ALL_LIVE: LiveIncarnations = { n0: ['a'], n1: ['b'], n2: ['c'] };
const N1_DEAD: LiveIncarnations = { n0: ['a'], n2: ['c'] };
const PREFERRED: Owners = { 0: ownedBy('n0', 'a'), 1: ownedBy('n1', 'b'), 2: ownedBy('n2', 'c') };
const N0_OWNS_1: Owners = { ...PREFERRED, 1: ownedBy('n0', 'a') };

const allEligible = (node: string) => ({ n0: 'a', n1: 'b', n2: 'c' })[node] ?? null;
const steps = (policy: OwnershipPolicy, seen: OwnershipView, now: number) =>
  policy.decide(seen, now, allEligible).map((step) => `${step.kind} ${step.shard}`);

test('failover: table', () => {
  const cases: { name: string; view: OwnershipView; now: number; steps: string[] }[] = [
    {
      name: 'every shard has its preferred node',
      view: view('n0', 'a', ALL_LIVE, PREFERRED),
      now: 0,
      steps: [],
    },
    {
      name: 'the preferred node acquires a shard without an owner at once',
      view: view('n0', 'a', ALL_LIVE, {}),
      now: 0,
      steps: ['acquire 0'],
    },
    {
      name: 'a restarted node acquires its own shard at once, though its former lease is still valid',
      view: view('n0', 'x', { ...ALL_LIVE, n0: ['a', 'x'] }, PREFERRED),
      now: 0,
      steps: ['acquire 0'],
    },
    {
      name: 'the first survivor acquires the shard of a dead node at once',
      view: view('n0', 'a', N1_DEAD, PREFERRED),
      now: 0,
      steps: ['acquire 1'],
    },
    {
      name: 'the second survivor waits',
      view: view('n2', 'c', N1_DEAD, PREFERRED),
      now: FAILOVER_GRACE_MS - 1,
      steps: [],
    },
    {
      name: 'the second survivor acquires it when the first one does not',
      view: view('n2', 'c', N1_DEAD, PREFERRED),
      now: FAILOVER_GRACE_MS,
      steps: ['acquire 1'],
    },
    {
      name: 'a restarted node has the first chance at its shard',
      view: view('n0', 'a', { ...ALL_LIVE, n1: ['new'] }, PREFERRED),
      now: FAILOVER_GRACE_MS - 1,
      steps: [],
    },
  ];
  for (const expected of cases) {
    const policy = new OwnershipPolicy();
    policy.decide(expected.view, 0, allEligible);
    assert.deepEqual(steps(policy, expected.view, expected.now), expected.steps, expected.name);
  }
});

test('a shard that its live preferred node transferred away fails back after a hold that doubles', () => {
  // The node receives no heartbeats: with its shard back it returned 177 machines as lost
  // (docs/incidents/2026-12-02-handed-back.md).
  const policy = new OwnershipPolicy();
  const before = view('n0', 'a', ALL_LIVE, PREFERRED);
  const transferred = view('n0', 'a', ALL_LIVE, N0_OWNS_1);
  let now = 100 * FAILBACK_DELAY_MS;
  for (const hold of [
    FAILBACK_HOLD_MS,
    2 * FAILBACK_HOLD_MS,
    MAX_FAILBACK_DELAY_MS,
    MAX_FAILBACK_DELAY_MS,
  ]) {
    assert.deepEqual(steps(policy, before, now), []);
    assert.deepEqual(steps(policy, transferred, now + 1), []);
    assert.deepEqual(steps(policy, transferred, now + hold), [], `held for ${hold} ms`);
    assert.deepEqual(steps(policy, transferred, now + hold + 1), ['transfer 1']);
    now += hold + 1;
  }
});

test('a shard acquired by failover fails back without that hold', () => {
  const policy = new OwnershipPolicy();
  steps(policy, view('n0', 'a', ALL_LIVE, PREFERRED), 0);
  steps(policy, view('n0', 'a', N1_DEAD, PREFERRED), 1000);
  steps(policy, view('n0', 'a', N1_DEAD, N0_OWNS_1), 2000);
  const returned = view('n0', 'a', ALL_LIVE, N0_OWNS_1);
  assert.deepEqual(steps(policy, returned, 3000), []);
  assert.deepEqual(steps(policy, returned, 3000 + FAILBACK_DELAY_MS), ['transfer 1']);
});

test('a shard fails back to a returned node after a delay that doubles', () => {
  const policy = new OwnershipPolicy();
  const held = view('n0', 'a', ALL_LIVE, N0_OWNS_1);
  assert.deepEqual(steps(policy, held, 0), []);
  assert.deepEqual(steps(policy, held, FAILBACK_DELAY_MS - 1), []);
  assert.deepEqual(steps(policy, held, FAILBACK_DELAY_MS), ['transfer 1']);
  policy.recordFailback(1);
  assert.deepEqual(steps(policy, held, FAILBACK_DELAY_MS), [], 'no flapping');
  assert.deepEqual(steps(policy, held, FAILBACK_DELAY_MS * 2), ['transfer 1']);
});

test('a shard does not fail back to a node without contact to the store', () => {
  const policy = new OwnershipPolicy();
  const held = view('n0', 'a', ALL_LIVE, N0_OWNS_1);
  for (const now of [0, FAILBACK_DELAY_MS * 3]) {
    assert.deepEqual(
      policy.decide(held, now, () => null),
      [],
    );
  }
});
