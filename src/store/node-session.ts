import { SessionLease } from '@sumacstep/leader-election';
import type { Logger } from 'pino';
import { CLOCK_DRIFT } from '../constants.js';
import { LEASE_MARGIN_MS, LEASE_RENEW_MS, LEASE_RETRY_MS, LEASE_TTL_MS } from './constants.js';
import type { StoreClient } from './store-client.js';
import { encodeNode, key, type NodeCapabilities } from './keys.js';

const TIMING = {
  ttlMs: LEASE_TTL_MS,
  renewMs: LEASE_RENEW_MS,
  retryMs: LEASE_RETRY_MS,
  clockDrift: CLOCK_DRIFT,
  marginMs: LEASE_MARGIN_MS,
};

/** One life of a node, as its record says it. */
export interface NodeRegistration extends NodeCapabilities {
  readonly node: string;
  readonly incarnation: string;
}

/** This node's lease on the state service and the node key attached to it. */
export const createNodeSession = (
  client: Pick<StoreClient, 'grant' | 'renew' | 'register'>,
  { node, incarnation, ...abilities }: NodeRegistration,
  now: () => number,
  log: Logger,
): SessionLease => {
  const registration = {
    key: key.node(node, incarnation),
    value: encodeNode(incarnation, abilities),
  };
  return new SessionLease(client, registration, TIMING, now, log);
};
