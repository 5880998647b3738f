/**
 * Withholding of worker leases. While this node lacks current state, a cancellation may have been confirmed that it
 * has not heard of. The job's tasks must have ended in time all the same, so worker leases are renewed only as long
 * as even the lease renewed last ends in time for whatever may be unknown here.
 */
import type { Logger } from 'pino';
import { renewalWindowMs } from '../core/cancellation/lease-renewal.js';
import type { PeerView } from './peer-view.js';

/** Decides whether a worker's lease may be renewed without authority. */
export class LeaseWithholding {
  readonly #renewalWindowMs: number;
  #withholding = false;

  constructor(
    { cancelS, leaseS }: { readonly cancelS: number; readonly leaseS: number },
    private readonly peers: Pick<PeerView, 'cancellationsKnownUntil'>,
    private readonly log: Logger,
  ) {
    this.#renewalWindowMs = renewalWindowMs(cancelS * 1000, leaseS * 1000);
  }

  /** Whether an answer may renew a worker's lease; logs when this changes. */
  mayRenew(now: number): boolean {
    const unknownMs = now - this.peers.cancellationsKnownUntil();
    const may = unknownMs <= this.#renewalWindowMs;
    if (may !== this.#withholding) return may;
    this.#withholding = !may;
    if (may) this.log.info('worker lease renewal resumed');
    else {
      const unknownS = Math.round(unknownMs / 1000);
      this.log.info({ unknownS }, 'worker lease renewal suspended');
    }
    return may;
  }
}
