import type Koa from 'koa';
import type { Command, Heartbeat } from '../core/model.js';
import { CborClient, NoResponseError, readBody, sendCbor as send } from '../transport/http.js';
import { fromBytes, WireError } from '../wire/cbor.js';
import {
  commandsBody,
  heartbeatResponseBody,
  heartbeatSchema,
  redirectBody,
} from '../wire/workers.js';
import { DIRECT_COMMAND_TIMEOUT_MS } from './constants.js';

export type HeartbeatReply =
  | {
      readonly kind: 'answer';
      readonly fencingToken: number;
      readonly commands: readonly Command[];
    }
  | { readonly kind: 'redirect'; readonly node: string | null }
  | { readonly kind: 'unavailable' };

/**
 * Reports of workers: answered by the owner of the machine's shard, sent on by all others. Until the node
 * is `open` it knows no owners: when all restart at once, every worker asks every second, and reading
 * what they say would take the time that the start needs.
 */
export const workerRoutes =
  (
    handleHeartbeat: (heartbeat: Heartbeat) => HeartbeatReply,
    open: () => boolean,
  ): Koa.Middleware =>
  async (ctx, next) => {
    if (ctx.path !== '/agent/beat' || ctx.method !== 'POST') return next();
    if (!open()) {
      ctx.req.resume();
      return send(ctx, 503, { error: 'not now' });
    }
    const bytes = await readBody(ctx.req);
    let parsed;
    try {
      parsed = bytes === null ? null : heartbeatSchema.safeParse(fromBytes(bytes));
    } catch (error) {
      if (!(error instanceof WireError)) throw error;
      parsed = null;
    }
    if (parsed === null || !parsed.success) return send(ctx, 400, { error: 'no report' });
    const reply = handleHeartbeat(parsed.data);
    if (reply.kind === 'answer')
      send(ctx, 200, heartbeatResponseBody(reply.fencingToken, reply.commands));
    else if (reply.kind === 'redirect') send(ctx, 421, redirectBody(reply.node));
    else send(ctx, 503, { error: 'not now' });
  };

export type DirectResult =
  /** the worker answered */
  | { readonly kind: 'answered'; readonly executed: boolean; readonly heartbeat: Heartbeat }
  /** no connection came about: a worker never gets to see it */
  | { readonly kind: 'not_sent' }
  /** no answer: it may be carried out, even minutes later */
  | { readonly kind: 'in_doubt' };

/** Commands sent to a worker directly, over a connection of their own. */
export const sendDirect = async (
  address: string,
  fencingToken: number,
  agentEpoch: number,
  commands: readonly Command[],
): Promise<DirectResult> => {
  const client = new CborClient(address, 1);
  try {
    const body = commandsBody(fencingToken, agentEpoch, commands);
    const answer = await client.call('POST', '/commands', body, DIRECT_COMMAND_TIMEOUT_MS);
    const parsed = heartbeatSchema.safeParse(answer.body);
    if (!parsed.success) return { kind: 'in_doubt' };
    return { kind: 'answered', executed: answer.status === 200, heartbeat: parsed.data };
  } catch (error) {
    const unsent = error instanceof NoResponseError && !error.connected;
    return { kind: unsent ? 'not_sent' : 'in_doubt' };
  } finally {
    client.close();
  }
};
