/** Which failures of calls to the store and the cloud the control loops repeat. */
import { NotLeaderError } from '@sumacstep/leader-election';
import { CloudRequestError } from '../cloud/cloud-client.js';
import { StoreRequestError } from '../store/store-client.js';

/** Whether a call was not carried out, or its outcome is not known: it is repeated while it is still wanted. */
export const isRetryable = (error: unknown): error is Error =>
  error instanceof StoreRequestError ||
  error instanceof CloudRequestError ||
  error instanceof NotLeaderError;
