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
  let placedInZone = 0;
  for (const placement of job.placements.values()) {
    if (placement.machine.record.zone === zone) placedInZone += 1;
    else if (spec.oneZone) return 0;
  }
  return spec.spread ? Math.max(0, Math.ceil(spec.tasks / 2) - placedInZone) : Infinity;
};
