/** Reconciles the jobs and machines of one shard with the records of the store. */
import { decodeDone } from '../jobs/jobs.js';
import { isDivided, requiresSingleShard } from '../jobs/single-shard.js';
import { TaskQueue } from '../jobs/task-queue.js';
import { TaskSet } from '../jobs/task-set.js';
import {
  PRIORITY_RANK,
  shareOf,
  ZERO_RESOURCES,
  type JobRecord,
  type MachineRecord,
  type TaskRange,
} from '../model.js';
import { constraintKey } from '../placement/constraints.js';
import { dominantResource } from '../placement/pairing.js';
import { ResourceSum } from '../resource-sum.js';
import type { ShardState } from './shard-state.js';
import { StartFencing } from './start-fencing.js';
import type { ChangedRecords, JobState, MachineState, StoredRecords } from './types.js';

/** Adds, updates and removes the jobs and machines of a shard according to the records of the store. */
export class StoreSynchronizer {
  /** uids of jobs with a migration in flight, whose records are applied once its outcome is known */
  readonly #deferredJobs = new Set<string>();

  constructor(private readonly state: ShardState) {}

  /** Whether some job record could not be applied yet, so that `sync` is due even without changed records. */
  get hasDeferredJobs(): boolean {
    return this.#deferredJobs.size > 0;
  }

  /** Applies the records. If `changes` is given, only the records named there. `timeOfDayMs` is the wall-clock time. */
  sync(
    records: StoredRecords,
    now: number,
    timeOfDayMs: number,
    changes: ChangedRecords | null,
  ): void {
    if (changes === null || changes.machines) this.#syncMachines(records, now);
    const { jobs, index } = this.state;
    const uids = new Set(changes?.jobs ?? [...jobs.keys(), ...records.jobs.keys()]);
    for (const uid of this.#deferredJobs) uids.add(uid);
    this.#deferredJobs.clear();
    for (const uid of uids) {
      const record = records.jobs.get(uid)?.value;
      if (record !== undefined) this.#syncJob(record, records, now, timeOfDayMs);
      const job = jobs.get(uid);
      const hasRange = record?.ranges.some((range) => range.shard === index) ?? false;
      if (job !== undefined && !hasRange) this.state.endJob(job, now);
    }
  }

  // --- machines ----------------------------------------------------------------------------------

  #syncMachines(records: StoredRecords, now: number): void {
    const { state } = this;
    for (const { value: record } of records.machines.values()) {
      if (record.shard !== state.index) {
        // The machine may return to this shard when machines are rebalanced.
        state.terminatedMachines.delete(record.name);
        continue;
      }
      const known = state.machines.get(record.name);
      if (known !== undefined) this.#updateRecord(known, record);
      else if (!state.terminatedMachines.has(record.name)) this.#addMachine(record, now);
    }
    for (const machine of [...state.machines.values()]) {
      const record = records.machines.get(machine.record.name)?.value;
      if (record !== undefined && record.shard === state.index) continue;
      // If a record disappears although this shard has not returned the machine, the machine may still run. Its tasks
      // are gone only when the lease that this shard renewed last has expired.
      machine.lifecycle = 'orphaned';
      if (machine.tasks.size === 0) state.removeMachine(machine.record.name, now);
    }
  }

  #updateRecord(machine: MachineState, record: MachineRecord): void {
    if (record.term !== this.state.term) this.state.invalidateRecovered();
    machine.record = record;
  }

  #addMachine(record: MachineRecord, now: number): void {
    const { settings, machines } = this.state;
    this.state.invalidateRecovered();
    const type = settings.types.get(record.type) ?? null;
    machines.set(record.name, {
      record,
      type,
      trackedSince: now,
      address: null,
      epoch: null,
      minimumAgentEpoch: 0,
      lastStatusAt: -Infinity,
      lastHeartbeatAt: -Infinity,
      confirmedSince: null,
      hasConfirmedTerm: false,
      commandsLostSince: null,
      consecutiveLostCommands: 0,
      tasks: new Map(),
      tasksByJob: new Map(),
      hasUnsentStarts: false,
      hasUnsentStops: false,
      usedCapacity: new ResourceSum(),
      free: type ?? ZERO_RESOURCES,
      idleSince: now,
      reservation: null,
      reportedTaskCount: 0,
      endedTaskCount: 0,
      unknownTaskCount: 0,
      unknownTasksSince: null,
      forgettableSince: null,
      fencing: new StartFencing(this.state.tokens),
      images: new Map(settings.imagesOf(record.name)),
      faultStatus: 'healthy',
      failedJobs: new Map(),
      lifecycle: 'in-service',
      terminating: false,
      cordoned: false,
      preemptionAt: null,
      backoffUntil: -Infinity,
    });
  }

  // --- jobs --------------------------------------------------------------------------------------

  #syncJob(record: JobRecord, records: StoredRecords, now: number, timeOfDayMs: number): void {
    const { uid } = record.spec;
    let job = this.state.jobs.get(uid);
    if (job?.isMigrating === true) {
      this.#deferredJobs.add(uid);
      return;
    }
    for (const range of record.ranges) {
      if (range.shard !== this.state.index || job?.ownTasks.has(range.from) === true) continue;
      job ??= this.#addJob(record, now, timeOfDayMs);
      this.#addRange(job, range, records.done(uid, range.from));
    }
    if (job !== undefined) job.isDivided = job.requiresSingleShard && isDivided(record);
  }

  #addJob({ spec, at }: JobRecord, now: number, timeOfDayMs: number): JobState {
    const demandShare = shareOf(spec.demand, this.state.largestCapacity);
    const job: JobState = {
      spec,
      priorityRank: PRIORITY_RANK[spec.priority],
      demandShare,
      dominantResource: dominantResource(demandShare),
      requiresSingleShard: requiresSingleShard(spec, this.state.settings.teams.get(spec.team)),
      constraintKey: constraintKey(spec),
      acceptedAt: at,
      // A job's age counts from its acceptance, also after a change of the shard's owner.
      acceptedAtMonotonic: now - Math.max(0, timeOfDayMs - at),
      waitingTasks: new TaskQueue(),
      ownTasks: new TaskSet(),
      inheritedTasks: new TaskSet(),
      placements: new Map(),
      placementsByZone: new Map(),
      runningTasks: 0,
      savedCompletions: new TaskSet(),
      unsavedCompletions: new Set(),
      ended: false,
      backoffUntil: -Infinity,
      consecutiveFailures: 0,
      lastFailureAt: -Infinity,
      avoidedMachines: new Map(),
      startDeadline: Infinity,
      gangBroken: false,
      gangStopGraceS: null,
      unschedulableSince: null,
      isDivided: false,
      isMigrating: false,
      migratingTasks: [],
      nextMigrationAt: -Infinity,
    };
    this.state.jobs.set(spec.uid, job);
    return job;
  }

  #addRange(job: JobState, range: TaskRange, doneBits: string | undefined): void {
    const done = doneBits === undefined ? new Set<number>() : decodeDone(range, doneBits);
    for (let task = range.from; task < range.to; task++) {
      job.ownTasks.add(task);
      if (range.term !== this.state.term) job.inheritedTasks.add(task);
      // A service never completes, so completions that were saved for it are ignored.
      if (done.has(task) && job.spec.kind !== 'service') job.savedCompletions.add(task);
      else job.waitingTasks.add(task);
    }
  }
}
