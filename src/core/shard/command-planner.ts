/** Computes the commands that bring workers in line with the state of a shard. */
import type { Command, Heartbeat, ReportedTask } from '../model.js';
import {
  FORGET_BATCH_LIMIT,
  FORGET_DELAY_MAX_MS,
  MAX_DIRECT_COMMANDS_PER_ROUND,
  MAX_UNSETTLED_DIRECT_STARTS,
  STOP_OVERDUE_MARGIN_S,
} from './constants.js';
import { attemptKey, isUndispatched, placementKey, taskKey } from './placements.js';
import { CommandMessage } from './command-message.js';
import type { ShardState } from './shard-state.js';
import type { DirectCommandBatch, MachineState, Placement } from './types.js';

/** Computes the commands for heartbeat answers and for direct calls to workers. */
export class CommandPlanner {
  constructor(private readonly state: ShardState) {}

  /**
   * Returns the commands of the answer to a heartbeat, at most `MAX_COMMANDS_PER_MESSAGE`, the most urgent first. What
   * does not fit is sent with the next answer. If `mayStart` is false, no starts are among them.
   */
  answerHeartbeat(
    machine: MachineState,
    heartbeat: Heartbeat,
    now: number,
    mayStart: boolean,
  ): Command[] {
    const stops: Command[] = [];
    const forgets: Command[] = [];
    // Forgets of completed tasks may wait, since a completed task is never started again.
    const completedForgets: Command[] = [];
    for (const task of heartbeat.tasks) {
      if (task.state !== 'exited') this.#stopUnwanted(machine, task, now, stops);
      else if (this.#mayForget(machine, task)) {
        const { uid, index, attempt, why } = task;
        (why === 'done' ? completedForgets : forgets).push({ op: 'forget', uid, index, attempt });
      }
    }
    const message = new CommandMessage();
    message.addAll(stops);
    if (mayStart) endUnsettledStarts(machine, message);
    message.addAll(forgets);
    if (mayStart) startUnlisted(machine, heartbeat.counter, message);
    const { commands } = message;
    if (this.#shouldSendForgets(machine, completedForgets, commands.length > 0, now)) {
      message.addAll(completedForgets);
    }
    return commands;
  }

  /** Stops a listed task that has no placement in this shard, or whose placement is to be stopped. */
  #stopUnwanted(machine: MachineState, task: ReportedTask, now: number, stops: Command[]): void {
    const { uid, index, attempt } = task;
    const placement = machine.tasks.get(taskKey(uid, index));
    if (placement === undefined || placement.attempt !== attempt) {
      stops.push({ op: 'stop', uid, index, attempt, graceS: 0 });
    } else if (placement.stop !== null) {
      stops.push(stopCommand(placement, remainingGraceS(placement, now)));
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
      if (!hasUnsentCommands(machine, mayStart) || machine.address === null) continue;
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
      placement.machine.hasUnsentStarts = true;
    }
  }
}

/** Whether a direct command to the machine may carry a stop or, if `mayStart` is true, a start now. */
const hasUnsentCommands = (machine: MachineState, mayStart: boolean): boolean =>
  machine.hasUnsentStops || (mayStart && machine.hasUnsentStarts && mayStartDirectly(machine));

const mayStartDirectly = ({ unsettledDirectStarts }: MachineState): boolean =>
  unsettledDirectStarts.size < MAX_UNSETTLED_DIRECT_STARTS;

/** Returns the stops and starts of one machine that no direct command has carried yet, and marks them as sent. */
const directCommandsOf = (
  machine: MachineState,
  now: number,
  mayStart: boolean,
): DirectCommandBatch => {
  const message = new CommandMessage();
  if (machine.hasUnsentStops) addUnsentStops(machine, now, message);
  const starts = mayStart && machine.hasUnsentStarts ? addUnsentStarts(machine, message) : [];
  return { machine, commands: message.commands, starts };
};

const addUnsentStops = (machine: MachineState, now: number, message: CommandMessage): void => {
  for (const placement of machine.tasks.values()) {
    if (message.isFull) return;
    if (placement.stop === null || placement.stop.sentDirectly) continue;
    placement.stop.sentDirectly = true;
    message.addAll([stopCommand(placement, remainingGraceS(placement, now))]);
  }
  machine.hasUnsentStops = false;
};

/** Returns the placements whose starts were added. */
const addUnsentStarts = (machine: MachineState, message: CommandMessage): Placement[] => {
  const starts: Placement[] = [];
  let hasUnstartable = false;
  for (const placement of machine.tasks.values()) {
    if (message.isFull || !mayStartDirectly(machine)) return starts;
    if (!isUndispatched(placement)) continue;
    if (!isStartable(placement)) {
      hasUnstartable = true;
      continue;
    }
    placement.directStartUnsettled = true;
    starts.push(placement);
    machine.unsettledDirectStarts.add(placementKey(placement));
    message.addAll([startCommand(placement)]);
  }
  machine.hasUnsentStarts = hasUnstartable;
  return starts;
};

/** Adds starts for placements that the worker has not listed yet, and marks them as sent with this answer. */
const startUnlisted = (machine: MachineState, counter: number, message: CommandMessage): void => {
  for (const placement of machine.tasks.values()) {
    if (message.isFull) return;
    if (placement.observed || !isStartable(placement)) continue;
    placement.startSentCounter = counter;
    message.addAll([startCommand(placement)]);
  }
};

/**
 * Ends attempts that are to be stopped and whose direct start may still arrive: it must then find the attempt known and
 * ended.
 */
const endUnsettledStarts = (machine: MachineState, message: CommandMessage): void => {
  for (const placement of machine.tasks.values()) {
    const { observed, directStartUnsettled, stop } = placement;
    if (observed || !directStartUnsettled || stop === null) continue;
    message.addTogether([startCommand(placement), stopCommand(placement, 0)]);
  }
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
