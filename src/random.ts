import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Random whole numbers below a bound. */
export const seededRandomInt = (seed: number): ((below: number) => number) => {
  const generator = xoroshiro128plus(seed);
  return (below) => (below <= 1 ? 0 : uniformInt(generator, 0, below - 1));
};
