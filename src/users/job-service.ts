/** Accepts and cancels jobs. Both operations are idempotent, and each commits with one compare-and-swap. */
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
  type ShardLoad,
} from '../core/jobs/jobs.js';
import { hasGuarantee, hasLimit, requiresSingleShard } from '../core/jobs/single-shard.js';
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

/** Outcome of a submission. */
export type SubmissionResult =
  | { readonly kind: 'accepted'; readonly reading: JobReading }
  /** the job was accepted before */
  | { readonly kind: 'duplicate'; readonly reading: JobReading }
  /** the job can never run */
  | { readonly kind: 'rejected'; readonly reason: string }
  /** no decision; the user has to retry, after `waitMs` if it is known */
  | { readonly kind: 'unavailable'; readonly reason: string; readonly waitMs?: number };

/** Cluster state that routing uses. */
export interface ShardRouting {
  /** machine types by name; null while they are unknown */
  types(): ReadonlyMap<string, MachineType> | null;
  /** the load of every shard for the job */
  loads(spec: JobSpec): readonly ShardLoad[];
  /** the ownership term of a shard; null while it has no owner */
  termOf(shard: number): number | null;
  /** a random integer from 0 to `below` - 1 */
  random(below: number): number;
}

/** Settings that affect admission and routing. */
export interface JobServiceSettings {
  readonly teams: ReadonlyMap<string, Team>;
  readonly shardCount: number;
  /** the store's limit on the size of a value */
  readonly maxValueBytes: number;
  /** allocation ratio below which a shard is a candidate for random choice */
  readonly loadThreshold: number;
}

/** Dependencies of `JobService`. */
export interface JobServiceDependencies {
  readonly client: Pick<StoreClient, 'compareAndSwap' | 'expectedWaitMs'>;
  readonly cache: WatchCache;
  readonly reader: JobReader;
  readonly routing: ShardRouting;
  /** guard that makes an acceptance fail if it races garbage collection of final states; null while that is disabled */
  readonly acceptanceGuard: () => Guard | null;
  /** monotonic clock, ms */
  readonly now: () => number;
}

/** Accepts and cancels jobs. */
export class JobService {
  /** by uid: submissions whose users were told to retry, and when, monotonic ms */
  readonly #deferred = new Map<string, { spec: JobSpec; deferredAt: number }>();
  /** by uid: acceptances in flight; a repeated submission waits for the first instead of writing, too */
  readonly #acceptancesInFlight = new Map<string, Promise<SubmissionResult>>();

  constructor(
    private readonly dependencies: JobServiceDependencies,
    private readonly settings: JobServiceSettings,
  ) {}

  /**
   * Returns the jobs whose users were told within the last `DEFERRED_SUBMISSION_TTL_MS` to retry because too many
   * writes were queued, so that capacity for them can be planned. Older ones have been accepted by another node by
   * now.
   */
  deferredJobs(): JobSpec[] {
    const since = this.dependencies.now() - DEFERRED_SUBMISSION_TTL_MS;
    const jobs: JobSpec[] = [];
    for (const [uid, { spec, deferredAt }] of this.#deferred) {
      if (deferredAt < since || this.dependencies.cache.tables.activeJobs.has(uid))
        this.#deferred.delete(uid);
      else jobs.push(spec);
    }
    return jobs;
  }

  /** Accepts a job unless it was accepted before. `acceptedAt` is the wall clock time, ms. */
  async submit(spec: JobSpec, acceptedAt: number): Promise<SubmissionResult> {
    const final = this.dependencies.reader.knownFinalState(spec.uid);
    if (final !== undefined) return { kind: 'duplicate', reading: finalReading(final) };
    const types = this.dependencies.routing.types();
    if (types === null) return { kind: 'unavailable', reason: 'machine types are not known yet' };
    const admission = admit(spec, types.values(), this.settings.teams);
    if (admission !== 'accept') {
      // If the job was accepted before, the answer is its state, even if the repeated body is not admissible.
      return this.#duplicateOr(spec.uid, { kind: 'rejected', reason: admission });
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
   * Waits for an earlier attempt, whose write serves the repeated submission, too, and then reads the job. The earlier
   * attempt's result must not be reused: before the repeat arrived, another node may have accepted, cancelled or
   * completed the job and told a user so.
   */
  async #resolveRepeat(uid: string, earlier: Promise<SubmissionResult>): Promise<SubmissionResult> {
    await Promise.allSettled([earlier]);
    return this.#duplicateOr(uid, { kind: 'unavailable', reason: 'an earlier try has no outcome' });
  }

  /** Returns `duplicate` if the job is active or has ended, otherwise the given result. */
  async #duplicateOr(uid: string, otherwise: SubmissionResult): Promise<SubmissionResult> {
    const reading = await this.dependencies.reader.read(uid);
    return reading.answer.kind === 'missing' ? otherwise : { kind: 'duplicate', reading };
  }

  async #accept(
    spec: JobSpec,
    acceptedAt: number,
    types: ReadonlyMap<string, MachineType>,
  ): Promise<SubmissionResult> {
    // Refuse now instead of after a wait: a write that is queued for too long would be refused anyhow.
    const waitMs = this.dependencies.client.expectedWaitMs(CALL_PRIORITY.acceptance);
    if (waitMs > MAX_SUBMISSION_WAIT_MS) {
      this.#deferred.set(spec.uid, { spec, deferredAt: this.dependencies.now() });
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
    const acceptanceGuard = this.dependencies.acceptanceGuard();
    if (acceptanceGuard !== null) guards.push(acceptanceGuard);
    const currentSince = this.dependencies.now();
    const result = await this.dependencies.client.compareAndSwap(
      CALL_PRIORITY.acceptance,
      guards,
      writes,
    );
    if (result.ok) {
      this.dependencies.cache.applyOwnWrites(writes, result.epoch);
      const answer = { kind: 'active', job, revision: result.epoch } as const;
      return { kind: 'accepted', reading: { answer, currentSince } };
    }
    // Reading also brings the cache up to date, and with it the acceptance guard of the next attempt.
    const reading = await this.dependencies.reader.read(uid);
    if (reading.answer.kind !== 'missing') return { kind: 'duplicate', reading };
    const onlyCollected = result.failed.every((failed) => failed === acceptanceGuard?.key);
    if (onlyCollected && attempts > 1) return this.#writeAcceptance(job, value, attempts - 1);
    return { kind: 'unavailable', reason: 'submitted twice at once' };
  }

  /** Removes unknown machine types from a long list, so that the job fits into a stored value. */
  #dropUnknownTypes(spec: JobSpec, types: ReadonlyMap<string, MachineType>): JobSpec {
    const limitBytes = Math.min(MAX_TYPE_LIST_BYTES, this.settings.maxValueBytes / 4);
    if (spec.types === null || spec.types.length * MAX_NAME_LENGTH < limitBytes) return spec;
    return { ...spec, types: [...new Set(spec.types)].filter((name) => types.has(name)) };
  }

  /** Splits the job into ranges and chooses a shard for each; null if a chosen shard has no owner. */
  #route(spec: JobSpec): TaskRange[] | null {
    const { teams, shardCount, maxValueBytes, loadThreshold } = this.settings;
    const team = teams.get(spec.team);
    const whole = requiresSingleShard(spec, team);
    const hasQuota = hasLimit(team) || hasGuarantee(team);
    const loads = [...this.dependencies.routing.loads(spec)];
    const choose = () =>
      chooseShard(loads, loadThreshold, (below) => this.dependencies.routing.random(below));
    const home = hasQuota ? shardOfTeam(spec.team, shardCount) : choose();
    const ranges: TaskRange[] = [];
    for (const [from, to] of splitIntoRanges(
      spec.tasks,
      shardCount,
      whole,
      maxRangeTasks(maxValueBytes),
    )) {
      const shard = whole ? home : choose();
      const term = this.dependencies.routing.termOf(shard);
      if (term === null) return null;
      ranges.push({ from, to, shard, term });
      // Otherwise all ranges of the job would go to the same least loaded shard.
      const index = loads.findIndex((load) => load.shard === shard);
      const chosen = loads[index];
      if (!whole && chosen !== undefined) {
        loads[index] = { ...chosen, load: chosen.load + LOAD_PER_RANGE };
      }
    }
    return ranges;
  }

  /**
   * Cancels a job unless it has ended; resolves with a final state or `missing`. Rejects with `StoreRequestError` if
   * the job's record changes during every attempt.
   */
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
        this.dependencies.cache.applyOwnWrites(writes, result.epoch);
        return finalReading(final);
      }
    }
    throw new StoreRequestError('contention', `job ${uid} changes faster than it can be cancelled`);
  }
}
