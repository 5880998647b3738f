/** What placements are keyed by, and what can be told from one alone. */
import type { MachineState, Placement } from './types.js';

/** Key of a task on its machine, whatever the attempt. */
export const taskKey = (uid: string, index: number): string => `${uid}/${index}`;

/** Key of one attempt of a task. */
export const attemptKey = (task: { uid: string; index: number; attempt: number }): string =>
  `${task.uid}/${task.index}@${task.attempt}`;

/** The key of the placement's attempt. */
export const placementKey = ({ job, index, attempt }: Placement): string =>
  `${job.spec.uid}/${index}@${attempt}`;

/** No command to start it has left, so it can be released at once. */
export const isUndispatched = (placement: Placement): boolean =>
  !placement.observed && !placement.directStartUnsettled && placement.startSentCounter === null;

/** Replicas of services run on the machine. */
export const hostsServiceReplicas = (machine: MachineState): boolean => {
  for (const { job, observed } of machine.tasks.values()) {
    if (job.spec.kind === 'service' && observed) return true;
  }
  return false;
};
