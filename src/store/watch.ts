/** Watches the store: a listing of everything that is cached, then every change. */
import { Readable } from 'node:stream';
import { setTimeout as sleep } from 'node:timers/promises';
import { LIST_PAGE_SIZE, STORE_RETRY_MS, WATCH_BLOCK_MS } from './constants.js';
import { StoreRequestError } from './errors.js';
import { CACHED_PREFIXES, type CachedPrefix } from './keys.js';
import type { StoreClient } from './store-client.js';
import type { Change, Page } from './types.js';

/** What one read has found: a listing, or the changes since the batch before. */
export interface WatchBatch {
  /** a listing replaces everything known before */
  readonly isListing: boolean;
  readonly changes: readonly Change[];
  /** all changes up to this revision are known; of a listing: the store's revision at its first page */
  readonly revision: number;
  /**
   * the store's revision at a listing's last page: until the changes reach it, the pages show the store at
   * different revisions
   */
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
  /** called with the steady ms when a read of changes begins, and with null when it ends */
  readonly onReadState: (startedAt: number | null) => void;
}

type WatchClient = Pick<StoreClient, 'list' | 'watch'>;

/**
 * Streams `WatchBatch`es until the signal is given. If the store no longer keeps the changes that come
 * next, the watch starts over with a listing. Failed reads are repeated.
 */
export const watch = (client: WatchClient, signal: AbortSignal, options: WatchOptions): Readable =>
  Readable.from(readBatches(client, signal, options), { objectMode: true, highWaterMark: 1 });

/** Ends early when the signal is given. */
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
  /** null: a listing is due */
  let since: number | null = null;
  while (!signal.aborted) {
    const readStartedAt = now();
    try {
      if (since === null) {
        const listing: WatchBatch = await listPrefixes(client, CACHED_PREFIXES);
        yield { ...listing, readStartedAt };
        since = listing.revision;
      } else {
        onReadState(readStartedAt);
        const answer = await client.watch(since, WATCH_BLOCK_MS);
        onReadState(null);
        if (answer === null) {
          since = null;
          continue;
        }
        since = Math.max(since, answer.storeRevision);
        yield { isListing: false, changes: answer.changes, revision: since, readStartedAt };
        await pause(pauseMs, signal);
      }
    } catch (error) {
      onReadState(null);
      if (!(error instanceof StoreRequestError)) throw error;
      await pause(STORE_RETRY_MS, signal);
    }
  }
}

/** Lists everything under some prefixes. The pages are of different revisions: see `consistentFrom`. */
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
  let since: string | null = null;
  for (;;) {
    const page: Page = await client.list(prefix, since, LIST_PAGE_SIZE);
    yield page;
    const last = page.entries.at(-1);
    if (!page.more || last === undefined) return;
    since = last.key;
  }
}
