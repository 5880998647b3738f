/** A node's cache of the store: decoded values in one table for each kind, kept up to date by the watch. */
import { EventEmitter } from 'node:events';
import { MAX_FINAL_STATES_IN_MEMORY } from './constants.js';
import type { Change } from './types.js';
import type { WatchBatch } from './watch.js';
import type { Write } from '@sumacstep/leader-election';
import type { Cancellation } from '../core/cancellation/cancellation.js';
import { mergeDone } from '../core/jobs/jobs.js';
import type { MachineRecord } from '../core/model.js';
import {
  FINAL_STATE_PREFIX,
  storeKey,
  cachedPrefixOf,
  TABLE_OF_PREFIX,
  type CachedPrefix,
} from './keys.js';
import { encodeFinalState, decodeFinalState, type FinalState } from './codecs/final-state.js';
import { machinesOf, type MachineGroup } from './codecs/machine-group.js';
import { decoders, type CachedValues } from './codecs/cached-values.js';

/** A decoded value, and the revision of its key's last change. */
export interface Cached<T> {
  readonly value: T;
  readonly revision: number;
}

/** Changes of the cache since `takeChanges` was last called. */
export interface CacheChanges {
  /** whether a listing has replaced all tables */
  allTables: boolean;
  /** uids of active jobs that were written or removed */
  readonly jobs: Set<string>;
  /** whether any group of machines was written or removed */
  machines: boolean;
}

/** A machine, and the id of the group in whose value it is stored. */
export interface CachedMachine extends Cached<MachineRecord> {
  readonly group: string;
}

type Tables = {
  [P in CachedPrefix as (typeof TABLE_OF_PREFIX)[P]]: Map<string, Cached<CachedValues[P]>>;
};

/**
 * Returns the changes of a batch by ascending revision. The protocol guarantees no order of a watch's changes, so a
 * removal could come before an earlier write of the same key.
 */
const inRevisionOrder = ({ isListing, changes }: WatchBatch): readonly Change[] =>
  isListing ? changes : changes.toSorted((a, b) => a.revision - b.revision);

/** Returns a write of this node as the change that the watch will report for it. */
const toChange = (write: Write, revision: number): Change =>
  'drop' in write
    ? { key: write.drop, revision, value: undefined, removed: true }
    : { key: write.put, revision, value: write.value, removed: false };

const emptyTables = (): Tables => ({
  activeJobs: new Map(),
  completions: new Map(),
  machineGroups: new Map(),
  shards: new Map(),
  nodes: new Map(),
  rentals: new Map(),
  elections: new Map(),
  moves: new Map(),
  term: new Map(),
});

/**
 * The cached keys of the store as of `revision`, with this node's own later writes applied. The cache may be stale:
 * decisions that depend on the present state must be checked by the guards of a transaction or by a linearizable
 * read. Emits `change` after each update, and `cancelled` with a `Cancellation` when it first learns of one.
 */
export class WatchCache extends EventEmitter {
  tables = emptyTables();
  /** machines of all groups, by name */
  readonly machines = new Map<string, CachedMachine>();
  /** number of updates so far; while it stays the same, the cache has not changed */
  version = 0;
  #pendingChanges: CacheChanges = { allTables: true, jobs: new Set(), machines: true };
  /** final states by uid, oldest first; the oldest are evicted, and can be read from the store again */
  readonly finalStates = new Map<string, FinalState>();
  /** revision up to which the watch has reported all changes */
  revision = -1;
  /** monotonic-clock time in ms; the cache shows everything that was committed before then */
  currentAt = -Infinity;
  /** revision of the latest write of this node that was applied ahead of the watch */
  #lastOwnRevision = -1;
  /** revisions by key of removals that were applied ahead of the watch; older changes must not restore the keys */
  readonly #ownRemovals = new Map<string, number>();
  /** revision before which the tables may show keys as of different revisions */
  #consistentFrom = Infinity;

  /** Whether the tables are consistent, that is, show the store as it was at one revision. */
  get ready(): boolean {
    return this.revision >= this.#consistentFrom;
  }

  /** Applies a batch of the watch. */
  apply(batch: WatchBatch): void {
    if (batch.isListing) {
      this.tables = emptyTables();
      this.machines.clear();
      this.#pendingChanges.allTables = true;
      // A listing may be older than this node's latest writes. Until the watch has reported those, machines
      // on which tasks run could be missing.
      this.#consistentFrom = Math.max(
        batch.consistentFrom ?? batch.revision,
        this.#lastOwnRevision,
      );
    }
    for (const change of inRevisionOrder(batch)) this.#applyChange(change);
    this.revision = batch.revision;
    this.currentAt = Math.max(this.currentAt, batch.readStartedAt ?? -Infinity);
    if (batch.isListing || batch.changes.length > 0) this.version += 1;
    for (const [removedKey, revision] of this.#ownRemovals) {
      if (revision <= this.revision) this.#ownRemovals.delete(removedKey);
    }
    this.emit('change', batch);
  }

  /**
   * Applies a transaction of this node ahead of the watch; `revision` is the transaction's. If the watch has reached
   * that revision already, the answer was handled late: the writes are ignored, because their keys may have been
   * changed or removed since, and a removed key would come back for good
   * (docs/incidents/2026-12-02-went-back.md). Final states never change, so they are always applied.
   */
  applyOwnWrites(writes: readonly Write[], revision: number): void {
    const alreadyWatched = revision <= this.revision;
    for (const write of writes) {
      const change = toChange(write, revision);
      if (alreadyWatched && !change.key.startsWith(FINAL_STATE_PREFIX)) continue;
      this.#applyChange(change);
      if (change.removed) this.#recordOwnRemoval(change.key, revision);
    }
    if (alreadyWatched) return;
    this.#lastOwnRevision = Math.max(this.#lastOwnRevision, revision);
    this.version += 1;
    this.emit('change');
  }

  /** Keeps the latest removal, since answers may be handled in another order than that of their transactions. */
  #recordOwnRemoval(removedKey: string, revision: number): void {
    this.#ownRemovals.set(removedKey, Math.max(revision, this.#ownRemovals.get(removedKey) ?? -1));
  }

  #applyChange(change: Change): void {
    if (change.key.startsWith(FINAL_STATE_PREFIX)) {
      const uid = change.key.slice(FINAL_STATE_PREFIX.length);
      if (!change.removed) this.recordFinalState(uid, change.value, change.revision);
      return;
    }
    const prefix = cachedPrefixOf(change.key);
    if (prefix === null) return;
    const id = change.key.slice(prefix.length);
    const table = this.tables[TABLE_OF_PREFIX[prefix]] as Map<string, Cached<unknown>>;
    const cached = table.get(id);
    // A change of the same revision is this node's own write, which was applied ahead of the watch.
    if (cached !== undefined && cached.revision >= change.revision) return;
    if ((this.#ownRemovals.get(change.key) ?? -1) > change.revision) return;
    const value = change.removed ? undefined : decoders[prefix](id, change.value);
    if (prefix === 'machines/') {
      const previous = cached?.value as MachineGroup | undefined;
      this.#updateMachines(id, previous, value as MachineGroup | undefined, change.revision);
    }
    this.#recordChange(prefix, id);
    if (change.removed) table.delete(id);
    else table.set(id, { value, revision: change.revision });
  }

  #recordChange(prefix: CachedPrefix, id: string): void {
    if (prefix === 'active/') this.#pendingChanges.jobs.add(id);
    else if (prefix === 'machines/') this.#pendingChanges.machines = true;
  }

  #updateMachines(
    group: string,
    previous: MachineGroup | undefined,
    next: MachineGroup | undefined,
    revision: number,
  ): void {
    for (const name of previous?.machines.keys() ?? []) {
      // If the same transaction moved the machine to another group, the entry may already be that group's.
      if (this.machines.get(name)?.group === group) this.machines.delete(name);
    }
    if (next === undefined) return;
    for (const value of machinesOf(next)) this.machines.set(value.name, { value, revision, group });
  }

  /** Returns the changes since the last call and resets them, so only one consumer may call it. */
  takeChanges(): CacheChanges {
    const changes = this.#pendingChanges;
    this.#pendingChanges = { allTables: false, jobs: new Set(), machines: false };
    return changes;
  }

  /**
   * Returns the bitmap of the completed tasks of the range that begins at task `from`, as its shard has saved them,
   * or undefined if there is none. While a value that has become too large is split, two values may hold the range;
   * a task is completed if either of them says so.
   */
  completedTasks(shard: number, uid: string, from: number): string | undefined {
    const rangeKey = `${uid}/${from}`;
    let completed: string | undefined;
    // Scanning all values is cheap: a shard has a handful of slots at most.
    for (const [id, { value }] of this.tables.completions) {
      if (!id.startsWith(`${shard}/`)) continue;
      const bits = value.get(rangeKey);
      if (bits === undefined) continue;
      completed = completed === undefined ? bits : mergeDone(completed, bits);
    }
    return completed;
  }

  /** Applies a cancellation that another node has sent, ahead of the watch and without reading the store. */
  applyCancellation({ uid, tasks, done, epoch }: Cancellation): void {
    if (this.finalStates.has(uid)) return;
    const final: FinalState = { status: 'cancelled', tasks, done };
    this.applyOwnWrites(
      [
        { drop: storeKey.activeJob(uid) },
        { put: storeKey.finalState(uid), value: encodeFinalState(final) },
      ],
      epoch,
    );
  }

  /** Records a final state that was written at `revision`. Returns the valid one, which is the first recorded. */
  recordFinalState(uid: string, value: unknown, revision: number): FinalState {
    const knownFinalState = this.finalStates.get(uid);
    if (knownFinalState !== undefined) return knownFinalState;
    const final = decodeFinalState(value);
    this.finalStates.set(uid, final);
    if (final.status === 'cancelled') {
      this.emit('cancelled', { uid, tasks: final.tasks, done: final.done, epoch: revision });
    }
    if (this.finalStates.size > MAX_FINAL_STATES_IN_MEMORY) {
      const oldest = this.finalStates.keys().next().value;
      if (oldest !== undefined) this.finalStates.delete(oldest);
    }
    return final;
  }
}
