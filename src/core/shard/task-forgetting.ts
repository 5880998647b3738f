/** Chooses the exited tasks that a worker is told to forget, so that its heartbeats stay short. */
import type { Heartbeat, ReportedTask } from '../model.js';
import type { CommandMessage, ForgettableTask } from './command-message.js';
import { FORGET_BATCH_LIMIT, FORGET_DELAY_MAX_MS } from './constants.js';
import { InertAttempt } from './inert-attempt.js';
import type { ShardState } from './shard-state.js';
import type { MachineState } from './types.js';

/** The exited tasks of a worker's list that it need not list any more. */
export interface ForgetCandidates {
  /** tasks that have not completed */
  readonly ended: readonly ReportedTask[];
  /** completed tasks; these may wait, since a completed task is never started again */
  readonly completed: readonly ReportedTask[];
}

/** Returns the exited tasks of a heartbeat that its worker need not list any more. */
export const forgetCandidates = (state: ShardState, heartbeat: Heartbeat): ForgetCandidates => {
  const ended: ReportedTask[] = [];
  const completed: ReportedTask[] = [];
  for (const task of heartbeat.tasks) {
    if (task.state !== 'exited' || isUnsavedCompletion(state, task)) continue;
    (task.why === 'done' ? completed : ended).push(task);
  }
  return { ended, completed };
};

/** A worker may forget a completion only once it is saved in the store. */
const isUnsavedCompletion = (state: ShardState, { uid, index, why }: ReportedTask): boolean =>
  why === 'done' && state.jobs.get(uid)?.unsavedCompletions.has(index) === true;

/**
 * Whether this answer should tell the worker to forget `count` completed tasks. A worker sends a heartbeat whenever its
 * task list has changed, so a forget on its own costs an extra heartbeat: a quarter of all heartbeats at the fleet's
 * size. Together with other commands it costs none. Updates `forgettableSince`.
 */
export const isForgetOfCompletedDue = (
  machine: MachineState,
  count: number,
  { commands }: CommandMessage,
  now: number,
): boolean => {
  machine.forgettableSince = count === 0 ? null : (machine.forgettableSince ?? now);
  if (machine.forgettableSince === null) return false;
  // A machine moves to another shard only once its worker lists no tasks.
  const immediate = commands.length > 0 || machine.cordoned || count >= FORGET_BATCH_LIMIT;
  const due = immediate || now - machine.forgettableSince >= FORGET_DELAY_MAX_MS;
  if (due) machine.forgettableSince = null;
  return due;
};

/**
 * Returns those of the tasks that the worker may forget by the answer to its heartbeat. Raises the token of the answer
 * if some of them need it.
 */
export const fence = (
  machine: MachineState,
  tasks: readonly ReportedTask[],
  now: number,
): ForgettableTask[] => {
  const forgettable: ForgettableTask[] = [];
  for (const task of tasks) {
    const evidence = fencedBy(machine, task, now);
    if (evidence !== null) forgettable.push({ task, evidence });
  }
  return forgettable;
};

const fencedBy = (
  machine: MachineState,
  task: ReportedTask,
  now: number,
): InertAttempt<'fenced'> | null => {
  const evidence = InertAttempt.fenced(machine, task);
  if (evidence !== null) return evidence;
  machine.fencing.raiseToken(now);
  return InertAttempt.fenced(machine, task);
};
