import { NotEntitledError } from '@sumacstep/duties';
import { CloudTrouble } from '../cloud/client.js';
import { StateTrouble } from '../store/store-client.js';

/** Whether a call was not carried out, or has no outcome: it is repeated while it is still wanted. */
export const isTrouble = (error: unknown): error is Error =>
  error instanceof StateTrouble ||
  error instanceof CloudTrouble ||
  error instanceof NotEntitledError;
