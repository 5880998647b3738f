/** What every part of a node's process shares: settings, identity, clocks, randomness and the log. */
import type { Logger } from 'pino';
import { steadyMs, timeOfDayMs } from '../clock.js';
import type { OperatorConfig } from '../config/operator.js';
import type { PlatformConfig } from '../config/platform.js';
import { seededRandomInt } from '../random.js';

/** Random part of an incarnation's name: it tells lives apart that began within the same millisecond. */
const INCARNATION_RANDOM_LIMIT = 2 ** 30;

/** One life of a node. */
export interface NodeContext {
  readonly config: PlatformConfig;
  readonly operator: OperatorConfig;
  /** names this life: a restarted node has another one */
  readonly incarnation: string;
  /** a random whole number below the given one */
  readonly random: (below: number) => number;
  /** the steady clock, ms */
  readonly now: () => number;
  /** the time of day, ms */
  readonly timeOfDay: () => number;
  readonly log: Logger;
}

/** Begins a new life of the node with its real clocks. */
export const createNodeContext = (
  config: PlatformConfig,
  operator: OperatorConfig,
  log: Logger,
): NodeContext => {
  const seed = (timeOfDayMs() * 1000 + Math.floor(steadyMs() * 1000) + process.pid) | 0;
  const random = seededRandomInt(seed);
  const startedAt = timeOfDayMs().toString(36);
  const incarnation = `${startedAt}${random(INCARNATION_RANDOM_LIMIT).toString(36)}`;
  return { config, operator, incarnation, random, now: steadyMs, timeOfDay: timeOfDayMs, log };
};
