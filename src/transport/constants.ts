/** Limits of requests and responses. */

/** The protocol's limit on request bodies. */
export const MAX_BODY_BYTES = 64 * 1024;
