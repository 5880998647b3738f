import { RESOURCE_KINDS, type ResourceKind, type Resources } from '../model.js';

/** The resource of which a demand takes the largest share; the first of equals. */
export const dominantResource = (share: Resources): ResourceKind => {
  let best: ResourceKind = RESOURCE_KINDS[0];
  for (const k of RESOURCE_KINDS) if (share[k] > share[best]) best = k;
  return best;
};

/** Demand deviation, equation (1) of the paper: squared gaps of both tasks from their mean. */
export const demandDeviation = (a: Resources, b: Resources): number => {
  let sum = 0;
  for (const k of RESOURCE_KINDS) {
    const mean = (a[k] + b[k]) / 2;
    sum += (a[k] - mean) ** 2 + (b[k] - mean) ** 2;
  }
  return sum;
};

/** Waiting tasks of equal demand: all tasks of one job are alike. */
export interface TaskGroup<T> {
  readonly item: T;
  readonly share: Resources;
  readonly count: number;
}

/**
 * The complement of a task: of the waiting tasks with another dominant resource, the one of the
 * largest deviation, the earliest of equals. Looking at one member of each group gives the same
 * answer as comparing with every task, in time that grows with the number of jobs only.
 */
export const findComplement = <T>(
  share: Resources,
  waiting: Iterable<TaskGroup<T>>,
): TaskGroup<T> | null => {
  const own = dominantResource(share);
  let best: TaskGroup<T> | null = null;
  let bestDeviation = -1;
  for (const group of waiting) {
    if (group.count <= 0 || dominantResource(group.share) === own) continue;
    const d = demandDeviation(share, group.share);
    if (d > bestDeviation) {
      best = group;
      bestDeviation = d;
    }
  }
  return best;
};
