import { SIGHTING_MS } from '../constants.js';
import type { PartController } from '../parts/part-controller.js';
import type { OwnStatus } from '../peers/gossip.js';
import { progressIn, type PartDirectory } from '../peers/part-directory.js';

/**
 * What this node tells the others of its parts, of the jobs in them, and of workers of other parts that came here
 * lately. Progress of jobs only in a detailed status.
 */
export const describeParts = (
  partController: Pick<PartController, 'owned' | 'sighted'>,
  directory: Pick<PartDirectory, 'describe'>,
  detailed: boolean,
  now: number,
): Pick<OwnStatus, 'parts' | 'jobs' | 'sightings'> => {
  const sightings = new Map<number, number>();
  for (const [machine, { part, at }] of partController.sighted) {
    if (now - at > SIGHTING_MS) partController.sighted.delete(machine);
    else sightings.set(part, (sightings.get(part) ?? 0) + 1);
  }
  const jobs: OwnStatus['jobs'] = [];
  const parts: OwnStatus['parts'] = [];
  for (const [index, { part }] of partController.owned) {
    parts.push(directory.describe(index, part, detailed));
    for (const uid of detailed ? part.jobs.keys() : []) {
      const { done, running } = progressIn(part, uid);
      if (done + running > 0) jobs.push({ uid, running, done, part: index });
    }
  }
  return {
    parts,
    jobs,
    sightings: [...sightings].map(([part, workers]) => ({ part, workers })),
  };
};
