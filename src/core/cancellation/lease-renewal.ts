/** Limits how long worker leases may be renewed without knowledge of recent cancellations. */
import { MAX_RELATIVE_CLOCK_DRIFT } from '../../constants.js';
import { LEASE_WITHHOLDING_MARGIN_MS } from './constants.js';

/**
 * Returns for how many ms after `CancellationCoverage.knownUntil` heartbeats may still renew leases. A cancellation
 * confirmed right after that time is not known here, and even the lease that is renewed last must expire before the
 * cancellation has to be complete.
 */
export const renewalWindowMs = (cancelMs: number, leaseMs: number): number =>
  cancelMs * (1 - MAX_RELATIVE_CLOCK_DRIFT) -
  leaseMs * (1 + MAX_RELATIVE_CLOCK_DRIFT) -
  LEASE_WITHHOLDING_MARGIN_MS;
