/** Context shared by all components of a node's process: settings, incarnation, clocks, randomness and log. */
import type { Logger } from 'pino';
import { monotonicMs, timeOfDayMs } from '../clock.js';
import type { OperatorConfig } from '../config/operator.js';
import type { PlatformConfig } from '../config/platform.js';
import { seededRandomInt } from '../random.js';

/**
 * Exclusive upper bound of the random part of an incarnation, which distinguishes incarnations that started within
 * the same millisecond.
 */
const INCARNATION_RANDOM_LIMIT = 2 ** 30;

/** Settings, identity and clocks of one incarnation of a node. */
export interface NodeContext {
  readonly config: PlatformConfig;
  readonly operator: OperatorConfig;
  /** identifies this run of the node's process; every restart gets a new one */
  readonly incarnation: string;
  /** returns a random integer from 0 to `below` - 1 */
  readonly random: (below: number) => number;
  /** monotonic clock, ms */
  readonly now: () => number;
  /** wall clock, ms */
  readonly timeOfDay: () => number;
  readonly log: Logger;
}

/** Creates the context of a new incarnation, with the clocks of the system. */
export const createNodeContext = (
  config: PlatformConfig,
  operator: OperatorConfig,
  log: Logger,
): NodeContext => {
  const seed = (timeOfDayMs() * 1000 + Math.floor(monotonicMs() * 1000) + process.pid) | 0;
  const random = seededRandomInt(seed);
  const startedAt = timeOfDayMs().toString(36);
  const incarnation = `${startedAt}${random(INCARNATION_RANDOM_LIMIT).toString(36)}`;
  return { config, operator, incarnation, random, now: monotonicMs, timeOfDay: timeOfDayMs, log };
};
