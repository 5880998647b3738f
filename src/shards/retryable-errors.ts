/** Errors after which a control loop simply tries again in a later round. */
import { NotLeaderError } from '@sumacstep/leader-election';
import type { Logger } from 'pino';
import { CloudRequestError } from '../cloud/errors.js';
import { StoreRequestError } from '../store/errors.js';

/** Whether a call was not carried out, or has no outcome: it is repeated while it is still wanted. */
export const isRetryable = (error: unknown): error is Error =>
  error instanceof StoreRequestError ||
  error instanceof CloudRequestError ||
  error instanceof NotLeaderError;

/** Runs one attempt of work that is repeated anyway: a retryable error is logged as `failure`, others pass. */
export const attempt = async (
  log: Logger,
  failure: string,
  work: () => Promise<void>,
): Promise<void> => {
  try {
    await work();
  } catch (error) {
    if (!isRetryable(error)) throw error;
    log.debug({ error: error.message }, failure);
  }
};
