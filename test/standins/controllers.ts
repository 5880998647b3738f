/** Controllers of a cluster, of the present sources or of the version in production. */
import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import pino from 'pino';
import { parseOperatorConfig } from '../../src/config/operator.js';
import type { PlatformConfig } from '../../src/config/platform.js';
import { Service, type OptionalFeatures } from '../../src/service/service.js';

/** A controller from its start to its end, of either version. */
export interface Controller {
  /** Resolves once it listens, or has exited before. */
  start(): Promise<void>;
  /** Ends it without a shutdown; resolves once its ports are free. */
  kill(): Promise<void>;
}

/** The present sources in the process of the test (`current`) or in their own (`current-process`), or `production`. */
export type Version = 'current' | 'current-process' | 'production';

/** A line that a controller in its own process logged. */
export type LogLine = Readonly<Record<string, unknown>> & { readonly msg: string };

/** Runs the present sources in the process of the test. */
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

/** Runs a controller in its own process, which can exit by itself and can be frozen. */
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
    const started = Promise.race([this.#listening(child), once(child, 'exit')]);
    child.send(this.settings as object);
    await started;
  }

  /** Resolves when the process reports that it listens. */
  #listening(child: ChildProcess): Promise<void> {
    return new Promise((resolve) => {
      child.on('message', (message) => {
        if (message === 'listening') resolve();
      });
    });
  }

  /** Stops the process with its connections open, or resumes it; clocks go on meanwhile. */
  freeze(frozen: boolean): void {
    this.#process?.kill(frozen ? 'SIGSTOP' : 'SIGCONT');
  }

  async kill(): Promise<void> {
    const child = this.#process;
    this.#process = null;
    if (child === null || child.exitCode !== null) return;
    const exited = once(child, 'exit');
    child.kill('SIGKILL');
    await exited;
  }
}

/** Returns the settings under the names that the version in production uses. */
const productionSettings = ({
  store,
  storeLimits,
  workers,
  ...unchanged
}: PlatformConfig): unknown => {
  const { heartbeatIntervalS, ...intervals } = workers;
  return {
    ...unchanged,
    state: store,
    stateLimits: storeLimits,
    workers: { reportS: heartbeatIntervalS, ...intervals },
  };
};

/** Creates a controller. `onCrash` is called when it exits by itself, which only one in its own process can. */
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
