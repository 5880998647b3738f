import type Koa from 'koa';
import { USER_CALL_MS } from '../constants.js';
import { RETRY_AFTER_S, USER_WAITING_LIMIT } from './constants.js';
import type { JobSpec } from '../core/model.js';
import { readBody, sendCbor as send } from '../transport/http.js';
import { StoreRequestError } from '../store/errors.js';
import { fromBytes, WireError } from '../wire/cbor.js';
import { statusBody, submissionSchema, JOB_UID_PATTERN, type JobStatus } from '../wire/users.js';
import type { JobReader, JobReading } from './job-reader.js';
import type { Jobs } from './jobs.js';
import * as z from 'zod';

/** What the user's routes need of the rest of a controller. */
export interface UserSide {
  readonly jobs: Pick<Jobs, 'submit' | 'cancel'>;
  readonly reader: JobReader;
  /** counts of tasks, for display */
  progress(uid: string): { done: number; running: number };
  /** a user is told that the job is cancelled */
  cancelled(uid: string): void;
  ready(): boolean;
  /** false while the state service is known not to answer */
  storeAvailable(): boolean;
  timeOfDay(): number;
  random(below: number): number;
  accepted(spec: JobSpec, ms: number): void;
  malformed(reason: string): void;
  steady(): number;
}

/** Nothing was decided within the time that a user waits. */
class TooSlow extends Error {}

/** Anything that is not decided in time is refused, so that nobody waits for nothing. */
const inTime = <T>(work: Promise<T>): Promise<T> => {
  let timer: NodeJS.Timeout;
  const late = new Promise<never>((_, reject) => {
    timer = setTimeout(() => reject(new TooSlow('the state service is slow')), USER_CALL_MS);
  });
  return Promise.race([work, late]).finally(() => clearTimeout(timer));
};

/** A request about a job, and when it came in, in steady ms. */
interface JobRequest {
  readonly ctx: Koa.Context;
  readonly uid: string;
  readonly arrivedAt: number;
}

const claimedUid = z.object({ Uid: z.string().regex(JOB_UID_PATTERN) });

/** The users' routes of one controller. */
class UserRoutes {
  /** requests that are being served */
  #waiting = 0;

  constructor(private readonly side: UserSide) {}

  async handle(ctx: Koa.Context, next: Koa.Next): Promise<void> {
    if (ctx.path === '/ready' && ctx.method === 'GET') return this.#ready(ctx);
    if (ctx.path !== '/submissions' && !ctx.path.startsWith('/submissions/')) {
      await next();
      return;
    }
    if (this.#waiting >= USER_WAITING_LIMIT) return this.#refuse(ctx, 'too many requests wait');
    this.#waiting += 1;
    try {
      await this.#dispatch(ctx);
    } catch (error) {
      if (error instanceof WireError) send(ctx, 400, { error: error.message });
      else if (error instanceof StoreRequestError || error instanceof TooSlow)
        this.#refuse(ctx, error.message);
      else throw error;
    } finally {
      this.#waiting -= 1;
    }
  }

  #ready(ctx: Koa.Context): void {
    if (this.side.ready()) send(ctx, 200, { ready: true });
    else this.#refuse(ctx, 'not ready');
  }

  async #dispatch(ctx: Koa.Context): Promise<void> {
    const arrivedAt = this.side.steady();
    const [, , uid, verb] = ctx.path.split('/');
    if (uid === undefined && ctx.method === 'POST') return this.#submit(ctx, arrivedAt);
    if (uid === undefined || (verb !== undefined && verb !== 'withdraw')) return;
    if (verb === undefined && ctx.method !== 'GET') return;
    if (verb === 'withdraw' && ctx.method !== 'POST') return;
    if (!JOB_UID_PATTERN.test(uid)) return send(ctx, 404, { error: 'no such job' });
    const request = { ctx, uid, arrivedAt };
    return verb === undefined ? this.#query(request) : this.#withdraw(request);
  }

  async #submit(ctx: Koa.Context, arrivedAt: number): Promise<void> {
    const { side } = this;
    const bytes = await readBody(ctx.req);
    if (bytes === null) {
      ctx.set('Connection', 'close');
      return send(ctx, 400, { error: 'body over the limit' });
    }
    const body = fromBytes(bytes);
    const parsed = submissionSchema.safeParse(body);
    if (!parsed.success) return this.#malformed(ctx, body, parsed.error, arrivedAt);
    const { uid } = parsed.data;
    if (!this.#answerable(uid)) return this.#refuseWithoutStore(ctx);
    const result = await inTime(side.jobs.submit(parsed.data, side.timeOfDay()));
    const request = { ctx, uid, arrivedAt };
    switch (result.kind) {
      case 'accepted':
        side.accepted(parsed.data, side.steady() - arrivedAt);
        return this.#tell(request, result.reading, true);
      case 'known':
        return this.#tell(request, result.reading);
      case 'never':
        return send(ctx, 422, { error: result.reason });
      case 'undecided':
        return this.#refuse(ctx, result.reason, result.waitMs);
    }
  }

  /** A repeat of an accepted job gets its state, whatever else its body says. */
  async #malformed(
    ctx: Koa.Context,
    body: unknown,
    error: z.ZodError,
    arrivedAt: number,
  ): Promise<void> {
    const uid = claimedUid.safeParse(body).data?.Uid;
    if (uid !== undefined) {
      if (!this.#answerable(uid)) return this.#refuseWithoutStore(ctx);
      const reading = await inTime(this.side.reader.read(uid));
      if (reading.answer.kind !== 'missing') return this.#tell({ ctx, uid, arrivedAt }, reading);
    }
    const first = error.issues[0];
    const reason = `${first?.path.join('.') ?? ''}: ${first?.message ?? ''}`;
    this.side.malformed(reason);
    send(ctx, 400, { error: reason });
  }

  async #query(request: JobRequest): Promise<void> {
    if (!this.#answerable(request.uid)) return this.#refuseWithoutStore(request.ctx);
    this.#tell(request, await inTime(this.side.reader.read(request.uid)));
  }

  async #withdraw(request: JobRequest): Promise<void> {
    if (!this.#answerable(request.uid)) return this.#refuseWithoutStore(request.ctx);
    this.#tell(request, await inTime(this.side.jobs.cancel(request.uid)));
  }

  /** The one place where a user is told the state of a job; `accepted`: by this very request. */
  #tell({ ctx, uid, arrivedAt }: JobRequest, reading: JobReading, accepted = false): void {
    const { side } = this;
    const answer = side.reader.tellable(uid, reading, arrivedAt);
    if (answer === null) this.#refuse(ctx, 'the state was read before the request came in');
    else if (answer.kind === 'missing') send(ctx, 404, { error: 'no such job' });
    else if (answer.kind === 'final') {
      const { status, done } = answer.final;
      if (status === 'cancelled') side.cancelled(uid);
      send(ctx, 200, statusBody(uid, status, done, 0));
    } else if (accepted) send(ctx, 201, statusBody(uid, 'queued'));
    else {
      const { done, running } = side.progress(uid);
      const status: JobStatus = running > 0 ? 'running' : 'queued';
      send(ctx, 200, statusBody(uid, status, done, running));
    }
  }

  /** Only a final state that is known here can be told while the state service does not answer. */
  #answerable(uid: string): boolean {
    return this.side.storeAvailable() || this.side.reader.knownFinal(uid) !== undefined;
  }

  #refuseWithoutStore(ctx: Koa.Context): void {
    this.#refuse(ctx, 'the state service does not answer');
  }

  #refuse(ctx: Koa.Context, reason: string, waitMs = 0): void {
    const least = Math.min(RETRY_AFTER_S.most, Math.max(RETRY_AFTER_S.least, waitMs / 1000));
    const seconds = Math.ceil(least) + this.side.random(RETRY_AFTER_S.spread + 1);
    ctx.set('Retry-After', String(seconds));
    send(ctx, 503, { error: reason });
  }
}

/** Routes for users: submissions, questions, cancellations, and whether the node is ready. */
export const userRoutes = (side: UserSide): Koa.Middleware => {
  const routes = new UserRoutes(side);
  return (ctx, next) => routes.handle(ctx, next);
};
