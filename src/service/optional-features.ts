/** Features of a node that are disabled by default. */
import type { RebalancingConfig } from '../config/rebalancing.js';
import type { SingletonsConfig } from '../config/singletons.js';

/** Settings of the optional features. Each has its own settings file, which enables it; null: disabled. */
export interface OptionalFeatures {
  /** settings of the singleton controllers (`--duties <file>`) */
  readonly duties: SingletonsConfig | null;
  /** settings of shard rebalancing (`--shares <file>`) */
  readonly shares: RebalancingConfig | null;
}
