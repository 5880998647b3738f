import { CLOCK_DRIFT } from '../../constants.js';
import { ROUNDING } from '../constants.js';
import {
  ATTEMPTS_PER_TERM,
  UNDISPATCHED_START_TIMEOUT_MS,
  MIGRATION_COOLDOWN_MS,
  WORKER_LEASE_MARGIN_MS,
} from './constants.js';
import { constraintKey } from '../placement/constraints.js';
import { tasksNeedingCapacity } from '../reachability/failure-tracker.js';
import { decodeDone } from '../jobs/jobs.js';
import { dominant } from '../placement/pairing.js';
import {
  add,
  largestCapacity,
  PRIORITY_RANK,
  shareOf,
  ZERO,
  type JobRecord,
  type MachineRecord,
  type Resources,
  type TaskRange,
} from '../model.js';
import { TaskSet } from '../jobs/task-set.js';
import { MachineHealth } from '../reachability/machine-health.js';
import {
  isUndispatched,
  taskKey,
  type Placement,
  type JobState,
  type MachineState,
  type ShardSettings,
  type Changes,
  type ShardView,
  type TaskEvent,
  type FinishedRun,
  type WorkCounters,
} from './types.js';

/**
 * What one shard knows under one term: its jobs, its machines, and which task is where. The other
 * modules of a shard read and change it; nothing here decides where something should run.
 */
export class ShardState {
  readonly jobs = new Map<string, JobState>();
  readonly machines = new Map<string, MachineState>();
  /** what happened to tasks, for the log */
  events: TaskEvent[] = [];
  /** run times of finished tasks, for whoever learns from them */
  finishedRuns: FinishedRun[] = [];
  /** returned machines whose record is not dropped yet */
  readonly terminatedMachines = new Set<string>();
  /** jobs whose change could not be taken in yet */
  readonly unsynced = new Set<string>();
  readonly health: MachineHealth;
  readonly work: WorkCounters = { machinesVisited: 0, jobsCompared: 0 };
  largest: Resources;
  attempts = 0;
  /** remembered, since it is asked for every waiting job: only another machine's record can undo it */
  #recovered = false;

  constructor(
    readonly index: number,
    readonly term: number,
    readonly settings: ShardSettings,
  ) {
    this.health = new MachineHealth(term, settings);
    this.largest = largestCapacity(settings.types.values());
  }

  // --- wanted state in ---------------------------------------------------------------------------

  /**
   * Takes over what the state service says: jobs and machines come and go. With `changes` only what
   * has changed since the last time is looked at.
   */
  sync(view: ShardView, now: number, nowOfDay = 0, changes: Changes | null = null): void {
    if (changes === null || changes.machines) this.#syncMachines(view, now);
    const uids = new Set(changes?.jobs ?? [...this.jobs.keys(), ...view.jobs.keys()]);
    for (const uid of this.unsynced) uids.add(uid);
    this.unsynced.clear();
    for (const uid of uids) {
      const record = view.jobs.get(uid)?.value;
      if (record !== undefined) this.#syncJob(record, view, now, nowOfDay);
      const job = this.jobs.get(uid);
      if (job === undefined || (record?.ranges.some((r) => r.shard === this.index) ?? false))
        continue;
      this.#endJob(job, now);
    }
  }

  #syncMachines(view: ShardView, now: number): void {
    for (const { value: record } of view.machines.values()) {
      if (record.shard !== this.index) {
        // It may come back, if shares are moved to and fro.
        this.terminatedMachines.delete(record.name);
        continue;
      }
      const known = this.machines.get(record.name);
      if (known !== undefined) this.#updateRecord(known, record);
      else if (!this.terminatedMachines.has(record.name)) this.#addMachine(record, now);
    }
    for (const m of [...this.machines.values()]) {
      const record = view.machines.get(m.record.name)?.value;
      if (record !== undefined && record.shard === this.index) continue;
      // A record that goes without a return of ours says nothing of the machine: what runs there is
      // gone only when the lease that we renewed last has run out.
      m.draining = true;
      m.orphaned = true;
      if (m.tasks.size === 0) this.removeMachine(m.record.name, now);
    }
  }

  #updateRecord(m: MachineState, record: MachineRecord): void {
    if (record.term !== this.term) this.#recovered = false;
    m.record = record;
  }

  #addMachine(record: MachineRecord, now: number): void {
    this.#recovered = false;
    const type = this.settings.types.get(record.type) ?? null;
    this.machines.set(record.name, {
      record,
      type,
      trackedSince: now,
      address: null,
      agentEpoch: 0,
      lastStatusCounter: -1,
      lastHeartbeatCounter: -1,
      commandsLostSince: null,
      consecutiveLostCommands: 0,
      minimumAgentEpoch: 0,
      lastStatusAt: -Infinity,
      lastHeartbeatAt: -Infinity,
      leaseRenewedAt: -Infinity,
      known: false,
      knownSince: now,
      everConfirmed: false,
      firstKnownAt: null,
      preemptionNoticeAt: null,
      tasks: new Map(),
      unknownTaskCount: 0,
      unknownTasksSince: null,
      forgettableSince: null,
      unsettledDirectStarts: new Set(),
      images: new Map(this.settings.imagesOf(record.name)),
      failedJobs: new Map(),
      onProbation: false,
      quarantined: false,
      draining: false,
      orphaned: false,
      terminating: false,
      cordoned: false,
      reportedTaskCount: 0,
      backoffUntil: -Infinity,
      reservation: null,
      idleSince: now,
      free: type ?? ZERO,
    });
  }

  #syncJob(record: JobRecord, view: ShardView, now: number, nowOfDay: number): void {
    const spec = record.spec;
    let job = this.jobs.get(spec.uid);
    if (job !== undefined && job.migratingTasks.length > 0) {
      this.unsynced.add(spec.uid);
      return;
    }
    for (const range of record.ranges) {
      if (range.shard !== this.index || (job !== undefined && job.ownTasks.has(range.from)))
        continue;
      job ??= {
        spec,
        priorityRank: PRIORITY_RANK[spec.priority],
        demandShare: shareOf(spec.demand, this.largest),
        dominantResource: dominant(shareOf(spec.demand, this.largest)),
        constraintKey: constraintKey(spec),
        acceptedAt: record.at,
        // A new owner counts a job's age on, rather than anew.
        acceptedAtSteady: now - Math.max(0, nowOfDay - record.at),
        waitingTasks: [],
        ownTasks: new TaskSet(),
        inheritedTasks: new TaskSet(),
        placements: new Map(),
        savedTasks: new TaskSet(),
        unsavedTasks: new Set(),
        ended: false,
        pausedUntil: -Infinity,
        consecutiveFailures: 0,
        lastFailureAt: -Infinity,
        avoidedMachines: new Map(),
        startDeadline: Infinity,
        gangBroken: false,
        unschedulableSince: null,
        migratingTasks: [],
        nextMigrationAt: -Infinity,
      };
      this.jobs.set(spec.uid, job);
      const bits = view.done(spec.uid, range.from);
      const done = bits === undefined ? new Set<number>() : decodeDone(range, bits);
      for (let i = range.from; i < range.to; i++) {
        job.ownTasks.add(i);
        if (range.term !== this.term) job.inheritedTasks.add(i);
        // A service is never done, whatever somebody may have saved of it.
        if (done.has(i) && spec.kind !== 'service') job.savedTasks.add(i);
        else job.waitingTasks.push(i);
      }
    }
  }

  /**
   * Tasks at the end of a range that may pass to another shard: all of a job that stays whole, else as
   * many as have never been placed since the range's last placed task. Nothing of it may be running,
   * so an inherited range must be rebuilt first.
   */
  migratable(job: JobState, record: JobRecord): { range: TaskRange; from: number } | null {
    if (job.ended || job.migratingTasks.length > 0) return null;
    if (job.inheritedTasks.size > 0 && !this.recovered) return null;
    const waiting = new Set(job.waitingTasks);
    const whole = job.spec.kind === 'gang' || job.spec.oneZone || job.spec.spread;
    if (whole && (job.placements.size > 0 || job.savedTasks.size + job.unsavedTasks.size > 0))
      return null;
    for (const range of record.ranges) {
      if (range.shard !== this.index) continue;
      let from = range.to;
      while (from > range.from && waiting.has(from - 1)) from -= 1;
      if (from < range.to && !(whole && from > range.from)) return { range, from };
    }
    return null;
  }

  /** The tasks leave the queue before the transaction that passes them is sent. */
  beginMigration(job: JobState, from: number, to: number): void {
    job.migratingTasks = job.waitingTasks.filter((i) => i >= from && i < to);
    job.waitingTasks = job.waitingTasks.filter((i) => i < from || i >= to);
  }

  /** Settled: they belong to the other shard now, or are ours as before. */
  endMigration(job: JobState, passed: boolean, now: number): void {
    const tasks = job.migratingTasks;
    job.migratingTasks = [];
    job.nextMigrationAt = now + MIGRATION_COOLDOWN_MS;
    job.unschedulableSince = null;
    if (!passed) {
      if (!job.ended) job.waitingTasks = [...job.waitingTasks, ...tasks].sort((a, b) => a - b);
      return;
    }
    for (const i of tasks) {
      job.ownTasks.delete(i);
      job.inheritedTasks.delete(i);
    }
  }

  #endJob(job: JobState, now: number): void {
    job.ended = true;
    job.waitingTasks = [];
    job.unsavedTasks.clear();
    for (const p of [...job.placements.values()]) this.requestStop(p, 0, now);
    if (job.placements.size === 0) this.jobs.delete(job.spec.uid);
  }

  /** A transaction has saved these completions. */
  completionsSaved(uid: string, indexes: Iterable<number>): void {
    const job = this.jobs.get(uid);
    if (job === undefined) return;
    for (const i of indexes) {
      job.unsavedTasks.delete(i);
      job.savedTasks.add(i);
    }
  }

  recordEvent(what: TaskEvent['type'], p: Placement, now: number, detail?: string): void {
    this.events.push({
      type: what,
      uid: p.job.spec.uid,
      index: p.index,
      machine: p.machine.record.name,
      attempt: p.attempt,
      afterS: Math.round((now - p.job.acceptedAtSteady) / 100) / 10,
      ...(detail === undefined ? {} : { detail }),
    });
  }

  // --- what can still be running -----------------------------------------------------------------

  /** Machines that report, but whose record does not say so yet: nothing may start there. */
  newlyReadyMachines(): MachineState[] {
    return [...this.machines.values()].filter((m) => m.known && !m.record.up && !m.terminating);
  }

  /** True once every machine that an earlier owner could have used has answered us or is gone. */
  get recovered(): boolean {
    this.#recovered ||= this.#everyInheritedMachineHeard();
    return this.#recovered;
  }

  #everyInheritedMachineHeard(): boolean {
    for (const m of this.machines.values()) {
      if (this.health.mayHoldInheritedTasks(m) && !m.everConfirmed) return false;
    }
    return true;
  }

  /** Machines that should report, and none of them has for the time; answers to commands do not count. */
  allHeartbeatsLost(now: number, forMs: number): boolean {
    let expected = 0;
    for (const m of this.machines.values()) {
      if (m.terminating || !m.record.up) continue;
      if (now - Math.max(m.lastHeartbeatAt, m.trackedSince) < forMs) return false;
      expected += 1;
    }
    return expected > 0;
  }

  /** An answered return, or a taken-over record: nothing of ours is on that machine any more. */
  removeMachine(name: string, now: number): void {
    const m = this.machines.get(name);
    if (m === undefined) return;
    this.terminatedMachines.add(name);
    for (const p of [...m.tasks.values()]) this.release(p, now);
    this.machines.delete(name);
  }

  release(p: Placement, now: number, why = 'gone'): void {
    const job = p.job;
    // Stopping one task of a gang may release others that were to be stopped next: a task released
    // twice would wait twice, and start on two machines.
    if (job.placements.get(p.index) !== p) return;
    this.recordEvent(p.observed ? 'ended' : 'released', p, now, why);
    p.machine.tasks.delete(taskKey(job.spec.uid, p.index));
    job.placements.delete(p.index);
    this.recount(p.machine, now);
    if (job.ended) {
      if (job.placements.size === 0) this.jobs.delete(job.spec.uid);
      return;
    }
    const done = job.savedTasks.has(p.index) || job.unsavedTasks.has(p.index);
    if (!done) job.waitingTasks.push(p.index);
    if (job.spec.kind === 'gang') {
      if (job.placements.size === 0) {
        job.gangBroken = false;
        job.waitingTasks.sort((a, b) => a - b);
      } else if (!done && !job.gangBroken) {
        job.gangBroken = true;
        for (const other of [...job.placements.values()]) this.requestStop(other, 0, now);
      }
    }
  }

  recount(m: MachineState, now: number): void {
    let free: Resources = m.type ?? ZERO;
    for (const p of m.tasks.values()) free = add(free, p.job.spec.demand, -1);
    m.free = free;
    if (m.tasks.size > 0) m.idleSince = now;
  }

  /**
   * A task of a gang that may save takes all of its gang along: only if all are told at the same
   * time is their progress saved.
   */
  requestStop(p: Placement, graceS: number, now: number): void {
    const gang = p.job.spec.kind === 'gang' && graceS > 0;
    for (const one of gang ? [...p.job.placements.values()] : [p]) this.#stop(one, graceS, now);
  }

  #stop(p: Placement, graceS: number, now: number): void {
    if (isUndispatched(p)) {
      this.release(p, now);
      return;
    }
    if (p.stop !== null && p.stop.graceS <= graceS) return;
    p.stop = { at: now, graceS, sentDirect: false };
    this.recordEvent('stopping', p, now, `grace ${graceS} s`);
  }

  /** Machines to ask by direct command. */
  machinesToProbe(): MachineState[] {
    return [...this.machines.values()].filter((m) => this.health.needsProbe(m));
  }

  // --- time --------------------------------------------------------------------------------------

  /** Leases that ran out, starts that were never sent, holds that nobody used. */
  expireLeases(now: number): void {
    const leaseMs = this.settings.leaseMs * (1 + CLOCK_DRIFT) + WORKER_LEASE_MARGIN_MS;
    for (const m of this.machines.values()) {
      if (m.known && now - m.leaseRenewedAt > leaseMs) {
        // Only our answers renew a lease under our term, and the last is too old: the worker has
        // killed its tasks, whether or not it can be reached.
        m.known = false;
        m.minimumAgentEpoch = m.agentEpoch + 1;
        for (const p of [...m.tasks.values()]) this.release(p, now);
      }
      for (const p of [...m.tasks.values()]) {
        if (isUndispatched(p) && now - p.placedAt > UNDISPATCHED_START_TIMEOUT_MS)
          this.release(p, now);
      }
      if (m.reservation !== null && now > m.reservation.until) m.reservation = null;
      if (m.orphaned && m.tasks.size === 0) this.removeMachine(m.record.name, now);
    }
  }

  /** Tasks of this rank or a higher one that wait for room. */
  waitingTasks(rank: number, now: number): number {
    let count = 0;
    for (const job of this.jobs.values())
      if (job.priorityRank >= rank) count += tasksNeedingCapacity(job, now);
    return count;
  }

  /** Machines on which a job of some rank could displace everything, with the least such rank. */
  preemptibleMachines(now: number): { machine: MachineState; rank: number }[] {
    if (!this.settings.preempt) return [];
    const out: { machine: MachineState; rank: number }[] = [];
    for (const machine of this.machines.values()) {
      if (
        machine.tasks.size === 0 ||
        machine.reservation !== null ||
        !this.health.isSchedulable(machine, now)
      )
        continue;
      let rank = 0;
      for (const p of machine.tasks.values()) rank = Math.max(rank, p.job.priorityRank + 1);
      if (rank <= PRIORITY_RANK.production) out.push({ machine: machine, rank });
    }
    return out;
  }

  /** Tasks of each class, waiting or placed. */
  activeTasksByClass(now: number): { jobClass: string; tasks: number }[] {
    const out = new Map<string, number>();
    for (const job of this.jobs.values()) {
      const { jobClass } = job.spec;
      if (job.ended) continue;
      out.set(
        jobClass,
        (out.get(jobClass) ?? 0) + tasksNeedingCapacity(job, now) + job.placements.size,
      );
    }
    return [...out].map(([jobClass, tasks]) => ({ jobClass, tasks }));
  }

  /** Machines that could take a task now, for the routing of other nodes. */
  machinesWithFreeCapacity(now: number): MachineState[] {
    // Every task takes some CPU and memory, so a machine without either has no room.
    const room = (m: MachineState) => m.free.cpus > ROUNDING && m.free.memoryGb > ROUNDING;
    return [...this.machines.values()].filter(
      (m) => room(m) && this.health.isSchedulable(m, now) && m.reservation === null,
    );
  }

  // --- placements --------------------------------------------------------------------------------

  nextAttempt(): number {
    this.attempts += 1;
    return this.term * ATTEMPTS_PER_TERM + this.attempts;
  }

  place(
    job: JobState,
    index: number,
    attempt: number,
    m: MachineState,
    now: number,
    what: 'placed' | 'adopted' = 'placed',
  ): Placement {
    const p: Placement = {
      job,
      index,
      attempt,
      machine: m,
      state: 'ordered',
      placedAt: now,
      startSentCounter: null,
      observed: false,
      directStartUnsettled: false,
      runningSince: null,
      stop: null,
    };
    const at = job.waitingTasks.indexOf(index);
    if (at >= 0) job.waitingTasks.splice(at, 1);
    job.placements.set(index, p);
    m.tasks.set(taskKey(job.spec.uid, index), p);
    if (m.reservation?.uid === job.spec.uid) m.reservation = null;
    this.recount(m, now);
    this.recordEvent(what, p, now, m.images.has(job.spec.image) ? 'image held' : 'image to fetch');
    return p;
  }
}
