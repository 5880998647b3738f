import { NO_ROOM_BACKOFF_MS, LOST_COMMANDS_LIMIT } from './constants.js';
import { FailureTracker } from '../reachability/failure-tracker.js';
import {
  isUndispatched,
  taskKey,
  type JobState,
  type MachineState,
  type Placement,
} from './types.js';
import { type ShardState } from './shard-state.js';
import type { JobSpec, Heartbeat, ReportedTask } from '../model.js';

/** What workers report, taken into the shard's state. */
export class HeartbeatReconciler {
  readonly #failures: FailureTracker;

  constructor(private readonly state: ShardState) {
    this.#failures = new FailureTracker(state);
  }

  reconcile(m: MachineState, heartbeat: Heartbeat, now: number, direct = false): void {
    if (heartbeat.agentEpoch > m.agentEpoch && m.agentEpoch > 0) {
      // The worker's lease ran out: it killed everything it had. If that happened although we have
      // answered all the time, our answers do not arrive.
      const answered = m.known && now - m.leaseRenewedAt < this.state.settings.leaseMs / 2;
      if (answered && now - m.knownSince > this.state.settings.leaseMs) this.#unheard(m, now);
      for (const p of [...m.tasks.values()]) this.state.release(p, now);
      m.unsettledDirectStarts.clear();
    }
    m.agentEpoch = heartbeat.agentEpoch;
    m.lastStatusCounter = heartbeat.counter;
    m.address = heartbeat.address;
    m.reportedTaskCount = heartbeat.tasks.length;
    m.lastStatusAt = now;
    if (heartbeat.preemptionNoticeS !== null)
      m.preemptionNoticeAt ??= now + heartbeat.preemptionNoticeS * 1000;
    else m.preemptionNoticeAt = null;
    const complete = heartbeat.fencingToken === this.state.term;
    if (complete) {
      // Whoever renewed this worker's lease under a lower term did so before it saw our token.
      if (!m.known) {
        m.leaseRenewedAt = Math.max(m.leaseRenewedAt, now);
        m.knownSince = now;
      }
      m.known = true;
      m.everConfirmed = true;
      m.firstKnownAt ??= now;
    }
    if (direct) this.#heard(m);
    const listed = new Set<string>();
    m.unknownTaskCount = 0;
    for (const t of heartbeat.tasks) {
      listed.add(`${t.uid}/${t.index}@${t.attempt}`);
      this.#reconcileTask(m, t, now, complete);
    }
    m.unknownTasksSince = m.unknownTaskCount === 0 ? null : (m.unknownTasksSince ?? now);
    if (!complete) return;
    for (const p of [...m.tasks.values()]) {
      if (listed.has(`${p.job.spec.uid}/${p.index}@${p.attempt}`)) continue;
      if (p.observed) this.state.release(p, now);
      else if (!direct && p.startSentCounter !== null && heartbeat.counter > p.startSentCounter) {
        // One report is in flight at a time: this one left after the answer with the start was
        // taken or given up, and the task is not here. The start is lost and may be given again.
        p.startSentCounter = null;
        this.#unheard(m, now);
        if (!p.directStartUnsettled && (p.stop !== null || p.job.ended)) this.state.release(p, now);
      }
    }
    if (m.preemptionNoticeAt !== null) this.#saveBeforeNotice(m, now);
  }

  #reconcileTask(m: MachineState, t: ReportedTask, now: number, complete: boolean): void {
    const key = taskKey(t.uid, t.index);
    const job = this.state.jobs.get(t.uid);
    let p = m.tasks.get(key);
    if (p !== undefined && p.attempt !== t.attempt) p = undefined;
    if (t.state === 'exited') {
      this.#reconcileExit(m, job, p, t, now);
      return;
    }
    if (p === undefined) {
      const adoptable =
        complete &&
        job !== undefined &&
        !job.ended &&
        job.ownTasks.has(t.index) &&
        !job.placements.has(t.index) &&
        !job.savedTasks.has(t.index) &&
        !job.unsavedTasks.has(t.index) &&
        !m.tasks.has(key);
      if (!adoptable) {
        m.unknownTaskCount += 1;
        return;
      }
      p = this.state.place(job, t.index, t.attempt, m, now, 'adopted');
      p.observed = true;
    }
    // An order has had its effect: what we say arrives.
    if (!p.observed) this.#heard(m);
    p.observed = true;
    const before = p.state;
    p.state = t.state;
    if (t.state === 'running' && before !== 'running') {
      p.runningSince ??= now;
      this.state.recordEvent('running', p, now);
      this.#noteImage(m, p.job.spec);
    } else if (t.state === 'waiting') this.#noteImage(m, p.job.spec);
  }

  /** One lost answer is nothing; several in a row mean that none arrives. */
  #unheard(m: MachineState, now: number): void {
    m.consecutiveLostCommands += 1;
    if (m.consecutiveLostCommands < LOST_COMMANDS_LIMIT) return;
    m.commandsLostSince ??= now;
    // Nothing more is to be started there; what never left us goes elsewhere.
    for (const p of [...m.tasks.values()]) if (isUndispatched(p)) this.state.release(p, now);
  }

  #heard(m: MachineState): void {
    m.consecutiveLostCommands = 0;
    m.commandsLostSince = null;
  }

  #noteImage(m: MachineState, spec: JobSpec): void {
    m.images.delete(spec.image);
    m.images.set(spec.image, spec.imageGb);
    let total = 0;
    for (const gb of m.images.values()) total += gb;
    for (const [image, gb] of m.images) {
      if (m.type === null || total <= m.type.cacheGb) break;
      m.images.delete(image);
      total -= gb;
    }
  }

  #reconcileExit(
    m: MachineState,
    job: JobState | undefined,
    p: Placement | undefined,
    t: ReportedTask,
    now: number,
  ): void {
    const service = job?.spec.kind === 'service';
    if (
      t.why === 'done' &&
      job !== undefined &&
      !service &&
      !job.ended &&
      job.ownTasks.has(t.index)
    ) {
      const indexes = job.spec.kind === 'gang' ? [...job.ownTasks] : [t.index];
      const news = indexes.filter((i) => !job.savedTasks.has(i) && !job.unsavedTasks.has(i));
      // Completed tasks stay in the list for a while. Taken as news each time, they would make a
      // machine that fails everything look well.
      if (news.length === 0 && p === undefined) return;
      for (const i of news) job.unsavedTasks.add(i);
      // A placed task is not in the queue, and looking through a queue of 100,000 for it is dear.
      if (p === undefined || job.spec.kind === 'gang') {
        job.waitingTasks = job.waitingTasks.filter((i) => !job.unsavedTasks.has(i));
      }
      this.#failures.taskSucceeded(m, job);
      if (p !== undefined && p.runningSince !== null) {
        const runS = (now - p.runningSince) / 1000;
        this.state.finishedRuns.push({ jobClass: job.spec.jobClass, runS });
      }
    }
    if (p === undefined) return;
    if (t.why === 'error' && job !== undefined) this.#failures.taskFailed(m, job, now);
    // A replica that ends by itself starts again; one that does so at once, ever more slowly.
    if (t.why === 'done' && service) this.#failures.countFailure(job!, now);
    if (t.why === 'no_room') m.backoffUntil = now + NO_ROOM_BACKOFF_MS;
    if (t.why === 'unknown' && job !== undefined) this.#failures.pauseJob(job, now);
    this.state.release(p, now, t.saved ? 'saved' : (t.why ?? 'gone'));
  }

  #saveBeforeNotice(m: MachineState, now: number): void {
    for (const p of m.tasks.values()) {
      const { checkpointS, saveS, kind } = p.job.spec;
      // A replica loses nothing by being stopped; the sooner it is gone, the sooner it runs elsewhere.
      if (p.stop === null && kind === 'service') this.state.requestStop(p, 0, now);
      else if (p.stop === null && checkpointS > 0) this.state.requestStop(p, saveS + 1, now);
      if (isUndispatched(p)) this.state.release(p, now);
    }
  }
}
