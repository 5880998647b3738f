/** How long worker leases may be renewed without knowing the cancellations of the time since. */
import { MAX_RELATIVE_CLOCK_DRIFT } from '../../constants.js';
import { LEASE_WITHHOLDING_MARGIN_MS } from './constants.js';

/**
 * For how many ms after `CancellationCoverage.knownUntil` heartbeats may still renew leases: a cancellation
 * confirmed right after it is not known, and the lease that is renewed must expire in time for it.
 */
export const renewalWindowMs = (cancelMs: number, leaseMs: number): number =>
  cancelMs * (1 - MAX_RELATIVE_CLOCK_DRIFT) -
  leaseMs * (1 + MAX_RELATIVE_CLOCK_DRIFT) -
  LEASE_WITHHOLDING_MARGIN_MS;
