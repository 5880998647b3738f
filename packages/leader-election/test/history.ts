/** What happened to one duty, in the order of true time. */
export type DutyEvent =
  /** the store's record names a new holder */
  | { readonly kind: 'acquired'; readonly holder: string; readonly token: number }
  /** a holder checked its authority and sent an order */
  | { readonly kind: 'sent'; readonly holder: string; readonly token: number }
  /** the store or a machine carried an order out */
  | { readonly kind: 'executed'; readonly by: 'store' | 'machine'; readonly token: number };

/**
 * Checks a history: tokens only rise and none repeats, an order leaves only while its sender is the holder, and
 * nothing is carried out under a token below the newest that the executor can have seen. Returns what is wrong.
 */
export const checkHistory = (events: readonly DutyEvent[]): string[] => {
  const wrong: string[] = [];
  let present = { holder: '', token: 0 };
  let machine = 0;
  events.forEach((event, i) => {
    const what = `${i}: ${JSON.stringify(event)}`;
    if (event.kind === 'acquired') {
      if (event.token <= present.token) wrong.push(`token does not rise ${what}`);
      present = event;
    } else if (event.kind === 'sent') {
      const { holder, token } = present;
      if (holder !== event.holder || token !== event.token) wrong.push(`not the holder ${what}`);
    } else if (event.by === 'store') {
      if (event.token !== present.token) wrong.push(`not the holder's write ${what}`);
    } else {
      if (event.token < machine) wrong.push(`lower than a token before ${what}`);
      machine = Math.max(machine, event.token);
    }
  });
  return wrong;
};
