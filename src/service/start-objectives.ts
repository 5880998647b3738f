/** Start deadlines that follow from the platform's objectives. */
import type { Objective } from '../core/model.js';

/**
 * Returns the times, in seconds after acceptance, by which tasks of a job class should start, in ascending order. An
 * objective for the start counts as it is, one for the end less `runS`, the class's run time in seconds.
 */
export const startObjectives = (
  objectives: readonly Objective[],
  jobClass: string,
  runS: number,
): number[] =>
  objectives
    .filter(({ kind, jobClass: of }) => of === jobClass && (kind === 'wait' || kind === 'finished'))
    .map(({ kind, withinS }) => (kind === 'wait' ? withinS : Math.max(0, withinS - runS)))
    .sort((a, b) => a - b);
