/** A key-value store in memory, for tests of control loops whose only calls to the store are compare-and-swap. */
import type { CompareAndSwapResult } from '@sumacstep/leader-election';
import type { WatchCache } from '../../src/store/watch-cache.js';
import type { Guard, Write } from '@sumacstep/leader-election';

/** Carries out transactions as the store does, and applies its values to watch caches. */
export class MemoryStore {
  readonly values = new Map<string, { value: unknown; revision: number }>();
  #revision = 10;

  /** Carries out a transaction; returns the keys of failed guards if there are any. */
  commit(guards: readonly Guard[], writes: readonly Write[]): CompareAndSwapResult {
    const failed = guards.filter(
      ({ key, revision }) => (this.values.get(key)?.revision ?? 0) !== revision,
    );
    if (failed.length > 0) return { ok: false, failed: failed.map(({ key }) => key) };
    this.#revision += 1;
    for (const write of writes) {
      if ('drop' in write) this.values.delete(write.drop);
      else this.values.set(write.put, { value: write.value, revision: this.#revision });
    }
    return { ok: true, epoch: this.#revision };
  }

  /** Applies all values to a cache, as a new listing or as changes of the watch. Removed keys are not reported. */
  applyTo(cache: WatchCache, batchKind: 'listing' | 'changes'): void {
    const changes = [...this.values].map(([key, stored]) => ({ key, ...stored, removed: false }));
    const revision = this.#revision;
    if (batchKind === 'listing')
      cache.apply({ isListing: true, revision, consistentFrom: revision, changes });
    else cache.apply({ isListing: false, revision, changes });
  }
}
