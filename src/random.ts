/** Pseudorandom numbers. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/**
 * Returns a generator of pseudorandom integers that is determined by `seed`. The generator returns an integer from 0
 * to `below` - 1, and 0 if `below` is at most 1.
 */
export const seededRandomInt = (seed: number): ((below: number) => number) => {
  const generator = xoroshiro128plus(seed);
  return (below) => (below <= 1 ? 0 : uniformInt(generator, 0, below - 1));
};
