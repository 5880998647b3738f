import { NotLeaderError } from '@sumacstep/leader-election';
import { CloudRequestError } from '../cloud/cloud-client.js';
import { StoreRequestError } from '../store/store-client.js';

/** Whether a call was not carried out, or has no outcome: it is repeated while it is still wanted. */
export const isRetryable = (error: unknown): error is Error =>
  error instanceof StoreRequestError ||
  error instanceof CloudRequestError ||
  error instanceof NotLeaderError;
