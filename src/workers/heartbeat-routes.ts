/** The HTTP route that workers send their heartbeats to. */
import type Koa from 'koa';
import type { Command, Heartbeat } from '../core/model.js';
import { readBody, sendCbor } from '../transport/http.js';
import { decodeCbor, WireError } from '../wire/cbor.js';
import { heartbeatResponseBody, heartbeatSchema, redirectBody } from '../wire/workers.js';

/** What a worker is told: its commands, the node to turn to, or to try again. */
export type HeartbeatResponse =
  | {
      readonly kind: 'answer';
      readonly fencingToken: number;
      readonly commands: readonly Command[];
    }
  | { readonly kind: 'redirect'; readonly node: string | null }
  | { readonly kind: 'unavailable' };

/**
 * Serves heartbeats: the owner of the machine's shard answers with commands, any other node redirects to it. Before
 * the node is ready it knows no owners, and rejects heartbeats without reading them: when all nodes restart at
 * once, parsing them would take the processor time that the start needs.
 */
export const heartbeatRoutes =
  (
    handleHeartbeat: (heartbeat: Heartbeat) => HeartbeatResponse,
    isReady: () => boolean,
  ): Koa.Middleware =>
  async (ctx, next) => {
    if (ctx.path !== '/agent/beat' || ctx.method !== 'POST') {
      await next();
      return;
    }
    if (!isReady()) {
      ctx.req.resume();
      sendCbor(ctx, 503, { error: 'not now' });
      return;
    }
    const bytes = await readBody(ctx.req);
    let parsed;
    try {
      parsed = bytes === null ? null : heartbeatSchema.safeParse(decodeCbor(bytes));
    } catch (error) {
      if (!(error instanceof WireError)) throw error;
      parsed = null;
    }
    if (parsed === null || !parsed.success) {
      sendCbor(ctx, 400, { error: 'no report' });
      return;
    }
    const response = handleHeartbeat(parsed.data);
    if (response.kind === 'answer')
      sendCbor(ctx, 200, heartbeatResponseBody(response.fencingToken, response.commands));
    else if (response.kind === 'redirect') sendCbor(ctx, 421, redirectBody(response.node));
    else sendCbor(ctx, 503, { error: 'not now' });
  };
