/** The error of the cloud's client. */

/**
 * Why a call to the cloud has no result:
 *
 * - `rate_limited`: refused with 429; nothing was done;
 * - `unavailable`: answered with a status that is no result of the call;
 * - `no_response`: no answer in time, or none that could be read; it may have been done or may yet be.
 */
export type CloudErrorKind = 'rate_limited' | 'unavailable' | 'no_response';

/** A call to the cloud has no result; it may be tried again later. */
export class CloudRequestError extends Error {
  constructor(
    readonly kind: CloudErrorKind,
    message: string,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}
