/** Settings of the singleton controllers (`--duties`, INI). */
import * as z from 'zod';
import { parseIni, numberBetween } from './ini-file.js';
import { readConfigFile } from './platform.js';

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
        final_keep_h: numberBetween(1, 87_600, 720),
        writes_per_s: numberBetween(0.1, 1000, 2),
      })
      .strict()
      .prefault({}),
  })
  .strict();

/** Settings of the singleton controllers; they run only where a file gives them. */
export interface SingletonsConfig {
  /** whether a write-ahead intent is recorded before machines are returned */
  readonly recordReturnIntents: boolean;
  /** whether a singleton returns instances that no record names; otherwise a shard adopts them */
  readonly collectOrphans: boolean;
  /** whether a singleton deletes old stored state */
  readonly collectGarbage: boolean;
  /** ms; final states of jobs are kept at least this long */
  readonly finalStateRetentionMs: number;
  /** store writes a second that garbage collection may use */
  readonly garbageCollectionWritesPerS: number;
}

const MS_PER_HOUR = 3_600_000;

/** Reads the settings from INI text; throws a `ConfigError` that names every bad key. */
export const parseSingletonsConfig = (file: string, text: string): SingletonsConfig => {
  const { returns, reclaim, clear } = parseIni(schema, file, text);
  return {
    recordReturnIntents: returns.record,
    collectOrphans: reclaim.enabled,
    collectGarbage: clear.enabled,
    finalStateRetentionMs: clear.final_keep_h * MS_PER_HOUR,
    garbageCollectionWritesPerS: clear.writes_per_s,
  };
};

/** Null without a file: singleton controllers are off. */
export const loadSingletonsConfig = (file: string | undefined): SingletonsConfig | null =>
  file === undefined ? null : parseSingletonsConfig(file, readConfigFile(file));
