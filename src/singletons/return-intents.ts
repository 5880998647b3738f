/** Write-ahead intents to return machines: lists of machines, stored before their return is sent to the cloud. */
import {
  fencedCompareAndSwap,
  type Authorization,
  type Guard,
  type Write,
} from '@sumacstep/leader-election';
import { electionEntryKey, type ReturnIntentList } from '../store/keys.js';
import { encodeReturnIntents, type ElectionEntry } from '../store/codecs/election-entry.js';
import { CALL_PRIORITY } from '../store/call-priority.js';
import { type StoreClient } from '../store/store-client.js';
import type { Cached, WatchCache } from '../store/watch-cache.js';

const NO_MACHINES: ReadonlySet<string> = new Set();

/** Size of a stored list in addition to its names. */
const LIST_OVERHEAD_BYTES = 32;
/** Size of a stored name in addition to its characters. */
const NAME_OVERHEAD_BYTES = 3;

/** A request to add machines to a list of intents. */
export interface ReturnIntent {
  readonly list: ReturnIntentList;
  /** names of the machines to return */
  readonly names: readonly string[];
  /** returns whether a machine that is already on the list must stay on it */
  readonly isNeeded: (name: string) => boolean;
  /** further guards of the transaction */
  readonly guards?: readonly Guard[];
}

/**
 * Lists the machines whose return was decided. The cloud does not check fencing tokens, so it may execute a call of an
 * earlier leader or owner at any later time. Therefore a leader or owner writes the machines' names under its
 * authorization before it sends the call, and its successors do not use these machines.
 */
export class ReturnIntents {
  constructor(
    private readonly client: Pick<StoreClient, 'compareAndSwap'>,
    private readonly cache: WatchCache,
    /** maximum size of a stored value */
    private readonly valueBytes: number,
  ) {}

  /** Returns the names of the machines on a list, as this node's cache shows it. */
  recorded(list: ReturnIntentList): ReadonlySet<string> {
    const entry = this.#entry(list)?.value;
    return entry?.kind === 'returns' ? entry.machines : NO_MACHINES;
  }

  /**
   * Returns a guard on the list's revision in this node's cache. Writes that rely on a machine's absence from the list
   * include it.
   */
  guard(list: ReturnIntentList): Guard {
    return { key: electionEntryKey.returns(list), revision: this.#entry(list)?.revision ?? 0 };
  }

  /**
   * Adds machines to a list, and removes machines that are no longer needed on it. Resolves with the requested names
   * that are now stored, so that these machines may be returned. Names that do not fit into the stored value are left
   * out and need a later call. Resolves with none if the write was rejected.
   */
  async record(
    authorization: Authorization,
    { list, names, isNeeded, guards = [] }: ReturnIntent,
  ): Promise<readonly string[]> {
    const known = this.recorded(list);
    if (names.every((name) => known.has(name))) return names;
    const kept = [...known].filter(isNeeded);
    const machines = this.#selectFitting([...new Set([...kept, ...names])]);
    const put: Write = {
      put: electionEntryKey.returns(list),
      value: encodeReturnIntents(machines),
    };
    const outcome = await fencedCompareAndSwap(
      this.client,
      authorization,
      CALL_PRIORITY.completion,
      [this.guard(list), ...guards],
      [put],
    );
    if (!outcome.ok) return [];
    this.cache.applyOwnWrites([put], outcome.epoch);
    const written = new Set(machines);
    return names.filter((name) => written.has(name));
  }

  #entry(list: ReturnIntentList): Cached<ElectionEntry> | undefined {
    return this.cache.tables.elections.get(electionEntryKey.returns(list).slice('duties/'.length));
  }

  /** Returns the names that fit into one stored value, in the given order. */
  #selectFitting(names: readonly string[]): string[] {
    let bytes = LIST_OVERHEAD_BYTES;
    return names.filter((name) => {
      const size = name.length + NAME_OVERHEAD_BYTES;
      if (bytes + size > this.valueBytes) return false;
      bytes += size;
      return true;
    });
  }
}
