/** Order in which the calls to the store are sent when there are more than its limits allow. */

/** Priorities, the most important first: leases keep ownership, everything else can wait for them. */
export const CALL_PRIORITY = {
  renew: 0,
  watch: 1,
  cancellation: 2,
  acceptance: 3,
  completion: 4,
  read: 5,
  background: 6,
} as const;

/** One of the priorities; lower goes first. */
export type CallPriority = (typeof CALL_PRIORITY)[keyof typeof CALL_PRIORITY];
