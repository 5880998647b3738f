import { EQUAL_VOLUME_TOLERANCE } from './constants.js';
import { RESOURCE_KINDS, type Resources } from '../model.js';

/** Unused resource volume, equation (2) of the paper. */
export const unusedVolume = (free: Resources, largest: Resources): number => {
  let sum = 0;
  for (const k of RESOURCE_KINDS) if (largest[k] > 0) sum += free[k] / largest[k];
  return sum;
};

/** A machine with its free resources. */
export interface MachineCandidate {
  readonly name: string;
  readonly free: Resources;
  /** true if the machine holds the image already; decides between equal volumes */
  readonly hasImage?: boolean;
}

/** The most matched machine: least unused volume, then the image, then the name. */
export const bestFit = <M extends MachineCandidate>(
  candidates: Iterable<M>,
  largest: Resources,
): M | null => {
  let best: M | null = null;
  let bestVolume = Infinity;
  for (const c of candidates) {
    const volume = unusedVolume(c.free, largest);
    if (best !== null) {
      if (volume > bestVolume + EQUAL_VOLUME_TOLERANCE) continue;
      if (volume > bestVolume - EQUAL_VOLUME_TOLERANCE) {
        const image = Number(c.hasImage ?? false) - Number(best.hasImage ?? false);
        if (image < 0 || (image === 0 && c.name >= best.name)) continue;
      }
    }
    best = c;
    bestVolume = volume;
  }
  return best;
};
