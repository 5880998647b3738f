/** Keeps the cloud's machine types at hand. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Logger } from 'pino';
import type { MachineType } from '../core/model.js';
import type { CloudClient } from './cloud-client.js';
import { MACHINE_TYPES_REFRESH_MS, MACHINE_TYPES_RETRY_MS } from './constants.js';
import { CloudRequestError } from './errors.js';

/** The machine types of the cloud, read again from time to time since prices change. */
export class MachineTypes {
  #machineTypes: ReadonlyMap<string, MachineType> | null = null;

  constructor(
    private readonly cloud: Pick<CloudClient, 'listMachineTypes'>,
    private readonly log: Logger,
  ) {}

  /** By name; null until they have been read for the first time. */
  get current(): ReadonlyMap<string, MachineType> | null {
    return this.#machineTypes;
  }

  /** Reads them until the signal is given, and then rejects with its `AbortError`. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const read = await this.#refresh();
      await sleep(read ? MACHINE_TYPES_REFRESH_MS : MACHINE_TYPES_RETRY_MS, undefined, { signal });
    }
  }

  /** Returns whether they were read; if not, the old ones stay. */
  async #refresh(): Promise<boolean> {
    try {
      const types = await this.cloud.listMachineTypes();
      this.#machineTypes = new Map(types.map((type) => [type.name, type]));
      return true;
    } catch (error) {
      if (!(error instanceof CloudRequestError)) throw error;
      this.log.debug({ kind: error.kind, error: error.message }, 'machine types not read');
      return false;
    }
  }
}
