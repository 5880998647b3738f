/** The HTTP routes for users: submissions, queries, cancellations, and readiness. */
import type Koa from 'koa';
import { USER_REQUEST_TIMEOUT_MS } from '../constants.js';
import { RETRY_AFTER_S, MAX_IN_FLIGHT_REQUESTS } from './constants.js';
import type { JobSpec } from '../core/model.js';
import { readBody, sendCbor } from '../transport/http.js';
import { StoreRequestError } from '../store/errors.js';
import { decodeCbor, WireError } from '../wire/cbor.js';
import { statusBody, submissionSchema, JOB_UID_PATTERN, type JobStatus } from '../wire/users.js';
import type { JobReader, JobReading } from './job-reader.js';
import type { JobService } from './job-service.js';
import * as z from 'zod';

/** Dependencies of the users' routes. */
export interface UserApiDependencies {
  readonly jobs: Pick<JobService, 'submit' | 'cancel'>;
  readonly reader: JobReader;
  /** how many tasks of a job are done and how many are running, for display */
  progress(uid: string): { done: number; running: number };
  /** called before a user is told that the job is cancelled */
  onCancelled(uid: string): void;
  /** whether the load balancer should route users to this node */
  isReady(): boolean;
  /** false while the store is known not to answer */
  storeAvailable(): boolean;
  /** wall clock, ms */
  timeOfDay(): number;
  /** a random integer from 0 to `below` - 1 */
  random(below: number): number;
  /** called for each accepted submission with the time in ms that it took */
  onAccepted(spec: JobSpec, ms: number): void;
  /** called for each submission that does not match the schema */
  onMalformed(reason: string): void;
  /** monotonic clock, ms */
  now(): number;
}

/** Thrown if a request has no result within `USER_REQUEST_TIMEOUT_MS`; the user is told to retry. */
class RequestTimeoutError extends Error {
  constructor() {
    super('the state service is slow');
  }
}

/** Rejects with `RequestTimeoutError` if `work` takes longer than `USER_REQUEST_TIMEOUT_MS`, without cancelling it. */
const withTimeout = <T>(work: Promise<T>): Promise<T> => {
  let timer: NodeJS.Timeout;
  const timeout = new Promise<never>((_resolve, reject) => {
    timer = setTimeout(() => reject(new RequestTimeoutError()), USER_REQUEST_TIMEOUT_MS);
  });
  return Promise.race([work, timeout]).finally(() => clearTimeout(timer));
};

/** A request about a job. */
interface JobRequest {
  readonly ctx: Koa.Context;
  readonly uid: string;
  /** monotonic ms */
  readonly arrivedAt: number;
}

/** Matches a submission, malformed or not, that has a valid uid. */
const submissionUidSchema = z.object({ Uid: z.string().regex(JOB_UID_PATTERN) });

class UserRoutes {
  /** number of requests being served */
  #inFlight = 0;

  constructor(private readonly dependencies: UserApiDependencies) {}

  async handle(ctx: Koa.Context, next: Koa.Next): Promise<void> {
    if (ctx.path === '/ready' && ctx.method === 'GET') {
      this.#reportReadiness(ctx);
      return;
    }
    if (ctx.path !== '/submissions' && !ctx.path.startsWith('/submissions/')) {
      await next();
      return;
    }
    // A request waits for an answer only once it is whole: slow senders must not take the place of others.
    const body = ctx.method === 'POST' ? await readBody(ctx.req) : null;
    if (ctx.method === 'POST' && body === null) {
      ctx.set('Connection', 'close');
      sendCbor(ctx, 400, { error: 'body over the limit' });
      return;
    }
    if (this.#inFlight >= MAX_IN_FLIGHT_REQUESTS) {
      this.#respondRetryLater(ctx, 'too many requests wait');
      return;
    }
    this.#inFlight += 1;
    try {
      await this.#dispatch(ctx, body);
    } catch (error) {
      if (error instanceof WireError) sendCbor(ctx, 400, { error: error.message });
      else if (error instanceof StoreRequestError || error instanceof RequestTimeoutError)
        this.#respondRetryLater(ctx, error.message);
      else throw error;
    } finally {
      this.#inFlight -= 1;
    }
  }

  #reportReadiness(ctx: Koa.Context): void {
    if (this.dependencies.isReady()) sendCbor(ctx, 200, { ready: true });
    else this.#respondRetryLater(ctx, 'not ready');
  }

  async #dispatch(ctx: Koa.Context, body: Buffer | null): Promise<void> {
    const arrivedAt = this.dependencies.now();
    const [, , uid, verb] = ctx.path.split('/');
    if (uid === undefined && body !== null) return this.#submit(ctx, body, arrivedAt);
    if (uid === undefined || (verb !== undefined && verb !== 'withdraw')) return;
    if (verb === undefined && ctx.method !== 'GET') return;
    if (verb === 'withdraw' && ctx.method !== 'POST') return;
    if (!JOB_UID_PATTERN.test(uid)) {
      sendCbor(ctx, 404, { error: 'no such job' });
      return;
    }
    const request = { ctx, uid, arrivedAt };
    return verb === undefined ? this.#query(request) : this.#cancel(request);
  }

  async #submit(ctx: Koa.Context, bytes: Buffer, arrivedAt: number): Promise<void> {
    const { dependencies } = this;
    const body = decodeCbor(bytes);
    const parsed = submissionSchema.safeParse(body);
    if (!parsed.success) return this.#rejectMalformed(ctx, body, parsed.error, arrivedAt);
    const { uid } = parsed.data;
    if (!this.#canAnswer(uid)) {
      this.#respondStoreUnavailable(ctx);
      return;
    }
    const result = await withTimeout(
      dependencies.jobs.submit(parsed.data, dependencies.timeOfDay()),
    );
    const request = { ctx, uid, arrivedAt };
    switch (result.kind) {
      case 'accepted':
        dependencies.onAccepted(parsed.data, dependencies.now() - arrivedAt);
        {
          this.#respond(request, result.reading, true);
          return;
        }
      case 'duplicate': {
        this.#respond(request, result.reading);
        return;
      }
      case 'rejected': {
        sendCbor(ctx, 422, { error: result.reason });
        return;
      }
      case 'unavailable': {
        this.#respondRetryLater(ctx, result.reason, result.waitMs);
        return;
      }
    }
  }

  /**
   * Rejects a malformed submission, unless it names a job that was accepted before: then the answer is the state of
   * that job.
   */
  async #rejectMalformed(
    ctx: Koa.Context,
    body: unknown,
    error: z.ZodError,
    arrivedAt: number,
  ): Promise<void> {
    const uid = submissionUidSchema.safeParse(body).data?.Uid;
    if (uid !== undefined) {
      if (!this.#canAnswer(uid)) {
        this.#respondStoreUnavailable(ctx);
        return;
      }
      const reading = await withTimeout(this.dependencies.reader.read(uid));
      if (reading.answer.kind !== 'missing') {
        this.#respond({ ctx, uid, arrivedAt }, reading);
        return;
      }
    }
    const issue = error.issues[0];
    const reason = `${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`;
    this.dependencies.onMalformed(reason);
    sendCbor(ctx, 400, { error: reason });
  }

  async #query(request: JobRequest): Promise<void> {
    if (!this.#canAnswer(request.uid)) {
      this.#respondStoreUnavailable(request.ctx);
      return;
    }
    this.#respond(request, await withTimeout(this.dependencies.reader.read(request.uid)));
  }

  async #cancel(request: JobRequest): Promise<void> {
    if (!this.#canAnswer(request.uid)) {
      this.#respondStoreUnavailable(request.ctx);
      return;
    }
    this.#respond(request, await withTimeout(this.dependencies.jobs.cancel(request.uid)));
  }

  /** Sends a job's state. All responses that contain one are sent here. `accepted`: this request created the job. */
  #respond({ ctx, uid, arrivedAt }: JobRequest, reading: JobReading, accepted = false): void {
    const { dependencies } = this;
    const answer = dependencies.reader.answerIfCurrent(uid, reading, arrivedAt);
    if (answer === null)
      this.#respondRetryLater(ctx, 'the state was read before the request came in');
    else if (answer.kind === 'missing') sendCbor(ctx, 404, { error: 'no such job' });
    else if (answer.kind === 'final') {
      const { status, done } = answer.final;
      if (status === 'cancelled') dependencies.onCancelled(uid);
      sendCbor(ctx, 200, statusBody(uid, status, done, 0));
    } else if (accepted) sendCbor(ctx, 201, statusBody(uid, 'queued'));
    else {
      const { done, running } = dependencies.progress(uid);
      const status: JobStatus = running > 0 ? 'running' : 'queued';
      sendCbor(ctx, 200, statusBody(uid, status, done, running));
    }
  }

  /** Without the store only final states in memory can be returned, since they never change. */
  #canAnswer(uid: string): boolean {
    return (
      this.dependencies.storeAvailable() ||
      this.dependencies.reader.knownFinalState(uid) !== undefined
    );
  }

  #respondStoreUnavailable(ctx: Koa.Context): void {
    this.#respondRetryLater(ctx, 'the state service does not answer');
  }

  #respondRetryLater(ctx: Koa.Context, reason: string, waitMs = 0): void {
    const minimumS = Math.min(RETRY_AFTER_S.max, Math.max(RETRY_AFTER_S.min, waitMs / 1000));
    const seconds = Math.ceil(minimumS) + this.dependencies.random(RETRY_AFTER_S.spread + 1);
    ctx.set('Retry-After', String(seconds));
    sendCbor(ctx, 503, { error: reason });
  }
}

/** Returns the middleware that serves `/submissions` and `/ready`. */
export const userRoutes = (dependencies: UserApiDependencies): Koa.Middleware => {
  const routes = new UserRoutes(dependencies);
  return (ctx, next) => routes.handle(ctx, next);
};
