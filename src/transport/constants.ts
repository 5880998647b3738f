/** Limits of requests and responses. */

/** bytes; the protocol's limit for request bodies. */
export const BODY_LIMIT_BYTES = 64 * 1024;
