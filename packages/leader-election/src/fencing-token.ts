/** Fencing tokens: numbers that order the successive leaderships of a role. */

declare const fencing: unique symbol;

/**
 * Identifies one leadership of a role. Each leadership of a role has a larger token than the leadership before, so a
 * receiver that remembers the largest token it has seen can reject the orders of a replaced leader.
 */
export type FencingToken = number & { readonly [fencing]: true };

/** The token before the first leadership of a role. */
export const INITIAL_TOKEN = 0 as FencingToken;

/** Converts a stored number to a token; throws a `RangeError` unless it is a non-negative safe integer. */
export const fencingToken = (value: number): FencingToken => {
  if (!Number.isSafeInteger(value) || value < 0) {
    throw new RangeError(`not a fencing token: ${value}`);
  }
  return value as FencingToken;
};

/** Returns the token of the leadership that follows. */
export const nextToken = (token: FencingToken): FencingToken => fencingToken(token + 1);
