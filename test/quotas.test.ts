/**
 * Limits of the store (sizes of values and transactions, request rates) that are lowered at an unannounced moment.
 * Values that were written before may exceed them; they are split, and nothing that is saved in them may be lost.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import pino from 'pino';
import { CompletionSaver } from '../src/shards/completions/completion-saver.js';
import { ConfigError, parsePlatformConfig } from '../src/config/platform.js';
import { SLOT_FILL_RATIO } from '../src/core/jobs/constants.js';
import {
  PROGRESS_SAVE_INTERVAL_MS,
  COMPLETION_SAVE_INTERVAL_MS,
} from '../src/shards/completions/constants.js';
import { splitIntoRanges, decodeDone, encodeDone, maxRangeTasks } from '../src/core/jobs/jobs.js';
import type { JobRecord } from '../src/core/model.js';
import type { Shard } from '../src/core/shard/shard.js';
import { CALL_PRIORITY } from '../src/store/call-priority.js';
import { StoreClient } from '../src/store/store-client.js';
import { StoreRequestError } from '../src/store/errors.js';
import type { CompareAndSwapResult, Guard, Write } from '@sumacstep/leader-election';
import { encodeJob } from '../src/store/codecs/job.js';
import { WatchCache } from '../src/store/watch-cache.js';
import { job, ownedShard, shardWith, PLATFORM, Store } from './helpers.js';
import { Cluster } from './standins/cluster.js';
import { MemoryStore } from './standins/memory-store.js';
import { FakeStore } from './standins/store.js';

const LOG = pino({ level: 'silent' });

test("the platform's `state.next`: smaller sizes apply from the start, and invalid keys are named", () => {
  const next = (lines: string) => `${PLATFORM}\n[settings.state.next]\n${lines}\n`;
  const valid: [text: string, valueBytes: number, transactionOps: number, writeRps: number][] = [
    [PLATFORM, 8192, 16, 25],
    [next('value_kb = 2.0\ntxn_ops = 5\nwrite_rps = 18.0'), 2048, 5, 18],
    [next('value_kb = 16.0\ntxn_ops = 50'), 8192, 16, 25],
    [next('later_field = 1'), 8192, 16, 25],
  ];
  for (const [text, valueBytes, transactionOps, writeRps] of valid) {
    const { storeLimits } = parsePlatformConfig('f', text);
    assert.equal(storeLimits.valueBytes, valueBytes);
    assert.equal(storeLimits.transactionOps, transactionOps);
    assert.equal(storeLimits.writeRps, 25);
    assert.equal(storeLimits.next.writeRps, writeRps);
  }
  for (const key of [
    'value_kb = "x"',
    'txn_ops = 0',
    'txn_ops = 1.5',
    'write_rps = -1',
    'rps = 0',
  ]) {
    const name = key.split(' ')[0]!;
    assert.throws(
      () => parsePlatformConfig('f', next(key)),
      (error: unknown) =>
        error instanceof ConfigError &&
        error.problems.some((problem) => problem.startsWith(`settings.state.next.${name}`)),
      key,
    );
  }
});

test('jobs are split into ranges so that the bitmap of each range fits a value', () => {
  for (const valueBytes of [8192, 2048, 1024, 512]) {
    for (const tasks of [1, 17, 4096, 100_000]) {
      const maxTasks = maxRangeTasks(valueBytes);
      for (const [from, to] of splitIntoRanges(tasks, 3, false, maxTasks)) {
        const bitmap = encodeDone({ from, to }, new Set());
        const slot = { [`job-${'9'.repeat(20)}/${from}`]: bitmap };
        assert.ok(
          JSON.stringify(slot).length <= valueBytes * SLOT_FILL_RATIO,
          `${valueBytes} ${tasks}`,
        );
      }
    }
  }
});

/**
 * Returns a store with the given limits and a saver of completions on it. Tests put values there that were written when
 * values could be larger.
 */
const storeWithLoweredLimits = (valueBytes: number, transactionOps: number) => {
  const cache = new WatchCache();
  const store = new MemoryStore();
  const written = { maxBytes: 0 };
  let now = 0;
  const client = {
    compareAndSwap: (
      _priority: unknown,
      guards: readonly Guard[],
      writes: readonly Write[],
    ): Promise<CompareAndSwapResult> => {
      assert.ok(writes.length <= transactionOps, `${writes.length} writes in one transaction`);
      for (const write of writes) {
        if (!('put' in write)) continue;
        const bytes = JSON.stringify(write.value).length;
        assert.ok(bytes <= valueBytes, `${write.put}: ${bytes} bytes`);
        written.maxBytes = Math.max(written.maxBytes, bytes);
      }
      return Promise.resolve(store.commit(guards, writes));
    },
  };
  const config = { storeLimits: { valueBytes, transactionOps } };
  const saver = new CompletionSaver({ config, client, cache, now: () => now, log: LOG });
  const show = () => store.applyTo(cache, 'listing');
  const save = async (shard: Shard) => {
    now += PROGRESS_SAVE_INTERVAL_MS + COMPLETION_SAVE_INTERVAL_MS;
    await saver.save(ownedShard(shard), now);
    show();
  };
  /** The completed tasks of a job as a node that starts now reads them, whichever copy of a bitmap it reads first. */
  const completedTasks = (uid: string): Set<number> => {
    const freshCache = new WatchCache();
    store.applyTo(freshCache, 'listing');
    const done = new Set<number>();
    for (const range of freshCache.tables.activeJobs.get(uid)!.value.ranges) {
      const bitmap = freshCache.completedTasks(range.shard, uid, range.from);
      if (bitmap !== undefined) for (const index of decodeDone(range, bitmap)) done.add(index);
    }
    return done;
  };
  return { values: store.values, cache, show, save, completedTasks, written };
};

test('a slot that exceeds a lowered value limit is split, and no completion is lost after any step', async () => {
  for (const [valueBytes, transactionOps] of [
    [2048, 4],
    [1024, 2],
    [512, 5],
  ] as const) {
    const fixture = storeWithLoweredLimits(valueBytes, transactionOps);
    fixture.values.set('parts/0', {
      value: { owner: 'n', incarnation: 'a', term: 1 },
      revision: 1,
    });
    const records: JobRecord[] = [];
    const slot: Record<string, string> = {};
    for (let n = 0; n < 60; n++) {
      const record = job({ uid: `job-${n}`, tasks: 240 });
      records.push(record);
      fixture.values.set(`active/job-${n}`, { value: encodeJob(record), revision: 2 });
      slot[`job-${n}/0`] = encodeDone({ from: 0, to: 240 }, new Set([n, 239]));
    }
    assert.ok(JSON.stringify(slot).length > 4000);
    fixture.values.set('done/0/0', { value: slot, revision: 3 });
    fixture.show();
    const shard = shardWith(new Store().add(...records));
    let steps = 0;
    const hasTooLargeSlot = () =>
      [...fixture.values].some(
        ([key, stored]) =>
          key.startsWith('done/') && JSON.stringify(stored.value).length > valueBytes,
      );
    while (hasTooLargeSlot()) {
      await fixture.save(shard);
      steps += 1;
      assert.ok(steps < 40);
      for (let n = 0; n < 60; n++) {
        assert.deepEqual(
          [...fixture.completedTasks(`job-${n}`)].sort((a, b) => a - b),
          [...new Set([n, 239])],
        );
      }
    }
    assert.ok(steps > 0 && fixture.written.maxBytes <= valueBytes);
  }
});

test('completions that an owner of an earlier version saves in the middle of a split are not overwritten', async () => {
  // Halfway through a split, a range has copies of its bitmap in two slots. An owner of the earlier version reads and
  // writes only the first of them. If the split continued from the other, older copy, tasks that were completed in
  // between would become waiting again.
  const [valueBytes, transactionOps] = [512, 2];
  const fixture = storeWithLoweredLimits(valueBytes, transactionOps);
  const tasks = 240;
  const range = { from: 0, to: tasks };
  fixture.values.set('parts/0', { value: { owner: 'n', incarnation: 'a', term: 1 }, revision: 1 });
  const records: JobRecord[] = [];
  const largeSlot: Record<string, string> = {};
  for (let n = 0; n < 20; n++) {
    const record = job({ uid: `job-${n}`, tasks });
    records.push(record);
    fixture.values.set(`active/job-${n}`, { value: encodeJob(record), revision: 2 });
    largeSlot[`job-${n}/0`] = encodeDone(range, new Set([n]));
  }
  fixture.values.set('done/0/0', { value: {}, revision: 3 });
  fixture.values.set('done/0/1', { value: largeSlot, revision: 3 });
  fixture.show();
  const shard = shardWith(new Store().add(...records));
  const slot = (number: number) =>
    fixture.values.get(`done/0/${number}`)!.value as Record<string, string>;
  await fixture.save(shard);
  const inBothSlots = Object.keys(slot(0)).filter((name) => name in slot(1));
  assert.ok(inBothSlots.length > 0, 'the split is half done');
  const value = { ...slot(0) };
  for (const name of inBothSlots) {
    const jobNumber = Number(/\d+/.exec(name)![0]);
    value[name] = encodeDone(range, new Set([jobNumber, 100]));
  }
  fixture.values.set('done/0/0', { value, revision: 99 });
  fixture.show();
  for (let step = 0; step < 20; step++) {
    await fixture.save(shard);
    for (const name of inBothSlots) {
      const uid = name.slice(0, name.indexOf('/'));
      assert.ok(fixture.completedTasks(uid).has(100), `${uid} after step ${step}`);
    }
  }
  assert.ok(
    [...fixture.values.values()].every((v) => JSON.stringify(v.value).length <= valueBytes),
  );
});

test('a task is completed if either of two bitmaps of its range says so, whichever is read first', () => {
  for (const [a, b, union] of [
    ['c0', '90', 'd0'],
    ['f', '0f', 'ff'],
    ['01', '8', '81'],
  ]) {
    for (const bitmaps of [
      [a, b],
      [b, a],
    ]) {
      const cache = new WatchCache();
      const changes = bitmaps.map((bitmap, slot) => ({
        key: `done/0/${slot}`,
        value: { 'job-1/0': bitmap },
        revision: slot + 1,
        removed: false,
      }));
      cache.apply({ isListing: true, revision: 9, consistentFrom: 9, changes });
      assert.equal(cache.completedTasks(0, 'job-1', 0), union);
    }
  }
});

test('a range whose bitmap exceeds a lowered value limit is split, and no completion is lost', async () => {
  const fixture = storeWithLoweredLimits(1024, 4);
  const record = job({ uid: 'job-1', tasks: 6000 });
  const done = new Set(Array.from({ length: 1500 }, (_, i) => i * 4 + 1));
  fixture.values.set('parts/0', { value: { owner: 'n', incarnation: 'a', term: 1 }, revision: 1 });
  fixture.values.set('active/job-1', { value: encodeJob(record), revision: 2 });
  fixture.values.set('done/0/0', {
    value: { 'job-1/0': encodeDone({ from: 0, to: 6000 }, done) },
    revision: 3,
  });
  fixture.show();
  const store = new Store().add(record);
  store.doneBitmaps.set('job-1/0', encodeDone({ from: 0, to: 6000 }, done));
  const shard = shardWith(store);
  const ranges = () => fixture.cache.tables.activeJobs.get('job-1')!.value.ranges;
  for (let step = 0; step < 12; step++) {
    await fixture.save(shard);
    assert.deepEqual(
      [...fixture.completedTasks('job-1')].sort((a, b) => a - b),
      [...done],
      `after step ${step}`,
    );
  }
  assert.ok(ranges().every((r) => r.to - r.from <= maxRangeTasks(1024)));
  assert.equal(
    ranges().reduce((sum, r) => sum + r.to - r.from, 0),
    6000,
  );
  // Tasks that complete after the split are saved in the new ranges.
  shard.jobs.get('job-1')!.unsavedCompletions.add(0);
  await fixture.save(shard);
  assert.ok(fixture.completedTasks('job-1').has(0));
});

test('store client: accepts writes up to the size limits, never repeats a 400, lowers its rate after a 429', async () => {
  const store = new FakeStore();
  await store.start();
  const errors: string[] = [];
  const log = pino({ level: 'error' }, { write: (line: string) => errors.push(line) });
  const rates = { rps: 1000, writeRps: 400, next: { rps: 1000, writeRps: 20 } };
  const client = new StoreClient(
    store.address,
    rates,
    { valueBytes: 100, transactionOps: 2 },
    () => performance.now(),
    log,
  );
  const put = (key: string, bytes: number): Write => ({ put: key, value: 'x'.repeat(bytes - 2) });
  try {
    const cases: [string, Write[], number, boolean][] = [
      ['a value of exactly the allowed size', [put('a', 100)], 0, true],
      ['a value one byte larger', [put('a', 101)], 0, false],
      ['as many writes and guards as allowed', [put('a', 9), put('b', 9)], 8, true],
      ['one write more', [put('a', 9), put('b', 9), put('c', 9)], 0, false],
      ['one guard more', [put('a', 9)], 9, false],
    ];
    for (const [name, writes, guardCount, accepted] of cases) {
      const guards = Array.from({ length: guardCount }, (_, i) => ({ key: `k${i}`, revision: 0 }));
      const sent = client.compareAndSwap(CALL_PRIORITY.background, guards, writes).then(
        () => true,
        (error: unknown) => {
          assert.ok(error instanceof StoreRequestError && error.kind === 'invalid', name);
          return false;
        },
      );
      assert.equal(await sent, accepted, name);
    }
    assert.equal(store.rejectedTransactions.size, 0, 'transactions over the limits are not sent');
    // The store allows less than it announced: the transaction is refused once, logged once and not sent again.
    store.limits = { ...store.limits, valueBytes: 50 };
    const errorsBefore = errors.length;
    for (let i = 0; i < 3; i++) {
      await assert.rejects(client.compareAndSwap(CALL_PRIORITY.background, [], [put('z', 80)]), {
        kind: 'invalid',
      });
    }
    assert.equal(store.rejectedTransactions.size, 1);
    assert.equal(errors.length, errorsBefore + 1);
    store.limits = { ...store.limits, writeRps: 20 };
    let refused = 0;
    const startedAt = Date.now();
    for (let i = 0; Date.now() - startedAt < 4000; i++) {
      await client
        .compareAndSwap(CALL_PRIORITY.background, [], [put(`w${i}`, 9)])
        .catch(() => (refused += 1));
    }
    assert.ok(store.rejectedTransactions.rate >= 1, 'the lower rate was reached');
    assert.ok(
      store.rejectedTransactions.rate <= 12,
      `${store.rejectedTransactions.rate} refusals: the rate is not lowered`,
    );
  } finally {
    client.close();
    store.close();
  }
});

test('store limits are lowered while controllers run: no write exceeds the sizes, and all jobs complete', async () => {
  const storeLimits = {
    rps: 600,
    writeRps: 300,
    valueBytes: 1024,
    transactionOps: 3,
    next: { rps: 600, writeRps: 60 },
  };
  const cluster = new Cluster({ runMs: 800, leaseS: 4, cancelS: 10, storeLimits });
  const smallDemand = { Vcpus: 1, Cards: 0, MemGb: 1, GuessS: 20 };
  try {
    await cluster.open();
    const uids = [];
    for (let i = 0; i < 6; i++)
      uids.push(await cluster.submit(cluster.nodes[i % 3]!, { ...smallDemand, Pieces: 60 }));
    await cluster.waitUntil('more than 20 tasks started', 20, () => cluster.world.starts > 20);
    cluster.store.limits = { valueBytes: 1024, transactionOps: 3, writeRps: 60 };
    for (let i = 0; i < 3; i++)
      uids.push(await cluster.submit(cluster.nodes[i % 3]!, { ...smallDemand, Pieces: 60 }));
    for (const uid of uids) {
      await cluster.waitUntil(
        `${uid} done`,
        60,
        async () => (await cluster.statusOf('n0', uid)) === 'done',
      );
    }
    assert.equal(cluster.store.rejectedTransactions.size, 0);
    assert.deepEqual(cluster.world.violations, []);
  } finally {
    cluster.close();
  }
});
