/** Settings of the singleton controllers (`--duties`, INI). */
import * as z from 'zod';
import { parseIni, numberBetween } from './ini-file.js';
import { readConfigFile } from './platform.js';

/** Schema of the file; deploy/duties.ini documents every key. */
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

/** Settings of the singleton controllers, which are disabled unless a file is given. */
export interface SingletonsConfig {
  /** whether a write-ahead intent is stored before machines are returned to the cloud */
  readonly recordReturnIntents: boolean;
  /** whether a singleton returns instances that no stored record names; if false, a shard adopts them */
  readonly collectOrphans: boolean;
  /** whether a singleton deletes obsolete stored state */
  readonly collectGarbage: boolean;
  /** minimum time for which the final state of a job is kept */
  readonly finalStateRetentionMs: number;
  /** maximum rate of store writes by garbage collection */
  readonly garbageCollectionWritesPerS: number;
}

const MS_PER_HOUR = 3_600_000;

/** Parses the settings from INI text; throws a `ConfigError` that names every invalid key. */
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

/** Reads the settings from a file; returns null if `file` is undefined, which disables the singleton controllers. */
export const loadSingletonsConfig = (file: string | undefined): SingletonsConfig | null =>
  file === undefined ? null : parseSingletonsConfig(file, readConfigFile(file));
