/** Store transactions of an owned shard, which are fenced by its term. */
import { fencedCompareAndSwap, type Authorization } from '@sumacstep/leader-election';
import type { PlatformConfig } from '../config/platform.js';
import type { CallPriority } from '../store/call-priority.js';
import type { StoreClient } from '../store/store-client.js';
import type { WatchCache } from '../store/watch-cache.js';
import type { Guard, Write } from '@sumacstep/leader-election';

/** Writes that are carried out together if all guards hold, or not at all. */
export interface Transaction {
  readonly guards: readonly Guard[];
  readonly writes: readonly Write[];
}

/** The client that commits transactions, and the cache that shows their writes before the watch does. */
export interface CommitDependencies {
  readonly client: Pick<StoreClient, 'compareAndSwap'>;
  readonly cache: Pick<WatchCache, 'applyOwnWrites'>;
}

/**
 * Commits a transaction under the authorization and shows its writes in the cache at once. Resolves to false if a
 * guard failed: the cache is behind the store then, and will show the change later. Rejects with the errors of the
 * store client.
 */
export const commit = async (
  { client, cache }: CommitDependencies,
  authorization: Authorization,
  priority: CallPriority,
  { guards, writes }: Transaction,
): Promise<boolean> => {
  const result = await fencedCompareAndSwap(client, authorization, priority, guards, writes);
  if (result.ok) cache.applyOwnWrites(writes, result.epoch);
  return result.ok;
};

/** The store's size limits of a value and of a transaction. */
export type StoreSizeLimits = Pick<PlatformConfig['storeLimits'], 'valueBytes' | 'transactionOps'>;
