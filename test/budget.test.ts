/**
 * Requests to the store: how many writes and reads completions, machine records and current reads need, since the
 * store's limits are small and shared, and that late or outdated writes do no harm.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import pino from 'pino';
import { CompletionSaver } from '../src/shards/completions/completion-saver.js';
import { MACHINE_RECORDS_INTERVAL_MS } from '../src/shards/machine-records/constants.js';
import {
  PROGRESS_SAVE_INTERVAL_MS,
  COMPLETION_SAVE_INTERVAL_MS,
} from '../src/shards/completions/constants.js';
import { WATCH_PROBE_DELAY_MS } from '../src/store/constants.js';
import { MachineRecords } from '../src/shards/machine-records/machine-records.js';
import { encodeDone } from '../src/core/jobs/jobs.js';
import { StoreRequestError } from '../src/store/errors.js';
import type { CompareAndSwapResult, Guard, Write } from '@sumacstep/leader-election';
import { LinearizableReads } from '../src/store/linearizable-reads.js';
import { encodeJob } from '../src/store/codecs/job.js';
import { encodeMachineGroup } from '../src/store/codecs/machine-group.js';
import { WatchCache } from '../src/store/watch-cache.js';
import { job, machine, ownedShard, shardWith, Store } from './helpers.js';
import { MemoryStore } from './standins/memory-store.js';
import { FakeWorker, World } from './standins/worker.js';

const CONFIG = { storeLimits: { valueBytes: 8192, transactionOps: 8 } };
const LOG = pino({ level: 'silent' });

/** A cache, a client that accepts and records all writes, and a function that shows a listing in the cache. */
const scene = () => {
  const cache = new WatchCache();
  const written: (readonly Write[])[] = [];
  let epoch = 10;
  const client = {
    compareAndSwap: (
      _priority: unknown,
      _guards: unknown,
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

test('50 machines that boot together are recorded with one write, and so are their returns', async () => {
  const { cache, written, client, show } = scene();
  const names = Array.from({ length: 50 }, (_, index) => `m${index}`);
  const machines = new Map(names.map((n) => [n, false]));
  const group = { shard: 0, term: 1, type: 'm', zone: 'z', spot: false, machines };
  show([['machines/rental-1', encodeMachineGroup(group)]]);
  const store = new Store().add(...names.map((n) => machine(n, { up: false })));
  const shard = shardWith(store);
  for (const name of names) {
    const worker = new FakeWorker(name, new World(), 1000, 18_000, 0);
    shard.handleHeartbeat(worker.heartbeat(), 0, true);
    worker.executeDirect(1, 1, []);
    shard.handleCommandStatus(worker.heartbeat(), 1);
  }
  let now = 1000;
  const records = new MachineRecords({
    config: CONFIG,
    client,
    cache,
    waitForCurrentCache: () => Promise.resolve(),
    now: () => now,
    log: LOG,
  });
  await records.reconcile(ownedShard(shard), now);
  assert.deepEqual(
    written.map((w) => w.length),
    [1],
  );
  assert.ok(names.every((n) => cache.machines.get(n)?.value.up === true));
  shard.sync({ jobs: store.jobs, done: () => undefined, machines: cache.machines }, now);
  records.returnedInstances.add(names);
  await records.reconcile(ownedShard(shard), now);
  assert.equal(written.length, 1, 'returns are not recorded at once, since more may follow');
  now += MACHINE_RECORDS_INTERVAL_MS;
  await records.reconcile(ownedShard(shard), now);
  assert.deepEqual(written.slice(1), [[{ drop: 'machines/rental-1' }]]);
  assert.equal(cache.machines.size, 0);
});

test('completions of many array jobs share a write, and ends of jobs and ranges are saved at once', async () => {
  const { cache, written, client, show } = scene();
  const uids = Array.from({ length: 30 }, (_, i) => `job-${String(i).padStart(6, '0')}`);
  const records = uids.map((uid) => job({ uid, tasks: 4 }));
  show(records.map((r) => [`active/${r.spec.uid}`, encodeJob(r)]));
  const shard = shardWith(new Store().add(...records));
  const saver = new CompletionSaver({
    config: CONFIG,
    client,
    cache,
    now: () => 0,
    log: LOG,
  });
  const owned = ownedShard(shard);
  const finish = (uid: string, index: number) => {
    const state = shard.jobs.get(uid)!;
    state.waitingTasks.delete(index);
    state.unsavedCompletions.add(index);
  };
  for (const uid of uids) finish(uid, 0);
  await saver.save(owned, COMPLETION_SAVE_INTERVAL_MS);
  assert.equal(
    written.length,
    0,
    'completions that do not end a range wait for the progress interval',
  );
  await saver.save(owned, PROGRESS_SAVE_INTERVAL_MS);
  assert.deepEqual(
    written.map((w) => w.length),
    [1],
    'the bitmaps of thirty ranges are stored in one value',
  );
  assert.ok(uids.every((uid) => cache.completedTasks(0, uid, 0) === '8'));
  assert.ok(uids.every((uid) => shard.jobs.get(uid)!.savedCompletions.has(0)));

  for (const i of [1, 2, 3]) finish(uids[0]!, i);
  await saver.save(owned, PROGRESS_SAVE_INTERVAL_MS + COMPLETION_SAVE_INTERVAL_MS);
  assert.deepEqual(written[1]?.map((w) => ('put' in w ? w.put : w.drop)).sort(), [
    `active/${uids[0]}`,
    `final/${uids[0]}`,
  ]);
});

test('linearizable reads: all calls that wait at the same time share one read of the store', async () => {
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
    for (let call = 0; call < count; call++)
      void linearizable.waitUntilCurrent().then(() => (answered += 1));
    return () => answered;
  };
  // The watch's next read serves all calls made before it began, and no others.
  const early = ask(200);
  now = 10;
  const late = ask(1);
  cache.apply({ isListing: false, revision: 10, changes: [], readStartedAt: 5 });
  await sleep(0);
  assert.deepEqual([early(), late(), reads], [200, 0, 0]);
  // While the watch's read is held open, one small read returns the epoch, which the cache must then reach.
  linearizable.onReadState(10);
  now = 10 + WATCH_PROBE_DELAY_MS;
  present = 12;
  await sleep(3 * WATCH_PROBE_DELAY_MS);
  assert.deepEqual([late(), reads], [0, 1], 'the cache has not reached the epoch yet');
  cache.apply({ isListing: false, revision: 12, changes: [], readStartedAt: 0 });
  await sleep(0);
  assert.deepEqual([late(), reads], [1, 1]);
  linearizable.close();
});

test('a write of completions that is carried out late does not undo newer writes', async () => {
  const cache = new WatchCache();
  const store = new MemoryStore();
  const unanswered: (() => CompareAndSwapResult)[] = [];
  let answers = true;
  const client = {
    compareAndSwap: (_priority: unknown, guards: readonly Guard[], writes: readonly Write[]) => {
      if (answers) return Promise.resolve(store.commit(guards, writes));
      unanswered.push(() => store.commit(guards, writes));
      return Promise.reject(new StoreRequestError('no_response', 'lost'));
    },
  };
  const record = job({ tasks: 3 });
  store.values.set('parts/0', { value: { owner: 'n', incarnation: 'a', term: 1 }, revision: 1 });
  store.values.set('active/job-000001', { value: encodeJob(record), revision: 2 });
  store.applyTo(cache, 'changes');
  const shard = shardWith(new Store().add(record));
  const state = shard.jobs.get('job-000001')!;
  const owned = ownedShard(shard);
  let now = 0;
  const saver = new CompletionSaver({
    config: CONFIG,
    client,
    cache,
    now: () => now,
    log: LOG,
  });
  const complete = (index: number) => {
    state.unsavedCompletions.add(index);
    state.waitingTasks.delete(index);
  };
  const save = async () => {
    now += PROGRESS_SAVE_INTERVAL_MS + COMPLETION_SAVE_INTERVAL_MS;
    await saver.save(owned, now);
  };
  const saveWithoutAnswer = async () => {
    answers = false;
    await save();
    answers = true;
  };
  complete(0);
  await saveWithoutAnswer();
  complete(1);
  await save();
  store.applyTo(cache, 'changes');
  for (const carryOut of unanswered) carryOut();
  store.applyTo(cache, 'changes');
  assert.equal(
    cache.completedTasks(0, 'job-000001', 0),
    encodeDone({ from: 0, to: 3 }, new Set([0, 1])),
  );
  // In the opposite order, the late write is carried out first, and the newer one is repeated on top of its result.
  complete(2);
  await saveWithoutAnswer();
  state.waitingTasks.add(0);
  for (const carryOut of unanswered.splice(1)) assert.equal(carryOut().ok, true);
  await save();
  store.applyTo(cache, 'changes');
  await save();
  assert.deepEqual(
    [...state.unsavedCompletions],
    [],
    'all completions are saved once the cache shows the late write',
  );
});

test('an unrecorded machine is adopted only when no rental can still record it', async () => {
  const rental = { type: 'm', zone: 'z', spot: true, count: 1 };
  const group = { shard: 1, term: 1, type: 'm', zone: 'z', spot: true };
  const cases: [string, [string, unknown][], boolean][] = [
    ['no rental is pending', [], true],
    ['a rental of its kind is pending', [['hires/1/n-1', rental]], false],
    ['a rental of another kind is pending', [['hires/1/n-1', { ...rental, zone: 'y' }]], true],
    [
      'its rental has recorded it just now',
      [['machines/n-1', encodeMachineGroup({ ...group, machines: new Map([['x', false]]) })]],
      false,
    ],
  ];
  for (const [name, found, adopted] of cases) {
    const { cache, written, client, show } = scene();
    show([]);
    // The cache shows the rentals and records only after the read.
    const current = () => {
      show(found);
      return Promise.resolve();
    };
    const records = new MachineRecords({
      config: CONFIG,
      client,
      cache,
      waitForCurrentCache: current,
      now: () => 0,
      log: LOG,
    });
    const { type, zone, spot } = group;
    await records.adopt(ownedShard(shardWith(new Store())), {
      name: 'x',
      shard: 0,
      type,
      zone,
      spot,
    });
    assert.equal(written.length, adopted ? 1 : 0, name);
  }
});
