import { EventEmitter } from 'node:events';
import { Readable } from 'node:stream';
import { FINALS_IN_MEMORY, FOLLOW_BLOCK_MS, LIST_PAGE, STATE_PAUSE_MS } from '../constants.js';
import { setTimeout as sleep } from 'node:timers/promises';
import { StateTrouble, type Change, type StateClient } from './client.js';
import type { Write } from '../wire/schemas.js';
import type { Cancellation } from '../core/cancellations.js';
import { eitherDone } from '../core/jobs.js';
import type { MachineRecord } from '../core/model.js';
import {
  FINAL,
  key,
  CACHED_PREFIXES,
  decodeFinal,
  machinesOf,
  prefixOf,
  type FinalState,
  type MachineGroup,
  type Prefix,
  decoders,
  type Decoded,
} from './keys.js';

/** One step of the feed: what changed, and up to which epoch everything is known. */
export interface FeedBatch {
  /** a new listing replaces everything known before */
  readonly fresh: boolean;
  readonly changes: readonly Change[];
  /** everything up to here is known; of a listing: the epoch of its first page */
  readonly epoch: number;
  /** a listing's last epoch: until the changes reach it, it shows a mixture */
  readonly whole?: number;
  /** steady ms at which the read began: what was committed before it is in the cache now */
  readonly began?: number;
}

/** How the feed reads; `held` is told when a read begins and ends. */
export interface FeedOptions {
  readonly pauseMs: number;
  readonly now: () => number;
  readonly reading?: (since: number | null) => void;
}

/**
 * The feed of the state service as an object stream: first a listing, then every change. An answer
 * of 410 starts over with a listing.
 */
export const feed = (client: StateClient, signal: AbortSignal, options: FeedOptions): Readable =>
  Readable.from(steps(client, signal, options), { objectMode: true, highWaterMark: 1 });

async function* steps(
  client: StateClient,
  signal: AbortSignal,
  { pauseMs, now, reading }: FeedOptions,
): AsyncGenerator<FeedBatch> {
  let since: number | null = null;
  while (!signal.aborted) {
    const began = now();
    try {
      if (since === null) {
        const listing: FeedBatch = await listAll(client);
        yield { ...listing, began };
        since = listing.epoch;
      } else {
        reading?.(began);
        const step = await client.follow(since, FOLLOW_BLOCK_MS);
        reading?.(null);
        if (step === null) {
          since = null;
          continue;
        }
        since = Math.max(since, step.epoch);
        yield { fresh: false, changes: step.changes, epoch: since, began };
        await sleep(pauseMs);
      }
    } catch (error) {
      reading?.(null);
      if (!(error instanceof StateTrouble)) throw error;
      // The client keeps the part's state on trouble; here it only means: later again.
      await sleep(STATE_PAUSE_MS);
    }
  }
}

/** Pages are read at different epochs, so changes are followed from the first one's. */
const listAll = async (client: StateClient): Promise<FeedBatch> => {
  const changes: Change[] = [];
  let from = Infinity;
  let whole = 0;
  for (const prefix of CACHED_PREFIXES) {
    let since: string | null = null;
    for (;;) {
      const page = await client.list(prefix, since, LIST_PAGE);
      from = Math.min(from, page.epoch);
      whole = Math.max(whole, page.epoch);
      for (const e of page.entries) changes.push({ ...e, removed: false });
      const last = page.entries.at(-1);
      if (!page.more || last === undefined) break;
      since = last.key;
    }
  }
  return { fresh: true, changes, epoch: from, whole };
};

export interface Cached<T> {
  readonly value: T;
  readonly revision: number;
}
/** What has changed since somebody last asked. */
export interface CacheChanges {
  all: boolean;
  readonly jobs: Set<string>;
  machines: boolean;
}
export interface CachedMachine extends Cached<MachineRecord> {
  readonly group: string;
}
type Tables = { [P in Prefix]: Map<string, Cached<Decoded[P]>> };

/** The protocol promises no order of a watch's changes; taken in another one, a removal could come first. */
const inOrder = ({ fresh, changes }: FeedBatch): readonly Change[] =>
  fresh ? changes : changes.toSorted((a, b) => a.revision - b.revision);

const emptyTables = (): Tables => ({
  'active/': new Map(),
  'done/': new Map(),
  'machines/': new Map(),
  'parts/': new Map(),
  'nodes/': new Map(),
  'hires/': new Map(),
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
  #changed: CacheChanges = { all: true, jobs: new Set(), machines: true };
  /** final states seen; the oldest are forgotten first and can be read again */
  readonly finals = new Map<string, FinalState>();
  epoch = -1;
  /** steady ms: everything that was committed before is shown */
  currentAt = -Infinity;
  #ownEpoch = -1;
  /** keys that we removed ahead of the feed: older changes must not bring them back */
  readonly #removed = new Map<string, number>();
  /** the listing's last page: before this epoch the cache may show a mixture */
  #whole = Infinity;

  get ready(): boolean {
    return this.epoch >= this.#whole;
  }

  apply(batch: FeedBatch): void {
    if (batch.fresh) {
      this.tables = emptyTables();
      this.machines.clear();
      this.#changed.all = true;
      // A listing may be older than our own latest writes: without them it would show machines as
      // gone on which tasks run.
      this.#whole = Math.max(batch.whole ?? batch.epoch, this.#ownEpoch);
    }
    for (const change of inOrder(batch)) this.#change(change);
    this.epoch = batch.epoch;
    this.currentAt = Math.max(this.currentAt, batch.began ?? -Infinity);
    if (batch.fresh || batch.changes.length > 0) this.version += 1;
    for (const [k, revision] of this.#removed) if (revision <= this.epoch) this.#removed.delete(k);
    this.emit('change', batch);
  }

  /**
   * Shows a transaction of our own ahead of the watch. What the watch has shown already changes nothing
   * any more: with an answer that is handled late, the key may have changed since, or be gone, and
   * would come back for good. Final states never change, so they are learned however late.
   */
  applyOwn(writes: readonly Write[], epoch: number): void {
    const covered = epoch <= this.epoch;
    for (const w of writes) {
      const removed = 'drop' in w;
      const change = removed
        ? { key: w.drop, revision: epoch, value: undefined, removed }
        : { key: w.put, revision: epoch, value: w.value, removed };
      if (covered && !change.key.startsWith(FINAL)) continue;
      this.#change(change);
      if (removed) this.#removed.set(change.key, epoch);
    }
    if (covered) return;
    this.#ownEpoch = Math.max(this.#ownEpoch, epoch);
    this.version += 1;
    this.emit('change');
  }

  #change(change: Change): void {
    if (change.key.startsWith(FINAL)) {
      const uid = change.key.slice(FINAL.length);
      if (!change.removed) this.learnFinal(uid, change.value, change.revision);
      return;
    }
    const prefix = prefixOf(change.key);
    if (prefix === null) return;
    const table = this.tables[prefix] as Map<string, Cached<unknown>>;
    const id = change.key.slice(prefix.length);
    const known = table.get(id);
    // Of the same revision: our own write, which is shown already.
    if (known !== undefined && known.revision >= change.revision) return;
    if ((this.#removed.get(change.key) ?? -1) > change.revision) return;
    const value = change.removed ? undefined : decoders[prefix](id, change.value);
    if (prefix === 'machines/') {
      const old = known?.value as MachineGroup | undefined;
      this.#regroup(id, old, value as MachineGroup | undefined, change.revision);
    }
    if (prefix === 'active/') this.#changed.jobs.add(id);
    else if (prefix === 'machines/') this.#changed.machines = true;
    if (change.removed) table.delete(id);
    else table.set(id, { value, revision: change.revision });
  }

  #regroup(
    group: string,
    old: MachineGroup | undefined,
    now: MachineGroup | undefined,
    revision: number,
  ): void {
    for (const name of old?.hosts.keys() ?? []) {
      // A machine that has moved to another group in the same transaction is there already.
      if (this.machines.get(name)?.group === group) this.machines.delete(name);
    }
    if (now === undefined) return;
    for (const value of machinesOf(now)) this.machines.set(value.name, { value, revision, group });
  }

  /** For the one who compares what is with what is wanted: only the changed needs looking at. */
  takeChanges(): CacheChanges {
    const changed = this.#changed;
    this.#changed = { all: false, jobs: new Set(), machines: false };
    return changed;
  }

  /**
   * Completed tasks of a range as its part has saved them. While a value that has become too large is
   * taken apart, a range may stand in two of them; tasks that are done stay done.
   */
  done(part: number, uid: string, from: number): string | undefined {
    const range = `${uid}/${from}`;
    let found: string | undefined;
    // A part has a handful of slots at most.
    for (const [id, { value }] of this.tables['done/']) {
      if (!id.startsWith(`${part}/`)) continue;
      const bits = value.get(range);
      if (bits === undefined) continue;
      found = found === undefined ? bits : eitherDone(found, bits);
    }
    return found;
  }

  /** A cancellation that another node tells of, ahead of the feed, and without the state service. */
  learnCancelled({ uid, tasks, done, epoch }: Cancellation): void {
    if (this.finals.has(uid)) return;
    const final: FinalState = { status: 'cancelled', tasks, done };
    this.applyOwn([{ drop: key.active(uid) }, { put: key.final(uid), value: final }], epoch);
  }

  /** Takes in a final state as of an epoch, and returns the one that holds: the first never changes. */
  learnFinal(uid: string, value: unknown, epoch: number): FinalState {
    const known = this.finals.get(uid);
    if (known !== undefined) return known;
    const final = decodeFinal(value);
    this.finals.set(uid, final);
    if (final.status === 'cancelled') {
      this.emit('cancelled', { uid, tasks: final.tasks, done: final.done, epoch });
    }
    if (this.finals.size > FINALS_IN_MEMORY) {
      const oldest = this.finals.keys().next().value;
      if (oldest !== undefined) this.finals.delete(oldest);
    }
    return final;
  }
}
