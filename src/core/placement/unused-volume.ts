/** Unused resource volume and the best-fit choice of a machine by it. */
import { EQUAL_VOLUME_TOLERANCE } from './constants.js';
import { RESOURCE_KINDS, type Resources } from '../model.js';

/**
 * Returns the unused resource volume, equation (2) of the paper: the free amounts as shares of the largest capacity,
 * summed over the resources.
 */
export const unusedVolume = (free: Resources, largest: Resources): number => {
  let sum = 0;
  for (const kind of RESOURCE_KINDS) if (largest[kind] > 0) sum += free[kind] / largest[kind];
  return sum;
};

/** A machine to choose from, with its free capacity. */
export interface MachineCandidate {
  readonly name: string;
  readonly free: Resources;
  /** the machine holds the image, which decides between equal unused volumes */
  readonly hasImage?: boolean;
}

/**
 * Returns the candidate with the least unused volume ("most matched" in the paper), or null if there are none. Of
 * candidates with equal volume, one that holds the image comes first, then the first by name.
 */
export const bestFit = <M extends MachineCandidate>(
  candidates: Iterable<M>,
  largest: Resources,
): M | null => {
  let best: M | null = null;
  let bestVolume = Infinity;
  for (const candidate of candidates) {
    const volume = unusedVolume(candidate.free, largest);
    if (best !== null) {
      if (volume > bestVolume + EQUAL_VOLUME_TOLERANCE) continue;
      if (volume > bestVolume - EQUAL_VOLUME_TOLERANCE) {
        const image = Number(candidate.hasImage ?? false) - Number(best.hasImage ?? false);
        if (image < 0 || (image === 0 && candidate.name >= best.name)) continue;
      }
    }
    best = candidate;
    bestVolume = volume;
  }
  return best;
};
