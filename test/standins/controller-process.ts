/**
 * Entry point of a child process that runs one controller of the present sources. It gets its settings by the
 * first message of its parent, answers with `listening`, and sends each line that it logs.
 */
import pino from 'pino';
import { parseOperatorConfig } from '../../src/config/operator.js';
import type { PlatformConfig } from '../../src/config/platform.js';
import { Service, type OptionalFeatures } from '../../src/service/service.js';

interface Settings {
  readonly config: PlatformConfig;
  readonly features: OptionalFeatures;
}

const fail = () => process.exit(1);
process.on('uncaughtException', fail);
process.on('unhandledRejection', fail);
// Without its parent nobody would ever end this process.
process.on('disconnect', fail);

const toParent = { write: (line: string) => void process.send?.(JSON.parse(line) as object) };

process.once('message', ({ config, features }: Settings) => {
  const log = pino({ level: 'info' }, toParent);
  const service = new Service(config, parseOperatorConfig('', ''), log, features);
  void service.start().then(() => process.send?.('listening'));
});
