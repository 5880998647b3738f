/**
 * Zone constraints of jobs. Every placement counts until it is proven gone, even if a stop was sent for it, since its
 * task may still be running.
 */
import type { JobState } from '../shard/types.js';

/** Returns how many more tasks of the job may be placed in the zone, given the zones of its placed tasks. */
export const tasksAllowedInZone = (job: JobState, zone: string): number => {
  const { spec } = job;
  if (spec.zone !== null && spec.zone !== zone) return 0;
  if (!spec.oneZone && !spec.spread) return Infinity;
  const placedInZone = job.placementsByZone.get(zone) ?? 0;
  if (spec.oneZone && job.placements.size > placedInZone) return 0;
  return spec.spread ? Math.max(0, Math.ceil(spec.tasks / 2) - placedInZone) : Infinity;
};
