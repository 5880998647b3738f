/** Computes the commands that bring workers in line with the state of a shard. */
import type { Command, Heartbeat, ReportedTask } from '../model.js';
import {
  FORGET_BATCH_LIMIT,
  FORGET_DELAY_MAX_MS,
  MAX_DIRECT_COMMANDS_PER_ROUND,
  STOP_OVERDUE_MARGIN_S,
} from './constants.js';
import { attemptKey, isUndispatched, placementKey, taskKey } from './placements.js';
import type { ShardState } from './shard-state.js';
import type { DirectCommandBatch, MachineState, Placement } from './types.js';

/** Computes the commands for heartbeat answers and for direct calls to workers. */
export class CommandPlanner {
  constructor(private readonly state: ShardState) {}

  /** Returns the commands of the answer to a heartbeat. If `mayStart` is false, no starts are among them. */
  answerHeartbeat(
    machine: MachineState,
    heartbeat: Heartbeat,
    now: number,
    mayStart: boolean,
  ): Command[] {
    const commands: Command[] = [];
    // Forgets of completed tasks may wait, since a completed task is never started again.
    const completedForgets: Command[] = [];
    for (const task of heartbeat.tasks) {
      if (task.state !== 'exited') this.#stopUnwanted(machine, task, now, commands);
      else if (this.#mayForget(machine, task)) {
        const { uid, index, attempt, why } = task;
        const forgets = why === 'done' ? completedForgets : commands;
        forgets.push({ op: 'forget', uid, index, attempt });
      }
    }
    if (mayStart) this.#startUnlisted(machine, heartbeat.counter, commands);
    return this.#shouldSendForgets(machine, completedForgets, commands.length > 0, now)
      ? [...commands, ...completedForgets]
      : commands;
  }

  /** Stops a listed task that has no placement in this shard, or whose placement is to be stopped. */
  #stopUnwanted(machine: MachineState, task: ReportedTask, now: number, commands: Command[]): void {
    const { uid, index, attempt } = task;
    const placement = machine.tasks.get(taskKey(uid, index));
    if (placement === undefined || placement.attempt !== attempt) {
      commands.push({ op: 'stop', uid, index, attempt, graceS: 0 });
    } else if (placement.stop !== null) {
      commands.push(stopCommand(placement, remainingGraceS(placement, now)));
    }
  }

  /** Whether the worker may drop an ended task from its list. */
  #mayForget(machine: MachineState, task: ReportedTask): boolean {
    // A worker may forget a completion only once it is saved in the store.
    const unsaved =
      task.why === 'done' &&
      this.state.jobs.get(task.uid)?.unsavedCompletions.has(task.index) === true;
    // If a direct start that may still arrive found its attempt forgotten, the worker would run it again.
    return !unsaved && !machine.unsettledDirectStarts.has(attemptKey(task));
  }

  /** Adds starts for placements that the worker has not listed yet. */
  #startUnlisted(machine: MachineState, counter: number, commands: Command[]): void {
    for (const placement of machine.tasks.values()) {
      if (placement.observed) continue;
      if (isStartable(placement)) {
        placement.startSentCounter = counter;
        commands.push(startCommand(placement));
      } else if (placement.directStartUnsettled && placement.stop !== null) {
        // A direct start for an attempt to be stopped may still arrive, and must then find the attempt known and ended.
        commands.push(startCommand(placement), stopCommand(placement, 0));
      }
    }
  }

  /**
   * Whether this answer should tell the worker to forget completed tasks. A worker sends a heartbeat whenever its task
   * list has changed, so a forget on its own costs an extra heartbeat: a quarter of all heartbeats at the fleet's size.
   * Together with other commands it costs none. Updates `forgettableSince`.
   */
  #shouldSendForgets(
    machine: MachineState,
    forgets: readonly Command[],
    withOtherCommands: boolean,
    now: number,
  ): boolean {
    machine.forgettableSince = forgets.length === 0 ? null : (machine.forgettableSince ?? now);
    if (machine.forgettableSince === null) return false;
    // A machine moves to another shard only once its worker lists no tasks.
    const immediate = withOtherCommands || machine.cordoned || forgets.length >= FORGET_BATCH_LIMIT;
    const due = immediate || now - machine.forgettableSince >= FORGET_DELAY_MAX_MS;
    if (due) machine.forgettableSince = null;
    return due;
  }

  /** Returns the starts and stops to send without waiting for a heartbeat, for at most `maxMachines` machines. */
  directCommands(now: number, maxMachines: number, mayStart: boolean): DirectCommandBatch[] {
    const batches: DirectCommandBatch[] = [];
    let commandCount = 0;
    for (const machine of this.state.machines.values()) {
      if (batches.length >= maxMachines || commandCount >= MAX_DIRECT_COMMANDS_PER_ROUND) break;
      if (!machine.hasPendingCommands || machine.address === null) continue;
      if (!this.state.health.isFresh(machine, now)) continue;
      const batch = directCommandsOf(machine, now, mayStart);
      if (batch.commands.length > 0) batches.push(batch);
      commandCount += batch.commands.length;
    }
    return batches;
  }

  /** Records that direct starts were executed, or that they never will be. */
  settleDirectStarts(starts: readonly Placement[], executed: boolean): void {
    for (const placement of starts) {
      placement.machine.unsettledDirectStarts.delete(placementKey(placement));
      if (executed) continue;
      placement.directStartUnsettled = false;
      placement.machine.hasPendingCommands = true;
    }
  }
}

/** Returns the stops and starts of one machine that no direct command has carried yet, and marks them as sent. */
const directCommandsOf = (
  machine: MachineState,
  now: number,
  mayStart: boolean,
): DirectCommandBatch => {
  const commands: Command[] = [];
  const starts: Placement[] = [];
  let hasUnsentStarts = false;
  for (const placement of machine.tasks.values()) {
    if (placement.stop !== null && !placement.stop.sentDirectly) {
      placement.stop.sentDirectly = true;
      commands.push(stopCommand(placement, remainingGraceS(placement, now)));
    } else if (!isUndispatched(placement)) continue;
    else if (mayStart && isStartable(placement)) {
      placement.directStartUnsettled = true;
      starts.push(placement);
      machine.unsettledDirectStarts.add(placementKey(placement));
      commands.push(startCommand(placement));
    } else hasUnsentStarts = true;
  }
  machine.hasPendingCommands = hasUnsentStarts;
  return { machine, commands, starts };
};

const startCommand = ({ job, index, attempt }: Placement): Command => ({
  op: 'start',
  uid: job.spec.uid,
  index,
  attempt,
});

const stopCommand = ({ job, index, attempt }: Placement, graceS: number): Command => ({
  op: 'stop',
  uid: job.spec.uid,
  index,
  attempt,
  graceS,
});

/** Returns the grace of a requested stop, or 0 once the stop is overdue by more than `STOP_OVERDUE_MARGIN_S`. */
const remainingGraceS = ({ stop }: Placement, now: number): number => {
  if (stop === null) return 0;
  const overdue = now - stop.requestedAt > (stop.graceS + STOP_OVERDUE_MARGIN_S) * 1000;
  return overdue ? 0 : stop.graceS;
};

/** Whether the placement's start may be sent. */
const isStartable = ({ job, machine, stop }: Placement): boolean =>
  !job.ended &&
  stop === null &&
  !machine.terminating &&
  machine.lifecycle === 'in-service' &&
  !machine.cordoned &&
  machine.preemptionAt === null;
