/**
 * Whole controllers of the version in production and of the present one over the same shards, replacing each other in
 * both directions and in the middle of operations of several steps. The old controllers are the real program, bundled
 * from the commit that deploy/service.toml names. At every change of owner the invariants hold: no task runs on two
 * machines, no completed task is started again, no `done` is taken back, team limits and placement constraints are
 * kept, and all accepted jobs get done.
 */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { describe, test } from 'node:test';
import { encodeDone } from '../src/core/jobs/jobs.js';
import type { JobSpec } from '../src/core/model.js';
import { decodeJob, encodeJob } from '../src/store/codecs/job.js';
import { job } from './helpers.js';
import { Cluster, type ClusterOptions } from './standins/cluster.js';

const LEASE_S = 12;
const CANCEL_S = 26;
const SMALL_JOB = { Vcpus: 1, Cards: 0, MemGb: 1, GuessS: 20 };
const ALL_PRODUCTION = { n0: 'production', n1: 'production', n2: 'production' } as const;

interface VersionCase {
  readonly name: string;
  readonly options?: Partial<ClusterOptions>;
  /** tasks that the seeded values record as completed, by uid of the job */
  readonly completed?: ReadonlyMap<string, ReadonlySet<number>>;
  readonly jobs: readonly Record<string, unknown>[];
  readonly scenario: (cluster: Cluster, uids: readonly string[]) => Promise<void>;
}

// Values in the format that the version in production writes.

const SEEDED_JOBS = 12;
const SEEDED_TASKS = 400;
const SEEDED_LEFT = 4;
/** Limits of the state service as announced to the present version; a value may hold less than the seeded slot. */
const SMALL_LIMITS = {
  rps: 600,
  writeRps: 300,
  valueBytes: 700,
  transactionOps: 3,
  next: { rps: 600, writeRps: 150 },
};

/** Returns arrays with all but the last few tasks completed, the bitmaps of each shard in one large completion slot. */
const seededArrays = (shards: readonly number[]) => {
  const values: Record<string, unknown> = {};
  const completed = new Map<string, ReadonlySet<number>>();
  const range = { from: 0, to: SEEDED_TASKS };
  const done = new Set(Array.from({ length: SEEDED_TASKS - SEEDED_LEFT }, (_, i) => i));
  for (const shard of shards) {
    const slot: Record<string, string> = {};
    for (let jobNumber = 0; jobNumber < SEEDED_JOBS; jobNumber++) {
      const uid = `job-90${shard}0${String(jobNumber).padStart(2, '0')}`;
      const demand = { cpus: 1, gpus: 0, memoryGb: 1 };
      const record = job({ uid, tasks: SEEDED_TASKS, demand, estimateS: 20 }, 0, shard);
      values[`active/${uid}`] = encodeJob({ ...record, at: Date.now() });
      slot[`${uid}/0`] = encodeDone(range, done);
      completed.set(uid, done);
    }
    values[`done/${shard}/0`] = slot;
  }
  return { values, completed };
};

const SEEDED = seededArrays([0]);
const SEEDED_TWICE = seededArrays([0, 1]);

/** Returns jobs of which the old version has left half in one shard and half in another, with two completions there. */
const dividedJobs = (kinds: readonly Partial<JobSpec>[]) => {
  const values: Record<string, unknown> = {};
  const slot: Record<string, string> = {};
  for (const [index, kind] of kinds.entries()) {
    const uid = `job-91000${index}`;
    const demand = { cpus: 1, gpus: 0, memoryGb: 1 };
    const ranges = [0, 1].map((shard) => ({
      from: shard * 20,
      to: shard * 20 + 20,
      shard,
      term: 0,
    }));
    const record = { ...job({ uid, tasks: 40, demand, estimateS: 20, ...kind }), ranges };
    values[`active/${uid}`] = encodeJob({ ...record, at: Date.now() });
    if (kind.kind !== 'gang') slot[`${uid}/20`] = encodeDone(ranges[1]!, new Set([20, 21]));
  }
  const completed = new Map(
    Object.keys(slot).map((name) => [name.slice(0, -3), new Set([20, 21])]),
  );
  return { values: { ...values, 'done/1/0': slot }, completed };
};

const DIVIDED = dividedJobs([{ oneZone: true }, { spread: true }, { kind: 'gang', oneZone: true }]);

const slotKeysOf = (cluster: Cluster, shard: number): string[] =>
  [...cluster.store.items.keys()].filter((k) => k.startsWith(`done/${shard}/`));

/** Returns the shard of each task range of all unfinished jobs, by job and first task. */
const shardsOfRanges = (cluster: Cluster): Map<string, number> => {
  const out = new Map<string, number>();
  for (const [key, { value }] of cluster.store.items) {
    if (!key.startsWith('active/')) continue;
    const { ranges } = value as { ranges: [number, number, number, number][] };
    for (const [from, , shard] of ranges) out.set(`${key}/${from}`, shard);
  }
  return out;
};

const VERSION_CASES: VersionCase[] = [
  {
    // An owner that misreads the records of the other version would take running tasks for tasks not started yet.
    name: 'the owner of a shard is old, new, old, new: no task runs twice',
    options: { versions: ALL_PRODUCTION, runMs: (index) => 3000 + index * 2500 },
    jobs: [
      { ...SMALL_JOB, Pieces: 16 },
      { ...SMALL_JOB, Pieces: 16 },
      { ...SMALL_JOB, Shape: 'ensemble', Pieces: 3 },
    ],
    scenario: async (cluster, [first]) => {
      await cluster.replace('n0', 'current');
      await cluster.replace('n0', 'production');
      await cluster.cancel('n0', first!);
      await cluster.replace('n1', 'current');
      await cluster.replace('n0', 'current');
    },
  },
  {
    // A range is recorded in two slots when the old version takes over in the middle of the split. The old version
    // updates one copy; a new owner that continues the split must not overwrite it with the other, outdated one.
    name: 'an old owner takes over while a completion slot is split, and a new one continues: no completion is lost',
    options: {
      versions: ALL_PRODUCTION,
      runMs: (index) => 4000 + (index % SEEDED_LEFT) * 8000,
      storeLimits: SMALL_LIMITS,
      initialValues: SEEDED.values,
    },
    completed: SEEDED.completed,
    jobs: [],
    scenario: async (cluster) => {
      const proxy = cluster.storeProxies.get('n0')!;
      await cluster.waitUntil('tasks run', 20, () => cluster.world.starts > 8);
      cluster.kill('n0');
      proxy.transactionDelayMs = 700;
      await cluster.start('n0', 'current');
      await cluster.waitUntil('the split has begun', 30, () => slotKeysOf(cluster, 0).length > 1);
      cluster.kill('n0');
      proxy.transactionDelayMs = 0;
      await cluster.start('n0', 'production');
      await cluster.waitUntil('the old version owns it', 40, () => cluster.isReady('n0'));
      await cluster.runFor(6);
      await cluster.replace('n0', 'current');
    },
  },
  {
    // A rental request that one version sent is completed by the other under the same name, and its machines are
    // recorded once.
    name: 'the version changes while the answer to a rental request is in flight, both ways: machines are recorded once',
    options: { versions: ALL_PRODUCTION, runMs: 3000 },
    jobs: [{ ...SMALL_JOB, Pieces: 16 }],
    scenario: async (cluster) => {
      for (const [from, to] of [
        ['production', 'current'],
        ['current', 'production'],
      ] as const) {
        for (const node of cluster.nodes) if (from === 'current') await cluster.replace(node, from);
        cluster.cloud.rentalDelayMs = 2500;
        await cluster.submit('n1', { ...SMALL_JOB, Vcpus: 6, Pieces: 40 });
        const rentalKeys = () =>
          [...cluster.store.items.keys()].filter((k) => k.startsWith('hires/'));
        await cluster.waitUntil(
          `a rental request of the ${from} version is in flight`,
          30,
          () => rentalKeys().length > 0,
        );
        for (const node of cluster.nodes) cluster.kill(node);
        cluster.cloud.rentalDelayMs = 0;
        await Promise.all(cluster.nodes.map((node) => cluster.start(node, to)));
      }
      const recorded = [...cluster.store.items]
        .filter(([key]) => key.startsWith('machines/'))
        .flatMap(([, { value }]) => Object.keys((value as { hosts: object }).hosts));
      assert.equal(new Set(recorded).size, recorded.length, 'no machine has two records');
    },
  },
  {
    // A cancellation that is carried out after its node has ended must be honored by the node that is asked next.
    name: 'a cancellation is interrupted by the end of its node and repeated at the other version: the job is cancelled',
    options: { versions: { n1: 'production', n2: 'production' }, runMs: 30_000 },
    jobs: [
      { ...SMALL_JOB, Pieces: 16 },
      { ...SMALL_JOB, Pieces: 16 },
    ],
    scenario: async (cluster, [first, second]) => {
      for (const [uid, node, nextNode] of [
        [first!, 'n1', 'n0'],
        [second!, 'n0', 'n2'],
      ] as const) {
        cluster.storeProxies.get(node)!.transactionDelayMs = 1500;
        const unanswered = cluster.sendUserRequest(node, 'withdraw', uid);
        await cluster.runFor(0.5);
        cluster.kill(node);
        await unanswered;
        await cluster.cancel(nextNode, uid);
        cluster.storeProxies.get(node)!.transactionDelayMs = 0;
        await cluster.start(node, node === 'n0' ? 'production' : 'current');
      }
    },
  },
  {
    // Tasks that migrate between shards belong to exactly one of them at any moment, whichever version owns each shard.
    name: 'tasks migrate between shards whose owners change version meanwhile: no task runs twice',
    options: { versions: { n1: 'production', n2: 'production' }, runMs: 6000 },
    jobs: [1, 2, 3].map(() => ({ ...SMALL_JOB, Vcpus: 2, Pieces: 18 })),
    scenario: async (cluster) => {
      cluster.cloud.maxMachines = Math.max(2, cluster.cloud.machines.size - 2);
      const before = shardsOfRanges(cluster);
      const hasMigrated = () =>
        [...shardsOfRanges(cluster)].some(([range, shard]) => before.get(range) !== shard);
      for (const proxy of cluster.storeProxies.values()) proxy.transactionDelayMs = 300;
      for (let i = 0; i < 4; i++)
        await cluster.submit(cluster.nodes[i % 3]!, { ...SMALL_JOB, Pieces: 18 });
      const lostHosts = cluster.workerHosts().slice(0, 1);
      for (const host of lostHosts) cluster.cloud.kill(host.worker.name);
      await cluster.waitUntil('tasks migrate', 60, hasMigrated);
      await cluster.replace('n0', 'production');
      await cluster.replace('n1', 'current');
      for (const proxy of cluster.storeProxies.values()) proxy.transactionDelayMs = 0;
      cluster.cloud.maxMachines = Infinity;
    },
  },
  {
    // The old version moved one range of a job that has to stay whole. Two new owners would choose a zone each.
    name: 'the old version has divided jobs that stay whole: their zones are kept, also when an owner ends',
    options: { zones: ['y', 'z'], runMs: 3000, initialValues: DIVIDED.values },
    completed: DIVIDED.completed,
    jobs: [{ ...SMALL_JOB, Pieces: 16 }],
    scenario: async (cluster) => {
      cluster.kill('n0');
      await cluster.runFor(1);
      await cluster.start('n0', 'current');
    },
  },
  {
    // The old version exits when a value is refused, restarts and exits again. The present version has split its
    // values before, and continues when it owns the shard again.
    name: 'the limits of the state service fall while both versions serve: the present version sends nothing too large',
    options: {
      versions: { n1: 'production', n2: 'production' },
      runMs: (index) => 3000 + (index % 16) * 1500,
      storeLimits: SMALL_LIMITS,
      initialValues: SEEDED_TWICE.values,
    },
    completed: SEEDED_TWICE.completed,
    jobs: [
      { ...SMALL_JOB, Pieces: 16 },
      { ...SMALL_JOB, Pieces: 16 },
    ],
    scenario: async (cluster, [first]) => {
      const hasLargeSlot = () =>
        [...cluster.store.items].some(
          ([key, { value }]) => key.startsWith('done/0/') && JSON.stringify(value).length > 700,
        );
      await cluster.waitUntil('the present version has split the slot', 30, () => !hasLargeSlot());
      cluster.store.limits = { valueBytes: 700, transactionOps: 3, writeRps: 150 };
      for (let i = 0; i < 3; i++) await cluster.submit('n1', { ...SMALL_JOB, Pieces: 16 });
      cluster.kill('n0');
      await cluster.runFor(9);
      await cluster.start('n0', 'current');
      await cluster.cancel('n0', first!);
      await cluster.waitUntil(
        'the old version gets a refusal and exits',
        60,
        () => cluster.crashes > 0,
      );
      await cluster.replace('n1', 'current');
      await cluster.replace('n2', 'current');
      const refusedBefore = cluster.store.rejectedTransactions.size;
      await cluster.runFor(3);
      assert.equal(
        cluster.store.rejectedTransactions.size,
        refusedBefore,
        'the present version sends nothing too large',
      );
    },
  },
];

test('the bundled controller is the version that the deploy file names', () => {
  const readFile = (path: string) =>
    readFileSync(new URL(`../../../${path}`, import.meta.url), 'utf8');
  const commit = /^production = "([0-9a-f]{40})"$/m.exec(readFile('deploy/service.toml'))?.[1];
  const bundle = readFile('test/fixtures/production/controller.js');
  assert.ok(commit !== undefined && bundle.startsWith(`// Generated by scripts/`));
  assert.equal(/from commit ([0-9a-f]{40})/.exec(bundle)?.[1], commit);
});

describe('production and present version on the same shards', { concurrency: 3 }, () => {
  for (const versionCase of VERSION_CASES) {
    test(versionCase.name, async () => {
      const cluster = new Cluster({
        runMs: 3000,
        leaseS: LEASE_S,
        cancelS: CANCEL_S,
        ...versionCase.options,
      });
      for (const [uid, done] of versionCase.completed ?? [])
        cluster.world.completed.set(uid, new Set(done));
      const { initialValues: seed = {} } = versionCase.options ?? {};
      try {
        for (const [key, value] of Object.entries(seed)) {
          if (!key.startsWith('active/')) continue;
          const { spec } = decodeJob(key.slice('active/'.length), value);
          const { kind, demand } = spec;
          cluster.world.jobs.set(spec.uid, { ...spec, cpus: demand.cpus, gang: kind === 'gang' });
        }
        await cluster.open();
        const uids: string[] = [];
        for (const [index, body] of versionCase.jobs.entries())
          uids.push(await cluster.submit(`n${index % 3}`, body));
        await cluster.waitUntil('tasks run', 30, () => cluster.world.starts > 3);
        await versionCase.scenario(cluster, uids);
        for (const node of cluster.nodes)
          await cluster.waitUntil(`${node} is back`, 40, () => cluster.isReady(node));
        const seeded = Object.keys(seed).flatMap((key) =>
          key.startsWith('active/') ? [key.slice('active/'.length)] : [],
        );
        for (const uid of [...cluster.world.jobs.keys(), ...seeded]) {
          const end = cluster.world.cancelledAt.has(uid) ? 'cancelled' : 'done';
          for (const node of cluster.nodes) {
            await cluster.waitUntil(
              `${uid} ${end}`,
              90,
              async () => (await cluster.statusOf(node, uid)) === end,
            );
          }
        }
        const cancelled = [...cluster.world.cancelledAt.keys()];
        await cluster.waitUntil('cancelled tasks are gone', CANCEL_S + 2, () =>
          cancelled.every((uid) => cluster.runningTasks(uid) === 0),
        );
        assert.deepEqual(cluster.world.violations, []);
        assert.equal(cluster.world.startsAfterCompletion, 0, 'no completed task was started again');
      } finally {
        cluster.close();
      }
    });
  }
});
