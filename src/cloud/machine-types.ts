import { setTimeout as sleep } from 'node:timers/promises';
import type { Logger } from 'pino';
import { TYPES_REFRESH_MS, TYPES_RETRY_MS } from './constants.js';
import type { MachineType } from '../core/model.js';
import { CloudRequestError, type CloudClient } from './cloud-client.js';

/** The machine types of the cloud, read anew from time to time since prices move. */
export class MachineTypes {
  #types: ReadonlyMap<string, MachineType> | null = null;

  constructor(
    private readonly cloud: Pick<CloudClient, 'listMachineTypes'>,
    private readonly log: Logger,
  ) {}

  /** By name; null until they have been read for the first time. */
  get current(): ReadonlyMap<string, MachineType> | null {
    return this.#types;
  }

  /** Reads them until the signal is given. */
  async run(stop: AbortSignal): Promise<void> {
    while (!stop.aborted) {
      const read = await this.#read();
      await sleep(read ? TYPES_REFRESH_MS : TYPES_RETRY_MS, undefined, { signal: stop });
    }
  }

  async #read(): Promise<boolean> {
    try {
      const types = await this.cloud.listMachineTypes();
      this.#types = new Map(types.map((t) => [t.name, t]));
      return true;
    } catch (error) {
      if (!(error instanceof CloudRequestError)) throw error;
      this.log.debug({ error: error.message }, 'machine types not read');
      return false;
    }
  }
}
