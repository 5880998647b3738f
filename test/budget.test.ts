import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import pino from 'pino';
import { Completions } from '../src/shards/completions.js';
import type { PlatformConfig } from '../src/config/platform.js';
import { MACHINES_MS, PROGRESS_MS, SAVE_MS } from '../src/shards/constants.js';
import { HELD_WATCH_MS } from '../src/store/constants.js';
import { MachineRecords } from '../src/shards/machine-records.js';
import { encodeDone } from '../src/core/jobs/jobs.js';
import { StoreRequestError, type CompareAndSwapResult } from '../src/store/store-client.js';
import { LinearizableReads } from '../src/store/linearizable-reads.js';
import { encodeJob, encodeMachineGroup } from '../src/store/keys.js';
import { WatchCache } from '../src/store/watch-cache.js';
import type { Guard, Write } from '../src/wire/schemas.js';
import { job, machine, ownedShard, shardWith, Store } from './helpers.js';
import { FakeWorker, World } from './standins/worker.js';

/** What the state service is asked for, and how much of it: its limits are small and shared. */
const CONFIG = {
  storeLimits: { rps: 100, writeRps: 100, valueBytes: 8192, transactionOps: 8 },
} as unknown as PlatformConfig;
const LOG = pino({ level: 'silent' });

const scene = () => {
  const cache = new WatchCache();
  const written: (readonly Write[])[] = [];
  let epoch = 10;
  const client = {
    compareAndSwap: (
      _c: unknown,
      _w: unknown,
      writes: readonly Write[],
    ): Promise<CompareAndSwapResult> => {
      written.push(writes);
      epoch += 1;
      return Promise.resolve({ ok: true, epoch });
    },
  };
  const show = (changes: [string, unknown][]): void => {
    cache.apply({
      isListing: true,
      revision: epoch,
      consistentFrom: epoch,
      changes: changes.map(([key, value], i) => ({ key, value, revision: i + 1, removed: false })),
    });
  };
  return { cache, written, client, show };
};

test('a wave of boots costs one write, and so does one of returns', async () => {
  const { cache, written, client, show } = scene();
  const names = Array.from({ length: 50 }, (_, i) => `m${i}`);
  const machines = new Map(names.map((n) => [n, false]));
  const group = { shard: 0, term: 1, type: 'm', zone: 'z', spot: false, machines };
  show([['machines/rental-1', encodeMachineGroup(group)]]);
  const store = new Store().add(...names.map((n) => machine(n, { up: false })));
  const shard = shardWith(store);
  for (const n of names) {
    const w = new FakeWorker(n, new World(), 1000, 18_000, 0);
    shard.handleHeartbeat(w.heartbeat(), 0, true);
    w.direct(1, 1, []);
    shard.handleCommandStatus(w.heartbeat(), 1);
  }
  let now = 1000;
  const records = new MachineRecords(
    CONFIG,
    client,
    cache,
    () => Promise.resolve(),
    () => now,
    LOG,
  );
  await records.tick(0, ownedShard(shard), now);
  assert.deepEqual(
    written.map((w) => w.length),
    [1],
  );
  assert.ok(names.every((n) => cache.machines.get(n)?.value.up === true));
  shard.sync({ jobs: store.jobs, done: () => undefined, machines: cache.machines }, now);
  records.returned(names);
  await records.tick(0, ownedShard(shard), now);
  assert.equal(written.length, 1, 'not at once: more may come');
  now += MACHINES_MS;
  await records.tick(0, ownedShard(shard), now);
  assert.deepEqual(written.slice(1), [[{ drop: 'machines/rental-1' }]]);
  assert.equal(cache.machines.size, 0);
});

test('completions of many arrays share a write, ends of jobs and ranges do not wait', async () => {
  const { cache, written, client, show } = scene();
  const uids = Array.from({ length: 30 }, (_, i) => `job-${String(i).padStart(6, '0')}`);
  const records = uids.map((uid) => job({ uid, tasks: 4 }));
  show(records.map((r) => [`active/${r.spec.uid}`, encodeJob(r)]));
  const shard = shardWith(new Store().add(...records));
  const completions = new Completions(CONFIG, client, cache, () => 0, LOG);
  const owned = ownedShard(shard);
  const finish = (uid: string, index: number) => {
    const j = shard.jobs.get(uid)!;
    j.waitingTasks = j.waitingTasks.filter((i) => i !== index);
    j.unsavedTasks.add(index);
  };
  for (const uid of uids) finish(uid, 0);
  await completions.save(0, owned, SAVE_MS);
  assert.equal(written.length, 0, 'nobody waits for a part of a range');
  await completions.save(0, owned, PROGRESS_MS);
  assert.deepEqual(
    written.map((w) => w.length),
    [1],
    'one value for thirty ranges',
  );
  assert.ok(uids.every((uid) => cache.completedTasks(0, uid, 0) === '8'));
  assert.ok(uids.every((uid) => shard.jobs.get(uid)!.savedTasks.has(0)));

  for (const i of [1, 2, 3]) finish(uids[0]!, i);
  await completions.save(0, owned, PROGRESS_MS + SAVE_MS);
  assert.deepEqual(written[1]?.map((w) => ('put' in w ? w.put : w.drop)).sort(), [
    `active/${uids[0]}`,
    `final/${uids[0]}`,
  ]);
});

test('current answers: all questions of a moment share one read, whatever job they are about', async () => {
  let now = 0;
  const { cache, show } = scene();
  show([]);
  let reads = 0;
  let present = 10;
  const client = {
    get: () => {
      reads += 1;
      return Promise.resolve({ missing: true as const, storeRevision: present });
    },
  };
  const linearizable = new LinearizableReads(client, cache, () => now);
  const ask = (count: number) => {
    let answered = 0;
    for (let i = 0; i < count; i++)
      void linearizable.waitUntilCurrent().then(() => (answered += 1));
    return () => answered;
  };
  // The feed's next read serves everybody who asked before it began, and nobody else.
  const early = ask(200);
  now = 10;
  const late = ask(1);
  cache.apply({ isListing: false, revision: 10, changes: [], readStartedAt: 5 });
  await sleep(0);
  assert.deepEqual([early(), late(), reads], [200, 0, 0]);
  // While the feed's read is held one small read tells the epoch; the cache must then reach it.
  linearizable.onReadState(10);
  now = 10 + HELD_WATCH_MS;
  present = 12;
  await sleep(3 * HELD_WATCH_MS);
  assert.deepEqual([late(), reads], [0, 1], 'the mirror is behind');
  cache.apply({ isListing: false, revision: 12, changes: [], readStartedAt: 0 });
  await sleep(0);
  assert.deepEqual([late(), reads], [1, 1]);
  linearizable.close();
});

test('a write of completions that is carried out late does not undo what newer ones saved', async () => {
  const cache = new WatchCache();
  const values = new Map<string, { value: unknown; revision: number }>();
  let epoch = 10;
  const run = (guards: readonly Guard[], writes: readonly Write[]): CompareAndSwapResult => {
    const failed = guards.filter((c) => (values.get(c.key)?.revision ?? 0) !== c.revision);
    if (failed.length > 0) return { ok: false, failed: failed.map((c) => c.key) };
    epoch += 1;
    for (const w of writes) {
      if ('drop' in w) values.delete(w.drop);
      else values.set(w.put, { value: w.value, revision: epoch });
    }
    return { ok: true, epoch };
  };
  const show = () => {
    const changes = [...values].map(([key, v]) => ({ key, ...v, removed: false }));
    cache.apply({ isListing: false, revision: epoch, changes });
  };
  const lost: (() => CompareAndSwapResult)[] = [];
  let losing = false;
  const client = {
    compareAndSwap: (_c: unknown, guards: readonly Guard[], writes: readonly Write[]) => {
      if (!losing) return Promise.resolve(run(guards, writes));
      lost.push(() => run(guards, writes));
      return Promise.reject(new StoreRequestError('no_answer', 'lost'));
    },
  };
  const record = job({ tasks: 3 });
  values.set('parts/0', { value: { owner: 'n', incarnation: 'a', term: 1 }, revision: 1 });
  values.set('active/job-000001', { value: encodeJob(record), revision: 2 });
  show();
  const shard = shardWith(new Store().add(record));
  const state = shard.jobs.get('job-000001')!;
  const owned = ownedShard(shard);
  let now = 0;
  const completions = new Completions(CONFIG, client, cache, () => now, LOG);
  const save = async (index: number) => {
    if (index >= 0) {
      state.unsavedTasks.add(index);
      state.waitingTasks = state.waitingTasks.filter((i) => i !== index);
    }
    now += PROGRESS_MS + SAVE_MS;
    await completions.save(0, owned, now);
  };
  losing = true;
  await save(0);
  losing = false;
  await save(1);
  show();
  for (const late of lost) late();
  show();
  assert.equal(
    cache.completedTasks(0, 'job-000001', 0),
    encodeDone({ from: 0, to: 3 }, new Set([0, 1])),
  );
  // The other way round: the late one comes first, and the newer one is repeated on what it left.
  losing = true;
  await save(2);
  losing = false;
  state.waitingTasks = [0];
  for (const late of lost.splice(1)) assert.equal(late().ok, true);
  await save(-1);
  show();
  await save(-1);
  assert.deepEqual([...state.unsavedTasks], [], 'saved once the mirror shows the late one');
});

test('a machine that nobody recorded is adopted only when no hire can still record it', async () => {
  const rental = { type: 'm', zone: 'z', spot: true, count: 1 };
  const group = { shard: 1, term: 1, type: 'm', zone: 'z', spot: true };
  const cases: [string, [string, unknown][], boolean][] = [
    ['nothing else', [], true],
    ['a hire of its kind is open', [['hires/1/n-1', rental]], false],
    ['a hire of another kind is open', [['hires/1/n-1', { ...rental, zone: 'y' }]], true],
    [
      'the hire has recorded it just now',
      [['machines/n-1', encodeMachineGroup({ ...group, machines: new Map([['x', false]]) })]],
      false,
    ],
  ];
  for (const [name, found, adopted] of cases) {
    const { cache, written, client, show } = scene();
    show([]);
    // What the cache shows before the read is old.
    const current = () => {
      show(found);
      return Promise.resolve();
    };
    const records = new MachineRecords(CONFIG, client, cache, current, () => 0, LOG);
    const { type, zone, spot } = group;
    await records.adopt(ownedShard(shardWith(new Store())), { shard: 0, type, zone, spot }, 'x');
    assert.equal(written.length, adopted ? 1 : 0, name);
  }
});
