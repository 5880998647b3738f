/** Saves completions of the shards that this node owns. */
import { fencedCompareAndSwap } from '@sumacstep/leader-election';
import type { Logger } from 'pino';
import { CALL_PRIORITY } from '../../store/call-priority.js';
import { StoreRequestError } from '../../store/errors.js';
import { type StoreClient } from '../../store/store-client.js';
import type { WatchCache } from '../../store/watch-cache.js';
import type { OwnedShard } from '../owned-shard.js';
import type { StoreSizeLimits } from '../transaction.js';
import type { CompletionBatch } from './completion-batch.js';
import { collectCompletions } from './completion-collector.js';
import type { CompletionContext } from './completion-context.js';
import { splitLongRange } from './range-splitting.js';
import { SlotSplitter } from './slot-splitting.js';

/** What saving completions needs of the process. */
export interface CompletionSaverDependencies {
  readonly config: { readonly storeLimits: StoreSizeLimits };
  readonly client: Pick<StoreClient, 'compareAndSwap'>;
  readonly cache: WatchCache;
  /** steady ms */
  readonly now: () => number;
  readonly log: Logger;
}

/**
 * Moves ended jobs to their final state, and records completed tasks of the others. Values and ranges that are
 * too large for the store's present limits are split first.
 */
export class CompletionSaver {
  readonly #context: CompletionContext;
  readonly #splitter: SlotSplitter;

  constructor(private readonly dependencies: CompletionSaverDependencies) {
    const { cache, config } = dependencies;
    this.#context = { cache, storeLimits: config.storeLimits };
    this.#splitter = new SlotSplitter(this.#context);
  }

  /** Saves one batch of the shard if that is due; one that fails is collected anew in a later round. */
  async save(owned: OwnedShard, now: number): Promise<void> {
    if (!owned.isSaveDue(now)) return;
    const { shard } = owned;
    const batch =
      splitLongRange(this.#context, shard) ??
      this.#splitter.nextStep(shard.index) ??
      collectCompletions(this.#context, owned, now);
    if (batch.isEmpty) return;
    owned.beginSave();
    try {
      await this.#commit(owned, batch);
    } catch (error) {
      if (!(error instanceof StoreRequestError)) throw error;
      const { log } = this.dependencies;
      log.debug({ shard: shard.index, error: error.message }, 'completions save failed');
    } finally {
      owned.endSave(this.dependencies.now());
    }
  }

  async #commit({ shard, authorization }: OwnedShard, batch: CompletionBatch): Promise<void> {
    const { client, cache, log } = this.dependencies;
    const { guards, writes } = batch;
    const priority = CALL_PRIORITY.completion;
    const result = await fencedCompareAndSwap(client, authorization, priority, guards, writes);
    // On a conflict the cache is behind, and will show what has changed.
    if (!result.ok) return;
    for (const { uid, indexes } of batch.savedTasks) shard.markCompletionsSaved(uid, indexes);
    for (const uid of batch.finishedJobs) {
      log.info({ job: uid, shard: shard.index }, 'job completed');
    }
    cache.applyOwn(writes, result.epoch);
  }
}
