import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { describe, test } from 'node:test';
import { encodeDone } from '../src/core/jobs/jobs.js';
import { encodeJob } from '../src/store/codecs/job.js';
import { job } from './helpers.js';
import { Cluster, type ClusterOptions } from './standins/cluster.js';

/**
 * Whole controllers of the version in production and of the present one over the same shards, in both
 * directions and in the middle of what takes several steps. The old ones are the real program, bundled
 * from the commit that deploy/service.toml names. Whatever changes hands: no task on two machines, no
 * completed task started again, no `done` taken back, limits and places kept, all accepted jobs done.
 */
const LEASE_S = 12;
const CANCEL_S = 26;
const SMALL = { Vcpus: 1, Cards: 0, MemGb: 1, GuessS: 20 };
const ALL_PRODUCTION = { n0: 'production', n1: 'production', n2: 'production' } as const;

interface Row {
  readonly name: string;
  readonly options?: Partial<ClusterOptions>;
  /** tasks that the seeded values record as done, by job */
  readonly completed?: ReadonlyMap<string, ReadonlySet<number>>;
  readonly jobs: readonly Record<string, unknown>[];
  readonly meet: (c: Cluster, uids: readonly string[]) => Promise<void>;
}

// --- values that the version in production has written --------------------------------------------

const SEEDED_JOBS = 12;
const SEEDED_TASKS = 400;
const SEEDED_LEFT = 4;
/** The state service's limits as announced to the present version, smaller than the seeded slot. */
const SMALL_LIMITS = {
  rps: 600,
  writeRps: 300,
  valueBytes: 700,
  transactionOps: 3,
  next: { rps: 600, writeRps: 150 },
};

/** Arrays with all but the last few tasks done, the bitmaps of each shard together in one large slot. */
const seededArrays = (shards: readonly number[]) => {
  const values: Record<string, unknown> = {};
  const completed = new Map<string, ReadonlySet<number>>();
  const range = { from: 0, to: SEEDED_TASKS };
  const done = new Set(Array.from({ length: SEEDED_TASKS - SEEDED_LEFT }, (_, i) => i));
  for (const shard of shards) {
    const slot: Record<string, string> = {};
    for (let n = 0; n < SEEDED_JOBS; n++) {
      const uid = `job-90${shard}0${String(n).padStart(2, '0')}`;
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

const slotsOf = (c: Cluster, shard: number): string[] =>
  [...c.store.items.keys()].filter((k) => k.startsWith(`done/${shard}/`));

/** Shards of the ranges of all unfinished jobs, by job and first task. */
const shardsOfRanges = (c: Cluster): Map<string, number> => {
  const out = new Map<string, number>();
  for (const [key, { value }] of c.store.items) {
    if (!key.startsWith('active/')) continue;
    const { ranges } = value as { ranges: [number, number, number, number][] };
    for (const [from, , shard] of ranges) out.set(`${key}/${from}`, shard);
  }
  return out;
};

const ROWS: Row[] = [
  {
    // An owner that misreads the other's records would take running tasks for fresh ones.
    name: 'the owner of a shard is old, new, old, new',
    options: { versions: ALL_PRODUCTION, runMs: (index) => 3000 + index * 2500 },
    jobs: [
      { ...SMALL, Pieces: 16 },
      { ...SMALL, Pieces: 16 },
      { ...SMALL, Shape: 'ensemble', Pieces: 3 },
    ],
    meet: async (c, [first]) => {
      await c.replace('n0', 'current');
      await c.replace('n0', 'production');
      await c.cancel('n0', first!);
      await c.replace('n1', 'current');
      await c.replace('n0', 'current');
    },
  },
  {
    // A range stands in two slots when the old version takes over in the middle. It goes on with one
    // copy; a new owner that continues must not write the other, older one over it.
    name: 'an old owner takes over while a completion slot is split, and a new one continues',
    options: {
      versions: ALL_PRODUCTION,
      runMs: (index) => 4000 + (index % SEEDED_LEFT) * 8000,
      storeLimits: SMALL_LIMITS,
      initialValues: SEEDED.values,
    },
    completed: SEEDED.completed,
    jobs: [],
    meet: async (c) => {
      const door = c.storeProxies.get('n0')!;
      await c.waitUntil('tasks run', 20, () => c.world.starts > 8);
      c.kill('n0');
      door.transactionDelayMs = 700;
      await c.start('n0', 'current');
      await c.waitUntil('the split has begun', 30, () => slotsOf(c, 0).length > 1);
      c.kill('n0');
      door.transactionDelayMs = 0;
      await c.start('n0', 'production');
      await c.waitUntil('the old version owns it', 40, () => c.isReady('n0'));
      await c.runFor(6);
      await c.replace('n0', 'current');
    },
  },
  {
    // A rental that one version began is settled by the other under the same name, and recorded once.
    name: 'a rental changes hands while its answer is under way, in both directions',
    options: { versions: ALL_PRODUCTION, runMs: 3000 },
    jobs: [{ ...SMALL, Pieces: 16 }],
    meet: async (c) => {
      for (const [from, to] of [
        ['production', 'current'],
        ['current', 'production'],
      ] as const) {
        for (const n of c.nodes) if (from === 'current') await c.replace(n, from);
        c.cloud.rentalDelayMs = 2500;
        await c.submit('n1', { ...SMALL, Vcpus: 6, Pieces: 40 });
        const hires = () => [...c.store.items.keys()].filter((k) => k.startsWith('hires/'));
        await c.waitUntil(`a rental of the ${from} version is open`, 30, () => hires().length > 0);
        for (const n of c.nodes) c.kill(n);
        c.cloud.rentalDelayMs = 0;
        await Promise.all(c.nodes.map((n) => c.start(n, to)));
      }
      const recorded = [...c.store.items]
        .filter(([key]) => key.startsWith('machines/'))
        .flatMap(([, { value }]) => Object.keys((value as { hosts: object }).hosts));
      assert.equal(new Set(recorded).size, recorded.length, 'no machine has two records');
    },
  },
  {
    // Carried out after its sender's end, a cancellation counts for whoever is asked next.
    name: 'a cancellation is cut short by the end of its node and repeated at the other version',
    options: { versions: { n1: 'production', n2: 'production' }, runMs: 30_000 },
    jobs: [
      { ...SMALL, Pieces: 16 },
      { ...SMALL, Pieces: 16 },
    ],
    meet: async (c, [first, second]) => {
      for (const [uid, at, next] of [
        [first!, 'n1', 'n0'],
        [second!, 'n0', 'n2'],
      ] as const) {
        c.storeProxies.get(at)!.transactionDelayMs = 1500;
        const cut = c.sendUserRequest(at, 'withdraw', uid);
        await c.runFor(0.5);
        c.kill(at);
        await cut;
        await c.cancel(next, uid);
        c.storeProxies.get(at)!.transactionDelayMs = 0;
        await c.start(at, at === 'n0' ? 'production' : 'current');
      }
    },
  },
  {
    // Tasks that pass belong to one shard at any moment, whoever owns either.
    name: 'tasks pass between shards whose owners change version on the way',
    options: { versions: { n1: 'production', n2: 'production' }, runMs: 6000 },
    jobs: [1, 2, 3].map(() => ({ ...SMALL, Vcpus: 2, Pieces: 18 })),
    meet: async (c) => {
      c.cloud.maxMachines = Math.max(2, c.cloud.machines.size - 2);
      const before = shardsOfRanges(c);
      const passed = () =>
        [...shardsOfRanges(c)].some(([range, shard]) => before.get(range) !== shard);
      for (const d of c.storeProxies.values()) d.transactionDelayMs = 300;
      for (let i = 0; i < 4; i++) await c.submit(c.nodes[i % 3]!, { ...SMALL, Pieces: 18 });
      const most = c.workerHosts().slice(0, 1);
      for (const h of most) c.cloud.kill(h.worker.name);
      await c.waitUntil('tasks pass', 60, passed);
      await c.replace('n0', 'production');
      await c.replace('n1', 'current');
      for (const d of c.storeProxies.values()) d.transactionDelayMs = 0;
      c.cloud.maxMachines = Infinity;
    },
  },
  {
    // The old version ends by itself when a value is refused, comes back and ends again; the present
    // one has made the values small before, and goes on when it has the shard again.
    name: 'the limits of the state service fall while both versions serve',
    options: {
      versions: { n1: 'production', n2: 'production' },
      runMs: (index) => 3000 + (index % 16) * 1500,
      storeLimits: SMALL_LIMITS,
      initialValues: SEEDED_TWICE.values,
    },
    completed: SEEDED_TWICE.completed,
    jobs: [
      { ...SMALL, Pieces: 16 },
      { ...SMALL, Pieces: 16 },
    ],
    meet: async (c, [first]) => {
      const large = () =>
        [...c.store.items].some(
          ([k, i]) => k.startsWith('done/0/') && JSON.stringify(i.value).length > 700,
        );
      await c.waitUntil('the present version has split the slot', 30, () => !large());
      c.store.limits = { valueBytes: 700, transactionOps: 3, writeRps: 150 };
      for (let i = 0; i < 3; i++) await c.submit('n1', { ...SMALL, Pieces: 16 });
      c.kill('n0');
      await c.runFor(9);
      await c.start('n0', 'current');
      await c.cancel('n0', first!);
      await c.waitUntil('the old version meets a refusal, and ends', 60, () => c.crashes > 0);
      await c.replace('n1', 'current');
      await c.replace('n2', 'current');
      const refused = c.store.rejectedTransactions.size;
      await c.runFor(3);
      assert.equal(
        c.store.rejectedTransactions.size,
        refused,
        'the present version sends nothing too large',
      );
    },
  },
];

test('the bundled controller is the version that the deploy file names', () => {
  const read = (path: string) => readFileSync(new URL(`../../../${path}`, import.meta.url), 'utf8');
  const commit = /^production = "([0-9a-f]{40})"$/m.exec(read('deploy/service.toml'))?.[1];
  const bundle = read('test/fixtures/production/controller.js');
  assert.ok(commit !== undefined && bundle.startsWith(`// Generated by scripts/`));
  assert.equal(/from commit ([0-9a-f]{40})/.exec(bundle)?.[1], commit);
});

describe('both versions side by side', { concurrency: 3 }, () => {
  for (const row of ROWS) {
    test(row.name, async () => {
      const c = new Cluster({ runMs: 3000, leaseS: LEASE_S, cancelS: CANCEL_S, ...row.options });
      for (const [uid, done] of row.completed ?? []) c.world.completed.set(uid, new Set(done));
      const { initialValues: seed = {} } = row.options ?? {};
      try {
        await c.open();
        const uids: string[] = [];
        for (const [i, body] of row.jobs.entries()) uids.push(await c.submit(`n${i % 3}`, body));
        await c.waitUntil('some of it runs', 30, () => c.world.starts > 3);
        await row.meet(c, uids);
        for (const n of c.nodes) await c.waitUntil(`${n} is back`, 40, () => c.isReady(n));
        const seeded = Object.keys(seed).flatMap((k) =>
          k.startsWith('active/') ? [k.slice('active/'.length)] : [],
        );
        for (const uid of [...c.world.jobs.keys(), ...seeded]) {
          const end = c.world.cancelledAt.has(uid) ? 'cancelled' : 'done';
          for (const n of c.nodes) {
            await c.waitUntil(`${uid} ${end}`, 90, async () => (await c.statusOf(n, uid)) === end);
          }
        }
        const cancelled = [...c.world.cancelledAt.keys()];
        await c.waitUntil('cancelled tasks are gone', CANCEL_S + 2, () =>
          cancelled.every((uid) => c.runningTasks(uid) === 0),
        );
        assert.deepEqual(c.world.violations, []);
        assert.equal(c.world.startsAfterCompletion, 0, 'no completed task is started again');
      } finally {
        c.close();
      }
    });
  }
});
