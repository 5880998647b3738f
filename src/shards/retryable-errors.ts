/** Errors after which a control loop tries again in a later round. */
import { NotLeaderError } from '@sumacstep/leader-election';
import type { Logger } from 'pino';
import { CloudRequestError } from '../cloud/errors.js';
import { StoreRequestError } from '../store/errors.js';

/** Returns whether the error means that a call was not carried out or its outcome is unknown, so it may be repeated. */
export const isRetryable = (error: unknown): error is Error =>
  error instanceof StoreRequestError ||
  error instanceof CloudRequestError ||
  error instanceof NotLeaderError;

/**
 * Runs one attempt of work that a later round repeats if necessary. Logs a retryable error with the message `failure`,
 * and rethrows any other error.
 */
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
