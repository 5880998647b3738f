/**
 * Entry point of a child process that runs one controller of the version in production, bundled in
 * test/fixtures/production. The first message of the parent holds its settings. The child sends `listening` once it
 * serves, and exits like the real program when an error is not handled.
 */
import pino from 'pino';
import { installProduction } from './production-installation.js';

/** The exports of the bundle that this process uses. */
interface ProductionModule {
  readonly Service: new (
    settings: unknown,
    operator: unknown,
    log: unknown,
  ) => { start(): Promise<void> };
  readonly parseOperator: (file: string, text: string) => unknown;
}

const fail = () => process.exit(1);
process.on('uncaughtException', fail);
process.on('unhandledRejection', fail);
// Without its parent, nothing else would ever end this process.
process.on('disconnect', fail);

process.once('message', (settings: unknown) => {
  void (async () => {
    const production = (await import(installProduction().href)) as ProductionModule;
    const log = pino({ level: 'silent' });
    await new production.Service(settings, production.parseOperator('', ''), log).start();
    process.send?.('listening');
  })();
});
