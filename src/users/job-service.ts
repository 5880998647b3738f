/** Accepts and cancels jobs: both are idempotent, and each is one compare-and-swap. */
import {
  MAX_ACCEPTANCE_ATTEMPTS,
  MAX_CANCELLATION_ATTEMPTS,
  LOAD_PER_RANGE,
  DEFERRED_SUBMISSION_TTL_MS,
  MAX_SUBMISSION_WAIT_MS,
  MAX_TYPE_LIST_BYTES,
} from './constants.js';
import { MAX_NAME_LENGTH } from '../wire/constants.js';
import { admit } from '../core/jobs/admission.js';
import {
  chooseShard,
  splitIntoRanges,
  shardOfTeam,
  maxRangeTasks,
  requiresSingleShard,
  hasLimit,
  hasGuarantee,
  type ShardLoad,
} from '../core/jobs/jobs.js';
import type { JobRecord, JobSpec, MachineType, TaskRange, Team } from '../core/model.js';
import { CALL_PRIORITY } from '../store/call-priority.js';
import { StoreRequestError } from '../store/errors.js';
import type { StoreClient } from '../store/store-client.js';
import { encodeJob } from '../store/codecs/job.js';
import { encodeFinalState, type FinalState } from '../store/codecs/final-state.js';
import { storeKey } from '../store/keys.js';
import type { WatchCache } from '../store/watch-cache.js';
import type { Guard, Write } from '@sumacstep/leader-election';
import { finalReading, type JobReader, type JobReading } from './job-reader.js';

/** What has become of a submission. */
export type SubmissionResult =
  | { readonly kind: 'accepted'; readonly reading: JobReading }
  /** a repeat of a job that was accepted before */
  | { readonly kind: 'duplicate'; readonly reading: JobReading }
  /** it can never run */
  | { readonly kind: 'rejected'; readonly reason: string }
  /** nothing was decided: to be repeated */
  | { readonly kind: 'unavailable'; readonly reason: string; readonly waitMs?: number };

/** What routing needs to know of the shards. */
export interface ShardRouting {
  types(): ReadonlyMap<string, MachineType> | null;
  loads(spec: JobSpec): readonly ShardLoad[];
  termOf(shard: number): number | null;
  random(below: number): number;
}

/** Settings that decide what is accepted, and where it goes. */
export interface JobServiceSettings {
  readonly teams: ReadonlyMap<string, Team>;
  /** number of shards */
  readonly shardCount: number;
  /** limit of a stored value */
  readonly maxValueBytes: number;
  /** allocation ratio below which a shard may be chosen at random */
  readonly loadThreshold: number;
}

/** What the job service needs of the rest of the node. */
export interface JobServiceDependencies {
  readonly client: Pick<StoreClient, 'compareAndSwap' | 'expectedWaitMs'>;
  readonly cache: WatchCache;
  readonly reader: JobReader;
  readonly routing: ShardRouting;
  /** guard of acceptances against garbage collection of final states; null while it is off */
  readonly acceptanceGuard: () => Guard | null;
  /** monotonic clock, ms */
  readonly now: () => number;
}

/** Accepts and cancels jobs. */
export class JobService {
  readonly #deferred = new Map<string, { spec: JobSpec; at: number }>();
  /** acceptances under way, by job: a repeat waits for the first one instead of costing a write */
  readonly #acceptancesInFlight = new Map<string, Promise<SubmissionResult>>();

  constructor(
    private readonly dependencies: JobServiceDependencies,
    private readonly settings: JobServiceSettings,
  ) {}

  /**
   * Jobs whose users were lately told to retry because writes were queued. Capacity for them can be planned
   * already; older ones have been accepted by another node since.
   */
  deferredJobs(): JobSpec[] {
    const since = this.dependencies.now() - DEFERRED_SUBMISSION_TTL_MS;
    const out: JobSpec[] = [];
    for (const [uid, { spec, at }] of this.#deferred) {
      if (at < since || this.dependencies.cache.tables.activeJobs.has(uid))
        this.#deferred.delete(uid);
      else out.push(spec);
    }
    return out;
  }

  /** Accepts a job, or finds that it was accepted before. `acceptedAt` is the time of day, ms. */
  async submit(spec: JobSpec, acceptedAt: number): Promise<SubmissionResult> {
    const final = this.dependencies.reader.knownFinalState(spec.uid);
    if (final !== undefined) return { kind: 'duplicate', reading: finalReading(final) };
    const types = this.dependencies.routing.types();
    if (types === null) return { kind: 'unavailable', reason: 'machine types are not known yet' };
    const verdict = admit(spec, types.values(), this.settings.teams);
    if (verdict !== 'accept') {
      // A repeat of an accepted job is answered with its state, whatever the body says now.
      return this.#duplicateOr(spec.uid, { kind: 'rejected', reason: verdict });
    }
    if (this.dependencies.cache.tables.activeJobs.has(spec.uid)) {
      return { kind: 'duplicate', reading: await this.dependencies.reader.read(spec.uid) };
    }
    const earlier = this.#acceptancesInFlight.get(spec.uid);
    if (earlier !== undefined) return this.#resolveRepeat(spec.uid, earlier);
    const accepting = this.#accept(spec, acceptedAt, types).finally(() => {
      this.#acceptancesInFlight.delete(spec.uid);
    });
    this.#acceptancesInFlight.set(spec.uid, accepting);
    return accepting;
  }

  /**
   * The write of an earlier try serves a repeat, too, but not its answer: the job may have been accepted,
   * cancelled or done through another node since, and the user told so, before the repeat came in.
   */
  async #resolveRepeat(uid: string, earlier: Promise<SubmissionResult>): Promise<SubmissionResult> {
    await Promise.allSettled([earlier]);
    return this.#duplicateOr(uid, { kind: 'unavailable', reason: 'an earlier try has no outcome' });
  }

  async #duplicateOr(uid: string, otherwise: SubmissionResult): Promise<SubmissionResult> {
    const reading = await this.dependencies.reader.read(uid);
    return reading.answer.kind === 'missing' ? otherwise : { kind: 'duplicate', reading };
  }

  async #accept(
    spec: JobSpec,
    acceptedAt: number,
    types: ReadonlyMap<string, MachineType>,
  ): Promise<SubmissionResult> {
    // What would only be refused after a wait is refused at once.
    const waitMs = this.dependencies.client.expectedWaitMs(CALL_PRIORITY.acceptance);
    if (waitMs > MAX_SUBMISSION_WAIT_MS) {
      this.#deferred.set(spec.uid, { spec, at: this.dependencies.now() });
      return { kind: 'unavailable', reason: 'more submissions than can be written', waitMs };
    }
    this.#deferred.delete(spec.uid);
    const ranges = this.#route(spec);
    if (ranges === null) return { kind: 'unavailable', reason: 'parts have no owner yet' };
    const job: JobRecord = { spec: this.#dropUnknownTypes(spec, types), at: acceptedAt, ranges };
    const value = encodeJob(job);
    if (JSON.stringify(value).length > this.settings.maxValueBytes) {
      return this.#duplicateOr(spec.uid, { kind: 'rejected', reason: 'record_too_large' });
    }
    return this.#writeAcceptance(job, value, MAX_ACCEPTANCE_ATTEMPTS);
  }

  async #writeAcceptance(
    job: JobRecord,
    value: unknown,
    attempts: number,
  ): Promise<SubmissionResult> {
    const { uid } = job.spec;
    const writes: Write[] = [{ put: storeKey.activeJob(uid), value }];
    const guards: Guard[] = [
      { key: storeKey.activeJob(uid), revision: 0 },
      { key: storeKey.finalState(uid), revision: 0 },
    ];
    const clearing = this.dependencies.acceptanceGuard();
    if (clearing !== null) guards.push(clearing);
    const currentSince = this.dependencies.now();
    const result = await this.dependencies.client.compareAndSwap(
      CALL_PRIORITY.acceptance,
      guards,
      writes,
    );
    if (result.ok) {
      this.dependencies.cache.applyOwn(writes, result.epoch);
      const answer = { kind: 'active', job, revision: result.epoch } as const;
      return { kind: 'accepted', reading: { answer, currentSince } };
    }
    // The reading brings the cache up to date, and with it the condition.
    const reading = await this.dependencies.reader.read(uid);
    if (reading.answer.kind !== 'missing') return { kind: 'duplicate', reading };
    const onlyCleared = result.failed.every((failed) => failed === clearing?.key);
    if (onlyCleared && attempts > 1) return this.#writeAcceptance(job, value, attempts - 1);
    return { kind: 'unavailable', reason: 'submitted twice at once' };
  }

  /** Long lists of machine types are cut to those that exist, to fit a value's size. */
  #dropUnknownTypes(spec: JobSpec, types: ReadonlyMap<string, MachineType>): JobSpec {
    const limitBytes = Math.min(MAX_TYPE_LIST_BYTES, this.settings.maxValueBytes / 4);
    if (spec.types === null || spec.types.length * MAX_NAME_LENGTH < limitBytes) return spec;
    return { ...spec, types: [...new Set(spec.types)].filter((name) => types.has(name)) };
  }

  /** Cuts the job into ranges and chooses a shard for each; null while a shard has no owner. */
  #route(spec: JobSpec): TaskRange[] | null {
    const { teams, shardCount: shards, maxValueBytes: valueBytes, loadThreshold } = this.settings;
    const team = teams.get(spec.team);
    const whole = requiresSingleShard(spec, team);
    const hasQuota = hasLimit(team) || hasGuarantee(team);
    const loads = [...this.dependencies.routing.loads(spec)];
    const choose = () =>
      chooseShard(loads, loadThreshold, (below) => this.dependencies.routing.random(below));
    const home = hasQuota ? shardOfTeam(spec.team, shards) : choose();
    const out: TaskRange[] = [];
    for (const [from, to] of splitIntoRanges(
      spec.tasks,
      shards,
      whole,
      maxRangeTasks(valueBytes),
    )) {
      const shard = whole ? home : choose();
      const term = this.dependencies.routing.termOf(shard);
      if (term === null) return null;
      out.push({ from, to, shard, term });
      // The next range of this job should not meet the same least loaded shard.
      const at = loads.findIndex((load) => load.shard === shard);
      const chosen = loads[at];
      if (!whole && chosen !== undefined) {
        loads[at] = { ...chosen, load: chosen.load + LOAD_PER_RANGE };
      }
    }
    return out;
  }

  /** Cancels a job unless it has ended; the reading is final, or the job is missing. */
  async cancel(uid: string): Promise<JobReading> {
    for (let attempt = 0; attempt < MAX_CANCELLATION_ATTEMPTS; attempt++) {
      const reading = await this.dependencies.reader.read(uid);
      const { answer } = reading;
      if (answer.kind !== 'active') return reading;
      const final: FinalState = { status: 'cancelled', tasks: answer.job.spec.tasks, done: 0 };
      const writes: Write[] = [
        { drop: storeKey.activeJob(uid) },
        { put: storeKey.finalState(uid), value: encodeFinalState(final) },
      ];
      const result = await this.dependencies.client.compareAndSwap(
        CALL_PRIORITY.cancellation,
        [{ key: storeKey.activeJob(uid), revision: answer.revision }],
        writes,
      );
      if (result.ok) {
        this.dependencies.cache.applyOwn(writes, result.epoch);
        return finalReading(final);
      }
    }
    throw new StoreRequestError('contention', `job ${uid} changes faster than it can be cancelled`);
  }
}
