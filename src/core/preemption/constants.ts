/** Numbers of preemption and reservations. */

/** share of a shard's machines on which more gangs than the first may wait for the rest of theirs. */
export const PARTIAL_RESERVATION_SHARE = 0.06;

/** stuck jobs for which room is sought in one pass: each looks at every machine of the shard. */
export const MAX_RESERVATION_ATTEMPTS = 8;

/** ms; a hold on a machine for a preempting task ends after this if the task went elsewhere. */
export const RESERVATION_TTL_MS = 30_000;
