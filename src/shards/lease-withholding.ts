/**
 * Withholding of worker lease renewals. While the state that this node knows is not current, a cancellation may have
 * been confirmed that it does not know. The tasks of that job must nevertheless end in time. So worker leases are
 * renewed only as long as even the lease that is renewed last expires in time for any unknown cancellation.
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

  /** Returns whether an answer to a heartbeat may renew the worker's lease. Logs when the result changes. */
  mayRenew(now: number): boolean {
    const unknownMs = now - this.peers.cancellationsKnownUntil();
    const mayRenewNow = unknownMs <= this.#renewalWindowMs;
    if (mayRenewNow !== this.#withholding) return mayRenewNow;
    this.#withholding = !mayRenewNow;
    if (mayRenewNow) this.log.info('worker lease renewal resumed');
    else {
      const unknownS = Math.round(unknownMs / 1000);
      this.log.info({ unknownS }, 'worker lease renewal suspended');
    }
    return mayRenewNow;
  }
}
