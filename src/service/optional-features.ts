import type { RebalancingConfig } from '../config/rebalancing.js';
import type { SingletonsConfig } from '../config/singletons.js';

/** Features that a settings file of their own switches on; null: off. */
export interface OptionalFeatures {
  /** singleton controllers (`--duties`) */
  readonly duties: SingletonsConfig | null;
  /** shard rebalancing (`--shares`) */
  readonly shares: RebalancingConfig | null;
}
