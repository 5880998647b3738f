/** Priorities of calls to the store, which order them while the rate limits allow fewer calls than are waiting. */

/** Priorities, most important first. Lease renewals come before everything else, because leases keep ownership. */
export const CALL_PRIORITY = {
  renew: 0,
  watch: 1,
  cancellation: 2,
  acceptance: 3,
  completion: 4,
  read: 5,
  background: 6,
} as const;

/** One of the priorities; the lower number is sent first. */
export type CallPriority = (typeof CALL_PRIORITY)[keyof typeof CALL_PRIORITY];
