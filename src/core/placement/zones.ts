/**
 * Zone constraints of jobs. Every placement counts until it is proven gone, even if a stop was sent for it, since its
 * task may still be running.
 */
import type { JobSpec } from '../model.js';
import type { JobState } from '../shard/types.js';

/** Returns how many tasks of the job may run in one zone if no other rule limits them. */
export const maxTasksPerZone = ({ spread, tasks }: JobSpec): number =>
  spread ? Math.ceil(tasks / 2) : Infinity;

/** Returns how many more tasks of the job may be placed in the zone, given the zones of its placed tasks. */
export const tasksAllowedInZone = (job: JobState, zone: string): number => {
  const { spec } = job;
  if (spec.zone !== null && spec.zone !== zone) return 0;
  if (!spec.oneZone && !spec.spread) return Infinity;
  const placedInZone = job.placementsByZone.get(zone) ?? 0;
  if (spec.oneZone && job.placements.size > placedInZone) return 0;
  return Math.max(0, maxTasksPerZone(spec) - placedInZone);
};

/**
 * Returns how many tasks of the job fit together, if `tasksByZone` fit into each zone and `allowedInZone` returns how
 * many of them may run there.
 */
export const tasksThatFitZones = (
  spec: JobSpec,
  tasksByZone: ReadonlyMap<string, number>,
  allowedInZone: (zone: string) => number,
): number => {
  const allowed = [...tasksByZone].map(([zone, tasks]) => Math.min(tasks, allowedInZone(zone)));
  return spec.oneZone ? Math.max(0, ...allowed) : allowed.reduce((sum, tasks) => sum + tasks, 0);
};
