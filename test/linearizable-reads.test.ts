/**
 * Tests of linearizable reads: a request is answered from the cache only once a read of the watch that began after
 * the request, or a probe that was sent after it, shows that the cache is current, whatever else arrives meanwhile.
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { setImmediate as turn, setTimeout as sleep } from 'node:timers/promises';
import { WATCH_PROBE_DELAY_MS, READ_BATCH_WINDOW_MS } from '../src/store/constants.js';
import type { ReadResult } from '../src/store/types.js';
import { storeKey } from '../src/store/keys.js';
import { LinearizableReads } from '../src/store/linearizable-reads.js';
import { SharedReads } from '../src/store/shared-reads.js';
import { WatchCache } from '../src/store/watch-cache.js';

/** A cache at revision 10, and a request that arrives at 100 ms. */
class ReadScenario {
  now = 100;
  readonly cache = new WatchCache();
  /** probes that were sent and not answered yet */
  readonly probes: ((result: ReadResult) => void)[] = [];
  readonly reads: LinearizableReads;
  /** the result of `startRead`; null while it waits */
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

  applyChanges(revision: number, readStartedAt: number): void {
    this.cache.apply({ isListing: false, changes: [], revision, readStartedAt });
  }

  startRead(): void {
    void this.reads.waitUntilCurrent().then((since) => (this.currentSince = since));
  }

  /** Blocks a read of the watch for long enough that a probe is sent. */
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
  readonly run: (scenario: ReadScenario) => Promise<void> | void;
  /** monotonic-clock time in ms as of which the read is answered; null if it still waits */
  readonly expectedCurrentSince: number | null;
}

const READ_CASES: readonly ReadCase[] = [
  {
    name: 'a watch read that began before the request does not answer it',
    run: (scenario) => scenario.applyChanges(12, 99.9),
    expectedCurrentSince: null,
  },
  {
    name: 'a watch read that began in the same instant answers it',
    run: (scenario) => scenario.applyChanges(12, 100),
    expectedCurrentSince: 100,
  },
  {
    name: 'a watch read that began after the request answers it',
    run: (scenario) => scenario.applyChanges(10, 100.1),
    expectedCurrentSince: 100,
  },
  {
    name: 'a watch read that began before the request does not answer it, however late it ends',
    run: (scenario) => {
      scenario.now = 900;
      scenario.applyChanges(500, 50);
    },
    expectedCurrentSince: null,
  },
  {
    name: 'an own write applied ahead of the watch does not answer it',
    run: (scenario) => scenario.cache.applyOwnWrites([{ put: 'term', value: 1 }], 90),
    expectedCurrentSince: null,
  },
  {
    name: 'a probe that finds the revision of the cache answers it',
    run: async (scenario) => {
      await scenario.blockWatchUntilProbe();
      scenario.answerProbe(10);
    },
    expectedCurrentSince: 100,
  },
  {
    name: 'a probe that finds a later revision does not answer it while only an own write has reached that',
    run: async (scenario) => {
      await scenario.blockWatchUntilProbe();
      scenario.cache.applyOwnWrites([{ put: 'term', value: 1 }], 12);
      scenario.answerProbe(12);
    },
    expectedCurrentSince: null,
  },
  {
    name: 'a probe that finds a later revision answers it once an older watch read has reached that',
    run: async (scenario) => {
      await scenario.blockWatchUntilProbe();
      scenario.answerProbe(12);
      await turn();
      scenario.applyChanges(12, 60);
    },
    expectedCurrentSince: 100,
  },
  {
    name: 'a listing that began after the request does not answer it while its pages are inconsistent',
    run: (scenario) => scenario.applyListing(12, 101, 15),
    expectedCurrentSince: null,
  },
  {
    name: 'a listing that began after the request answers it once the watch has made it consistent',
    run: (scenario) => {
      scenario.applyListing(12, 101, 15);
      scenario.applyChanges(15, 102);
    },
    expectedCurrentSince: 100,
  },
  {
    name: 'a listing older than an own write does not answer it',
    run: (scenario) => {
      scenario.cache.applyOwnWrites([{ put: 'term', value: 1 }], 20);
      scenario.applyListing(12, 101);
    },
    expectedCurrentSince: null,
  },
];

describe('a request for a linearizable read', () => {
  for (const testCase of READ_CASES) {
    test(testCase.name, async () => {
      const scenario = new ReadScenario();
      scenario.startRead();
      await testCase.run(scenario);
      await turn();
      assert.equal(scenario.currentSince, testCase.expectedCurrentSince);
      scenario.reads.close();
    });
  }

  test('a request that arrives while a probe is in flight needs a probe of its own', async () => {
    const scenario = new ReadScenario();
    scenario.startRead();
    await scenario.blockWatchUntilProbe();
    let secondCurrentSince: number | null = null;
    void scenario.reads.waitUntilCurrent().then((since) => (secondCurrentSince = since));
    scenario.answerProbe(10);
    await turn();
    assert.equal(scenario.currentSince, 100);
    assert.equal(secondCurrentSince, null);
    while (scenario.probes.length === 0) await sleep(WATCH_PROBE_DELAY_MS / 4);
    scenario.answerProbe(10);
    await turn();
    assert.equal(secondCurrentSince, scenario.now);
    scenario.reads.close();
  });
});

test('requests for a key share a read until it is sent, and later requests need another read', async () => {
  const answers: ((result: ReadResult) => void)[] = [];
  const get = () => new Promise<ReadResult>((resolve) => answers.push(resolve));
  const reads = new SharedReads({ get });
  const key = storeKey.finalState('job-000001');
  const early = [reads.read(key), reads.read(key)];
  await sleep(READ_BATCH_WINDOW_MS * 3);
  assert.equal(answers.length, 1, 'the first two requests share one read');
  const late = reads.read(key);
  await sleep(READ_BATCH_WINDOW_MS * 3);
  assert.equal(answers.length, 2, 'the third request came after that read was sent');
  answers[0]!({ missing: true, storeRevision: 1 });
  answers[1]!({ key, value: 1, revision: 2 });
  for (const result of await Promise.all(early)) assert.ok('missing' in result);
  assert.ok(!('missing' in (await late)));
});
