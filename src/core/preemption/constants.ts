/** Constants of preemption and reservations. */

/**
 * Share of the machines of a shard. While fewer machines than that are partially reserved, further gangs than the first
 * may reserve machines partially and wait for the rest of the machines that they need.
 */
export const PARTIAL_RESERVATION_SHARE = 0.06;

/** Most jobs for which a pass tries to reserve capacity: each attempt visits every machine of the shard. */
export const MAX_RESERVATION_ATTEMPTS = 8;

/**
 * ms after which a reservation expires. Without expiry a machine would stay reserved for a preempting task that was
 * placed elsewhere.
 */
export const RESERVATION_TTL_MS = 30_000;
