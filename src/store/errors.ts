/** The error of the store's client. */
import { StoreUnavailableError } from '@sumacstep/leader-election';

/**
 * Why a call to the store has no result:
 *
 * - `rate_limited`: refused with 429; nothing was done;
 * - `unavailable`: refused with another status; nothing was done;
 * - `no_response`: no answer in time, or none that could be read; it may have been done or may yet be;
 * - `overloaded`: not sent, since too many calls wait in this node or the caller waited for too long;
 * - `contention`: others changed the same keys at every try;
 * - `invalid`: over the store's limits or malformed; the same call fails again, so don't repeat it.
 */
export type StoreErrorKind =
  'rate_limited' | 'unavailable' | 'no_response' | 'overloaded' | 'contention' | 'invalid';

/** A call to the store has no result; unless `invalid`, it may be tried again. */
export class StoreRequestError extends StoreUnavailableError {
  constructor(
    readonly kind: StoreErrorKind,
    message: string,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}
