/** Reconciles the state of a shard with the task lists of its workers. */
import type { Heartbeat, JobSpec, ReportedTask } from '../model.js';
import { FailureTracker } from '../reachability/failure-tracker.js';
import { LOST_COMMANDS_LIMIT, NO_ROOM_BACKOFF_MS } from './constants.js';
import { attemptKey, isUndispatched, placementKey, taskKey } from './placements.js';
import type { ShardState } from './shard-state.js';
import type { JobState, MachineState, Placement } from './types.js';

/** Whether a task list came by itself or as the answer to direct commands. */
export type StatusSource = 'heartbeat' | 'command';

/** Takes in what workers list: tasks that began, ended, were lost, or are unknown here. */
export class HeartbeatReconciler {
  readonly #failures: FailureTracker;

  constructor(private readonly state: ShardState) {
    this.#failures = new FailureTracker(state.machines);
  }

  /**
   * Reconciles one machine with its newest task list. Only a list under our term is complete: what an earlier
   * one lacks may still be started by an earlier owner's command.
   */
  reconcile(
    machine: MachineState,
    heartbeat: Heartbeat,
    now: number,
    source: StatusSource = 'heartbeat',
  ): void {
    if (heartbeat.agentEpoch > machine.agentEpoch && machine.agentEpoch > 0) {
      this.#endAgentEpoch(machine, now);
    }
    noteContact(machine, heartbeat, now);
    const complete = heartbeat.fencingToken === this.state.term;
    if (complete) confirm(machine, now);
    if (source === 'command') commandArrived(machine);
    const listed = this.#reconcileListed(machine, heartbeat.tasks, now, complete);
    if (!complete) return;
    this.#reconcileUnlisted(machine, listed, heartbeat.counter, now, source);
    if (machine.preemptionAt !== null) this.#saveBeforePreemption(machine, now);
  }

  /** The worker's lease ran out: it killed everything it had. */
  #endAgentEpoch(machine: MachineState, now: number): void {
    const { leaseMs } = this.state.settings;
    // If that happened although we have answered all the time, our answers do not arrive.
    const { confirmedSince } = machine;
    const answered = confirmedSince !== null && now - machine.leaseRenewedAt < leaseMs / 2;
    if (answered && now - confirmedSince > leaseMs) this.#commandLost(machine, now);
    for (const placement of [...machine.tasks.values()]) this.state.release(placement, now);
    machine.unsettledDirectStarts.clear();
  }

  /** Reconciles the listed tasks; returns the keys of their attempts. */
  #reconcileListed(
    machine: MachineState,
    tasks: readonly ReportedTask[],
    now: number,
    complete: boolean,
  ): ReadonlySet<string> {
    const listed = new Set<string>();
    machine.unknownTaskCount = 0;
    for (const task of tasks) {
      listed.add(attemptKey(task));
      this.#reconcileTask(machine, task, now, complete);
    }
    machine.unknownTasksSince =
      machine.unknownTaskCount === 0 ? null : (machine.unknownTasksSince ?? now);
    return listed;
  }

  #reconcileTask(machine: MachineState, task: ReportedTask, now: number, complete: boolean): void {
    const job = this.state.jobs.get(task.uid);
    let placement = machine.tasks.get(taskKey(task.uid, task.index));
    if (placement !== undefined && placement.attempt !== task.attempt) placement = undefined;
    if (task.state === 'exited') {
      this.#reconcileExit(machine, job, placement, task, now);
      return;
    }
    if (placement === undefined) {
      if (!complete || job === undefined || !isAdoptable(machine, job, task)) {
        machine.unknownTaskCount += 1;
        return;
      }
      placement = this.state.adopt(job, task.index, task.attempt, machine, now);
    } else if (!placement.observed) {
      // A start has had its effect: commands arrive.
      commandArrived(machine);
      placement.observed = true;
    }
    const before = placement.state;
    placement.state = task.state;
    if (task.state === 'running' && before !== 'running') {
      placement.runningSince ??= now;
      this.state.recordEvent('running', placement, now);
      noteImage(machine, placement.job.spec);
    } else if (task.state === 'waiting') noteImage(machine, placement.job.spec);
  }

  /** Placements that a complete list lacks have ended, or their start was lost. */
  #reconcileUnlisted(
    machine: MachineState,
    listed: ReadonlySet<string>,
    counter: number,
    now: number,
    source: StatusSource,
  ): void {
    for (const placement of [...machine.tasks.values()]) {
      if (listed.has(placementKey(placement))) continue;
      if (placement.observed) this.state.release(placement, now);
      else if (source === 'heartbeat' && hasLostStart(placement, counter)) {
        placement.startSentCounter = null;
        this.#commandLost(machine, now);
        const unwanted = placement.stop !== null || placement.job.ended;
        if (!placement.directStartUnsettled && unwanted) this.state.release(placement, now);
      }
    }
  }

  /** One lost answer is nothing; several in a row mean that none arrives. */
  #commandLost(machine: MachineState, now: number): void {
    machine.consecutiveLostCommands += 1;
    if (machine.consecutiveLostCommands < LOST_COMMANDS_LIMIT) return;
    machine.commandsLostSince ??= now;
    // Nothing more is to be started there; what never left us goes elsewhere.
    for (const placement of [...machine.tasks.values()]) {
      if (isUndispatched(placement)) this.state.release(placement, now);
    }
  }

  // --- ended tasks -------------------------------------------------------------------------------

  #reconcileExit(
    machine: MachineState,
    job: JobState | undefined,
    placement: Placement | undefined,
    task: ReportedTask,
    now: number,
  ): void {
    if (job !== undefined && task.why === 'done' && isCompletable(job, task.index)) {
      this.#recordCompletion(machine, job, placement, task.index, now);
    }
    if (placement === undefined) return;
    if (job !== undefined) this.#recordFailure(machine, job, task, now);
    if (task.why === 'no_room') machine.backoffUntil = now + NO_ROOM_BACKOFF_MS;
    this.state.release(placement, now, task.saved ? 'saved' : (task.why ?? 'gone'));
  }

  #recordCompletion(
    machine: MachineState,
    job: JobState,
    placement: Placement | undefined,
    index: number,
    now: number,
  ): void {
    const completed = job.spec.kind === 'gang' ? [...job.ownTasks] : [index];
    const newlyCompleted = completed.filter(
      (task) => !job.savedCompletions.has(task) && !job.unsavedCompletions.has(task),
    );
    // Completed tasks stay in the list for a while. Counted as a success each time, they would make a
    // machine that fails everything look healthy.
    if (newlyCompleted.length === 0 && placement === undefined) return;
    for (const task of newlyCompleted) job.unsavedCompletions.add(task);
    // A placed task is not in the queue, and looking through a queue of 100,000 for it is expensive.
    if (placement === undefined || job.spec.kind === 'gang') {
      job.waitingTasks = job.waitingTasks.filter((task) => !job.unsavedCompletions.has(task));
    }
    this.#failures.recordTaskSuccess(machine, job);
    if (placement !== undefined && placement.runningSince !== null) {
      const runS = (now - placement.runningSince) / 1000;
      this.state.finishedRuns.push({ jobClass: job.spec.jobClass, runS });
    }
  }

  #recordFailure(machine: MachineState, job: JobState, { why }: ReportedTask, now: number): void {
    if (why === 'error') this.#failures.recordTaskFailure(machine, job, now);
    // A replica that ends by itself starts again; one that does so at once, ever more slowly.
    if (why === 'done' && job.spec.kind === 'service') this.#failures.countFailure(job, now);
    if (why === 'unknown') this.#failures.startBackoff(job, now);
  }

  #saveBeforePreemption(machine: MachineState, now: number): void {
    for (const placement of machine.tasks.values()) {
      const { checkpointS, saveS, kind } = placement.job.spec;
      // A replica loses nothing by being stopped; the sooner it is gone, the sooner it runs elsewhere.
      if (placement.stop === null && kind === 'service') {
        this.state.requestStop(placement, 0, now);
      } else if (placement.stop === null && checkpointS > 0) {
        this.state.requestStop(placement, saveS + 1, now);
      }
      if (isUndispatched(placement)) this.state.release(placement, now);
    }
  }
}

const noteContact = (machine: MachineState, heartbeat: Heartbeat, now: number): void => {
  machine.agentEpoch = heartbeat.agentEpoch;
  machine.lastStatusCounter = heartbeat.counter;
  machine.address = heartbeat.address;
  machine.reportedTaskCount = heartbeat.tasks.length;
  machine.lastStatusAt = now;
  const { preemptionNoticeS } = heartbeat;
  if (preemptionNoticeS === null) machine.preemptionAt = null;
  else machine.preemptionAt ??= now + preemptionNoticeS * 1000;
};

/** The worker has acknowledged our term. */
const confirm = (machine: MachineState, now: number): void => {
  if (machine.confirmedSince === null) {
    // Whoever renewed this worker's lease under a lower term did so before it saw our token.
    machine.leaseRenewedAt = Math.max(machine.leaseRenewedAt, now);
    machine.confirmedSince = now;
  }
  machine.everConfirmed = true;
};

const commandArrived = (machine: MachineState): void => {
  machine.consecutiveLostCommands = 0;
  machine.commandsLostSince = null;
};

/** The job has the task, and it neither runs elsewhere nor is completed. */
const isAdoptable = (machine: MachineState, job: JobState, { uid, index }: ReportedTask): boolean =>
  !job.ended &&
  job.ownTasks.has(index) &&
  !job.placements.has(index) &&
  !job.savedCompletions.has(index) &&
  !job.unsavedCompletions.has(index) &&
  !machine.tasks.has(taskKey(uid, index));

/** A service is never completed: its replicas run until it is cancelled. */
const isCompletable = (job: JobState, index: number): boolean =>
  job.spec.kind !== 'service' && !job.ended && job.ownTasks.has(index);

/**
 * One heartbeat is in flight at a time: this one left after the answer with the start was taken or given up,
 * and the task is not there. The start is lost and may be sent again.
 */
const hasLostStart = ({ startSentCounter }: Placement, counter: number): boolean =>
  startSentCounter !== null && counter > startSentCounter;

const noteImage = (machine: MachineState, spec: JobSpec): void => {
  const { images, type } = machine;
  images.delete(spec.image);
  images.set(spec.image, spec.imageGb);
  let totalGb = 0;
  for (const gb of images.values()) totalGb += gb;
  for (const [image, gb] of images) {
    if (type === null || totalGb <= type.cacheGb) break;
    images.delete(image);
    totalGb -= gb;
  }
};
