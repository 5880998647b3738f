/** Write-ahead intents of returning machines: lists of machines whose return was decided, stored before it is sent. */
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

/** bytes of a stored list besides its names */
const LIST_OVERHEAD_BYTES = 32;
/** bytes of a stored name besides its characters */
const NAME_OVERHEAD_BYTES = 3;

/** Machines to add to a list of intents. */
export interface ReturnIntent {
  readonly list: ReturnIntentList;
  /** machines to return */
  readonly names: readonly string[];
  /** whether a machine that is on the list already must stay there */
  readonly isNeeded: (name: string) => boolean;
  /** further guards of the transaction */
  readonly guards?: readonly Guard[];
}

/**
 * Machines whose return was decided. The cloud knows no fencing tokens: a call that an earlier leader or owner sent
 * may be carried out at any later time. So the names are written first, under its authorization, and none of its
 * successors relies on these machines.
 */
export class ReturnIntents {
  constructor(
    private readonly client: Pick<StoreClient, 'compareAndSwap'>,
    private readonly cache: WatchCache,
    /** largest stored value, bytes */
    private readonly valueBytes: number,
  ) {}

  /** The machines on a list, as far as this node knows it. */
  recorded(list: ReturnIntentList): ReadonlySet<string> {
    const entry = this.#entry(list)?.value;
    return entry?.kind === 'returns' ? entry.machines : NO_MACHINES;
  }

  /** The list's revision as it is known here, to guard writes that rely on what is not on the list. */
  guard(list: ReturnIntentList): Guard {
    return { key: electionEntryKey.returns(list), revision: this.#entry(list)?.revision ?? 0 };
  }

  /**
   * Adds machines to a list, and removes those that are not needed there any more. Resolves with those of the names
   * that are stored and may be returned now; those that don't fit into the value have to wait for a later call.
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
    this.cache.applyOwn([put], outcome.epoch);
    const written = new Set(machines);
    return names.filter((name) => written.has(name));
  }

  #entry(list: ReturnIntentList): Cached<ElectionEntry> | undefined {
    return this.cache.tables.elections.get(electionEntryKey.returns(list).slice('duties/'.length));
  }

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
