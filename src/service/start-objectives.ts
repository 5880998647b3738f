import type { Objective } from '../core/model.js';

/**
 * Seconds from acceptance by which tasks of a class should start, the earliest first: objectives for starts as they
 * are, objectives for ends less the time that a task runs.
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
