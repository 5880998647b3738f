/**
 * Entry point of a child process that runs one controller of the present sources. The first message of the parent holds
 * its settings. The child sends `listening` once it serves, and each line that it logs as an object.
 */
import pino from 'pino';
import { parseOperatorConfig } from '../../src/config/operator.js';
import type { PlatformConfig } from '../../src/config/platform.js';
import { Service, type OptionalFeatures } from '../../src/service/service.js';

/** The parent's first message. */
interface Settings {
  readonly config: PlatformConfig;
  readonly features: OptionalFeatures;
}

const fail = () => process.exit(1);
process.on('uncaughtException', fail);
process.on('unhandledRejection', fail);
// Without its parent, nothing else would ever end this process.
process.on('disconnect', fail);

const toParent = { write: (line: string) => void process.send?.(JSON.parse(line) as object) };

process.once('message', ({ config, features }: Settings) => {
  const log = pino({ level: 'info' }, toParent);
  const service = new Service(config, parseOperatorConfig('', ''), log, features);
  void service.start().then(() => process.send?.('listening'));
});
