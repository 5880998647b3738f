/** Fencing tokens: numbers that order the tenures of a duty. */

declare const fencing: unique symbol;

/**
 * Identifies one tenure of a duty. Each tenure of the same duty has a larger token than the one before, so
 * whoever remembers the largest token that it has seen can refuse a holder that was replaced.
 */
export type FencingToken = number & { readonly [fencing]: true };

/** The token before the first tenure of a duty. */
export const INITIAL_TOKEN = 0 as FencingToken;

/** Takes a stored number for a token; throws a `RangeError` if it can't be one. */
export const fencingToken = (value: number): FencingToken => {
  if (!Number.isSafeInteger(value) || value < 0) {
    throw new RangeError(`not a fencing token: ${value}`);
  }
  return value as FencingToken;
};

/** The token of the tenure that follows. */
export const nextToken = (token: FencingToken): FencingToken => fencingToken(token + 1);
