/** What this node knows of the store: decoded values by kind, kept up to date by the watch. */
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

/** A value of the store, and the revision of its last change. */
export interface Cached<T> {
  readonly value: T;
  readonly revision: number;
}

/** What has changed since the changes were last taken. */
export interface CacheChanges {
  /** a listing has replaced all tables */
  allTables: boolean;
  /** uids of active jobs that were written or removed */
  readonly jobs: Set<string>;
  machines: boolean;
}

/** A machine, with the group whose value holds it. */
export interface CachedMachine extends Cached<MachineRecord> {
  readonly group: string;
}

type Tables = {
  [P in CachedPrefix as (typeof TABLE_OF_PREFIX)[P]]: Map<string, Cached<CachedValues[P]>>;
};

/** The protocol promises no order of a watch's changes; in another one a removal could come first. */
const inRevisionOrder = ({ isListing: fresh, changes }: WatchBatch): readonly Change[] =>
  fresh ? changes : changes.toSorted((a, b) => a.revision - b.revision);

/** A write of this node as the watch will show it. */
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
 * What the store held at `revision`, as far as this node needs it, and this node's own later writes. It may
 * be old: whatever depends on the present is checked by a transaction's guards or a current read. Emits
 * `change` after each update, and `cancelled` with a `Cancellation` when it first sees one.
 */
export class WatchCache extends EventEmitter {
  tables = emptyTables();
  /** the machines of all groups by name */
  readonly machines = new Map<string, CachedMachine>();
  /** counts updates: while it stays the same, nothing has changed */
  version = 0;
  #pendingChanges: CacheChanges = { allTables: true, jobs: new Set(), machines: true };
  /** final states by uid; the oldest are evicted first and can be read again */
  readonly finalStates = new Map<string, FinalState>();
  revision = -1;
  /** steady ms: everything that was committed before is shown */
  currentAt = -Infinity;
  #lastOwnRevision = -1;
  /** keys that this node removed ahead of the watch: older changes must not bring them back */
  readonly #ownRemovals = new Map<string, number>();
  /** before this revision the tables may show keys as of different revisions */
  #consistentFrom = Infinity;

  /** Whether the tables show the store as it was at one revision. */
  get ready(): boolean {
    return this.revision >= this.#consistentFrom;
  }

  /** Takes in what the watch has read. */
  apply(batch: WatchBatch): void {
    if (batch.isListing) {
      this.tables = emptyTables();
      this.machines.clear();
      this.#pendingChanges.allTables = true;
      // A listing may be older than this node's latest writes: without them machines would be missing
      // on which tasks run.
      this.#consistentFrom = Math.max(
        batch.consistentFrom ?? batch.revision,
        this.#lastOwnRevision,
      );
    }
    for (const change of inRevisionOrder(batch)) this.#applyChange(change);
    this.revision = batch.revision;
    this.currentAt = Math.max(this.currentAt, batch.readStartedAt ?? -Infinity);
    if (batch.isListing || batch.changes.length > 0) this.version += 1;
    for (const [name, revision] of this.#ownRemovals) {
      if (revision <= this.revision) this.#ownRemovals.delete(name);
    }
    this.emit('change', batch);
  }

  /**
   * Shows this node's own transaction ahead of the watch. Once the watch has reached its revision, it changes
   * nothing: the answer was handled late, the key may have changed or been removed since, and would come
   * back for good (docs/incidents/2026-12-02-went-back.md). Final states never change, so they are always
   * taken in.
   */
  applyOwn(writes: readonly Write[], revision: number): void {
    const covered = revision <= this.revision;
    for (const write of writes) {
      const change = toChange(write, revision);
      if (covered && !change.key.startsWith(FINAL_STATE_PREFIX)) continue;
      this.#applyChange(change);
      if (change.removed) this.#recordOwnRemoval(change.key, revision);
    }
    if (covered) return;
    this.#lastOwnRevision = Math.max(this.#lastOwnRevision, revision);
    this.version += 1;
    this.emit('change');
  }

  /** Answers may be handled in another order than their transactions: the latest removal counts. */
  #recordOwnRemoval(name: string, revision: number): void {
    this.#ownRemovals.set(name, Math.max(revision, this.#ownRemovals.get(name) ?? -1));
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
    const known = table.get(id);
    // Of the same revision: this node's own write, which is shown already.
    if (known !== undefined && known.revision >= change.revision) return;
    if ((this.#ownRemovals.get(change.key) ?? -1) > change.revision) return;
    const value = change.removed ? undefined : decoders[prefix](id, change.value);
    if (prefix === 'machines/') {
      const previous = known?.value as MachineGroup | undefined;
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
      // A machine that has moved to another group in the same transaction is there already.
      if (this.machines.get(name)?.group === group) this.machines.delete(name);
    }
    if (next === undefined) return;
    for (const value of machinesOf(next)) this.machines.set(value.name, { value, revision, group });
  }

  /** Returns what has changed since the last call, for the one reconciler that compares only that. */
  takeChanges(): CacheChanges {
    const changed = this.#pendingChanges;
    this.#pendingChanges = { allTables: false, jobs: new Set(), machines: false };
    return changed;
  }

  /**
   * Bitmap of a range's completed tasks as its shard has saved them. While a value that has become too large
   * is split, a range may be in two of them; tasks that are done stay done.
   */
  completedTasks(shard: number, uid: string, from: number): string | undefined {
    const range = `${uid}/${from}`;
    let found: string | undefined;
    // A shard has a handful of slots at most.
    for (const [id, { value }] of this.tables.completions) {
      if (!id.startsWith(`${shard}/`)) continue;
      const bits = value.get(range);
      if (bits === undefined) continue;
      found = found === undefined ? bits : mergeDone(found, bits);
    }
    return found;
  }

  /** Takes in a cancellation that another node has sent, ahead of the watch and without the store. */
  applyCancellation({ uid, tasks, done, epoch }: Cancellation): void {
    if (this.finalStates.has(uid)) return;
    const final: FinalState = { status: 'cancelled', tasks, done };
    this.applyOwn(
      [
        { drop: storeKey.activeJob(uid) },
        { put: storeKey.finalState(uid), value: encodeFinalState(final) },
      ],
      epoch,
    );
  }

  /** Takes in a final state as of a revision; returns the valid one, which is the first. */
  recordFinalState(uid: string, value: unknown, revision: number): FinalState {
    const known = this.finalStates.get(uid);
    if (known !== undefined) return known;
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
