/** Codec of final states of jobs (`final/<uid>`). Once written, a final state never changes. */
import * as z from 'zod';
import { nonNegativeInteger } from './schema-parts.js';

/** How a job ended. */
export interface FinalState {
  readonly status: 'done' | 'cancelled';
  /** number of the job's tasks */
  readonly tasks: number;
  /** number of tasks that were completed */
  readonly done: number;
}

const storedFinalStateSchema = z.object({
  status: z.enum(['done', 'cancelled']),
  tasks: nonNegativeInteger,
  done: nonNegativeInteger,
});

/** Returns the stored form of a final state. */
export const encodeFinalState = ({
  status,
  tasks,
  done,
}: FinalState): z.infer<typeof storedFinalStateSchema> => ({ status, tasks, done });

/** Decodes a stored final state; throws if the value is malformed. */
export const decodeFinalState = (value: unknown): FinalState => storedFinalStateSchema.parse(value);
