import { NotLeaderError } from '@sumacstep/leader-election';
import { CloudRequestError } from '../cloud/errors.js';
import { StoreRequestError } from '../store/errors.js';

/** Whether a call was not carried out, or has no outcome: it is repeated while it is still wanted. */
export const isRetryable = (error: unknown): error is Error =>
  error instanceof StoreRequestError ||
  error instanceof CloudRequestError ||
  error instanceof NotLeaderError;
