/** The event history of a simulated election, and the check of the election's invariants on it. */

/** An event of one role. A history lists events in the order of simulated time. */
export type ElectionEvent =
  /** the leader record in the store names a new leader */
  | { readonly kind: 'acquired'; readonly leader: string; readonly token: number }
  /** a leader checked its authorization and sent an order */
  | { readonly kind: 'sent'; readonly leader: string; readonly token: number }
  /** the store or a machine executed an order */
  | { readonly kind: 'executed'; readonly by: 'store' | 'machine'; readonly token: number };

/**
 * Returns the violations of the invariants in a history, or an empty list if there are none:
 *
 * - each new leadership has a larger fencing token than all earlier ones;
 * - an order is sent only while its sender is the leader;
 * - the store executes only orders of the current leader, and a machine no order with a token smaller than the largest
 *   it has seen.
 */
export const historyViolations = (events: readonly ElectionEvent[]): string[] => {
  const violations: string[] = [];
  let current = { leader: '', token: 0 };
  let newestMachineToken = 0;
  events.forEach((event, i) => {
    const description = `${i}: ${JSON.stringify(event)}`;
    if (event.kind === 'acquired') {
      if (event.token <= current.token)
        violations.push(`token not larger than the previous one ${description}`);
      current = event;
    } else if (event.kind === 'sent') {
      const { leader, token } = current;
      if (leader !== event.leader || token !== event.token)
        violations.push(`sender is not the leader ${description}`);
    } else if (event.by === 'store') {
      if (event.token !== current.token)
        violations.push(`write not sent by the leader ${description}`);
    } else {
      if (event.token < newestMachineToken)
        violations.push(`token smaller than an earlier one ${description}`);
      newestMachineToken = Math.max(newestMachineToken, event.token);
    }
  });
  return violations;
};
