/** Settings of shard rebalancing (`--shares`, INI). */
import * as z from 'zod';
import { parseIni, numberBetween } from './ini-file.js';
import { readConfigFile } from './platform.js';

/** Every key is documented in deploy/shares.ini. */
const schema = z
  .object({
    shares: z
      .object({ emptying_most: numberBetween(1, 1000, 20).pipe(z.number().int()) })
      .strict()
      .prefault({}),
  })
  .strict();

/** Settings of machine moves between shards; moves are off without a file. */
export interface RebalancingConfig {
  /** machines of one move that are cordoned at the same time */
  readonly maxDrainingMachines: number;
}

/** Reads the settings from INI text; throws a `ConfigError` that names every bad key. */
export const parseRebalancingConfig = (file: string, text: string): RebalancingConfig => ({
  maxDrainingMachines: parseIni(schema, file, text).shares.emptying_most,
});

/** Null without a file: moves are off. */
export const loadRebalancingConfig = (file: string | undefined): RebalancingConfig | null =>
  file === undefined ? null : parseRebalancingConfig(file, readConfigFile(file));
