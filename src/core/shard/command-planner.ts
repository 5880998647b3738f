/** The commands that make workers do what the state of a shard says. */
import type { Command, Heartbeat, ReportedTask } from '../model.js';
import { FORGET_BATCH_LIMIT, FORGET_DELAY_MAX_MS, STOP_OVERDUE_MARGIN_S } from './constants.js';
import { attemptKey, isUndispatched, placementKey, taskKey } from './placements.js';
import type { ShardState } from './shard-state.js';
import type { DirectCommandBatch, MachineState, Placement } from './types.js';

/** Finds the commands for heartbeat answers and for direct calls to workers. */
export class CommandPlanner {
  constructor(private readonly state: ShardState) {}

  /** The commands of the answer to a heartbeat. Without `mayStart` nothing new begins. */
  answerHeartbeat(
    machine: MachineState,
    heartbeat: Heartbeat,
    now: number,
    mayStart: boolean,
  ): Command[] {
    const commands: Command[] = [];
    /** nothing depends on these soon: a completed task is never started again */
    const completedForgets: Command[] = [];
    for (const task of heartbeat.tasks) {
      if (task.state !== 'exited') this.#stopUnwanted(machine, task, now, commands);
      else if (this.#mayForget(machine, task)) {
        const { uid, index, attempt, why } = task;
        const forgets = why === 'done' ? completedForgets : commands;
        forgets.push({ op: 'forget', uid, index, attempt });
      }
    }
    if (mayStart) this.#startPlaced(machine, heartbeat.counter, commands);
    return this.#forgetsDue(machine, completedForgets, commands.length > 0, now)
      ? [...commands, ...completedForgets]
      : commands;
  }

  /** Stops a listed task that has no placement here, or whose placement is to be stopped. */
  #stopUnwanted(machine: MachineState, task: ReportedTask, now: number, commands: Command[]): void {
    const { uid, index, attempt } = task;
    const placement = machine.tasks.get(taskKey(uid, index));
    if (placement === undefined || placement.attempt !== attempt) {
      commands.push({ op: 'stop', uid, index, attempt, graceS: 0 });
    } else if (placement.stop !== null) {
      commands.push(stopCommand(placement, remainingGraceS(placement, now)));
    }
  }

  /** Whether its worker may drop an ended task from its list. */
  #mayForget(machine: MachineState, task: ReportedTask): boolean {
    // A completion is forgotten by its worker only once it is saved.
    const unsaved =
      task.why === 'done' &&
      this.state.jobs.get(task.uid)?.unsavedCompletions.has(task.index) === true;
    // A direct start that may still arrive must find its attempt known and ended.
    return !unsaved && !machine.unsettledDirectStarts.has(attemptKey(task));
  }

  /** Starts what is placed and not listed yet. */
  #startPlaced(machine: MachineState, counter: number, commands: Command[]): void {
    for (const placement of machine.tasks.values()) {
      if (placement.observed) continue;
      if (isStartable(placement)) {
        placement.startSentCounter = counter;
        commands.push(startCommand(placement));
      } else if (placement.directStartUnsettled && placement.stop !== null) {
        // A direct start that may yet arrive must find its attempt known and ended.
        commands.push(startCommand(placement), stopCommand(placement, 0));
      }
    }
  }

  /**
   * A worker sends a heartbeat whenever its list has changed, so being told to forget costs one of its own: a
   * quarter of all of them at the fleet's size. Told along with other commands it costs none.
   */
  #forgetsDue(
    machine: MachineState,
    forgets: readonly Command[],
    withOthers: boolean,
    now: number,
  ): boolean {
    machine.forgettableSince = forgets.length === 0 ? null : (machine.forgettableSince ?? now);
    if (machine.forgettableSince === null) return false;
    // A machine that is to move has to be empty in its worker's eyes, too.
    const atOnce = withOthers || machine.cordoned || forgets.length >= FORGET_BATCH_LIMIT;
    const due = atOnce || now - machine.forgettableSince >= FORGET_DELAY_MAX_MS;
    if (due) machine.forgettableSince = null;
    return due;
  }

  /** Starts and stops that should not wait for the next heartbeat, of at most `maxMachines` machines. */
  directCommands(now: number, maxMachines: number, mayStart: boolean): DirectCommandBatch[] {
    const batches: DirectCommandBatch[] = [];
    for (const machine of this.state.machines.values()) {
      if (batches.length >= maxMachines) break;
      if (machine.address === null || !this.state.health.isFresh(machine, now)) continue;
      const commands: Command[] = [];
      const starts: Placement[] = [];
      for (const placement of machine.tasks.values()) {
        if (placement.stop !== null && !placement.stop.sentDirectly) {
          placement.stop.sentDirectly = true;
          commands.push(stopCommand(placement, remainingGraceS(placement, now)));
        } else if (mayStart && isUndispatched(placement) && isStartable(placement)) {
          placement.directStartUnsettled = true;
          starts.push(placement);
          machine.unsettledDirectStarts.add(placementKey(placement));
          commands.push(startCommand(placement));
        }
      }
      if (commands.length > 0) batches.push({ machine, commands, starts });
    }
    return batches;
  }

  /** The outcome of direct starts is known: they were carried out, or never will be. */
  settleDirectStarts(starts: readonly Placement[], executed: boolean): void {
    for (const placement of starts) {
      placement.machine.unsettledDirectStarts.delete(placementKey(placement));
      if (!executed) placement.directStartUnsettled = false;
    }
  }
}

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

/** The grace of a requested stop; none once the task should have ended long ago. */
const remainingGraceS = ({ stop }: Placement, now: number): number => {
  if (stop === null) return 0;
  const overdue = now - stop.requestedAt > (stop.graceS + STOP_OVERDUE_MARGIN_S) * 1000;
  return overdue ? 0 : stop.graceS;
};

const isStartable = ({ job, machine, stop }: Placement): boolean =>
  !job.ended &&
  stop === null &&
  !machine.terminating &&
  machine.lifecycle === 'in-service' &&
  !machine.cordoned &&
  machine.preemptionAt === null;
