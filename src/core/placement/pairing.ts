/**
 * Complementary pairs of tasks, as in the paper: tasks whose demands differ most, with different dominant resources,
 * are placed together on one machine.
 */
import { RESOURCE_KINDS, type ResourceKind, type Resources } from '../model.js';

/** Returns the resource of which a demand takes the largest share; of equal shares, that of the first resource. */
export const dominantResource = (share: Resources): ResourceKind => {
  let dominant: ResourceKind = RESOURCE_KINDS[0];
  for (const kind of RESOURCE_KINDS) if (share[kind] > share[dominant]) dominant = kind;
  return dominant;
};

/**
 * Returns the deviation between the demands of two tasks, equation (1) of the paper: for each resource, the squared
 * distances of both demands from their mean.
 */
export const demandDeviation = (a: Resources, b: Resources): number => {
  let sum = 0;
  for (const kind of RESOURCE_KINDS) {
    const mean = (a[kind] + b[kind]) / 2;
    sum += (a[kind] - mean) ** 2 + (b[kind] - mean) ** 2;
  }
  return sum;
};

/** Waiting tasks with the same demand, such as those of one job. `share` is the demand of each of them. */
export interface TaskGroup<T> {
  readonly item: T;
  readonly share: Resources;
  readonly count: number;
}

/**
 * Returns the group whose tasks complement a task best, or null: among the groups with waiting tasks and another
 * dominant resource, the one with the largest demand deviation, the first of equal ones. Comparing with each group
 * gives the same result as comparing with each task, in time linear in the number of groups.
 */
export const findComplement = <T>(
  share: Resources,
  waiting: Iterable<TaskGroup<T>>,
): TaskGroup<T> | null => {
  const ownDominant = dominantResource(share);
  let best: TaskGroup<T> | null = null;
  let bestDeviation = -1;
  for (const group of waiting) {
    if (group.count <= 0 || dominantResource(group.share) === ownDominant) continue;
    const deviation = demandDeviation(share, group.share);
    if (deviation > bestDeviation) {
      best = group;
      bestDeviation = deviation;
    }
  }
  return best;
};
