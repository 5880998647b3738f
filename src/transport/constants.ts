/** Limits of requests and responses. */

/** bytes; the protocol's limit for request bodies. */
export const MAX_BODY_BYTES = 64 * 1024;
