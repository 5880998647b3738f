/**
 * Who may start a task, and why that is safe.
 *
 * Only the owner of a shard starts the shard's tasks, on the shard's machines, and only while all of this holds:
 *
 * 1. There is one owner per term. The owner record changes by compare-and-swap alone, which raises the term and,
 *    for a shard of another node, requires that node's registration to be gone or is sent by that node itself
 *    (ownership-reconciler.ts).
 * 2. This node is registered: its lease on the store is provably valid by its own clock, so nobody else can have
 *    acquired its shards (`Authority.holds`).
 * 3. What this node knows is recent enough: its watch cache shows its own registration and everything that was
 *    committed before the lease became valid, cancellations included (`Authority.holds`).
 * 4. No transfer of the shard is under way (`OwnedShard.isActive`; `OwnedShards.mayActFor` checks all of this).
 * 5. The shard's state was built once under this term (owned-shards.ts), and a machine gets starts only when it is
 *    known what runs there.
 *
 * Orders that arrive late are fenced: the term is the fencing token, workers refuse one lower than the highest they
 * have seen, and the store refuses writes that do not depend on the present owner record (`fencedCompareAndSwap`).
 * Stops and answers that only renew a worker's lease need no proof; see direct-commands.ts and
 * lease-withholding.ts.
 */
import type { SessionLease } from '@sumacstep/leader-election';
import { StoreRequestError } from '../store/errors.js';
import type { WatchCache } from '../store/watch-cache.js';

/** What the proof of leadership is based on. */
export interface AuthorityDependencies {
  readonly cache: Pick<WatchCache, 'ready' | 'revision' | 'currentAt'>;
  readonly lease: Pick<SessionLease, 'valid' | 'registeredAt' | 'validSince'>;
  /** resolves once the cache shows everything that was committed before the call */
  readonly waitForCurrentCache: () => Promise<unknown>;
}

/** Proof of leadership: a valid lease, and a cache that is current as of the start of that lease. */
export class Authority {
  /** the cache was brought up to date by a read begun then, steady ms */
  #currentAt = -Infinity;
  #refreshing = false;

  constructor(private readonly dependencies: AuthorityDependencies) {}

  /** Whether this node provably owns what the cache shows as its own; starts a read if only that is missing. */
  holds(now: number): boolean {
    const { cache, lease } = this.dependencies;
    const valid = lease.valid(now) && cache.ready && cache.revision >= lease.registeredAt;
    if (!valid) return false;
    // After an outage the lease is valid again before the watch has shown what happened: jobs may have been
    // cancelled, and would be started.
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
