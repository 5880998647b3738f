import { Readable } from 'node:stream';
import { setTimeout as sleep } from 'node:timers/promises';
import { WATCH_BLOCK_MS, LIST_PAGE_SIZE, STORE_RETRY_MS } from './constants.js';
import { StoreRequestError, type Change, type StoreClient } from './store-client.js';
import { CACHED_PREFIXES, type CachedPrefix } from './keys.js';

/** One answer of the watch: what changed, and up to which epoch everything is known. */
export interface WatchBatch {
  /** a new listing replaces everything known before */
  readonly isListing: boolean;
  readonly changes: readonly Change[];
  /** everything up to here is known; of a listing: the epoch of its first page */
  readonly revision: number;
  /** a listing's last epoch: until the changes reach it, it shows a mixture */
  readonly consistentFrom?: number;
  /** steady ms at which the read began: what was committed before it is in the cache now */
  readonly readStartedAt?: number;
}

/** How the watch reads. */
export interface WatchOptions {
  /** ms between two reads */
  readonly pauseMs: number;
  /** the steady clock, in ms */
  readonly now: () => number;
  /** told when a read begins, and with null when it ends */
  readonly onReadState?: (since: number | null) => void;
}

type WatchClient = Pick<StoreClient, 'list' | 'watch'>;

/**
 * Watches the state service, as a stream of `WatchBatch`: first a listing, then every change. An
 * answer of 410 starts over with a listing.
 */
export const watch = (client: WatchClient, signal: AbortSignal, options: WatchOptions): Readable =>
  Readable.from(batches(client, signal, options), { objectMode: true, highWaterMark: 1 });

async function* batches(
  client: WatchClient,
  signal: AbortSignal,
  { pauseMs, now, onReadState: reading }: WatchOptions,
): AsyncGenerator<WatchBatch> {
  let since: number | null = null;
  while (!signal.aborted) {
    const began = now();
    try {
      if (since === null) {
        const listing: WatchBatch = await listPrefixes(client, CACHED_PREFIXES);
        yield { ...listing, readStartedAt: began };
        since = listing.revision;
      } else {
        reading?.(began);
        const answer = await client.watch(since, WATCH_BLOCK_MS);
        reading?.(null);
        if (answer === null) {
          since = null;
          continue;
        }
        since = Math.max(since, answer.epoch);
        yield { isListing: false, changes: answer.changes, revision: since, readStartedAt: began };
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
  prefixes: readonly CachedPrefix[],
): Promise<WatchBatch> => {
  const changes: Change[] = [];
  let from = Infinity;
  let whole = 0;
  for (const prefix of prefixes) {
    let since: string | null = null;
    for (;;) {
      const page = await client.list(prefix, since, LIST_PAGE_SIZE);
      from = Math.min(from, page.storeRevision);
      whole = Math.max(whole, page.storeRevision);
      for (const entry of page.entries) changes.push({ ...entry, removed: false });
      const last = page.entries.at(-1);
      if (!page.more || last === undefined) break;
      since = last.key;
    }
  }
  return { isListing: true, changes, revision: from, consistentFrom: whole };
};
