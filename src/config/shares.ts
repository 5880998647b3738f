import * as z from 'zod';
import { parseIni, range } from './ini-file.js';
import { readText } from './platform.js';

/** Every key is documented in deploy/shares.ini. */
const schema = z
  .object({
    shares: z
      .object({ emptying_most: range(1, 1000, 20).pipe(z.number().int()) })
      .strict()
      .prefault({}),
  })
  .strict();

/** Settings of moves of machines between shards. A file that gives them switches the moves on. */
export interface SharesConfig {
  /** machines of one move that take no new work at the same time */
  readonly emptyingMost: number;
}

export const parseShares = (file: string, text: string): SharesConfig => ({
  emptyingMost: parseIni(schema, file, text).shares.emptying_most,
});

/** Null without a file: moves are off. */
export const loadShares = (file: string | undefined): SharesConfig | null =>
  file === undefined ? null : parseShares(file, readText(file));
