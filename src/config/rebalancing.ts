/** Settings of shard rebalancing (`--shares`, INI). */
import * as z from 'zod';
import { parseIni, numberBetween } from './ini-file.js';
import { readConfigFile } from './platform.js';

/** Schema of the file; deploy/shares.ini documents every key. */
const schema = z
  .object({
    shares: z
      .object({ emptying_most: numberBetween(1, 1000, 20).pipe(z.number().int()) })
      .strict()
      .prefault({}),
  })
  .strict();

/** Settings of machine moves between shards; moves are disabled unless a file is given. */
export interface RebalancingConfig {
  /** maximum number of machines that are cordoned at the same time for one move */
  readonly maxDrainingMachines: number;
}

/** Parses the settings from INI text; throws a `ConfigError` that names every invalid key. */
export const parseRebalancingConfig = (file: string, text: string): RebalancingConfig => ({
  maxDrainingMachines: parseIni(schema, file, text).shares.emptying_most,
});

/** Reads the settings from a file; returns null if `file` is undefined, which disables moves. */
export const loadRebalancingConfig = (file: string | undefined): RebalancingConfig | null =>
  file === undefined ? null : parseRebalancingConfig(file, readConfigFile(file));
