/** The error that the client of the cloud reports. */

/**
 * The reason why a call to the cloud has no result:
 *
 * - `rate_limited`: the cloud refused the call with status 429, and the call had no effect;
 * - `unavailable`: the cloud answered with a status that is not a result of the call;
 * - `no_response`: no readable answer arrived in time; the call may have been executed or may still be executed later.
 */
export type CloudErrorKind = 'rate_limited' | 'unavailable' | 'no_response';

/** Reports that a call to the cloud has no result; the call may be repeated later. */
export class CloudRequestError extends Error {
  constructor(
    readonly kind: CloudErrorKind,
    message: string,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}
