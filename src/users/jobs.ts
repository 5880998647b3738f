import {
  ACCEPT_TRIES,
  CANCEL_TRIES,
  LOAD_PER_RANGE,
  SENT_AWAY_MS,
  SUBMIT_WAIT_MS,
  TYPE_LIST_BYTES,
} from './constants.js';
import { MAX_NAME_LENGTH } from '../wire/constants.js';
import { admit } from '../core/jobs/admission.js';
import {
  chooseShard,
  cutRanges,
  shardOfTeam,
  maxRangeTasks,
  staysWhole,
  hasLimit,
  hasGuarantee,
  type ShardLoad,
} from '../core/jobs/jobs.js';
import type { JobRecord, JobSpec, MachineType, TaskRange, Team } from '../core/model.js';
import { CALL_PRIORITY } from '../store/call-priority.js';
import { StoreRequestError } from '../store/errors.js';
import type { StoreClient } from '../store/store-client.js';
import { encodeJob } from '../store/codecs/job.js';
import { key } from '../store/keys.js';
import { encodeFinalState, type FinalState } from '../store/codecs/final-state.js';
import type { WatchCache } from '../store/watch-cache.js';
import type { Guard, Write } from '@sumacstep/leader-election';
import { finalReading, type JobReader, type JobReading } from './job-reader.js';

/** What has become of a submission. */
export type Submitted =
  | { readonly kind: 'accepted'; readonly reading: JobReading }
  | { readonly kind: 'known'; readonly reading: JobReading }
  | { readonly kind: 'never'; readonly reason: string }
  | { readonly kind: 'undecided'; readonly reason: string; readonly waitMs?: number };

/** What the user side needs to know of the shards. */
export interface Routing {
  types(): ReadonlyMap<string, MachineType> | null;
  loads(spec: JobSpec): readonly ShardLoad[];
  termOf(shard: number): number | null;
  random(below: number): number;
}

/** Settings that decide what is accepted, and where it goes. */
export interface JobSettings {
  readonly teams: ReadonlyMap<string, Team>;
  /** number of shards */
  readonly shards: number;
  /** what a value of the state service holds */
  readonly valueBytes: number;
  /** booked share of a shard's machines under which tasks may go to it at random */
  readonly loadThreshold: number;
}

/** Accepts and cancels jobs by transactions. */
export class Jobs {
  readonly #sentAway = new Map<string, { spec: JobSpec; at: number }>();
  /** acceptances on their way, by job: a repeat waits for its first try instead of costing a write */
  readonly #accepting = new Map<string, Promise<Submitted>>();

  constructor(
    private readonly client: Pick<StoreClient, 'compareAndSwap' | 'expectedWaitMs'>,
    private readonly cache: WatchCache,
    private readonly reader: JobReader,
    private readonly routing: Routing,
    private readonly settings: JobSettings,
    /** what acceptances depend on, so that none from before a clearing of final states comes back; if any */
    private readonly acceptanceCondition: () => Guard | null,
    /** steady ms */
    private readonly now: () => number,
  ) {}

  /**
   * Jobs that were lately told to come back, for want of writes. They will come, so machines for them
   * can be rented already; those of a moment ago have come to another node by now.
   */
  sentAway(): JobSpec[] {
    const since = this.now() - SENT_AWAY_MS;
    const out: JobSpec[] = [];
    for (const [uid, { spec, at }] of this.#sentAway) {
      if (at < since || this.cache.tables.activeJobs.has(uid)) this.#sentAway.delete(uid);
      else out.push(spec);
    }
    return out;
  }

  /** Accepts a job, or finds that it is known. `acceptedAt` is the time of day, in ms. */
  async submit(spec: JobSpec, acceptedAt: number): Promise<Submitted> {
    const final = this.reader.knownFinal(spec.uid);
    if (final !== undefined) return { kind: 'known', reading: finalReading(final) };
    const types = this.routing.types();
    if (types === null) return { kind: 'undecided', reason: 'machine types are not known yet' };
    const verdict = admit(spec, types.values(), this.settings.teams);
    if (verdict !== 'accept') {
      // A repeat of an accepted job is answered with its state, whatever the body says now.
      return this.#ifKnown(spec.uid, { kind: 'never', reason: verdict });
    }
    if (this.cache.tables.activeJobs.has(spec.uid)) {
      return { kind: 'known', reading: await this.reader.read(spec.uid) };
    }
    const earlier = this.#accepting.get(spec.uid);
    if (earlier !== undefined) return this.#afterEarlier(spec.uid, earlier);
    const accepting = this.#accept(spec, acceptedAt, types).finally(() => {
      this.#accepting.delete(spec.uid);
    });
    this.#accepting.set(spec.uid, accepting);
    return accepting;
  }

  /**
   * The write of an earlier try serves a repeat, too, but not its answer: the job may have been accepted,
   * cancelled or done through another node since, and the user told so, before the repeat came in.
   */
  async #afterEarlier(uid: string, earlier: Promise<Submitted>): Promise<Submitted> {
    await Promise.allSettled([earlier]);
    return this.#ifKnown(uid, { kind: 'undecided', reason: 'an earlier try has no outcome' });
  }

  async #ifKnown(uid: string, otherwise: Submitted): Promise<Submitted> {
    const reading = await this.reader.read(uid);
    return reading.answer.kind === 'missing' ? otherwise : { kind: 'known', reading };
  }

  async #accept(
    spec: JobSpec,
    acceptedAt: number,
    types: ReadonlyMap<string, MachineType>,
  ): Promise<Submitted> {
    // What would only be refused after a wait is refused at once.
    const waitMs = this.client.expectedWaitMs(CALL_PRIORITY.acceptance);
    if (waitMs > SUBMIT_WAIT_MS) {
      this.#sentAway.set(spec.uid, { spec, at: this.now() });
      return { kind: 'undecided', reason: 'more submissions than can be written', waitMs };
    }
    this.#sentAway.delete(spec.uid);
    const ranges = this.#route(spec);
    if (ranges === null) return { kind: 'undecided', reason: 'parts have no owner yet' };
    const job: JobRecord = { spec: this.#compact(spec, types), at: acceptedAt, ranges };
    const value = encodeJob(job);
    if (JSON.stringify(value).length > this.settings.valueBytes) {
      return this.#ifKnown(spec.uid, { kind: 'never', reason: 'record_too_large' });
    }
    return this.#writeAcceptance(job, value, ACCEPT_TRIES);
  }

  async #writeAcceptance(job: JobRecord, value: unknown, tries: number): Promise<Submitted> {
    const { uid } = job.spec;
    const writes: Write[] = [{ put: key.activeJob(uid), value }];
    const guards: Guard[] = [
      { key: key.activeJob(uid), revision: 0 },
      { key: key.finalState(uid), revision: 0 },
    ];
    const clearing = this.acceptanceCondition();
    if (clearing !== null) guards.push(clearing);
    const currentSince = this.now();
    const result = await this.client.compareAndSwap(CALL_PRIORITY.acceptance, guards, writes);
    if (result.ok) {
      this.cache.applyOwn(writes, result.epoch);
      const answer = { kind: 'active', job, revision: result.epoch } as const;
      return { kind: 'accepted', reading: { answer, currentSince } };
    }
    // The reading brings the cache up to date, and with it the condition.
    const reading = await this.reader.read(uid);
    if (reading.answer.kind !== 'missing') return { kind: 'known', reading };
    const onlyCleared = result.failed.every((failed) => failed === clearing?.key);
    if (onlyCleared && tries > 1) return this.#writeAcceptance(job, value, tries - 1);
    return { kind: 'undecided', reason: 'submitted twice at once' };
  }

  /** Long lists of machine types are cut to those that exist, to fit a value's size. */
  #compact(spec: JobSpec, types: ReadonlyMap<string, MachineType>): JobSpec {
    const most = Math.min(TYPE_LIST_BYTES, this.settings.valueBytes / 4);
    if (spec.types === null || spec.types.length * MAX_NAME_LENGTH < most) return spec;
    return { ...spec, types: [...new Set(spec.types)].filter((name) => types.has(name)) };
  }

  /** Cuts the job into ranges and chooses a shard for each; null while a shard has no owner. */
  #route(spec: JobSpec): TaskRange[] | null {
    const { teams, shards, valueBytes, loadThreshold } = this.settings;
    const team = teams.get(spec.team);
    const whole = staysWhole(spec, team);
    const booked = hasLimit(team) || hasGuarantee(team);
    const loads = [...this.routing.loads(spec)];
    const choose = () => chooseShard(loads, loadThreshold, (below) => this.routing.random(below));
    const home = booked ? shardOfTeam(spec.team, shards) : choose();
    const out: TaskRange[] = [];
    for (const [from, to] of cutRanges(spec.tasks, shards, whole, maxRangeTasks(valueBytes))) {
      const shard = whole ? home : choose();
      const term = this.routing.termOf(shard);
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
    for (let attempt = 0; attempt < CANCEL_TRIES; attempt++) {
      const reading = await this.reader.read(uid);
      const { answer } = reading;
      if (answer.kind !== 'active') return reading;
      const final: FinalState = { status: 'cancelled', tasks: answer.job.spec.tasks, done: 0 };
      const writes: Write[] = [
        { drop: key.activeJob(uid) },
        { put: key.finalState(uid), value: encodeFinalState(final) },
      ];
      const result = await this.client.compareAndSwap(
        CALL_PRIORITY.cancellation,
        [{ key: key.activeJob(uid), revision: answer.revision }],
        writes,
      );
      if (result.ok) {
        this.cache.applyOwn(writes, result.epoch);
        return finalReading(final);
      }
    }
    throw new StoreRequestError('contention', `job ${uid} changes faster than it can be cancelled`);
  }
}
