import {
  CANCEL_TRIES,
  LOAD_PER_RANGE,
  NAME_LIMIT,
  SENT_AWAY_MS,
  SUBMIT_WAIT_MS,
  TYPE_LIST_BYTES,
} from '../constants.js';
import { admit } from '../core/admission.js';
import {
  choosePart,
  cutRanges,
  partOfTeam,
  rangeMost,
  staysWhole,
  hasLimit,
  hasGuarantee,
} from '../core/jobs.js';
import type { PartLoad } from '../core/jobs.js';
import type { JobRecord, JobSpec, MachineType, TaskRange, Team } from '../core/model.js';
import { CALL, StateTrouble, type StateClient } from '../state/client.js';
import type { LinearizableReads } from '../state/linearizable-reads.js';
import { encodeActive, key, type FinalState } from '../state/keys.js';
import type { WatchCache } from '../state/watch-cache.js';
import { SharedReads } from '../state/reads.js';
import type { Write } from '../wire/schemas.js';

/** What a user is told of a job. */
export type JobAnswer =
  | { readonly kind: 'active'; readonly job: JobRecord; readonly revision: number }
  | { readonly kind: 'final'; readonly final: FinalState }
  | { readonly kind: 'missing' };

export type Submitted =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'known'; readonly answer: JobAnswer }
  | { readonly kind: 'never'; readonly reason: string }
  | { readonly kind: 'undecided'; readonly reason: string; readonly waitMs?: number };

/** What the user side needs to know of the parts. */
export interface Routing {
  types(): ReadonlyMap<string, MachineType> | null;
  loads(spec: JobSpec): readonly PartLoad[];
  termOf(part: number): number | null;
  random(below: number): number;
}

/** Jobs as users see them: accepted, read and cancelled by transactions and current reads. */
export class Jobs {
  readonly #reads: SharedReads;
  /** submissions on their way: a repeat joins its first try instead of costing another write */
  readonly #sentAway = new Map<string, { spec: JobSpec; at: number }>();
  readonly #submitting = new Map<string, Promise<Submitted>>();

  constructor(
    private readonly client: StateClient,
    private readonly cache: WatchCache,
    private readonly linearizable: Pick<LinearizableReads, 'wait'>,
    private readonly routing: Routing,
    private readonly teams: ReadonlyMap<string, Team>,
    private readonly parts: number,
    private readonly valueBytes: number,
    private readonly loadThreshold: number,
    private readonly now: () => number,
  ) {
    this.#reads = new SharedReads(client);
  }

  /**
   * Jobs that were lately told to come back, for want of writes. They will come, so machines for them
   * can be rented already; those of a moment ago have come to another node by now.
   */
  sentAway(): JobSpec[] {
    const since = this.now() - SENT_AWAY_MS;
    const out: JobSpec[] = [];
    for (const [uid, { spec, at }] of this.#sentAway) {
      if (at < since || this.cache.tables['active/'].has(uid)) this.#sentAway.delete(uid);
      else out.push(spec);
    }
    return out;
  }

  /** True if the job's final state is known here: it needs no read, not even in an outage. */
  isFinal(uid: string): boolean {
    return this.cache.finals.has(uid);
  }

  /**
   * The present state. The cache is brought up to date first; a job that is not active there has
   * ended or never was, since the move from active to final is one transaction.
   */
  async current(uid: string): Promise<JobAnswer> {
    const final = this.cache.finals.get(uid);
    if (final !== undefined) return { kind: 'final', final };
    await this.linearizable.wait();
    const active = this.cache.tables['active/'].get(uid);
    if (active !== undefined)
      return { kind: 'active', job: active.value, revision: active.revision };
    const now = this.cache.finals.get(uid);
    if (now !== undefined) return { kind: 'final', final: now };
    const ended = await this.#reads.read(key.final(uid));
    if ('missing' in ended) return { kind: 'missing' };
    return { kind: 'final', final: this.cache.learnFinal(uid, ended.value, ended.revision) };
  }

  submit(spec: JobSpec, nowMs: number): Promise<Submitted> {
    const open = this.#submitting.get(spec.uid);
    if (open !== undefined) return open;
    const work = this.#submit(spec, nowMs).finally(() => this.#submitting.delete(spec.uid));
    this.#submitting.set(spec.uid, work);
    return work;
  }

  async #submit(spec: JobSpec, nowMs: number): Promise<Submitted> {
    const final = this.cache.finals.get(spec.uid);
    if (final !== undefined) return { kind: 'known', answer: { kind: 'final', final } };
    const types = this.routing.types();
    if (types === null) return { kind: 'undecided', reason: 'machine types are not known yet' };
    const verdict = admit(spec, types.values(), this.teams);
    if (verdict !== 'accept') {
      // A repeat of an accepted job is answered with its state, whatever the body says now.
      const answer = await this.current(spec.uid);
      if (answer.kind !== 'missing') return { kind: 'known', answer };
      return { kind: 'never', reason: verdict };
    }
    const active = this.cache.tables['active/'].get(spec.uid);
    if (active !== undefined) return { kind: 'known', answer: await this.current(spec.uid) };
    // What would only be refused after a wait is refused at once.
    const waitMs = this.client.expectedMs(CALL.acceptance);
    if (waitMs > SUBMIT_WAIT_MS) {
      this.#sentAway.set(spec.uid, { spec, at: this.now() });
      return { kind: 'undecided', reason: 'more submissions than can be written', waitMs };
    }
    this.#sentAway.delete(spec.uid);
    const ranges = this.#route(spec);
    if (ranges === null) return { kind: 'undecided', reason: 'parts have no owner yet' };
    const record: JobRecord = { spec: this.#compact(spec, types), at: nowMs, ranges };
    const value = encodeActive(record);
    if (JSON.stringify(value).length > this.valueBytes) {
      return { kind: 'never', reason: 'record_too_large' };
    }
    const writes: Write[] = [{ put: key.active(spec.uid), value }];
    const result = await this.client.transact(
      CALL.acceptance,
      [
        { key: key.active(spec.uid), revision: 0 },
        { key: key.final(spec.uid), revision: 0 },
      ],
      writes,
    );
    if (result.ok) {
      this.cache.applyOwn(writes, result.epoch);
      return { kind: 'accepted' };
    }
    const answer = await this.current(spec.uid);
    if (answer.kind === 'missing') return { kind: 'undecided', reason: 'submitted twice at once' };
    return { kind: 'known', answer };
  }

  /** Long lists of machine types are cut to those that exist, to fit a value's size. */
  #compact(spec: JobSpec, types: ReadonlyMap<string, MachineType>): JobSpec {
    const most = Math.min(TYPE_LIST_BYTES, this.valueBytes / 4);
    if (spec.types === null || spec.types.length * NAME_LIMIT < most) return spec;
    return { ...spec, types: [...new Set(spec.types)].filter((t) => types.has(t)) };
  }

  #route(spec: JobSpec): TaskRange[] | null {
    const team = this.teams.get(spec.team);
    const whole = staysWhole(spec, team);
    const loads = [...this.routing.loads(spec)];
    const out: TaskRange[] = [];
    const booked = hasLimit(team) || hasGuarantee(team);
    const home = booked
      ? partOfTeam(spec.team, this.parts)
      : choosePart(loads, this.loadThreshold, (n) => this.routing.random(n));
    for (const [from, to] of cutRanges(spec.tasks, this.parts, whole, rangeMost(this.valueBytes))) {
      const part = whole
        ? home
        : choosePart(loads, this.loadThreshold, (n) => this.routing.random(n));
      const era = this.routing.termOf(part);
      if (era === null) return null;
      out.push({ from, to, part, era });
      // The next range of this job should not meet the same least loaded part.
      const at = loads.findIndex((l) => l.part === part);
      const chosen = loads[at];
      if (!whole && chosen !== undefined) {
        loads[at] = { ...chosen, load: chosen.load + LOAD_PER_RANGE };
      }
    }
    return out;
  }

  async cancel(uid: string): Promise<FinalState | null> {
    for (let attempt = 0; attempt < CANCEL_TRIES; attempt++) {
      const answer = await this.current(uid);
      if (answer.kind === 'missing') return null;
      if (answer.kind === 'final') return answer.final;
      const final: FinalState = { status: 'cancelled', tasks: answer.job.spec.tasks, done: 0 };
      const writes: Write[] = [{ drop: key.active(uid) }, { put: key.final(uid), value: final }];
      const result = await this.client.transact(
        CALL.cancellation,
        [{ key: key.active(uid), revision: answer.revision }],
        writes,
      );
      if (result.ok) {
        this.cache.applyOwn(writes, result.epoch);
        return final;
      }
    }
    throw new StateTrouble('busy', `job ${uid} changes faster than it can be cancelled`);
  }
}
