/** Store transactions of an owned shard, fenced by its term. */
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

/** Where transactions are committed, and where their writes are shown ahead of the watch. */
export interface CommitDependencies {
  readonly client: Pick<StoreClient, 'compareAndSwap'>;
  readonly cache: Pick<WatchCache, 'applyOwn'>;
}

/**
 * Commits under the authorization and shows the writes in the cache at once. Resolves with false if a guard
 * failed: the cache is behind then, and will show what has changed. Rejects like the store client.
 */
export const commit = async (
  { client, cache }: CommitDependencies,
  authorization: Authorization,
  priority: CallPriority,
  { guards, writes }: Transaction,
): Promise<boolean> => {
  const result = await fencedCompareAndSwap(client, authorization, priority, guards, writes);
  if (result.ok) cache.applyOwn(writes, result.epoch);
  return result.ok;
};

/** What one value and one transaction of the store may hold. */
export type StoreSizeLimits = Pick<PlatformConfig['storeLimits'], 'valueBytes' | 'transactionOps'>;
