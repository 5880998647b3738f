import * as z from 'zod';
import { parseIni, range } from './ini-file.js';
import { readText } from './platform.js';

/** Every key is documented in deploy/duties.ini. */
const schema = z
  .object({
    returns: z
      .object({ record: z.boolean().default(true) })
      .strict()
      .prefault({}),
    reclaim: z
      .object({ enabled: z.boolean().default(true) })
      .strict()
      .prefault({}),
    clear: z
      .object({
        enabled: z.boolean().default(false),
        final_keep_h: range(1, 87_600, 720),
        writes_per_s: range(0.1, 1000, 2),
      })
      .strict()
      .prefault({}),
  })
  .strict();

/** Settings of the exclusive duties. A file that gives them switches the duties on. */
export interface DutiesConfig {
  /** whether returns are recorded before they are sent */
  readonly recordReturns: boolean;
  /** whether machines that no record knows are returned by one node, instead of adopted by a shard */
  readonly reclaim: boolean;
  /** whether old state is cleared */
  readonly clear: boolean;
  /** ms that the final state of a job is kept at least */
  readonly finalKeepMs: number;
  /** puts and deletes a second that clearing may take */
  readonly clearWritesPerS: number;
}

const MS_PER_HOUR = 3_600_000;

export const parseDuties = (file: string, text: string): DutiesConfig => {
  const { returns, reclaim, clear } = parseIni(schema, file, text);
  return {
    recordReturns: returns.record,
    reclaim: reclaim.enabled,
    clear: clear.enabled,
    finalKeepMs: clear.final_keep_h * MS_PER_HOUR,
    clearWritesPerS: clear.writes_per_s,
  };
};

/** Null without a file: the duties are off. */
export const loadDuties = (file: string | undefined): DutiesConfig | null =>
  file === undefined ? null : parseDuties(file, readText(file));
