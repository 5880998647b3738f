/** The input shared by the modules that collect completions and split their ranges and slots. */
import type { WatchCache } from '../../store/watch-cache.js';
import type { StoreSizeLimits } from '../transaction.js';

/** The cached store state and the store limits from which batches of completions are computed. */
export interface CompletionContext {
  readonly cache: WatchCache;
  readonly storeLimits: StoreSizeLimits;
}
