import { EventEmitter } from 'node:events';
import { MAX_FINAL_STATES_IN_MEMORY } from './constants.js';
import type { Change } from './store-client.js';
import type { WatchBatch } from './watch.js';
import type { Write } from '../wire/schemas.js';
import type { Cancellation } from '../core/cancellation/cancellation.js';
import { eitherDone } from '../core/jobs/jobs.js';
import type { MachineRecord } from '../core/model.js';
import {
  FINAL_STATE_PREFIX,
  key,
  decodeFinalState,
  machinesOf,
  prefixOf,
  TABLE_OF_PREFIX,
  type FinalState,
  type MachineGroup,
  type CachedPrefix,
  decoders,
  type CachedValues,
} from './keys.js';

/** A value of the state service, and the revision of its last change. */
export interface Cached<T> {
  readonly value: T;
  readonly revision: number;
}
/** What has changed since somebody last asked. */
export interface CacheChanges {
  everything: boolean;
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

/** The protocol promises no order of a watch's changes; taken in another one, a removal could come first. */
const inOrder = ({ isListing: fresh, changes }: WatchBatch): readonly Change[] =>
  fresh ? changes : changes.toSorted((a, b) => a.revision - b.revision);

/** A write of our own as the watch will show it. */
const changeOf = (write: Write, revision: number): Change =>
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
 * What the state service held at `epoch`, as far as this node needs it. It may be old: whatever
 * depends on the present is checked by a transaction's conditions or a current read.
 */
export class WatchCache extends EventEmitter {
  tables = emptyTables();
  /** the machines of all groups by name */
  readonly machines = new Map<string, CachedMachine>();
  /** counts what was taken in: as long as it stays, there is nothing new to compare with */
  version = 0;
  #changed: CacheChanges = { everything: true, jobs: new Set(), machines: true };
  /** final states seen; the oldest are forgotten first and can be read again */
  readonly finalStates = new Map<string, FinalState>();
  revision = -1;
  /** steady ms: everything that was committed before is shown */
  currentAt = -Infinity;
  #ownEpoch = -1;
  /** keys that we removed ahead of the watch: older changes must not bring them back */
  readonly #removed = new Map<string, number>();
  /** the listing's last page: before this epoch the cache may show a mixture */
  #whole = Infinity;

  get ready(): boolean {
    return this.revision >= this.#whole;
  }

  apply(batch: WatchBatch): void {
    if (batch.isListing) {
      this.tables = emptyTables();
      this.machines.clear();
      this.#changed.everything = true;
      // A listing may be older than our own latest writes: without them it would show machines as
      // gone on which tasks run.
      this.#whole = Math.max(batch.consistentFrom ?? batch.revision, this.#ownEpoch);
    }
    for (const change of inOrder(batch)) this.#change(change);
    this.revision = batch.revision;
    this.currentAt = Math.max(this.currentAt, batch.readStartedAt ?? -Infinity);
    if (batch.isListing || batch.changes.length > 0) this.version += 1;
    for (const [name, revision] of this.#removed) {
      if (revision <= this.revision) this.#removed.delete(name);
    }
    this.emit('change', batch);
  }

  /**
   * Shows a transaction of our own ahead of the watch. What the watch has shown already changes nothing
   * any more: with an answer that is handled late, the key may have changed since, or be gone, and
   * would come back for good. Final states never change, so they are learned however late.
   */
  applyOwn(writes: readonly Write[], epoch: number): void {
    const covered = epoch <= this.revision;
    for (const write of writes) {
      const change = changeOf(write, epoch);
      if (covered && !change.key.startsWith(FINAL_STATE_PREFIX)) continue;
      this.#change(change);
      if (change.removed) this.#noteRemoval(change.key, epoch);
    }
    if (covered) return;
    this.#ownEpoch = Math.max(this.#ownEpoch, epoch);
    this.version += 1;
    this.emit('change');
  }

  /** Answers may be handled in another order than their transactions: the newest removal counts. */
  #noteRemoval(name: string, epoch: number): void {
    this.#removed.set(name, Math.max(epoch, this.#removed.get(name) ?? -1));
  }

  #change(change: Change): void {
    if (change.key.startsWith(FINAL_STATE_PREFIX)) {
      const uid = change.key.slice(FINAL_STATE_PREFIX.length);
      if (!change.removed) this.learnFinalState(uid, change.value, change.revision);
      return;
    }
    const prefix = prefixOf(change.key);
    if (prefix === null) return;
    const id = change.key.slice(prefix.length);
    const table = this.tables[TABLE_OF_PREFIX[prefix]] as Map<string, Cached<unknown>>;
    const known = table.get(id);
    // Of the same revision: our own write, which is shown already.
    if (known !== undefined && known.revision >= change.revision) return;
    if ((this.#removed.get(change.key) ?? -1) > change.revision) return;
    const value = change.removed ? undefined : decoders[prefix](id, change.value);
    if (prefix === 'machines/') {
      const old = known?.value as MachineGroup | undefined;
      this.#regroup(id, old, value as MachineGroup | undefined, change.revision);
    }
    this.#noteChange(prefix, id);
    if (change.removed) table.delete(id);
    else table.set(id, { value, revision: change.revision });
  }

  #noteChange(prefix: CachedPrefix, id: string): void {
    if (prefix === 'active/') this.#changed.jobs.add(id);
    else if (prefix === 'machines/') this.#changed.machines = true;
  }

  #regroup(
    group: string,
    old: MachineGroup | undefined,
    now: MachineGroup | undefined,
    revision: number,
  ): void {
    for (const name of old?.machines.keys() ?? []) {
      // A machine that has moved to another group in the same transaction is there already.
      if (this.machines.get(name)?.group === group) this.machines.delete(name);
    }
    if (now === undefined) return;
    for (const value of machinesOf(now)) this.machines.set(value.name, { value, revision, group });
  }

  /** For the one who compares what is with what is wanted: only the changed needs looking at. */
  takeChanges(): CacheChanges {
    const changed = this.#changed;
    this.#changed = { everything: false, jobs: new Set(), machines: false };
    return changed;
  }

  /**
   * Completed tasks of a range as its shard has saved them. While a value that has become too large is
   * taken apart, a range may stand in two of them; tasks that are done stay done.
   */
  completedTasks(shard: number, uid: string, from: number): string | undefined {
    const range = `${uid}/${from}`;
    let found: string | undefined;
    // A shard has a handful of slots at most.
    for (const [id, { value }] of this.tables.completions) {
      if (!id.startsWith(`${shard}/`)) continue;
      const bits = value.get(range);
      if (bits === undefined) continue;
      found = found === undefined ? bits : eitherDone(found, bits);
    }
    return found;
  }

  /** A cancellation that another node tells of, ahead of the watch, and without the state service. */
  learnCancelled({ uid, tasks, done, epoch }: Cancellation): void {
    if (this.finalStates.has(uid)) return;
    const final: FinalState = { status: 'cancelled', tasks, done };
    this.applyOwn(
      [{ drop: key.activeJob(uid) }, { put: key.finalState(uid), value: final }],
      epoch,
    );
  }

  /** Takes in a final state as of an epoch, and returns the one that holds: the first never changes. */
  learnFinalState(uid: string, value: unknown, epoch: number): FinalState {
    const known = this.finalStates.get(uid);
    if (known !== undefined) return known;
    const final = decodeFinalState(value);
    this.finalStates.set(uid, final);
    if (final.status === 'cancelled') {
      this.emit('cancelled', { uid, tasks: final.tasks, done: final.done, epoch });
    }
    if (this.finalStates.size > MAX_FINAL_STATES_IN_MEMORY) {
      const oldest = this.finalStates.keys().next().value;
      if (oldest !== undefined) this.finalStates.delete(oldest);
    }
    return final;
  }
}
