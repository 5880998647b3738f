/** Reconciles the state of a shard with the task lists that its workers report. */
import type { Heartbeat, JobSpec, ReportedTask } from '../model.js';
import { FailureTracker } from '../reachability/failure-tracker.js';
import { AgentEpoch, knownAgentEpoch } from './agent-epoch.js';
import { LOST_COMMANDS_LIMIT, NO_ROOM_BACKOFF_MS } from './constants.js';
import { InertAttempt } from './inert-attempt.js';
import { machineEvent } from './machine-events.js';
import { attemptKey, placementKey, taskKey } from './placements.js';
import type { ShardState } from './shard-state.js';
import type { JobState, MachineState, Placement } from './types.js';

/** Whether a task list is a heartbeat or the answer to direct commands. */
export type StatusSource = 'heartbeat' | 'command';

/** Applies task lists of workers: tasks that began or ended, lost starts, and tasks unknown to the shard. */
export class HeartbeatReconciler {
  readonly #failures: FailureTracker;

  constructor(private readonly state: ShardState) {
    this.#failures = new FailureTracker(state.machines);
  }

  /**
   * Reconciles one machine with its newest task list. Only a list under a token of this shard's term is complete: a
   * task that is missing from a list under an earlier term may still be started by an earlier owner's command.
   */
  reconcile(
    machine: MachineState,
    heartbeat: Heartbeat,
    now: number,
    source: StatusSource = 'heartbeat',
  ): void {
    const epochEnded = InertAttempt.epochEnded(machine, heartbeat);
    const endedTasks = machine.tasks.size;
    if (epochEnded !== null) this.#endAgentEpoch(machine, now, epochEnded);
    const epoch = currentEpoch(machine, heartbeat, now);
    if (epochEnded !== null) {
      const details = { tasks: endedTasks, learnedBy: source };
      this.state.machineEvents.push(machineEvent('epoch-began', machine, now, details));
    }
    epoch.lastStatusCounter = heartbeat.counter;
    if (source === 'heartbeat') epoch.lastHeartbeatCounter = heartbeat.counter;
    recordStatus(machine, heartbeat, now);
    const complete = heartbeat.fencingToken >= this.state.term;
    if (complete) {
      confirmTerm(machine, epoch, now);
      this.#confirmToken(machine, heartbeat.fencingToken);
    }
    if (source === 'command') recordCommandArrived(machine);
    const listed = this.#reconcileListed(machine, heartbeat.tasks, now, complete);
    if (!complete) return;
    this.#reconcileUnlisted(machine, listed, heartbeat.counter, now, source);
    if (machine.preemptionAt !== null) this.#stopBeforePreemption(machine, now);
  }

  /** Releases all tasks of the machine: its worker's lease expired, so the worker killed them. */
  #endAgentEpoch(machine: MachineState, now: number, evidence: InertAttempt<'epoch-ended'>): void {
    const { leaseMs } = this.state.settings;
    // If the lease expired although this shard answered all heartbeats, the answers do not arrive.
    const { confirmedSince, epoch } = machine;
    const answered = epoch !== null && now - epoch.answeredAt < leaseMs / 2;
    if (answered && confirmedSince !== null && now - confirmedSince > leaseMs) {
      this.#recordLostCommand(machine, now);
    }
    for (const placement of [...machine.tasks.values()]) {
      this.state.release(placement, now, evidence);
    }
    machine.fencing.endAgentEpoch();
  }

  /** Records the highest token that the worker has seen. Starts that it thereby refuses may have to be sent again. */
  #confirmToken(machine: MachineState, token: number): void {
    const hadUnsettledStarts = machine.fencing.hasUnsettledStarts;
    machine.fencing.confirmToken(token);
    if (hadUnsettledStarts) machine.hasUnsentStarts = true;
  }

  /** Reconciles the listed tasks, and returns the keys of their attempts. */
  #reconcileListed(
    machine: MachineState,
    tasks: readonly ReportedTask[],
    now: number,
    complete: boolean,
  ): ReadonlySet<string> {
    const listed = new Set<string>();
    let unknownTaskCount = 0;
    for (const task of tasks) {
      listed.add(attemptKey(task));
      const isKnown = this.#reconcileTask(machine, task, now, complete);
      if (!isKnown) unknownTaskCount += 1;
    }
    this.state.recordUnknownTasks(machine, unknownTaskCount, now);
    return listed;
  }

  /** Reconciles one listed task. Returns false if it is running and has no placement in this shard. */
  #reconcileTask(
    machine: MachineState,
    task: ReportedTask,
    now: number,
    complete: boolean,
  ): boolean {
    const job = this.state.jobs.get(task.uid);
    let placement = machine.tasks.get(taskKey(task.uid, task.index));
    if (placement !== undefined && placement.attempt !== task.attempt) placement = undefined;
    if (task.state === 'exited') {
      this.#reconcileExit(machine, job, placement, task, now);
      return true;
    }
    if (placement === undefined) {
      if (complete) this.#recordIfUnexpected(machine, task);
      if (!complete || job === undefined || !isAdoptable(machine, job, task)) {
        return false;
      }
      placement = this.state.adopt(job, task.index, task.attempt, machine, now);
    } else if (!placement.observed) {
      // The start took effect, so commands arrive.
      recordCommandArrived(machine);
      placement.observed = true;
    }
    const before = placement.state;
    this.state.recordTaskState(placement, task.state);
    if (task.state === 'running' && before !== 'running') {
      placement.runningSince ??= now;
      this.state.recordEvent('running', placement, now);
      recordCachedImage(machine, placement.job.spec);
    } else if (task.state === 'waiting') recordCachedImage(machine, placement.job.spec);
    return true;
  }

  /** Records a running attempt that ended before, when its worker lists it for the first time. */
  #recordIfUnexpected(machine: MachineState, { uid, index, attempt }: ReportedTask): void {
    if (machine.unknownTasksSince !== null || !this.state.isOwnAttempt(attempt)) return;
    const { fencing, record } = machine;
    this.state.unexpectedAttempts.push({
      uid,
      index,
      attempt,
      machine: record.name,
      agentEpoch: knownAgentEpoch(machine),
      fencingToken: fencing.token,
    });
  }

  /** Handles placements that are missing from a complete list: they have ended, or their start was lost. */
  #reconcileUnlisted(
    machine: MachineState,
    listed: ReadonlySet<string>,
    counter: number,
    now: number,
    source: StatusSource,
  ): void {
    for (const placement of [...machine.tasks.values()]) {
      if (listed.has(placementKey(placement))) continue;
      if (placement.observed) {
        const evidence = InertAttempt.unlisted(placement);
        if (evidence === null) machine.fencing.requestHigherToken();
        else this.state.release(placement, now, evidence);
        continue;
      }
      if (source === 'heartbeat' && hasLostStart(placement, counter)) {
        placement.startSentCounter = null;
        machine.hasUnsentStarts = true;
        this.#recordLostCommand(machine, now);
      }
      const unwanted = placement.stop !== null || placement.job.ended;
      if (unwanted) this.state.releaseIfNotSent(placement, now);
    }
  }

  /** Counts a lost command. Only `LOST_COMMANDS_LIMIT` in a row show that commands do not arrive. */
  #recordLostCommand(machine: MachineState, now: number): void {
    machine.consecutiveLostCommands += 1;
    if (machine.consecutiveLostCommands < LOST_COMMANDS_LIMIT) return;
    machine.commandsLostSince ??= now;
    // Nothing more is started on this machine, so tasks whose start was never sent are placed elsewhere.
    for (const placement of [...machine.tasks.values()]) {
      this.state.releaseIfNotSent(placement, now);
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
    const evidence = InertAttempt.listed(task);
    if (placement === undefined || evidence === null) return;
    if (job !== undefined) this.#recordFailure(machine, job, task, now);
    if (task.why === 'no_room') machine.backoffUntil = now + NO_ROOM_BACKOFF_MS;
    this.state.release(placement, now, evidence, task.saved ? 'saved' : (task.why ?? 'gone'));
  }

  #recordCompletion(
    machine: MachineState,
    job: JobState,
    placement: Placement | undefined,
    index: number,
    now: number,
  ): void {
    const newlyCompleted = newlyCompletedTasks(job, index);
    // Completed tasks stay in the list for a while. If each listing counted as a success, a machine that fails all of
    // its tasks would look healthy.
    if (newlyCompleted.length === 0 && placement === undefined) return;
    for (const task of newlyCompleted) {
      job.unsavedCompletions.add(task);
      job.waitingTasks.delete(task);
    }
    this.#failures.recordTaskSuccess(machine, job);
    if (placement !== undefined && placement.runningSince !== null) {
      const runS = (now - placement.runningSince) / 1000;
      this.state.finishedRuns.push({ jobClass: job.spec.jobClass, runS });
    }
  }

  #recordFailure(machine: MachineState, job: JobState, { why }: ReportedTask, now: number): void {
    if (why === 'error') this.#failures.recordTaskFailure(machine, job, now);
    // A replica that ends by itself is started again, with a growing backoff if that happens soon after each start.
    if (why === 'done' && job.spec.kind === 'service') this.#failures.countFailure(job, now);
    if (why === 'unknown') this.#failures.startBackoff(job, now);
  }

  /** Stops replicas, and tasks that can save their progress, in time before the cloud takes the machine back. */
  #stopBeforePreemption(machine: MachineState, now: number): void {
    for (const placement of machine.tasks.values()) {
      const { checkpointS, saveS, kind } = placement.job.spec;
      // A replica has no progress to lose, and the sooner it is stopped, the sooner it runs on another machine.
      if (placement.stop === null && kind === 'service') {
        this.state.requestStop(placement, 0, now);
      } else if (placement.stop === null && checkpointS > 0) {
        this.state.requestStop(placement, saveS + 1, now);
      }
      this.state.releaseIfNotSent(placement, now);
    }
  }
}

/** Returns the tasks that are shown to be completed by the completion of one task and were not known to be. */
const newlyCompletedTasks = (job: JobState, index: number): number[] => {
  const isNew = (task: number) =>
    !job.savedCompletions.has(task) && !job.unsavedCompletions.has(task);
  if (job.spec.kind !== 'gang') return isNew(index) ? [index] : [];
  // All tasks of a gang complete together, and each of their workers lists that.
  const completedCount = job.savedCompletions.size + job.unsavedCompletions.size;
  return completedCount === job.ownTasks.size ? [] : [...job.ownTasks].filter(isNew);
};

const countEnded = (tasks: readonly ReportedTask[]): number => {
  let count = 0;
  for (const { state } of tasks) if (state === 'exited') count += 1;
  return count;
};

/** Returns the epoch of a task list that is not outdated, which is a new one if its number is. */
const currentEpoch = (
  machine: MachineState,
  { agentEpoch }: Heartbeat,
  now: number,
): AgentEpoch => {
  if (machine.epoch?.number !== agentEpoch) machine.epoch = new AgentEpoch(agentEpoch, now);
  return machine.epoch;
};

/** Records the time and the sender's address of a task list, and a preemption notice in it. */
const recordStatus = (machine: MachineState, heartbeat: Heartbeat, now: number): void => {
  machine.address = heartbeat.address;
  machine.reportedTaskCount = heartbeat.tasks.length;
  machine.endedTaskCount = countEnded(heartbeat.tasks);
  machine.lastStatusAt = now;
  const { preemptionNoticeS } = heartbeat;
  if (preemptionNoticeS === null) machine.preemptionAt = null;
  else machine.preemptionAt ??= now + preemptionNoticeS * 1000;
};

/** Records that the worker has confirmed this shard's term. */
const confirmTerm = (machine: MachineState, epoch: AgentEpoch, now: number): void => {
  if (machine.confirmedSince === null) {
    // Earlier owners can have renewed the worker's lease only before it saw this shard's fencing token.
    epoch.extendLease(now);
    machine.confirmedSince = now;
  }
  machine.hasConfirmedTerm = true;
};

/** Records that the machine has received a command. */
const recordCommandArrived = (machine: MachineState): void => {
  machine.consecutiveLostCommands = 0;
  machine.commandsLostSince = null;
};

/** Whether a task that the worker lists belongs to the job, is not completed, and has no placement yet. */
const isAdoptable = (machine: MachineState, job: JobState, { uid, index }: ReportedTask): boolean =>
  !job.ended &&
  job.ownTasks.has(index) &&
  !job.placements.has(index) &&
  !job.savedCompletions.has(index) &&
  !job.unsavedCompletions.has(index) &&
  !machine.tasks.has(taskKey(uid, index));

/** Whether the task can complete. A service never does: its replicas run until the job is cancelled. */
const isCompletable = (job: JobState, index: number): boolean =>
  job.spec.kind !== 'service' && !job.ended && job.ownTasks.has(index);

/**
 * Whether the start of a placement that is missing from the heartbeat with this `counter` was lost, so that it may be
 * sent again. Only one heartbeat of a worker is in flight at a time, so a later heartbeat than the one whose answer
 * carried the start was sent after that answer had arrived or had been given up.
 */
const hasLostStart = ({ startSentCounter }: Placement, counter: number): boolean =>
  startSentCounter !== null && counter > startSentCounter;

/** Marks the image as the last used one of the machine's cache, and drops the least recently used beyond its size. */
const recordCachedImage = (machine: MachineState, spec: JobSpec): void => {
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
