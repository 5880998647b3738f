/**
 * The conditions under which a node may start tasks, and why they make it safe.
 *
 * Only the owner of a shard starts the shard's tasks, on the shard's machines, and only while all of these hold:
 *
 * 1. There is one owner per term. The owner record changes only by a compare-and-swap that raises the term. If another
 *    node owns the shard, either that node sends the compare-and-swap itself, or it requires that the node's
 *    registration is gone (ownership-reconciler.ts).
 * 2. This node is registered: its lease on the store is provably valid by its own clock, so no other node can have
 *    acquired its shards (`Authority.holds`).
 * 3. The state that this node knows is recent enough: its watch cache shows its own registration and everything that
 *    was committed before the lease became valid, including cancellations (`Authority.holds`).
 * 4. No transfer of the shard is in progress (`OwnedShard.isActive`). `OwnedShards.mayActFor` checks conditions 1 to 4.
 * 5. The shard's state was built once under this term (owned-shards.ts), and a machine gets starts only once it is
 *    known which tasks run on it.
 *
 * Commands and writes that arrive late are fenced. The term is the fencing token: workers refuse a token lower than the
 * highest one they have seen, and the store refuses writes that are not guarded by the current owner record
 * (`fencedCompareAndSwap`). Stops, and answers that only renew a worker's lease, need no authority; see
 * direct-commands.ts and lease-withholding.ts.
 */
import type { SessionLease } from '@sumacstep/leader-election';
import { StoreRequestError } from '../store/errors.js';
import type { WatchCache } from '../store/watch-cache.js';

/** The lease and the cache by which `Authority` proves ownership. */
export interface AuthorityDependencies {
  readonly cache: Pick<WatchCache, 'ready' | 'revision' | 'currentAt'>;
  readonly lease: Pick<SessionLease, 'valid' | 'registeredAt' | 'validSince'>;
  /** resolves once the cache shows everything that was committed before the call */
  readonly waitForCurrentCache: () => Promise<unknown>;
}

/** Proves ownership by a valid lease and a cache that is current as of the start of that lease. */
export class Authority {
  /** start of the last read that brought the cache up to date, monotonic ms */
  #currentAt = -Infinity;
  #refreshing = false;

  constructor(private readonly dependencies: AuthorityDependencies) {}

  /**
   * Returns whether this node provably owns the shards that the cache shows as its own. If only a current cache is
   * missing, starts a read that brings it up to date.
   */
  holds(now: number): boolean {
    const { cache, lease } = this.dependencies;
    const valid = lease.valid(now) && cache.ready && cache.revision >= lease.registeredAt;
    if (!valid) return false;
    // After an outage the lease is valid again before the watch has shown the changes since. Without this check,
    // tasks of jobs that were cancelled meanwhile would be started.
    if (Math.max(cache.currentAt, this.#currentAt) >= lease.validSince) return true;
    void this.#refreshCache(now);
    return false;
  }

  async #refreshCache(now: number): Promise<void> {
    if (this.#refreshing) return;
    this.#refreshing = true;
    try {
      await this.dependencies.waitForCurrentCache();
      this.#currentAt = now;
    } catch (error) {
      if (!(error instanceof StoreRequestError)) throw error;
    } finally {
      this.#refreshing = false;
    }
  }
}
