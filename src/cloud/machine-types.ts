/** A cache of the cloud's machine types. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Logger } from 'pino';
import type { MachineType } from '../core/model.js';
import type { CloudClient } from './cloud-client.js';
import { MACHINE_TYPES_REFRESH_MS, MACHINE_TYPES_RETRY_MS } from './constants.js';
import { CloudRequestError } from './errors.js';

/** Caches the machine types of the cloud, and reads them again at intervals because prices change. */
export class MachineTypes {
  #machineTypes: ReadonlyMap<string, MachineType> | null = null;

  constructor(
    private readonly cloud: Pick<CloudClient, 'listMachineTypes'>,
    private readonly log: Logger,
  ) {}

  /** Returns the machine types by name; null until they have been read for the first time. */
  get current(): ReadonlyMap<string, MachineType> | null {
    return this.#machineTypes;
  }

  /** Reads the machine types repeatedly until the signal is aborted, and then rejects with its `AbortError`. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const refreshed = await this.#refresh();
      await sleep(refreshed ? MACHINE_TYPES_REFRESH_MS : MACHINE_TYPES_RETRY_MS, undefined, {
        signal,
      });
    }
  }

  /** Reads the machine types; resolves with whether it succeeded. After a failure the earlier types stay in place. */
  async #refresh(): Promise<boolean> {
    try {
      const machineTypes = await this.cloud.listMachineTypes();
      this.#machineTypes = new Map(machineTypes.map((type) => [type.name, type]));
      return true;
    } catch (error) {
      if (!(error instanceof CloudRequestError)) throw error;
      this.log.debug({ kind: error.kind, error: error.message }, 'machine types not read');
      return false;
    }
  }
}
