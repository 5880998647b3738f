/** Fencing tokens: numbers that order the successive leaderships of a role. */

declare const fencing: unique symbol;

/**
 * Identifies one leadership of a role. Each leadership of the same role has a larger token than the one before,
 * so whoever remembers the largest token that it has seen can reject a leader that was replaced.
 */
export type FencingToken = number & { readonly [fencing]: true };

/** The token before the first leadership of a role. */
export const INITIAL_TOKEN = 0 as FencingToken;

/** Takes a stored number for a token; throws a `RangeError` if it can't be one. */
export const fencingToken = (value: number): FencingToken => {
  if (!Number.isSafeInteger(value) || value < 0) {
    throw new RangeError(`not a fencing token: ${value}`);
  }
  return value as FencingToken;
};

/** The token of the leadership that follows. */
export const nextToken = (token: FencingToken): FencingToken => fencingToken(token + 1);
