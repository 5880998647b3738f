import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import pino from 'pino';
import { parseOperatorConfig } from '../../src/config/operator.js';
import type { PlatformConfig } from '../../src/config/platform.js';
import { Service, type OptionalFeatures } from '../../src/service/service.js';

/** One life of a controller, of either version. */
export interface Controller {
  /** Resolves once it listens, or has ended before. */
  start(): Promise<void>;
  /** Ends it without any farewell; resolves once its ports are free. */
  kill(): Promise<void>;
}

/** The present sources in the process of the test or in one of their own, or the version in production. */
export type Version = 'current' | 'current-process' | 'production';

/** A line that a controller in a process of its own logged. */
export type LogLine = Readonly<Record<string, unknown>> & { readonly msg: string };

/** The present sources, in the process of the test. */
class CurrentController implements Controller {
  readonly #service: Service;

  constructor(config: PlatformConfig, features: OptionalFeatures) {
    const log = pino({ level: 'silent' });
    this.#service = new Service(config, parseOperatorConfig('', ''), log, features);
  }

  start(): Promise<void> {
    return this.#service.start();
  }

  kill(): Promise<void> {
    this.#service.close();
    return Promise.resolve();
  }
}

/** A controller in a process of its own: it may end by itself, and can be frozen. */
export class ProcessController implements Controller {
  #process: ChildProcess | null = null;
  readonly log: LogLine[] = [];

  constructor(
    private readonly entry: 'production-process.js' | 'controller-process.js',
    private readonly settings: unknown,
    private readonly onCrash: () => void,
  ) {}

  async start(): Promise<void> {
    const entry = fileURLToPath(new URL(`./${this.entry}`, import.meta.url));
    const child = fork(entry, { serialization: 'advanced', stdio: 'ignore' });
    this.#process = child;
    child.on('message', (message) => {
      if (typeof message === 'object') this.log.push(message as LogLine);
    });
    child.once('exit', () => {
      if (this.#process === child) this.onCrash();
    });
    const begun = Promise.race([this.#listening(child), once(child, 'exit')]);
    child.send(this.settings as object);
    await begun;
  }

  #listening(child: ChildProcess): Promise<void> {
    return new Promise((resolve) => {
      child.on('message', (message) => {
        if (message === 'listening') resolve();
      });
    });
  }

  /** The process stands still, with its connections and clocks as they are, or goes on. */
  freeze(frozen: boolean): void {
    this.#process?.kill(frozen ? 'SIGSTOP' : 'SIGCONT');
  }

  async kill(): Promise<void> {
    const child = this.#process;
    this.#process = null;
    if (child === null || child.exitCode !== null) return;
    const ended = once(child, 'exit');
    child.kill('SIGKILL');
    await ended;
  }
}

/** The settings as the bundled version in production names them. */
const productionSettings = ({ store, storeLimits, workers, ...same }: PlatformConfig): unknown => {
  const { heartbeatIntervalS, ...intervals } = workers;
  return {
    ...same,
    state: store,
    stateLimits: storeLimits,
    workers: { reportS: heartbeatIntervalS, ...intervals },
  };
};

/** `onCrash` is called when the controller ends by itself. */
export const createController = (
  version: Version,
  config: PlatformConfig,
  features: OptionalFeatures,
  onCrash: () => void,
): Controller => {
  switch (version) {
    case 'current':
      return new CurrentController(config, features);
    case 'current-process':
      return new ProcessController('controller-process.js', { config, features }, onCrash);
    case 'production':
      return new ProcessController('production-process.js', productionSettings(config), onCrash);
  }
};
