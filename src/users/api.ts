import type Koa from 'koa';
import { RETRY_AFTER_S, USER_CALL_MS, USER_WAITING_LIMIT } from '../constants.js';
import type { JobSpec } from '../core/model.js';
import { readBody, reply as send } from '../http.js';
import { StateTrouble } from '../state/client.js';
import { fromBytes, WireError } from '../wire/cbor.js';
import { statusBody, submission, UID_FORM, type JobStatus } from '../wire/schemas.js';
import type { JobAnswer, Jobs } from './jobs.js';
import * as z from 'zod';

export interface UserSide {
  readonly jobs: Jobs;
  /** counts of tasks, for display */
  progress(uid: string): { done: number; running: number };
  /** a user is told that the job is cancelled */
  cancelled(uid: string): void;
  ready(): boolean;
  /** false while the state service is known not to answer */
  stateUp(): boolean;
  timeOfDay(): number;
  random(below: number): number;
  accepted(spec: JobSpec, ms: number): void;
  malformed(reason: string): void;
  steady(): number;
}

class TooSlow extends Error {}

/** Anything that is not decided in time is refused, so that nobody waits for nothing. */
const inTime = <T>(work: Promise<T>): Promise<T> => {
  let timer: NodeJS.Timeout;
  const late = new Promise<never>((_, reject) => {
    timer = setTimeout(() => reject(new TooSlow('the state service is slow')), USER_CALL_MS);
  });
  return Promise.race([work, late]).finally(() => clearTimeout(timer));
};

const claimedUid = z.object({ Uid: z.string().regex(UID_FORM) });

export const userRoutes = (side: UserSide): Koa.Middleware => {
  let waiting = 0;

  const refuse = (ctx: Koa.Context, reason: string, waitMs = 0): void => {
    const least = Math.min(RETRY_AFTER_S.most, Math.max(RETRY_AFTER_S.least, waitMs / 1000));
    const seconds = Math.ceil(least) + side.random(RETRY_AFTER_S.spread + 1);
    ctx.set('Retry-After', String(seconds));
    send(ctx, 503, { error: reason });
  };
  const stateOf = (uid: string, answer: JobAnswer) => {
    if (answer.kind === 'final') {
      const { status, done } = answer.final;
      if (status === 'cancelled') side.cancelled(uid);
      return statusBody(uid, status, done, 0);
    }
    const { done, running } = side.progress(uid);
    const status: JobStatus = running > 0 ? 'running' : 'queued';
    return statusBody(uid, status, done, running);
  };

  const submit = async (ctx: Koa.Context): Promise<void> => {
    const began = side.steady();
    const bytes = await readBody(ctx.req);
    if (bytes === null) {
      ctx.set('Connection', 'close');
      send(ctx, 400, { error: 'body over the limit' });
      return;
    }
    const body = fromBytes(bytes);
    const parsed = submission.safeParse(body);
    if (!parsed.success) {
      // A repeat of an accepted job gets its state, whatever else its body says.
      const uid = claimedUid.safeParse(body).data?.Uid;
      if (uid !== undefined && side.stateUp()) {
        const answer = await inTime(side.jobs.current(uid));
        if (answer.kind !== 'missing') {
          send(ctx, 200, stateOf(uid, answer));
          return;
        }
      } else if (uid !== undefined) {
        refuse(ctx, 'the state service does not answer');
        return;
      }
      const first = parsed.error.issues[0];
      side.malformed(`${first?.path.join('.') ?? ''}: ${first?.message ?? ''}`);
      send(ctx, 400, { error: `${first?.path.join('.') ?? ''}: ${first?.message ?? ''}` });
      return;
    }
    if (!side.stateUp() && !side.jobs.isFinal(parsed.data.uid)) {
      refuse(ctx, 'the state service does not answer');
      return;
    }
    const result = await inTime(side.jobs.submit(parsed.data, side.timeOfDay()));
    if (result.kind === 'accepted') {
      side.accepted(parsed.data, side.steady() - began);
      send(ctx, 201, statusBody(parsed.data.uid, 'queued'));
    } else if (result.kind === 'known') send(ctx, 200, stateOf(parsed.data.uid, result.answer));
    else if (result.kind === 'never') send(ctx, 422, { error: result.reason });
    else refuse(ctx, result.reason, result.waitMs);
  };

  const query = async (ctx: Koa.Context, uid: string): Promise<void> => {
    if (!side.stateUp() && !side.jobs.isFinal(uid)) {
      refuse(ctx, 'the state service does not answer');
      return;
    }
    const answer = await inTime(side.jobs.current(uid));
    if (answer.kind === 'missing') send(ctx, 404, { error: 'no such job' });
    else send(ctx, 200, stateOf(uid, answer));
  };

  const withdraw = async (ctx: Koa.Context, uid: string): Promise<void> => {
    if (!side.stateUp() && !side.jobs.isFinal(uid)) {
      refuse(ctx, 'the state service does not answer');
      return;
    }
    const final = await inTime(side.jobs.cancel(uid));
    if (final === null) send(ctx, 404, { error: 'no such job' });
    else {
      if (final.status === 'cancelled') side.cancelled(uid);
      send(ctx, 200, statusBody(uid, final.status));
    }
  };

  const dispatch = async (ctx: Koa.Context): Promise<void> => {
    const [, , id, verb] = ctx.path.split('/');
    if (id === undefined && ctx.method === 'POST') return submit(ctx);
    if (id === undefined || (verb !== undefined && verb !== 'withdraw')) return;
    if (verb === undefined && ctx.method !== 'GET') return;
    if (verb === 'withdraw' && ctx.method !== 'POST') return;
    if (!UID_FORM.test(id)) return send(ctx, 404, { error: 'no such job' });
    return verb === undefined ? query(ctx, id) : withdraw(ctx, id);
  };

  return async (ctx, next) => {
    if (ctx.path === '/ready' && ctx.method === 'GET') {
      if (side.ready()) send(ctx, 200, { ready: true });
      else refuse(ctx, 'not ready');
      return;
    }
    if (ctx.path !== '/submissions' && !ctx.path.startsWith('/submissions/')) return next();
    if (waiting >= USER_WAITING_LIMIT) return refuse(ctx, 'too many requests wait');
    waiting += 1;
    try {
      await dispatch(ctx);
    } catch (error) {
      if (error instanceof WireError) send(ctx, 400, { error: error.message });
      else if (error instanceof StateTrouble || error instanceof TooSlow)
        refuse(ctx, error.message);
      else throw error;
    } finally {
      waiting -= 1;
    }
  };
};
