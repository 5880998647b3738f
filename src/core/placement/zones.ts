import type { JobState } from '../shard/types.js';

/** Zone constraints of jobs. What may still be on a machine counts, whatever was told to it. */

/** How many more tasks of the job its constraints allow in a zone, given where the others are. */
export const tasksAllowedInZone = (job: JobState, zone: string): number => {
  const { spec } = job;
  if (spec.zone !== null && spec.zone !== zone) return 0;
  if (!spec.oneZone && !spec.spread) return Infinity;
  let here = 0;
  for (const p of job.placements.values()) {
    if (p.machine.record.zone === zone) here += 1;
    else if (spec.oneZone) return 0;
  }
  return spec.spread ? Math.max(0, Math.ceil(spec.tasks / 2) - here) : Infinity;
};
