import { Readable } from 'node:stream';
import { setTimeout as sleep } from 'node:timers/promises';
import { FOLLOW_BLOCK_MS, LIST_PAGE, STORE_RETRY_MS } from './constants.js';
import { StoreRequestError, type Change, type StoreClient } from './store-client.js';
import { CACHED_PREFIXES, type Prefix } from './keys.js';

/** One answer of the watch: what changed, and up to which epoch everything is known. */
export interface WatchBatch {
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

/** How the watch reads. */
export interface WatchOptions {
  /** ms between two reads */
  readonly pauseMs: number;
  /** the steady clock, in ms */
  readonly now: () => number;
  /** told when a read begins, and with null when it ends */
  readonly reading?: (since: number | null) => void;
}

type WatchClient = Pick<StoreClient, 'list' | 'follow'>;

/**
 * Watches the state service, as a stream of `WatchBatch`: first a listing, then every change. An
 * answer of 410 starts over with a listing.
 */
export const watch = (client: WatchClient, signal: AbortSignal, options: WatchOptions): Readable =>
  Readable.from(batches(client, signal, options), { objectMode: true, highWaterMark: 1 });

async function* batches(
  client: WatchClient,
  signal: AbortSignal,
  { pauseMs, now, reading }: WatchOptions,
): AsyncGenerator<WatchBatch> {
  let since: number | null = null;
  while (!signal.aborted) {
    const began = now();
    try {
      if (since === null) {
        const listing: WatchBatch = await listPrefixes(client, CACHED_PREFIXES);
        yield { ...listing, began };
        since = listing.epoch;
      } else {
        reading?.(began);
        const answer = await client.follow(since, FOLLOW_BLOCK_MS);
        reading?.(null);
        if (answer === null) {
          since = null;
          continue;
        }
        since = Math.max(since, answer.epoch);
        yield { fresh: false, changes: answer.changes, epoch: since, began };
        await sleep(pauseMs);
      }
    } catch (error) {
      reading?.(null);
      if (!(error instanceof StoreRequestError)) throw error;
      await sleep(STORE_RETRY_MS);
    }
  }
}

/**
 * Everything under some prefixes. Pages are read at different epochs, so changes are followed from the first
 * one's.
 */
export const listPrefixes = async (
  client: Pick<StoreClient, 'list'>,
  prefixes: readonly Prefix[],
): Promise<WatchBatch> => {
  const changes: Change[] = [];
  let from = Infinity;
  let whole = 0;
  for (const prefix of prefixes) {
    let since: string | null = null;
    for (;;) {
      const page = await client.list(prefix, since, LIST_PAGE);
      from = Math.min(from, page.epoch);
      whole = Math.max(whole, page.epoch);
      for (const entry of page.entries) changes.push({ ...entry, removed: false });
      const last = page.entries.at(-1);
      if (!page.more || last === undefined) break;
      since = last.key;
    }
  }
  return { fresh: true, changes, epoch: from, whole };
};
