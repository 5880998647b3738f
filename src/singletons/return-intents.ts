import {
  fencedCompareAndSwap,
  type Authorization,
  type Guard,
  type Write,
} from '@sumacstep/leader-election';
import { CALL_PRIORITY } from '../store/call-priority.js';
import type { StoreClient } from '../store/store-client.js';
import { electionEntryKey, type ReturnIntentList } from '../store/keys.js';
import { encodeReturnIntents } from '../store/codecs/election-entry.js';
import type { WatchCache } from '../store/watch-cache.js';

const NONE: ReadonlySet<string> = new Set();

/** bytes of a list around and between its names */
const LIST_BYTES = 32;
const SEPARATOR_BYTES = 3;

/**
 * Machines whose return was decided. The cloud knows no fencing tokens: a call that an earlier holder sent may be
 * carried out at any later time. So the names are written first, under the holder's authorization, and nobody
 * who holds the list later counts on these machines.
 */
export class ReturnIntents {
  constructor(
    private readonly client: Pick<StoreClient, 'compareAndSwap'>,
    private readonly cache: WatchCache,
    private readonly valueBytes: number,
  ) {}

  /** The machines of a list, as far as this node knows it. */
  recorded(list: ReturnIntentList): ReadonlySet<string> {
    const entry = this.#entry(list)?.value;
    return entry?.kind === 'returns' ? entry.machines : NONE;
  }

  /** The list as it is known here, as a condition of writes that depend on what is not in it. */
  condition(list: ReturnIntentList): Guard {
    return { key: electionEntryKey.returns(list), revision: this.#entry(list)?.revision ?? 0 };
  }

  /**
   * Adds machines to a list and takes those off it that `needed` denies. Resolves with those of `names` that
   * stand in the state service and may be returned now; what has no room waits for another round.
   */
  async record(
    list: ReturnIntentList,
    authorization: Authorization,
    names: readonly string[],
    needed: (name: string) => boolean,
    conditions: readonly Guard[] = [],
  ): Promise<readonly string[]> {
    const known = this.recorded(list);
    if (names.every((name) => known.has(name))) return names;
    const kept = [...known].filter(needed);
    const machines = this.#thatFit([...new Set([...kept, ...names])]);
    const put: Write = {
      put: electionEntryKey.returns(list),
      value: encodeReturnIntents(machines),
    };
    const guards = [this.condition(list), ...conditions];
    const outcome = await fencedCompareAndSwap(
      this.client,
      authorization,
      CALL_PRIORITY.completion,
      guards,
      [put],
    );
    if (!outcome.ok) return [];
    this.cache.applyOwn([put], outcome.epoch);
    const written = new Set(machines);
    return names.filter((name) => written.has(name));
  }

  #entry(list: ReturnIntentList) {
    return this.cache.tables.elections.get(electionEntryKey.returns(list).slice('duties/'.length));
  }

  #thatFit(names: readonly string[]): string[] {
    let bytes = LIST_BYTES;
    return names.filter((name) => {
      const size = name.length + SEPARATOR_BYTES;
      if (bytes + size > this.valueBytes) return false;
      bytes += size;
      return true;
    });
  }
}
