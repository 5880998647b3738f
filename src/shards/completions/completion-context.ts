/** The input that collecting and splitting of completions share. */
import type { WatchCache } from '../../store/watch-cache.js';
import type { StoreSizeLimits } from '../transaction.js';

/** What decisions on completions are made from. */
export interface CompletionContext {
  readonly cache: WatchCache;
  readonly storeLimits: StoreSizeLimits;
}
