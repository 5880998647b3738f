/** Creates the node's session: its lease in the store, and the registration key that is attached to the lease. */
import { SessionLease } from '@sumacstep/leader-election';
import type { Logger } from 'pino';
import { MAX_RELATIVE_CLOCK_DRIFT } from '../constants.js';
import { encodeNode, type NodeRecord } from './codecs/node.js';
import { LEASE_MARGIN_MS, LEASE_RENEW_MS, LEASE_RETRY_MS, LEASE_TTL_MS } from './constants.js';
import { storeKey } from './keys.js';
import type { StoreClient } from './store-client.js';

const LEASE_TIMING = {
  ttlMs: LEASE_TTL_MS,
  renewMs: LEASE_RENEW_MS,
  retryMs: LEASE_RETRY_MS,
  clockDrift: MAX_RELATIVE_CLOCK_DRIFT,
  marginMs: LEASE_MARGIN_MS,
};

/** Creates the session of one incarnation of a node. It takes no lease until its `run` is called. */
export const createNodeSession = (
  client: Pick<StoreClient, 'grant' | 'renew' | 'register'>,
  { node, incarnation, ...capabilities }: NodeRecord,
  now: () => number,
  log: Logger,
): SessionLease => {
  const registration = {
    key: storeKey.node(node, incarnation),
    value: encodeNode(incarnation, capabilities),
  };
  return new SessionLease(client, registration, LEASE_TIMING, now, log);
};
