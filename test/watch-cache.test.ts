import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { seededRandomInt } from '../src/random.js';
import type { Change } from '../src/store/types.js';
import { CACHED_PREFIXES, key, TABLE_OF_PREFIX } from '../src/store/keys.js';
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
const VALUES: readonly (readonly [name: string, value: unknown])[] = [
  [key.activeJob(UID), encodeJob(job())],
  [key.machineGroup('g'), encodeMachineGroup(GROUP)],
  [key.rental(0, 'h'), { type: 'm', zone: 'z', spot: false, count: 1 }],
  [key.shard(0), { owner: 'n', incarnation: 'i', term: 1 }],
  [key.completions(0, 0), { [`${UID}/0`]: 'f' }],
  [key.node('n', 'i'), { incarnation: 'i' }],
];
const FINAL = { status: 'cancelled', tasks: 1, done: 0 };

const put = (name: string, value: unknown, revision: number): Change => {
  return { key: name, value, revision, removed: false };
};
const removal = (name: string, revision: number): Change => {
  return { key: name, value: undefined, revision, removed: true };
};
const listing = (
  revision: number,
  changes: readonly Change[],
  consistentFrom = revision,
): WatchBatch => {
  return { isListing: true, revision, consistentFrom, changes };
};
const changed = (revision: number, changes: readonly Change[]): WatchBatch => {
  return { isListing: false, revision, changes };
};

/** Keys that the cache shows, with their revisions. */
const shown = (cache: WatchCache): Map<string, number> => {
  const out = new Map<string, number>();
  for (const prefix of CACHED_PREFIXES) {
    for (const [id, { revision }] of cache.tables[TABLE_OF_PREFIX[prefix]])
      out.set(prefix + id, revision);
  }
  return out;
};

interface LateRow {
  readonly name: string;
  /** the write was carried out at revision 5; its answer is handled after all this */
  readonly before: (name: string, value: unknown) => readonly WatchBatch[];
  /** revision that the cache shows in the end; null: none */
  readonly shows: number | null;
}

const LATE_ROWS: readonly LateRow[] = [
  {
    name: 'the watch has shown the write and its removal in one answer',
    before: (name, value) => [listing(1, []), changed(6, [put(name, value, 5), removal(name, 6)])],
    shows: null,
  },
  {
    name: 'the watch has shown them in two answers',
    before: (name, value) => [
      listing(1, []),
      changed(5, [put(name, value, 5)]),
      changed(6, [removal(name, 6)]),
    ],
    shows: null,
  },
  {
    name: 'the watch has named the removal first',
    before: (name, value) => [listing(1, []), changed(6, [removal(name, 6), put(name, value, 5)])],
    shows: null,
  },
  {
    name: 'a listing was made after both',
    before: () => [listing(1, []), listing(6, [])],
    shows: null,
  },
  {
    name: 'a listing was made between them, and the watch has shown the removal',
    before: (name, value) => [listing(5, [put(name, value, 5)]), changed(6, [removal(name, 6)])],
    shows: null,
  },
  {
    name: 'a listing shows a mixture: the page of the key is newer than its first',
    before: (name) => [listing(4, [], 7), changed(7, [removal(name, 6)])],
    shows: null,
  },
  {
    name: 'the watch has shown a newer value',
    before: (name, value) => [
      listing(1, []),
      changed(8, [put(name, value, 5), put(name, value, 8)]),
    ],
    shows: 8,
  },
  {
    name: 'the watch is behind',
    before: () => [listing(4, [])],
    shows: 5,
  },
];

describe('an own write whose answer is handled late', () => {
  for (const row of LATE_ROWS) {
    test(row.name, () => {
      for (const [name, value] of VALUES) {
        const cache = new WatchCache();
        for (const batch of row.before(name, value)) cache.apply(batch);
        cache.applyOwn([{ put: name, value }], 5);
        assert.equal(shown(cache).get(name) ?? null, row.shows, name);
        const group = cache.machines.get('x')?.revision ?? null;
        if (name === key.machineGroup('g')) assert.equal(group, row.shows);
      }
    });
  }
});

test('a final state never changes: a later one of another kind is not taken in', () => {
  const cache = new WatchCache();
  cache.apply(listing(1, []));
  cache.apply(changed(3, [put(key.finalState(UID), { status: 'done', tasks: 1, done: 1 }, 3)]));
  cache.learnCancelled({ uid: UID, tasks: 1, done: 0, epoch: 4 });
  cache.learnFinalState(UID, FINAL, 4);
  assert.equal(cache.finalStates.get(UID)?.status, 'done');
});

/** The store as it is, with all that ever happened to each key. */
class ModelStore {
  revision = 1;
  readonly log: Change[] = [];

  write(writes: readonly Write[]): number {
    this.revision += 1;
    for (const w of writes) {
      const change =
        'drop' in w ? removal(w.drop, this.revision) : put(w.put, w.value, this.revision);
      this.log.push(change);
    }
    return this.revision;
  }

  /** The newest change of a key at or before a revision. */
  at(name: string, revision: number): Change | undefined {
    return this.log.findLast((c) => c.key === name && c.revision <= revision);
  }

  since(revision: number): Change[] {
    return this.log.filter((c) => c.revision > revision);
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
  readonly #answers: OwnAnswer[] = [];
  readonly #peerCancellations: { uid: string; revision: number }[] = [];
  /** the watch's answer, or the pages of a listing so far, on the way */
  #inFlight: WatchBatch | null = null;
  #listed: { prefixes: number; first: number; consistentFrom: number; changes: Change[] } | null =
    null;
  #jobs = 0;
  /** by key, the newest removal that the cache was told of, by the watch or ahead of it */
  readonly #removalsTold = new Map<string, number>();

  constructor(seed: number) {
    this.#random = seededRandomInt(seed);
    this.#cache.apply(listing(1, []));
  }

  run(steps: number): void {
    for (let step = 0; step < steps; step++) {
      this.#step();
      this.#check(step);
    }
  }

  #step(): void {
    const kind = this.#random(10);
    if (kind < 2) this.#store.write(this.#someWrites());
    else if (kind < 5) this.#ownWrite();
    else if (kind < 7) this.#answer();
    else if (kind < 8) this.#peer();
    else this.#read();
  }

  /** What anybody may do: a key is put, put anew or removed; a job ends for good. */
  #someWrites(): Write[] {
    if (this.#random(3) > 0) return this.#jobWrites();
    const [name, value] = VALUES[1 + this.#random(VALUES.length - 1)]!;
    const present = this.#store.at(name, this.#store.revision);
    const exists = present !== undefined && !present.removed;
    return exists && this.#random(2) === 0 ? [{ drop: name }] : [{ put: name, value }];
  }

  #jobWrites(): Write[] {
    const uid = `job-${this.#random(this.#jobs + 1)}`;
    const present = this.#store.at(key.activeJob(uid), this.#store.revision);
    if (present?.removed === true) return [{ put: 'term', value: this.#store.revision }];
    if (present === undefined) this.#jobs += 1;
    const end = present !== undefined && this.#random(2) === 0;
    if (!end) return [{ put: key.activeJob(uid), value: encodeJob(job({ uid })) }];
    const status = this.#random(2) === 0 ? 'done' : 'cancelled';
    if (status === 'cancelled')
      this.#peerCancellations.push({ uid, revision: this.#store.revision + 1 });
    const value = { status, tasks: 1, done: 0 };
    return [{ drop: key.activeJob(uid) }, { put: key.finalState(uid), value }];
  }

  #ownWrite(): void {
    const writes = this.#someWrites();
    this.#answers.push({ writes, revision: this.#store.write(writes) });
  }

  #answer(): void {
    const [answer] = this.#answers.splice(this.#random(this.#answers.length), 1);
    if (answer === undefined) return;
    this.#cache.applyOwn(answer.writes, answer.revision);
    for (const w of answer.writes) if ('drop' in w) this.#toldRemoval(w.drop, answer.revision);
  }

  #toldRemoval(name: string, revision: number): void {
    this.#removalsTold.set(name, Math.max(revision, this.#removalsTold.get(name) ?? -1));
  }

  #peer(): void {
    const told = this.#peerCancellations[this.#random(this.#peerCancellations.length)];
    if (told === undefined) return;
    const { uid, revision } = told;
    this.#cache.learnCancelled({ uid, epoch: revision, tasks: 1, done: 0 });
    this.#toldRemoval(key.activeJob(uid), revision);
  }

  /** The watch's answer is made at one step and arrives at another; a listing is made page by page. */
  #read(): void {
    if (this.#inFlight !== null) {
      this.#cache.apply(this.#inFlight);
      this.#inFlight = null;
    } else if (this.#listed !== null) this.#listPage();
    else if (this.#random(8) === 0) {
      this.#listed = { prefixes: 0, first: Infinity, consistentFrom: 0, changes: [] };
    } else {
      this.#inFlight = changed(this.#store.revision, this.#store.since(this.#cache.revision));
    }
  }

  #listPage(): void {
    const listed = this.#listed!;
    const prefix = CACHED_PREFIXES[listed.prefixes]!;
    const names = new Set(this.#store.log.map((c) => c.key).filter((k) => k.startsWith(prefix)));
    for (const name of names) {
      const present = this.#store.at(name, this.#store.revision);
      if (present !== undefined && !present.removed) listed.changes.push(present);
    }
    listed.first = Math.min(listed.first, this.#store.revision);
    listed.consistentFrom = this.#store.revision;
    listed.prefixes += 1;
    if (listed.prefixes < CACHED_PREFIXES.length) return;
    this.#inFlight = listing(listed.first, listed.changes, listed.consistentFrom);
    this.#listed = null;
  }

  #check(step: number): void {
    const { revision: cacheRevision } = this.#cache;
    const present = shown(this.#cache);
    for (const [name, revision] of present) {
      const covered = this.#store.at(name, cacheRevision);
      const known = covered === undefined || revision >= covered.revision;
      assert.ok(
        known,
        `step ${step}: ${name} of ${revision} at ${cacheRevision}, ${covered?.revision}`,
      );
      const gone = covered?.removed === true && revision <= covered.revision;
      assert.ok(!gone, `step ${step}: ${name} was removed at ${covered?.revision}`);
      const told = this.#removalsTold.get(name) ?? -1;
      assert.ok(revision > told, `step ${step}: ${name} of ${revision}, removed at ${told}`);
    }
    for (const c of this.#store.log) {
      if (c.removed || c.revision > cacheRevision || c.key.startsWith('final/')) continue;
      if (this.#store.at(c.key, this.#store.revision) !== c) continue;
      assert.ok(
        present.has(c.key),
        `step ${step}: ${c.key} of ${c.revision} is missing at ${cacheRevision}`,
      );
    }
    const machines = this.#cache.tables.machineGroups.has('g') ? ['x'] : [];
    assert.deepEqual([...this.#cache.machines.keys()], machines, `step ${step}: machines by name`);
    for (const [uid, { status }] of this.#cache.finalStates) {
      const stored = this.#store.at(key.finalState(uid), this.#store.revision)
        ?.value as typeof FINAL;
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
