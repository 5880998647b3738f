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

/** Limits of the store that fall at a moment that nobody announces. */
const LOG = pino({ level: 'silent' });

test("the platform's `state.next`: the smaller sizes hold from the start, wrong keys are named", () => {
  const next = (lines: string) => `${PLATFORM}\n[settings.state.next]\n${lines}\n`;
  const good: [string, number, number, number][] = [
    [PLATFORM, 8192, 16, 25],
    [next('value_kb = 2.0\ntxn_ops = 5\nwrite_rps = 18.0'), 2048, 5, 18],
    [next('value_kb = 16.0\ntxn_ops = 50'), 8192, 16, 25],
    [next('later_field = 1'), 8192, 16, 25],
  ];
  for (const [text, valueBytes, transactionOps, writeRps] of good) {
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
      (e: unknown) =>
        e instanceof ConfigError &&
        e.problems.some((p) => p.startsWith(`settings.state.next.${name}`)),
      key,
    );
  }
});

test('ranges are cut so that the bitmap of each fits a value: table', () => {
  for (const valueBytes of [8192, 2048, 1024, 512]) {
    for (const tasks of [1, 17, 4096, 100_000]) {
      const most = maxRangeTasks(valueBytes);
      for (const [from, to] of splitIntoRanges(tasks, 3, false, most)) {
        const bits = encodeDone({ from, to }, new Set());
        const slot = { [`job-${'9'.repeat(20)}/${from}`]: bits };
        assert.ok(
          JSON.stringify(slot).length <= valueBytes * SLOT_FILL_RATIO,
          `${valueBytes} ${tasks}`,
        );
      }
    }
  }
});

/** A shard whose values were written when they could be larger, on a store that allows less now. */
const shrunkenStore = (valueBytes: number, transactionOps: number) => {
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
      assert.ok(writes.length <= transactionOps, `${writes.length} changes`);
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
  /** What a node that starts now knows to be done, whichever of two copies it meets first. */
  const known = (uid: string): Set<number> => {
    const fresh = new WatchCache();
    store.applyTo(fresh, 'listing');
    const done = new Set<number>();
    for (const range of fresh.tables.activeJobs.get(uid)!.value.ranges) {
      const bitmap = fresh.completedTasks(range.shard, uid, range.from);
      if (bitmap !== undefined) for (const index of decodeDone(range, bitmap)) done.add(index);
    }
    return done;
  };
  return { values: store.values, cache, show, save, known, written };
};

test('a slot from a time of larger values is taken apart, each step right by itself', async () => {
  for (const [valueBytes, ops] of [
    [2048, 4],
    [1024, 2],
    [512, 5],
  ] as const) {
    const fixture = shrunkenStore(valueBytes, ops);
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
    const large = () =>
      [...fixture.values].some(
        ([k, v]) => k.startsWith('done/') && JSON.stringify(v.value).length > valueBytes,
      );
    while (large()) {
      await fixture.save(shard);
      steps += 1;
      assert.ok(steps < 40);
      for (let n = 0; n < 60; n++) {
        assert.deepEqual(
          [...fixture.known(`job-${n}`)].sort((a, b) => a - b),
          [...new Set([n, 239])],
        );
      }
    }
    assert.ok(steps > 0 && fixture.written.maxBytes <= valueBytes);
  }
});

test('an old owner goes on in the middle of a split: what it saved is not written over', async () => {
  // The old version reads and writes the first slot that holds a range. The other copy is older then,
  // and a split that continues from it would bring completed tasks back as waiting.
  const [valueBytes, ops] = [512, 2];
  const fixture = shrunkenStore(valueBytes, ops);
  const tasks = 240;
  const range = { from: 0, to: tasks };
  fixture.values.set('parts/0', { value: { owner: 'n', incarnation: 'a', term: 1 }, revision: 1 });
  const records: JobRecord[] = [];
  const large: Record<string, string> = {};
  for (let n = 0; n < 20; n++) {
    const record = job({ uid: `job-${n}`, tasks });
    records.push(record);
    fixture.values.set(`active/job-${n}`, { value: encodeJob(record), revision: 2 });
    large[`job-${n}/0`] = encodeDone(range, new Set([n]));
  }
  fixture.values.set('done/0/0', { value: {}, revision: 3 });
  fixture.values.set('done/0/1', { value: large, revision: 3 });
  fixture.show();
  const shard = shardWith(new Store().add(...records));
  const slot = (n: number) => fixture.values.get(`done/0/${n}`)!.value as Record<string, string>;
  await fixture.save(shard);
  const twice = Object.keys(slot(0)).filter((name) => name in slot(1));
  assert.ok(twice.length > 0, 'the split is half done');
  const value = { ...slot(0) };
  for (const name of twice) {
    const n = Number(/\d+/.exec(name)![0]);
    value[name] = encodeDone(range, new Set([n, 100]));
  }
  fixture.values.set('done/0/0', { value, revision: 99 });
  fixture.show();
  for (let step = 0; step < 20; step++) {
    await fixture.save(shard);
    for (const name of twice) {
      const uid = name.slice(0, name.indexOf('/'));
      assert.ok(fixture.known(uid).has(100), `${uid} after step ${step}`);
    }
  }
  assert.ok(
    [...fixture.values.values()].every((v) => JSON.stringify(v.value).length <= valueBytes),
  );
});

test('a range that stands in two slots is done where either says so, whichever is met first', () => {
  for (const [a, b, either] of [
    ['c0', '90', 'd0'],
    ['f', '0f', 'ff'],
    ['01', '8', '81'],
  ]) {
    for (const slots of [
      [a, b],
      [b, a],
    ]) {
      const cache = new WatchCache();
      const changes = slots.map((bits, n) => ({
        key: `done/0/${n}`,
        value: { 'job-1/0': bits },
        revision: n + 1,
        removed: false,
      }));
      cache.apply({ isListing: true, revision: 9, consistentFrom: 9, changes });
      assert.equal(cache.completedTasks(0, 'job-1', 0), either);
    }
  }
});

test('a range whose bitmap fits no value any more is cut, and nothing that is done is lost', async () => {
  const fixture = shrunkenStore(1024, 4);
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
      [...fixture.known('job-1')].sort((a, b) => a - b),
      [...done],
      `after step ${step}`,
    );
  }
  assert.ok(ranges().every((r) => r.to - r.from <= maxRangeTasks(1024)));
  assert.equal(
    ranges().reduce((sum, r) => sum + r.to - r.from, 0),
    6000,
  );
  // What ends now is saved in the new cut.
  shard.jobs.get('job-1')!.unsavedCompletions.add(0);
  await fixture.save(shard);
  assert.ok(fixture.known('job-1').has(0));
});

test('the state client: sizes at the edge, 400s that are not repeated, a 429 that lowers the rate', async () => {
  const state = new FakeStore();
  await state.start();
  const errors: string[] = [];
  const log = pino({ level: 'error' }, { write: (line: string) => errors.push(line) });
  const rates = { rps: 1000, writeRps: 400, next: { rps: 1000, writeRps: 20 } };
  const client = new StoreClient(
    state.address,
    rates,
    { valueBytes: 100, transactionOps: 2 },
    () => performance.now(),
    log,
  );
  const put = (key: string, bytes: number): Write => ({ put: key, value: 'x'.repeat(bytes - 2) });
  try {
    const edges: [string, Write[], number, boolean][] = [
      ['a value of just the size', [put('a', 100)], 0, true],
      ['one byte more', [put('a', 101)], 0, false],
      ['as many changes as allowed', [put('a', 9), put('b', 9)], 8, true],
      ['one change more', [put('a', 9), put('b', 9), put('c', 9)], 0, false],
      ['one condition more', [put('a', 9)], 9, false],
    ];
    for (const [name, writes, conditions, fits] of edges) {
      const guards = Array.from({ length: conditions }, (_, i) => ({ key: `k${i}`, revision: 0 }));
      const sent = client.compareAndSwap(CALL_PRIORITY.background, guards, writes).then(
        () => true,
        (e: unknown) => {
          assert.ok(e instanceof StoreRequestError && e.kind === 'invalid', name);
          return false;
        },
      );
      assert.equal(await sent, fits, name);
    }
    assert.equal(state.rejectedTransactions.size, 0, 'what is too large is not even sent');
    // Lower than announced: refused once, logged once, and not sent again.
    state.limits = { ...state.limits, valueBytes: 50 };
    const logged = errors.length;
    for (let i = 0; i < 3; i++) {
      await assert.rejects(client.compareAndSwap(CALL_PRIORITY.background, [], [put('z', 80)]), {
        kind: 'invalid',
      });
    }
    assert.equal(state.rejectedTransactions.size, 1);
    assert.equal(errors.length, logged + 1);
    state.limits = { ...state.limits, writeRps: 20 };
    let refused = 0;
    const began = Date.now();
    for (let i = 0; Date.now() - began < 4000; i++) {
      await client
        .compareAndSwap(CALL_PRIORITY.background, [], [put(`w${i}`, 9)])
        .catch(() => (refused += 1));
    }
    assert.ok(state.rejectedTransactions.rate >= 1, 'the fall was noticed');
    assert.ok(
      state.rejectedTransactions.rate <= 12,
      `${state.rejectedTransactions.rate} refusals: the rate is not lowered`,
    );
  } finally {
    client.close();
    state.close();
  }
});

test('limits fall while whole controllers work: nothing is refused for its size, all is done', async () => {
  const storeLimits = {
    rps: 600,
    writeRps: 300,
    valueBytes: 1024,
    transactionOps: 3,
    next: { rps: 600, writeRps: 60 },
  };
  const c = new Cluster({ runMs: 800, leaseS: 4, cancelS: 10, storeLimits });
  const small = { Vcpus: 1, Cards: 0, MemGb: 1, GuessS: 20 };
  try {
    await c.open();
    const uids = [];
    for (let i = 0; i < 6; i++)
      uids.push(await c.submit(c.nodes[i % 3]!, { ...small, Pieces: 60 }));
    await c.waitUntil('some of it runs', 20, () => c.world.starts > 20);
    c.store.limits = { valueBytes: 1024, transactionOps: 3, writeRps: 60 };
    for (let i = 0; i < 3; i++)
      uids.push(await c.submit(c.nodes[i % 3]!, { ...small, Pieces: 60 }));
    for (const uid of uids) {
      await c.waitUntil(`${uid} done`, 60, async () => (await c.statusOf('n0', uid)) === 'done');
    }
    assert.equal(c.store.rejectedTransactions.size, 0);
    assert.deepEqual(c.world.violations, []);
  } finally {
    c.close();
  }
});
