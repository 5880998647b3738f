import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import pino from 'pino';
import { parseOperator } from '../../src/config/operator.js';
import type { PlatformConfig } from '../../src/config/platform.js';
import { Service } from '../../src/service.js';

/** One life of a controller, of either version. */
export interface Controller {
  /** Resolves once it listens, or has ended before. */
  start(): Promise<void>;
  /** Ends it without any farewell; resolves once its ports are free. */
  kill(): Promise<void>;
}

export type Version = 'current' | 'production';

/** The present sources, in the process of the test. */
class CurrentController implements Controller {
  readonly #service: Service;

  constructor(config: PlatformConfig) {
    this.#service = new Service(config, parseOperator('', ''), pino({ level: 'silent' }));
  }

  start(): Promise<void> {
    return this.#service.start();
  }

  kill(): Promise<void> {
    this.#service.close();
    return Promise.resolve();
  }
}

/** The version in production, in a process of its own since it may end by itself. */
class ProductionController implements Controller {
  #process: ChildProcess | null = null;

  constructor(
    private readonly config: PlatformConfig,
    private readonly onCrash: () => void,
  ) {}

  async start(): Promise<void> {
    const entry = fileURLToPath(new URL('./production-process.js', import.meta.url));
    const child = fork(entry, { serialization: 'advanced', stdio: 'ignore' });
    this.#process = child;
    child.once('exit', () => {
      if (this.#process === child) this.onCrash();
    });
    const begun = Promise.race([once(child, 'message'), once(child, 'exit')]);
    child.send(this.config);
    await begun;
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

/** `onCrash` is called when the controller ends by itself. */
export const createController = (
  version: Version,
  config: PlatformConfig,
  onCrash: () => void,
): Controller =>
  version === 'current' ? new CurrentController(config) : new ProductionController(config, onCrash);
