/** Commands sent to a worker over a connection of their own, without waiting for its next heartbeat. */
import type { Command, Heartbeat } from '../core/model.js';
import { CborClient, NoResponseError } from '../transport/http.js';
import { commandsBody, heartbeatSchema } from '../wire/schemas.js';
import { DIRECT_COMMAND_TIMEOUT_MS } from './constants.js';

/** What is known of the commands afterwards. */
export type DirectCommandResult =
  /** the worker answered */
  | { readonly kind: 'answered'; readonly executed: boolean; readonly heartbeat: Heartbeat }
  /** no connection came about: the worker will never see the commands */
  | { readonly kind: 'not_sent' }
  /** no answer: they may be carried out, even minutes later */
  | { readonly kind: 'in_doubt' };

/**
 * Sends commands under a fencing token to the worker at `address` and returns its status. Never rejects: a lost
 * answer is `in_doubt`, since the worker may still carry the commands out later.
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
    const unsent = error instanceof NoResponseError && !error.connected;
    return { kind: unsent ? 'not_sent' : 'in_doubt' };
  } finally {
    client.close();
  }
};
