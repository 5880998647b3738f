import pino, { type Logger } from 'pino';
import { ConfigError } from './config/platform.js';

const LEVELS = ['error', 'info', 'debug'] as const;

/** Structured lines on standard error, written at once and without worker threads. */
export const createLogger = (level: string | undefined, node: string): Logger => {
  const wanted = level === undefined || level === '' ? 'info' : level;
  if (!(LEVELS as readonly string[]).includes(wanted)) {
    throw new ConfigError('LOG_LEVEL', [`"${wanted}" is none of ${LEVELS.join(', ')}`]);
  }
  return pino({ level: wanted, base: { node } }, pino.destination({ dest: 2, sync: true }));
};
