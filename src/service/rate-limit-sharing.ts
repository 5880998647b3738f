/** Division of the rate limits of store and cloud, which hold for all nodes together, among the alive nodes. */
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

/** Returns the part of the store's rate limits that each of `nodes` nodes may use. */
export const storeLimitsPerNode = (
  config: Config,
  shares: RateLimitShares,
  nodes: number,
): StoreLimits => {
  const { rps, writeRps, next } = config.storeLimits;
  const perNode = (limits: { rps: number; writeRps: number }) => ({
    rps: (limits.rps * shares.storeRequestShare) / nodes,
    writeRps: (limits.writeRps * shares.storeWriteShare) / nodes,
  });
  return { ...perNode({ rps, writeRps }), next: perNode(next) };
};

/** Returns the part of the cloud's rate limit, in requests per second, that each of `nodes` nodes may use. */
export const cloudRateLimitPerNode = (
  config: Config,
  shares: RateLimitShares,
  nodes: number,
): number => (config.cloudLimits.rps * shares.cloudRequestShare) / nodes;

/** Adjusts the rate limits of the store client and the cloud client to the number of alive nodes. */
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

  /** Updates the rates of both clients if the number of alive nodes has changed. */
  update(aliveNodes: number): void {
    const nodes = Math.min(this.config.nodes, Math.max(1, aliveNodes));
    if (nodes === this.#aliveNodes) return;
    this.#aliveNodes = nodes;
    this.store.setLimits(storeLimitsPerNode(this.config, this.shares, nodes));
    this.cloud.setRate(cloudRateLimitPerNode(this.config, this.shares, nodes));
  }
}
