/** Codec of final states of jobs (`final/<uid>`); the first one written never changes. */
import * as z from 'zod';
import { nonNegativeInteger } from './schema-parts.js';

/** How a job ended. */
export interface FinalState {
  readonly status: 'done' | 'cancelled';
  readonly tasks: number;
  /** tasks that were completed */
  readonly done: number;
}

const storedFinalStateSchema = z.object({
  status: z.enum(['done', 'cancelled']),
  tasks: nonNegativeInteger,
  done: nonNegativeInteger,
});

/** A final state as it is stored. */
export const encodeFinalState = ({
  status,
  tasks,
  done,
}: FinalState): z.infer<typeof storedFinalStateSchema> => ({ status, tasks, done });

/** Reads a stored final state; throws if it is none. */
export const decodeFinalState = (value: unknown): FinalState => storedFinalStateSchema.parse(value);
