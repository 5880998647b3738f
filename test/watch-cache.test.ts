/**
 * Tests of the watch cache: it never shows a key that was removed, nor an older revision than it has shown before.
 *
 * Guards against an own write whose answer is handled after the watch has reported both the write and the removal of
 * its key. The key came back for good, so that an ended job was active again in that cache
 * (docs/incidents/2026-12-02-went-back.md).
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { seededRandomInt } from '../src/random.js';
import type { Change } from '../src/store/types.js';
import { CACHED_PREFIXES, storeKey, TABLE_OF_PREFIX } from '../src/store/keys.js';
import { encodeJob } from '../src/store/codecs/job.js';
import { encodeMachineGroup } from '../src/store/codecs/machine-group.js';
import type { WatchBatch } from '../src/store/watch.js';
import { WatchCache } from '../src/store/watch-cache.js';
import type { Write } from '@sumacstep/leader-election';
import { job, machine } from './helpers.js';

const UID = 'job-000001';
const GROUP = { ...machine('x'), machines: new Map([['x', true]]) };
/** Keys of several kinds, each with a value. */
const SAMPLE_VALUES: readonly (readonly [key: string, value: unknown])[] = [
  [storeKey.activeJob(UID), encodeJob(job())],
  [storeKey.machineGroup('g'), encodeMachineGroup(GROUP)],
  [storeKey.rental(0, 'h'), { type: 'm', zone: 'z', spot: false, count: 1 }],
  [storeKey.shard(0), { owner: 'n', incarnation: 'i', term: 1 }],
  [storeKey.completions(0, 0), { [`${UID}/0`]: 'f' }],
  [storeKey.node('n', 'i'), { incarnation: 'i' }],
];
const CANCELLED_STATE = { status: 'cancelled', tasks: 1, done: 0 };

const putChange = (key: string, value: unknown, revision: number): Change => {
  return { key, value, revision, removed: false };
};
const removalChange = (key: string, revision: number): Change => {
  return { key, value: undefined, revision, removed: true };
};
const listingBatch = (
  revision: number,
  changes: readonly Change[],
  consistentFrom = revision,
): WatchBatch => {
  return { isListing: true, revision, consistentFrom, changes };
};
const changesBatch = (revision: number, changes: readonly Change[]): WatchBatch => {
  return { isListing: false, revision, changes };
};

/** Returns the keys that the cache shows, with their revisions. */
const cachedRevisions = (cache: WatchCache): Map<string, number> => {
  const revisions = new Map<string, number>();
  for (const prefix of CACHED_PREFIXES) {
    for (const [id, { revision }] of cache.tables[TABLE_OF_PREFIX[prefix]])
      revisions.set(prefix + id, revision);
  }
  return revisions;
};

interface LateAnswerCase {
  readonly name: string;
  /** batches applied before the answer of the write is handled; the write was carried out at revision 5 */
  readonly batchesBefore: (key: string, value: unknown) => readonly WatchBatch[];
  /** revision that the cache shows for the key afterwards; null if it shows none */
  readonly expectedRevision: number | null;
}

const LATE_ANSWER_CASES: readonly LateAnswerCase[] = [
  {
    name: 'is ignored if one batch of the watch has reported the write and the removal of its key',
    batchesBefore: (key, value) => [
      listingBatch(1, []),
      changesBatch(6, [putChange(key, value, 5), removalChange(key, 6)]),
    ],
    expectedRevision: null,
  },
  {
    name: 'is ignored if two batches of the watch have reported the write and the removal',
    batchesBefore: (key, value) => [
      listingBatch(1, []),
      changesBatch(5, [putChange(key, value, 5)]),
      changesBatch(6, [removalChange(key, 6)]),
    ],
    expectedRevision: null,
  },
  {
    name: 'is ignored if a batch has listed the removal before the write',
    batchesBefore: (key, value) => [
      listingBatch(1, []),
      changesBatch(6, [removalChange(key, 6), putChange(key, value, 5)]),
    ],
    expectedRevision: null,
  },
  {
    name: 'is ignored if a listing was made after the write and the removal',
    batchesBefore: () => [listingBatch(1, []), listingBatch(6, [])],
    expectedRevision: null,
  },
  {
    name: 'is ignored if a listing was made between the two and the watch has reported the removal',
    batchesBefore: (key, value) => [
      listingBatch(5, [putChange(key, value, 5)]),
      changesBatch(6, [removalChange(key, 6)]),
    ],
    expectedRevision: null,
  },
  {
    name: 'is ignored if the page of its key is newer than the first page of the listing',
    batchesBefore: (key) => [listingBatch(4, [], 7), changesBatch(7, [removalChange(key, 6)])],
    expectedRevision: null,
  },
  {
    name: 'does not replace a newer value that the watch has reported',
    batchesBefore: (key, value) => [
      listingBatch(1, []),
      changesBatch(8, [putChange(key, value, 5), putChange(key, value, 8)]),
    ],
    expectedRevision: 8,
  },
  {
    name: 'is applied if the watch has not reached its revision',
    batchesBefore: () => [listingBatch(4, [])],
    expectedRevision: 5,
  },
];

describe('an own write whose answer is handled late', () => {
  for (const testCase of LATE_ANSWER_CASES) {
    test(testCase.name, () => {
      for (const [key, value] of SAMPLE_VALUES) {
        const cache = new WatchCache();
        for (const batch of testCase.batchesBefore(key, value)) cache.apply(batch);
        cache.applyOwn([{ put: key, value }], 5);
        assert.equal(cachedRevisions(cache).get(key) ?? null, testCase.expectedRevision, key);
        const machineRevision = cache.machines.get('x')?.revision ?? null;
        if (key === storeKey.machineGroup('g'))
          assert.equal(machineRevision, testCase.expectedRevision);
      }
    });
  }
});

test('a final state never changes: a later one with another status is ignored', () => {
  const cache = new WatchCache();
  cache.apply(listingBatch(1, []));
  cache.apply(
    changesBatch(3, [
      putChange(storeKey.finalState(UID), { status: 'done', tasks: 1, done: 1 }, 3),
    ]),
  );
  cache.applyCancellation({ uid: UID, tasks: 1, done: 0, epoch: 4 });
  cache.recordFinalState(UID, CANCELLED_STATE, 4);
  assert.equal(cache.finalStates.get(UID)?.status, 'done');
});

/** A model of the store that keeps every change of each key. */
class ModelStore {
  revision = 1;
  readonly history: Change[] = [];

  write(writes: readonly Write[]): number {
    this.revision += 1;
    for (const write of writes) {
      const change =
        'drop' in write
          ? removalChange(write.drop, this.revision)
          : putChange(write.put, write.value, this.revision);
      this.history.push(change);
    }
    return this.revision;
  }

  /** Returns the newest change of a key at or before a revision. */
  changeAt(key: string, revision: number): Change | undefined {
    return this.history.findLast((c) => c.key === key && c.revision <= revision);
  }

  changesSince(revision: number): Change[] {
    return this.history.filter((c) => c.revision > revision);
  }
}

/** The answer of the store to a transaction of this node. */
interface OwnAnswer {
  readonly writes: readonly Write[];
  readonly revision: number;
}

/** A run of random steps. After each step the cache is checked against the model of the store. */
class Interleaving {
  readonly #store = new ModelStore();
  readonly #cache = new WatchCache();
  readonly #random: (below: number) => number;
  /** answers in flight to transactions of this node that were carried out */
  readonly #pendingAnswers: OwnAnswer[] = [];
  /** cancellations that other nodes may report, with the revisions of their transactions */
  readonly #peerCancellations: { uid: string; revision: number }[] = [];
  /** the batch in flight from the watch */
  #inFlight: WatchBatch | null = null;
  /** the pages of an unfinished listing */
  #partialListing: {
    prefixes: number;
    first: number;
    consistentFrom: number;
    changes: Change[];
  } | null = null;
  #jobCount = 0;
  /** by key, the revision of the newest removal that an own answer or a peer's cancellation gave to the cache */
  readonly #knownRemovals = new Map<string, number>();

  constructor(seed: number) {
    this.#random = seededRandomInt(seed);
    this.#cache.apply(listingBatch(1, []));
  }

  run(steps: number): void {
    for (let step = 0; step < steps; step++) {
      this.#step();
      this.#check(step);
    }
  }

  #step(): void {
    const kind = this.#random(10);
    if (kind < 2) this.#store.write(this.#randomWrites());
    else if (kind < 5) this.#writeOwn();
    else if (kind < 7) this.#handleOwnAnswer();
    else if (kind < 8) this.#applyPeerCancellation();
    else this.#advanceWatch();
  }

  /** Returns writes that any node may send: a key is created, replaced or removed; a job ends for good. */
  #randomWrites(): Write[] {
    if (this.#random(3) > 0) return this.#randomJobWrites();
    const [key, value] = SAMPLE_VALUES[1 + this.#random(SAMPLE_VALUES.length - 1)]!;
    const present = this.#store.changeAt(key, this.#store.revision);
    const exists = present !== undefined && !present.removed;
    return exists && this.#random(2) === 0 ? [{ drop: key }] : [{ put: key, value }];
  }

  #randomJobWrites(): Write[] {
    const uid = `job-${this.#random(this.#jobCount + 1)}`;
    const present = this.#store.changeAt(storeKey.activeJob(uid), this.#store.revision);
    if (present?.removed === true) return [{ put: 'term', value: this.#store.revision }];
    if (present === undefined) this.#jobCount += 1;
    const ends = present !== undefined && this.#random(2) === 0;
    if (!ends) return [{ put: storeKey.activeJob(uid), value: encodeJob(job({ uid })) }];
    const status = this.#random(2) === 0 ? 'done' : 'cancelled';
    if (status === 'cancelled')
      this.#peerCancellations.push({ uid, revision: this.#store.revision + 1 });
    const value = { status, tasks: 1, done: 0 };
    return [{ drop: storeKey.activeJob(uid) }, { put: storeKey.finalState(uid), value }];
  }

  #writeOwn(): void {
    const writes = this.#randomWrites();
    this.#pendingAnswers.push({ writes, revision: this.#store.write(writes) });
  }

  #handleOwnAnswer(): void {
    const [answer] = this.#pendingAnswers.splice(this.#random(this.#pendingAnswers.length), 1);
    if (answer === undefined) return;
    this.#cache.applyOwn(answer.writes, answer.revision);
    for (const write of answer.writes)
      if ('drop' in write) this.#recordKnownRemoval(write.drop, answer.revision);
  }

  #recordKnownRemoval(key: string, revision: number): void {
    this.#knownRemovals.set(key, Math.max(revision, this.#knownRemovals.get(key) ?? -1));
  }

  #applyPeerCancellation(): void {
    const cancellation = this.#peerCancellations[this.#random(this.#peerCancellations.length)];
    if (cancellation === undefined) return;
    const { uid, revision } = cancellation;
    this.#cache.applyCancellation({ uid, epoch: revision, tasks: 1, done: 0 });
    this.#recordKnownRemoval(storeKey.activeJob(uid), revision);
  }

  /** Advances the watch: a batch is read at one step and applied at a later one, and a listing takes a step a page. */
  #advanceWatch(): void {
    if (this.#inFlight !== null) {
      this.#cache.apply(this.#inFlight);
      this.#inFlight = null;
    } else if (this.#partialListing !== null) this.#listPage();
    else if (this.#random(8) === 0) {
      this.#partialListing = { prefixes: 0, first: Infinity, consistentFrom: 0, changes: [] };
    } else {
      this.#inFlight = changesBatch(
        this.#store.revision,
        this.#store.changesSince(this.#cache.revision),
      );
    }
  }

  #listPage(): void {
    const partial = this.#partialListing!;
    const prefix = CACHED_PREFIXES[partial.prefixes]!;
    const keys = new Set(this.#store.history.map((c) => c.key).filter((k) => k.startsWith(prefix)));
    for (const key of keys) {
      const present = this.#store.changeAt(key, this.#store.revision);
      if (present !== undefined && !present.removed) partial.changes.push(present);
    }
    partial.first = Math.min(partial.first, this.#store.revision);
    partial.consistentFrom = this.#store.revision;
    partial.prefixes += 1;
    if (partial.prefixes < CACHED_PREFIXES.length) return;
    this.#inFlight = listingBatch(partial.first, partial.changes, partial.consistentFrom);
    this.#partialListing = null;
  }

  #check(step: number): void {
    const { revision: cacheRevision } = this.#cache;
    const present = cachedRevisions(this.#cache);
    for (const [key, revision] of present) {
      const expected = this.#store.changeAt(key, cacheRevision);
      const isCurrent = expected === undefined || revision >= expected.revision;
      assert.ok(
        isCurrent,
        `step ${step}: ${key} of ${revision} at ${cacheRevision}, ${expected?.revision}`,
      );
      const wasRemoved = expected?.removed === true && revision <= expected.revision;
      assert.ok(!wasRemoved, `step ${step}: ${key} was removed at ${expected?.revision}`);
      const removedAt = this.#knownRemovals.get(key) ?? -1;
      assert.ok(
        revision > removedAt,
        `step ${step}: ${key} of ${revision}, removed at ${removedAt}`,
      );
    }
    for (const change of this.#store.history) {
      if (change.removed || change.revision > cacheRevision || change.key.startsWith('final/'))
        continue;
      if (this.#store.changeAt(change.key, this.#store.revision) !== change) continue;
      assert.ok(
        present.has(change.key),
        `step ${step}: ${change.key} of ${change.revision} is missing at ${cacheRevision}`,
      );
    }
    const machines = this.#cache.tables.machineGroups.has('g') ? ['x'] : [];
    assert.deepEqual([...this.#cache.machines.keys()], machines, `step ${step}: machines by name`);
    for (const [uid, { status }] of this.#cache.finalStates) {
      const stored = this.#store.changeAt(storeKey.finalState(uid), this.#store.revision)
        ?.value as typeof CANCELLED_STATE;
      assert.equal(status, stored.status, `step ${step}: ${uid}`);
    }
  }
}

test('the cache matches the store under random interleavings of watch, listings, own answers and peers', () => {
  for (let seed = 1; seed <= 150; seed++) {
    try {
      new Interleaving(seed).run(300);
    } catch (error) {
      throw new Error(`seed ${seed}`, { cause: error });
    }
  }
});
