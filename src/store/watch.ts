/** Watches the store: lists all cached keys, then reads every change. */
import { Readable } from 'node:stream';
import { setTimeout as sleep } from 'node:timers/promises';
import { LIST_PAGE_SIZE, STORE_RETRY_MS, WATCH_BLOCK_MS } from './constants.js';
import { StoreRequestError } from './errors.js';
import { CACHED_PREFIXES, type CachedPrefix } from './keys.js';
import type { StoreClient } from './store-client.js';
import type { Change, Page } from './types.js';

/** The result of one read: a listing, or the changes since the previous batch. */
export interface WatchBatch {
  /** whether this is a listing, which replaces everything that was known before */
  readonly isListing: boolean;
  readonly changes: readonly Change[];
  /** revision up to which all changes are known; for a listing, the store's revision at its first page */
  readonly revision: number;
  /**
   * for a listing, the store's revision at its last page. Each page shows the store as of its own revision, so the
   * listing is consistent only once the changes up to this revision have been applied
   */
  readonly consistentFrom?: number;
  /** monotonic-clock time in ms at which the read began; everything committed before then is known with this batch */
  readonly readStartedAt?: number;
}

/** Options of the watch. */
export interface WatchOptions {
  /** pause between two reads, in ms */
  readonly pauseMs: number;
  /** the monotonic clock, in ms */
  readonly now: () => number;
  /** called with the monotonic-clock time in ms when a read of changes begins, and with null when it ends */
  readonly onReadState: (startedAt: number | null) => void;
}

type WatchClient = Pick<StoreClient, 'list' | 'watch'>;

/**
 * Streams `WatchBatch`es until the signal aborts. If the store no longer keeps the changes that come next, the watch
 * starts over with a listing. Failed reads are repeated.
 */
export const watch = (client: WatchClient, signal: AbortSignal, options: WatchOptions): Readable =>
  Readable.from(readBatches(client, signal, options), { objectMode: true, highWaterMark: 1 });

/** Waits for `ms`, or until the signal aborts. */
const pause = async (ms: number, signal: AbortSignal): Promise<void> => {
  try {
    await sleep(ms, undefined, { signal });
  } catch (error) {
    if (!signal.aborted) throw error;
  }
};

async function* readBatches(
  client: WatchClient,
  signal: AbortSignal,
  { pauseMs, now, onReadState }: WatchOptions,
): AsyncGenerator<WatchBatch> {
  /** revision of the last batch; null if a listing is due */
  let sinceRevision: number | null = null;
  while (!signal.aborted) {
    const readStartedAt = now();
    try {
      if (sinceRevision === null) {
        const listing: WatchBatch = await listPrefixes(client, CACHED_PREFIXES);
        yield { ...listing, readStartedAt };
        sinceRevision = listing.revision;
      } else {
        onReadState(readStartedAt);
        const result = await client.watch(sinceRevision, WATCH_BLOCK_MS);
        onReadState(null);
        if (result === null) {
          sinceRevision = null;
          continue;
        }
        sinceRevision = Math.max(sinceRevision, result.storeRevision);
        yield { isListing: false, changes: result.changes, revision: sinceRevision, readStartedAt };
        await pause(pauseMs, signal);
      }
    } catch (error) {
      onReadState(null);
      if (!(error instanceof StoreRequestError)) throw error;
      await pause(STORE_RETRY_MS, signal);
    }
  }
}

/** Lists all keys under the prefixes. The pages show the store at different revisions: see `consistentFrom`. */
export const listPrefixes = async (
  client: Pick<StoreClient, 'list'>,
  prefixes: readonly CachedPrefix[],
): Promise<WatchBatch> => {
  const changes: Change[] = [];
  let firstRevision = Infinity;
  let lastRevision = 0;
  for (const prefix of prefixes) {
    for await (const page of listPages(client, prefix)) {
      firstRevision = Math.min(firstRevision, page.storeRevision);
      lastRevision = Math.max(lastRevision, page.storeRevision);
      for (const entry of page.entries) changes.push({ ...entry, removed: false });
    }
  }
  return { isListing: true, changes, revision: firstRevision, consistentFrom: lastRevision };
};

async function* listPages(
  client: Pick<StoreClient, 'list'>,
  prefix: CachedPrefix,
): AsyncGenerator<Page> {
  let afterKey: string | null = null;
  for (;;) {
    const page: Page = await client.list(prefix, afterKey, LIST_PAGE_SIZE);
    yield page;
    const lastEntry = page.entries.at(-1);
    if (!page.more || lastEntry === undefined) return;
    afterKey = lastEntry.key;
  }
}
