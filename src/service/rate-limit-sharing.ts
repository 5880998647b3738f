import type { CloudClient } from '../cloud/cloud-client.js';
import type { OperatorConfig } from '../config/operator.js';
import type { PlatformConfig } from '../config/platform.js';
import type { StoreClient } from '../store/store-client.js';
import type { StoreLimits } from '../store/request-scheduler.js';

type Config = Pick<PlatformConfig, 'nodes' | 'storeLimits' | 'cloudLimits'>;
type RateLimitShares = Pick<
  OperatorConfig,
  'storeRequestShare' | 'storeWriteShare' | 'cloudRequestShare'
>;

/** One node's share of the state service's limits when so many nodes live. */
export const storeLimitsPerNode = (
  config: Config,
  shares: RateLimitShares,
  nodes: number,
): StoreLimits => {
  const { rps, writeRps, next } = config.storeLimits;
  const share = (l: { rps: number; writeRps: number }) => ({
    rps: (l.rps * shares.storeRequestShare) / nodes,
    writeRps: (l.writeRps * shares.storeWriteShare) / nodes,
  });
  return { ...share({ rps, writeRps }), next: share(next) };
};

/** One node's share of the cloud's requests a second. */
export const cloudRateLimitPerNode = (
  config: Config,
  shares: RateLimitShares,
  nodes: number,
): number => (config.cloudLimits.rps * shares.cloudRequestShare) / nodes;

/** The limits of state service and cloud are for all nodes together: those that live share them. */
export class RateLimitSharing {
  #aliveNodes: number;

  constructor(
    private readonly config: Config,
    private readonly shares: RateLimitShares,
    private readonly store: Pick<StoreClient, 'setLimits'>,
    private readonly cloud: Pick<CloudClient, 'setRate'>,
  ) {
    this.#aliveNodes = config.nodes;
  }

  /** Sets the rates of both clients anew if the number of living nodes has changed. */
  update(living: number): void {
    const nodes = Math.min(this.config.nodes, Math.max(1, living));
    if (nodes === this.#aliveNodes) return;
    this.#aliveNodes = nodes;
    this.store.setLimits(storeLimitsPerNode(this.config, this.shares, nodes));
    this.cloud.setRate(cloudRateLimitPerNode(this.config, this.shares, nodes));
  }
}
