/** The store's values in memory, for tests of control loops that call nothing but compare-and-swap. */
import type { CompareAndSwapResult } from '@sumacstep/leader-election';
import type { WatchCache } from '../../src/store/watch-cache.js';
import type { Guard, Write } from '@sumacstep/leader-election';

/** Carries out transactions as the store does, and shows its values to watch caches. */
export class MemoryStore {
  readonly values = new Map<string, { value: unknown; revision: number }>();
  #revision = 10;

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

  /** Shows every value: as a new listing, or as changes of the watch. */
  applyTo(cache: WatchCache, as: 'listing' | 'changes'): void {
    const changes = [...this.values].map(([key, stored]) => ({ key, ...stored, removed: false }));
    const revision = this.#revision;
    if (as === 'listing')
      cache.apply({ isListing: true, revision, consistentFrom: revision, changes });
    else cache.apply({ isListing: false, revision, changes });
  }
}
