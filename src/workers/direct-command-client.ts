/** Client for direct commands, which are sent to a worker at once instead of with its next heartbeat response. */
import type { Command, Heartbeat } from '../core/model.js';
import { CborClient, NoResponseError } from '../transport/http.js';
import { commandsBody, heartbeatSchema } from '../wire/workers.js';
import { DIRECT_COMMAND_TIMEOUT_MS } from './constants.js';

/** Outcome of direct commands. */
export type DirectCommandResult =
  /** the worker answered with its status; `executed` tells whether it executed the commands */
  | { readonly kind: 'answered'; readonly executed: boolean; readonly heartbeat: Heartbeat }
  /** no connection was established, so the worker will never execute the commands */
  | { readonly kind: 'not_sent' }
  /** no valid answer; the worker may still execute the commands, even minutes later */
  | { readonly kind: 'in_doubt' };

/**
 * Sends commands under a fencing token to the worker at `address` (`HOST:PORT`) over a new connection. Never rejects:
 * without an answer the result is `in_doubt`, since the worker may still execute the commands later.
 */
export const sendDirectCommands = async (
  address: string,
  fencingToken: number,
  agentEpoch: number,
  commands: readonly Command[],
): Promise<DirectCommandResult> => {
  const client = new CborClient(address, 1);
  try {
    const body = commandsBody(fencingToken, agentEpoch, commands);
    const response = await client.call('POST', '/commands', body, DIRECT_COMMAND_TIMEOUT_MS);
    const parsed = heartbeatSchema.safeParse(response.body);
    if (!parsed.success) return { kind: 'in_doubt' };
    return { kind: 'answered', executed: response.status === 200, heartbeat: parsed.data };
  } catch (error) {
    const notSent = error instanceof NoResponseError && !error.connected;
    return { kind: notSent ? 'not_sent' : 'in_doubt' };
  } finally {
    client.close();
  }
};
