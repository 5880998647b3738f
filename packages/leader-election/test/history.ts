/** The history of a simulated election, and the check of its invariants. */

/** What happened to one role, in the order of true time. */
export type ElectionEvent =
  /** the store's record names a new leader */
  | { readonly kind: 'acquired'; readonly leader: string; readonly token: number }
  /** a leader checked its authorization and sent an order */
  | { readonly kind: 'sent'; readonly leader: string; readonly token: number }
  /** the store or a machine carried an order out */
  | { readonly kind: 'executed'; readonly by: 'store' | 'machine'; readonly token: number };

/**
 * Checks a history: fencing tokens only rise and none repeats, an order is sent only while its sender is the
 * leader, and nothing is carried out under a token below the newest that the executor can have seen. Returns what
 * is violated; empty if nothing is.
 */
export const historyViolations = (events: readonly ElectionEvent[]): string[] => {
  const violations: string[] = [];
  let current = { leader: '', token: 0 };
  let newestMachineToken = 0;
  events.forEach((event, i) => {
    const description = `${i}: ${JSON.stringify(event)}`;
    if (event.kind === 'acquired') {
      if (event.token <= current.token) violations.push(`token does not rise ${description}`);
      current = event;
    } else if (event.kind === 'sent') {
      const { leader, token } = current;
      if (leader !== event.leader || token !== event.token)
        violations.push(`not the leader ${description}`);
    } else if (event.by === 'store') {
      if (event.token !== current.token) violations.push(`not the leader's write ${description}`);
    } else {
      if (event.token < newestMachineToken)
        violations.push(`lower than a token before ${description}`);
      newestMachineToken = Math.max(newestMachineToken, event.token);
    }
  });
  return violations;
};
