/** Creates the process's logger. */
import pino, { type Logger } from 'pino';
import { ConfigError } from './config/platform.js';

const LEVELS = ['error', 'info', 'debug'] as const;

/**
 * Creates a logger that writes JSON lines to standard error, synchronously and without worker threads. `level` is the
 * value of `LOG_LEVEL`; if it is undefined or empty, the level is `info`. Throws a `ConfigError` if it is invalid.
 */
export const createLogger = (level: string | undefined, node: string): Logger => {
  const effectiveLevel = level === undefined || level === '' ? 'info' : level;
  if (!(LEVELS as readonly string[]).includes(effectiveLevel)) {
    throw new ConfigError('LOG_LEVEL', [`"${effectiveLevel}" is none of ${LEVELS.join(', ')}`]);
  }
  return pino({ level: effectiveLevel, base: { node } }, pino.destination({ dest: 2, sync: true }));
};
