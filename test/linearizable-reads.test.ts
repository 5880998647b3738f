import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { setImmediate as turn, setTimeout as sleep } from 'node:timers/promises';
import { WATCH_PROBE_DELAY_MS, READ_BATCH_WINDOW_MS } from '../src/store/constants.js';
import type { ReadResult } from '../src/store/types.js';
import { storeKey } from '../src/store/keys.js';
import { LinearizableReads } from '../src/store/linearizable-reads.js';
import { SharedReads } from '../src/store/shared-reads.js';
import { WatchCache } from '../src/store/watch-cache.js';

/** A reader waits for a read that began after it came, whatever else arrives meanwhile. */
class ReadScenario {
  now = 100;
  readonly cache = new WatchCache();
  /** probes that were sent and not answered yet */
  readonly probes: ((found: ReadResult) => void)[] = [];
  readonly reads: LinearizableReads;
  currentSince: number | null = null;

  constructor() {
    const get = () => new Promise<ReadResult>((resolve) => this.probes.push(resolve));
    this.reads = new LinearizableReads({ get }, this.cache, () => this.now);
    this.applyListing(10, 0);
  }

  applyListing(revision: number, readStartedAt: number, consistentFrom = revision): void {
    this.cache.apply({
      isListing: true,
      changes: [],
      revision,
      consistentFrom,
      readStartedAt,
    });
  }

  changes(revision: number, readStartedAt: number): void {
    this.cache.apply({ isListing: false, changes: [], revision, readStartedAt });
  }

  startRead(): void {
    void this.reads.waitUntilCurrent().then((since) => (this.currentSince = since));
  }

  /** A read of the watch is held for long enough that a probe is sent. */
  async blockWatchUntilProbe(): Promise<void> {
    this.reads.onReadState(this.now);
    this.now += WATCH_PROBE_DELAY_MS;
    while (this.probes.length === 0) await sleep(WATCH_PROBE_DELAY_MS / 4);
  }

  answerProbe(revision: number): void {
    this.probes.shift()!({ missing: true, storeRevision: revision });
  }
}

interface ReadCase {
  readonly name: string;
  readonly run: (scene: ReadScenario) => Promise<void> | void;
  /** steady ms since which the reader is told that the cache is current; null: it waits on */
  readonly expectedCurrentSince: number | null;
}

const READ_CASES: readonly ReadCase[] = [
  { name: 'a read that began before', run: (s) => s.changes(12, 99.9), expectedCurrentSince: null },
  {
    name: 'a read that began in the same instant',
    run: (s) => s.changes(12, 100),
    expectedCurrentSince: 100,
  },
  { name: 'a read that began after', run: (s) => s.changes(10, 100.1), expectedCurrentSince: 100 },
  {
    name: "an earlier read's answer that was held up, however late it comes",
    run: (s) => {
      s.now = 900;
      s.changes(500, 50);
    },
    expectedCurrentSince: null,
  },
  {
    name: 'an own write that is ahead of the watch',
    run: (s) => s.cache.applyOwn([{ put: 'term', value: 1 }], 90),
    expectedCurrentSince: null,
  },
  {
    name: 'a probe that finds the epoch of the cache',
    run: async (s) => {
      await s.blockWatchUntilProbe();
      s.answerProbe(10);
    },
    expectedCurrentSince: 100,
  },
  {
    name: 'a probe that finds a later epoch, while only an own write has reached it',
    run: async (s) => {
      await s.blockWatchUntilProbe();
      s.cache.applyOwn([{ put: 'term', value: 1 }], 12);
      s.answerProbe(12);
    },
    expectedCurrentSince: null,
  },
  {
    name: 'a probe that finds a later epoch, which an older read then shows',
    run: async (s) => {
      await s.blockWatchUntilProbe();
      s.answerProbe(12);
      await turn();
      s.changes(12, 60);
    },
    expectedCurrentSince: 100,
  },
  {
    name: 'a listing that began after, as long as it shows a mixture',
    run: (s) => s.applyListing(12, 101, 15),
    expectedCurrentSince: null,
  },
  {
    name: 'a listing that began after, once the watch has made it whole',
    run: (s) => {
      s.applyListing(12, 101, 15);
      s.changes(15, 102);
    },
    expectedCurrentSince: 100,
  },
  {
    name: 'a listing older than an own write',
    run: (s) => {
      s.cache.applyOwn([{ put: 'term', value: 1 }], 20);
      s.applyListing(12, 101);
    },
    expectedCurrentSince: null,
  },
];

describe('what satisfies a linearizable read', () => {
  for (const row of READ_CASES) {
    test(row.name, async () => {
      const scene = new ReadScenario();
      scene.startRead();
      await row.run(scene);
      await turn();
      assert.equal(scene.currentSince, row.expectedCurrentSince);
      scene.reads.close();
    });
  }

  test('a reader that comes while a probe is on its way needs one of its own', async () => {
    const scene = new ReadScenario();
    scene.startRead();
    await scene.blockWatchUntilProbe();
    let second: number | null = null;
    void scene.reads.waitUntilCurrent().then((since) => (second = since));
    scene.answerProbe(10);
    await turn();
    assert.equal(scene.currentSince, 100);
    assert.equal(second, null);
    while (scene.probes.length === 0) await sleep(WATCH_PROBE_DELAY_MS / 4);
    scene.answerProbe(10);
    await turn();
    assert.equal(second, scene.now);
    scene.reads.close();
  });
});

test('reads of one key are shared until they leave, and not after', async () => {
  const answers: ((found: ReadResult) => void)[] = [];
  const get = () => new Promise<ReadResult>((resolve) => answers.push(resolve));
  const reads = new SharedReads({ get });
  const name = storeKey.finalState('job-000001');
  const early = [reads.read(name), reads.read(name)];
  await sleep(READ_BATCH_WINDOW_MS * 3);
  assert.equal(answers.length, 1, 'both left as one');
  const late = reads.read(name);
  await sleep(READ_BATCH_WINDOW_MS * 3);
  assert.equal(answers.length, 2, 'the third came after they had left');
  answers[0]!({ missing: true, storeRevision: 1 });
  answers[1]!({ key: name, value: 1, revision: 2 });
  for (const found of await Promise.all(early)) assert.ok('missing' in found);
  assert.ok(!('missing' in (await late)));
});
