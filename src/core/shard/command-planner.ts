/** Computes the commands that bring workers in line with the state of a shard. */
import type { Command, Heartbeat, ReportedTask } from '../model.js';
import { MAX_DIRECT_COMMANDS_PER_ROUND, STOP_OVERDUE_MARGIN_S } from './constants.js';
import { CommandMessage } from './command-message.js';
import { machineEvent } from './machine-events.js';
import { isUndispatched, placementKey, taskKey } from './placements.js';
import type { ShardState } from './shard-state.js';
import type { DirectStart } from './start-fencing.js';
import { fence, forgetCandidates, isForgetOfCompletedDue } from './task-forgetting.js';
import type { DirectCommandBatch, MachineState, Placement } from './types.js';

/** Computes the commands for heartbeat answers and for direct calls to workers. */
export class CommandPlanner {
  constructor(private readonly state: ShardState) {}

  /**
   * Returns the commands of the answer to a heartbeat, at most `MAX_COMMANDS_PER_MESSAGE`, the most urgent first. What
   * does not fit is sent with the next answer. If `mayStart` is false, no starts are among them. May raise the machine's
   * fencing token, which the caller reads afterwards: the commands are safe only in an answer under that token.
   */
  answerHeartbeat(
    machine: MachineState,
    heartbeat: Heartbeat,
    now: number,
    mayStart: boolean,
  ): Command[] {
    const message = new CommandMessage();
    this.#addStops(machine, heartbeat, now, message);
    if (mayStart) endUnsettledStarts(machine, message);
    const { ended, completed } = forgetCandidates(this.state, heartbeat);
    message.addForgets(fence(machine, ended, now));
    if (mayStart) startUnlisted(machine, heartbeat.counter, message);
    if (isForgetOfCompletedDue(machine, completed.length, message, now)) {
      message.addForgets(fence(machine, completed, now));
    }
    if (machine.fencing.needsHigherToken) machine.fencing.raiseToken(now);
    return message.commands;
  }

  #addStops(
    machine: MachineState,
    heartbeat: Heartbeat,
    now: number,
    message: CommandMessage,
  ): void {
    const stops: StopCommand[] = [];
    for (const task of heartbeat.tasks) {
      if (task.state !== 'exited') this.#stopUnwanted(machine, task, now, stops);
    }
    message.addAll(stops);
  }

  /** Stops a listed task that has no placement in this shard, or whose placement is to be stopped. */
  #stopUnwanted(
    machine: MachineState,
    task: ReportedTask,
    now: number,
    stops: StopCommand[],
  ): void {
    const { uid, index, attempt } = task;
    const placement = machine.tasks.get(taskKey(uid, index));
    if (placement === undefined || placement.attempt !== attempt) {
      stops.push({ op: 'stop', uid, index, attempt, graceS: 0 });
    } else if (placement.stop !== null) {
      stops.push(stopCommand(placement, remainingGraceS(placement, now)));
    }
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
      if (batch.starts.length > 0) this.#recordSilentStart(machine, batch.starts.length, now);
      commandCount += batch.commands.length;
    }
    return batches;
  }

  /** Records starts on a machine whose heartbeats are overdue, once for each agent epoch. */
  #recordSilentStart(machine: MachineState, tasks: number, now: number): void {
    const { epoch } = machine;
    if (epoch === null || epoch.hadSilentStart) return;
    if (!this.state.health.heartbeatsOverdue(machine, now)) return;
    epoch.hadSilentStart = true;
    this.state.machineEvents.push(machineEvent('silent-start', machine, now, { tasks }));
  }

  /** Records that direct starts to a machine were executed, or that they never will be. */
  settleDirectStarts(
    machine: MachineState,
    starts: readonly DirectStart[],
    executed: boolean,
  ): void {
    for (const start of starts) machine.fencing.settle(start, executed);
    if (!executed && starts.length > 0) machine.hasUnsentStarts = true;
  }
}

type StopCommand = Extract<Command, { op: 'stop' }>;
type StartCommand = Extract<Command, { op: 'start' }>;

/** Whether a direct command to the machine may carry a stop or, if `mayStart` is true, a start now. */
const hasUnsentCommands = (machine: MachineState, mayStart: boolean): boolean =>
  machine.hasUnsentStops ||
  (mayStart && machine.hasUnsentStarts && machine.fencing.mayStartDirectly);

/** Returns the stops and starts of one machine that no direct command has carried yet, and marks them as sent. */
const directCommandsOf = (
  machine: MachineState,
  now: number,
  mayStart: boolean,
): DirectCommandBatch => {
  const message = new CommandMessage();
  if (machine.hasUnsentStops) addUnsentStops(machine, now, message);
  const starts = mayStart && machine.hasUnsentStarts ? addUnsentStarts(machine, now, message) : [];
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

/** Returns the starts that were added. */
const addUnsentStarts = (
  machine: MachineState,
  now: number,
  message: CommandMessage,
): DirectStart[] => {
  const { fencing } = machine;
  const starts: DirectStart[] = [];
  let hasUnstartable = false;
  for (const placement of machine.tasks.values()) {
    if (message.isFull || !fencing.mayStartDirectly) return starts;
    if (!isUndispatched(placement)) continue;
    if (!isStartable(placement)) {
      hasUnstartable = true;
      continue;
    }
    placement.directStart = fencing.recordStart(placementKey(placement), now);
    starts.push(placement.directStart);
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
    const { observed, directStart, stop } = placement;
    if (observed || stop === null) continue;
    if (directStart === null || directStart.state === 'void') continue;
    message.addTogether([startCommand(placement), stopCommand(placement, 0)]);
  }
};

const startCommand = ({ job, index, attempt }: Placement): StartCommand => ({
  op: 'start',
  uid: job.spec.uid,
  index,
  attempt,
});

const stopCommand = ({ job, index, attempt }: Placement, graceS: number): StopCommand => ({
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
