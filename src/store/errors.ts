/** The error with which calls to the key-value store fail. */
import { StoreUnavailableError } from '@sumacstep/leader-election';

/**
 * Reasons why a call to the store has no result:
 *
 * - `rate_limited`: the store refused the call with 429 and did not carry it out;
 * - `unavailable`: the store refused the call with another status and did not carry it out;
 * - `no_response`: no readable answer arrived in time; the call may have been carried out, or may be later;
 * - `overloaded`: the call was not sent, because too many calls wait in this node or the caller has waited too long;
 * - `contention`: at every attempt, other writers had changed the same keys;
 * - `invalid`: the call exceeds the store's limits or is malformed; it must not be repeated, as it would fail again.
 */
export type StoreErrorKind =
  'rate_limited' | 'unavailable' | 'no_response' | 'overloaded' | 'contention' | 'invalid';

/** Thrown when a call to the store has no result. The call may be repeated unless the kind is `invalid`. */
export class StoreRequestError extends StoreUnavailableError {
  constructor(
    readonly kind: StoreErrorKind,
    message: string,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}
