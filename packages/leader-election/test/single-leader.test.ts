/** At most one process leads at a time, whatever freezes, ends, is cut off or arrives late. */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { fencedCompareAndSwap } from '@sumacstep/leader-election';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { historyViolations } from './history.js';
import { NO_FAULTS, SimulatedCluster } from './simulated-cluster.js';
import { ROLE, type ClusterFaults, type SimulatedNode } from './simulated-node.js';

/** ms; longer than a lease and the delays of all candidates. */
const TAKEOVER_MS = 12_000;
const NODES = ['a', 'b', 'c'];

const startCluster = async (
  faults: ClusterFaults = NO_FAULTS,
  cloudMs?: () => number,
): Promise<SimulatedCluster> => {
  const cluster = new SimulatedCluster(faults, cloudMs);
  for (const node of NODES) cluster.start(node);
  await cluster.time.runUntil(TAKEOVER_MS);
  assert.ok(cluster.leader !== null, 'a node leads the role');
  return cluster;
};

const assertNoViolations = async (
  cluster: SimulatedCluster,
  nodes = cluster.nodes,
): Promise<void> => {
  for (const { rejections } of nodes) await rejections.settled();
  assert.deepEqual(historyViolations(cluster.history), []);
  assert.deepEqual(cluster.violations, []);
};

const rejectionLines = (node: SimulatedNode, by: string) =>
  node.log.filter(
    (line) => line.message === 'order of a replaced leader rejected' && line['rejectedBy'] === by,
  );

/** What happens to the cluster; `first` is the first leader. */
type Disturbance = (cluster: SimulatedCluster, first: SimulatedNode) => Promise<void> | void;

/** After each of these one leader acts; the history of all orders is checked. */
const DISTURBANCES: [string, Disturbance][] = [
  [
    'the leader ends',
    (_, first) => {
      first.kill();
    },
  ],
  [
    'the same node is back under a new incarnation within a fraction of a second',
    async (cluster, first) => {
      first.kill();
      await cluster.time.runUntil(cluster.time.now + 100);
      cluster.start(first.node);
    },
  ],
  [
    'the store refuses the leader alone for longer than its lease',
    async (cluster, first) => {
      cluster.setUnreachable(first.node, true);
      await cluster.time.runUntil(cluster.time.now + TAKEOVER_MS);
      cluster.setUnreachable(first.node, false);
    },
  ],
  [
    'the store has an outage when the lease expires',
    async (cluster, first) => {
      first.kill();
      await cluster.time.runUntil(cluster.time.now + 5000);
      cluster.store.outage = true;
      await cluster.time.runUntil(cluster.time.now + TAKEOVER_MS);
      cluster.store.outage = false;
    },
  ],
  [
    'the leader releases the role while another node takes over from it',
    async (cluster, first) => {
      first.freeze(6500);
      await cluster.time.runUntil(cluster.time.now + 6500);
      first.election.release(ROLE);
    },
  ],
  [
    'the leader releases the role',
    (_, first) => {
      first.election.release(ROLE);
    },
  ],
  [
    'the time of day jumps ahead by a month and back by a year',
    async (cluster) => {
      cluster.timeOfDay += 30 * 86_400_000;
      await cluster.time.runUntil(cluster.time.now + 1000);
      cluster.timeOfDay -= 365 * 86_400_000;
    },
  ],
  [
    'all nodes end, and one returns',
    (cluster) => {
      for (const node of cluster.nodes) node.kill();
      cluster.start('b');
    },
  ],
];

describe('one leader at a time', () => {
  test('a frozen leader is replaced, and each late order of it is rejected and logged', async () => {
    const cluster = await startCluster();
    const old = cluster.leader!;
    const authorization = old.election.authorize(ROLE)!;
    old.freeze(TAKEOVER_MS);
    await cluster.time.runUntil(cluster.time.now + TAKEOVER_MS - 1);
    const promoted = cluster.leader!;
    assert.notEqual(promoted.node, old.node);
    // Woken between its check and its calls: the command and the write are on their way already.
    cluster.commandMachine(old, authorization);
    const client = cluster.store.clientOf({ ...NO_FAULTS }, (work) => {
      old.runWhenAwake(work);
    });
    const late = fencedCompareAndSwap(
      client,
      authorization,
      'normal',
      [],
      [{ put: 'machine', value: authorization.fencingToken }],
    );
    await cluster.time.runUntil(cluster.time.now + 1000);
    assert.equal((await late).ok, false, 'rejected by the store');
    // Woken before its check.
    assert.throws(() => {
      authorization.ensureValid();
    });
    await assertNoViolations(cluster);
    for (const by of ['store', 'machine', 'sender']) {
      const [line, ...more] = rejectionLines(old, by);
      assert.deepEqual(more, [], `one line of ${by}`);
      assert.ok(line !== undefined, `a line of ${by}`);
      assert.equal(line['fencingToken'], authorization.fencingToken);
      assert.equal(line['newerToken'], cluster.token);
    }
    assert.equal(old.rejections.counts.replaced, 3);
    assert.equal(cluster.counts.rejectedByMachine, 1);
  });
});

describe('one leader acts after a disturbance', () => {
  for (const [name, fault] of DISTURBANCES) {
    test(name, async () => {
      const cluster = await startCluster();
      await fault(cluster, cluster.leader!);
      await cluster.time.runUntil(cluster.time.now + 2 * TAKEOVER_MS);
      const acting = cluster.nodes.filter((node) => node.election.authorize(ROLE) !== null);
      assert.equal(acting.length, 1, 'one acts');
      assert.equal(acting[0], cluster.leader, 'the one that the record names');
      const acts = cluster.history.length;
      await cluster.time.runUntil(cluster.time.now + 1000);
      assert.ok(cluster.history.length > acts, 'and it goes on');
      await assertNoViolations(cluster);
    });
  }
});

describe('acquisition', () => {
  test('a lost answer to an acquisition, and a renewal carried out late, change nothing', async () => {
    for (const fate of ['answer_lost', 'carried_out_late'] as const) {
      let calls = 0;
      const faults: ClusterFaults = {
        ...NO_FAULTS,
        callOutcome: () => (++calls % 3 === 0 ? fate : 'normal'),
        lateByMs: () => 3500,
      };
      const cluster = new SimulatedCluster(faults);
      for (const node of NODES) cluster.start(node);
      await cluster.time.runUntil(60_000);
      assert.ok(
        cluster.history.some((event) => event.kind === 'executed'),
        fate,
      );
      await assertNoViolations(cluster);
    }
  });

  test('two candidates at once: one acquires the role, the other does not act', async () => {
    const cluster = new SimulatedCluster(NO_FAULTS);
    for (const node of NODES) cluster.start(node);
    await cluster.time.runUntil(TAKEOVER_MS);
    const acquired = cluster.history.filter((event) => event.kind === 'acquired');
    assert.deepEqual(
      acquired.map((event) => event.token),
      [1],
    );
  });

  test('no node leads while a live node does not support elections', async () => {
    const cluster = new SimulatedCluster(NO_FAULTS);
    const older = cluster.start('z', false);
    for (const node of NODES) cluster.start(node);
    await cluster.time.runUntil(TAKEOVER_MS);
    assert.deepEqual(cluster.history, []);
    older.kill();
    await cluster.time.runUntil(2 * TAKEOVER_MS);
    const acting = cluster.leader!;
    assert.ok(acting.election.authorize(ROLE) !== null);
    cluster.start('z', false);
    await cluster.time.runUntil(3 * TAKEOVER_MS);
    assert.equal(acting.election.authorize(ROLE), null, 'paused again');
    await assertNoViolations(cluster);
  });
});

const SEEDS = Number(process.env['DUTY_SEEDS'] ?? 25);
const RUN_MS = 120_000;

/** A cluster in which everything fails at random, in the same way for the same seed. */
const startFaultyCluster = (seed: number) => {
  const generator = xoroshiro128plus(seed);
  const below = (limit: number) => uniformInt(generator, 0, limit - 1);
  const faults: ClusterFaults = {
    delayMs: () => 1 + below(below(20) === 0 ? 1500 : 20),
    callOutcome: () => (['answer_lost', 'carried_out_late'] as const)[below(40)] ?? 'normal',
    lateByMs: () => 2000 + below(10_000),
    isRefused: () => false,
    drift: () => (below(1001) - 500) / 1_000_000,
  };
  const cluster = new SimulatedCluster(faults, () => below(20_000));
  const disturb = () => {
    const node = NODES[below(NODES.length)]!;
    const leader = below(3) > 0 ? cluster.leader : null;
    const target = leader ?? cluster.nodes.findLast((incarnation) => incarnation.node === node)!;
    const fault = below(6);
    if (fault === 0) target.freeze(1000 + below(15_000));
    else if (fault === 1 && target.alive) {
      target.kill();
      cluster.time.after(50 + below(8000), () => cluster.start(target.node));
    } else if (fault === 2) {
      cluster.setUnreachable(target.node, true);
      cluster.time.after(1000 + below(12_000), () => {
        cluster.setUnreachable(target.node, false);
      });
    } else if (fault === 3) target.election.release(ROLE);
    else if (fault === 4 && below(3) === 0) {
      cluster.store.outage = true;
      cluster.time.after(500 + below(9000), () => (cluster.store.outage = false));
    }
    cluster.timeOfDay += below(2_000_000) - 1_000_000;
  };
  cluster.time.every(4000, disturb);
  for (const node of NODES) cluster.start(node);
  return cluster;
};

test(`seeded runs of ${SEEDS}: no two leaders act at once, no token repeats`, async (t) => {
  const total = {
    acquired: 0,
    executed: 0,
    returned: 0,
    used: 0,
    replaced: 0,
    rejectedByMachine: 0,
  };
  for (let seed = 1; seed <= SEEDS; seed++) {
    const cluster = startFaultyCluster(seed);
    await cluster.time.runUntil(RUN_MS);
    for (const node of cluster.nodes) await node.rejections.settled();
    assert.deepEqual(historyViolations(cluster.history), [], `seed ${seed}`);
    assert.deepEqual(cluster.violations, [], `seed ${seed}`);
    total.acquired += cluster.history.filter((event) => event.kind === 'acquired').length;
    total.executed += cluster.history.filter((event) => event.kind === 'executed').length;
    total.returned += cluster.counts.returned;
    total.used += cluster.counts.used;
    total.rejectedByMachine += cluster.counts.rejectedByMachine;
    for (const { rejections } of cluster.nodes) total.replaced += rejections.counts.replaced;
  }
  // The runs must have met the cases that they are for.
  assert.ok(total.acquired > SEEDS * 5 && total.executed > SEEDS * 100, JSON.stringify(total));
  assert.ok(total.returned > 0 && total.used > 0 && total.replaced > 0, JSON.stringify(total));
  t.diagnostic(JSON.stringify(total));
});

test('the check of histories finds each kind of violation', () => {
  const first = { kind: 'acquired', leader: 'x', token: 2 } as const;
  const violating = [
    [first, { kind: 'acquired', leader: 'y', token: 2 }],
    [first, { kind: 'sent', leader: 'y', token: 2 }],
    [first, { kind: 'acquired', leader: 'y', token: 3 }, { kind: 'sent', leader: 'x', token: 2 }],
    [first, { kind: 'executed', by: 'store', token: 1 }],
    [
      first,
      { kind: 'executed', by: 'machine', token: 2 },
      { kind: 'executed', by: 'machine', token: 1 },
    ],
  ] as const;
  for (const events of violating) {
    assert.equal(historyViolations(events).length, 1, JSON.stringify(events));
  }
});
