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

/**
 * The watch cache never shows what was removed, nor an older revision than it has shown. Guards against an
 * own write whose answer is handled after the watch has shown both the write and the removal of its key: the
 * job of such a key was active again in that cache, for good (docs/incidents/2026-12-02-went-back.md).
 */
const UID = 'job-000001';
const GROUP = { ...machine('x'), machines: new Map([['x', true]]) };
/** a value for each kind of key */
const SAMPLE_VALUES: readonly (readonly [name: string, value: unknown])[] = [
  [storeKey.activeJob(UID), encodeJob(job())],
  [storeKey.machineGroup('g'), encodeMachineGroup(GROUP)],
  [storeKey.rental(0, 'h'), { type: 'm', zone: 'z', spot: false, count: 1 }],
  [storeKey.shard(0), { owner: 'n', incarnation: 'i', term: 1 }],
  [storeKey.completions(0, 0), { [`${UID}/0`]: 'f' }],
  [storeKey.node('n', 'i'), { incarnation: 'i' }],
];
const CANCELLED_STATE = { status: 'cancelled', tasks: 1, done: 0 };

const putChange = (name: string, value: unknown, revision: number): Change => {
  return { key: name, value, revision, removed: false };
};
const removalChange = (name: string, revision: number): Change => {
  return { key: name, value: undefined, revision, removed: true };
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

/** Keys that the cache shows, with their revisions. */
const cachedRevisions = (cache: WatchCache): Map<string, number> => {
  const out = new Map<string, number>();
  for (const prefix of CACHED_PREFIXES) {
    for (const [id, { revision }] of cache.tables[TABLE_OF_PREFIX[prefix]])
      out.set(prefix + id, revision);
  }
  return out;
};

interface LateAnswerCase {
  readonly name: string;
  /** the write was carried out at revision 5; its answer is handled after all this */
  readonly batchesBefore: (name: string, value: unknown) => readonly WatchBatch[];
  /** revision that the cache shows in the end; null: none */
  readonly expectedRevision: number | null;
}

const LATE_ANSWER_CASES: readonly LateAnswerCase[] = [
  {
    name: 'the watch has shown the write and its removal in one answer',
    batchesBefore: (name, value) => [
      listingBatch(1, []),
      changesBatch(6, [putChange(name, value, 5), removalChange(name, 6)]),
    ],
    expectedRevision: null,
  },
  {
    name: 'the watch has shown them in two answers',
    batchesBefore: (name, value) => [
      listingBatch(1, []),
      changesBatch(5, [putChange(name, value, 5)]),
      changesBatch(6, [removalChange(name, 6)]),
    ],
    expectedRevision: null,
  },
  {
    name: 'the watch has named the removal first',
    batchesBefore: (name, value) => [
      listingBatch(1, []),
      changesBatch(6, [removalChange(name, 6), putChange(name, value, 5)]),
    ],
    expectedRevision: null,
  },
  {
    name: 'a listing was made after both',
    batchesBefore: () => [listingBatch(1, []), listingBatch(6, [])],
    expectedRevision: null,
  },
  {
    name: 'a listing was made between them, and the watch has shown the removal',
    batchesBefore: (name, value) => [
      listingBatch(5, [putChange(name, value, 5)]),
      changesBatch(6, [removalChange(name, 6)]),
    ],
    expectedRevision: null,
  },
  {
    name: 'a listing shows a mixture: the page of the key is newer than its first',
    batchesBefore: (name) => [listingBatch(4, [], 7), changesBatch(7, [removalChange(name, 6)])],
    expectedRevision: null,
  },
  {
    name: 'the watch has shown a newer value',
    batchesBefore: (name, value) => [
      listingBatch(1, []),
      changesBatch(8, [putChange(name, value, 5), putChange(name, value, 8)]),
    ],
    expectedRevision: 8,
  },
  {
    name: 'the watch is behind',
    batchesBefore: () => [listingBatch(4, [])],
    expectedRevision: 5,
  },
];

describe('an own write whose answer is handled late', () => {
  for (const row of LATE_ANSWER_CASES) {
    test(row.name, () => {
      for (const [name, value] of SAMPLE_VALUES) {
        const cache = new WatchCache();
        for (const batch of row.batchesBefore(name, value)) cache.apply(batch);
        cache.applyOwn([{ put: name, value }], 5);
        assert.equal(cachedRevisions(cache).get(name) ?? null, row.expectedRevision, name);
        const group = cache.machines.get('x')?.revision ?? null;
        if (name === storeKey.machineGroup('g')) assert.equal(group, row.expectedRevision);
      }
    });
  }
});

test('a final state never changes: a later one of another kind is not taken in', () => {
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

/** The store as it is, with all that ever happened to each key. */
class ModelStore {
  revision = 1;
  readonly history: Change[] = [];

  write(writes: readonly Write[]): number {
    this.revision += 1;
    for (const w of writes) {
      const change =
        'drop' in w
          ? removalChange(w.drop, this.revision)
          : putChange(w.put, w.value, this.revision);
      this.history.push(change);
    }
    return this.revision;
  }

  /** The newest change of a key at or before a revision. */
  changeAt(name: string, revision: number): Change | undefined {
    return this.history.findLast((c) => c.key === name && c.revision <= revision);
  }

  changesSince(revision: number): Change[] {
    return this.history.filter((c) => c.revision > revision);
  }
}

interface OwnAnswer {
  readonly writes: readonly Write[];
  readonly revision: number;
}

/** One run of random steps; each checks the cache against the model. */
class Interleaving {
  readonly #store = new ModelStore();
  readonly #cache = new WatchCache();
  readonly #random: (below: number) => number;
  /** own writes that were carried out, and whose answers are still on their way */
  readonly #pendingAnswers: OwnAnswer[] = [];
  readonly #peerCancellations: { uid: string; revision: number }[] = [];
  /** the watch's answer, or the pages of a listing so far, on the way */
  #inFlight: WatchBatch | null = null;
  #partialListing: {
    prefixes: number;
    first: number;
    consistentFrom: number;
    changes: Change[];
  } | null = null;
  #jobCount = 0;
  /** by key, the newest removal that the cache was told of, by the watch or ahead of it */
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

  /** What anybody may do: a key is put, put anew or removed; a job ends for good. */
  #randomWrites(): Write[] {
    if (this.#random(3) > 0) return this.#randomJobWrites();
    const [name, value] = SAMPLE_VALUES[1 + this.#random(SAMPLE_VALUES.length - 1)]!;
    const present = this.#store.changeAt(name, this.#store.revision);
    const exists = present !== undefined && !present.removed;
    return exists && this.#random(2) === 0 ? [{ drop: name }] : [{ put: name, value }];
  }

  #randomJobWrites(): Write[] {
    const uid = `job-${this.#random(this.#jobCount + 1)}`;
    const present = this.#store.changeAt(storeKey.activeJob(uid), this.#store.revision);
    if (present?.removed === true) return [{ put: 'term', value: this.#store.revision }];
    if (present === undefined) this.#jobCount += 1;
    const end = present !== undefined && this.#random(2) === 0;
    if (!end) return [{ put: storeKey.activeJob(uid), value: encodeJob(job({ uid })) }];
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
    for (const w of answer.writes)
      if ('drop' in w) this.#recordKnownRemoval(w.drop, answer.revision);
  }

  #recordKnownRemoval(name: string, revision: number): void {
    this.#knownRemovals.set(name, Math.max(revision, this.#knownRemovals.get(name) ?? -1));
  }

  #applyPeerCancellation(): void {
    const told = this.#peerCancellations[this.#random(this.#peerCancellations.length)];
    if (told === undefined) return;
    const { uid, revision } = told;
    this.#cache.applyCancellation({ uid, epoch: revision, tasks: 1, done: 0 });
    this.#recordKnownRemoval(storeKey.activeJob(uid), revision);
  }

  /** The watch's answer is made at one step and arrives at another; a listing is made page by page. */
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
    const listed = this.#partialListing!;
    const prefix = CACHED_PREFIXES[listed.prefixes]!;
    const names = new Set(
      this.#store.history.map((c) => c.key).filter((k) => k.startsWith(prefix)),
    );
    for (const name of names) {
      const present = this.#store.changeAt(name, this.#store.revision);
      if (present !== undefined && !present.removed) listed.changes.push(present);
    }
    listed.first = Math.min(listed.first, this.#store.revision);
    listed.consistentFrom = this.#store.revision;
    listed.prefixes += 1;
    if (listed.prefixes < CACHED_PREFIXES.length) return;
    this.#inFlight = listingBatch(listed.first, listed.changes, listed.consistentFrom);
    this.#partialListing = null;
  }

  #check(step: number): void {
    const { revision: cacheRevision } = this.#cache;
    const present = cachedRevisions(this.#cache);
    for (const [name, revision] of present) {
      const covered = this.#store.changeAt(name, cacheRevision);
      const known = covered === undefined || revision >= covered.revision;
      assert.ok(
        known,
        `step ${step}: ${name} of ${revision} at ${cacheRevision}, ${covered?.revision}`,
      );
      const gone = covered?.removed === true && revision <= covered.revision;
      assert.ok(!gone, `step ${step}: ${name} was removed at ${covered?.revision}`);
      const told = this.#knownRemovals.get(name) ?? -1;
      assert.ok(revision > told, `step ${step}: ${name} of ${revision}, removed at ${told}`);
    }
    for (const c of this.#store.history) {
      if (c.removed || c.revision > cacheRevision || c.key.startsWith('final/')) continue;
      if (this.#store.changeAt(c.key, this.#store.revision) !== c) continue;
      assert.ok(
        present.has(c.key),
        `step ${step}: ${c.key} of ${c.revision} is missing at ${cacheRevision}`,
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

test('random interleavings of watch, listings, own writes shown late and news of peers', () => {
  for (let seed = 1; seed <= 150; seed++) {
    try {
      new Interleaving(seed).run(300);
    } catch (error) {
      throw new Error(`seed ${seed}`, { cause: error });
    }
  }
});
