/** Keys of tasks and attempts, and properties that follow from placements alone. */
import type { MachineState, Placement } from './types.js';

/** Returns the key of a task, which is the same for all of its attempts. */
export const taskKey = (uid: string, index: number): string => `${uid}/${index}`;

/** Returns the key of one attempt of a task. */
export const attemptKey = (task: { uid: string; index: number; attempt: number }): string =>
  `${task.uid}/${task.index}@${task.attempt}`;

/** Returns the key of the placement's attempt, equal to its `attemptKey`. */
export const placementKey = ({ job, index, attempt }: Placement): string =>
  `${job.spec.uid}/${index}@${attempt}`;

/** Whether no start has been sent that could still take effect, so that the placement can be released at once. */
export const isUndispatched = ({ observed, directStart, startSentCounter }: Placement): boolean =>
  !observed && startSentCounter === null && (directStart === null || directStart.state === 'void');

/** Whether the machine's worker has listed a service replica that is placed there. */
export const hostsServiceReplicas = (machine: MachineState): boolean => {
  const services = [...machine.tasksByJob.keys()].filter(({ spec }) => spec.kind === 'service');
  if (services.length === 0) return false;
  for (const { job, observed } of machine.tasks.values()) {
    if (job.spec.kind === 'service' && observed) return true;
  }
  return false;
};
