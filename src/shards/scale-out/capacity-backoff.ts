/** Backoff of rental requests for kinds of machines that the cloud has no capacity for. */
import { NO_CAPACITY_BACKOFF_MS } from './constants.js';
import { machineKindKey, type MachineKind } from '../machine-kind.js';

/** Keeps by kind of machine until when it is not requested again. */
export class CapacityBackoff {
  /** by kind of machine: when its backoff ends, monotonic ms */
  readonly #until = new Map<string, number>();

  /** Starts a backoff of `NO_CAPACITY_BACKOFF_MS`; call it when the cloud has not provided all machines requested. */
  begin(kind: MachineKind, now: number): void {
    this.#until.set(machineKindKey(kind), now + NO_CAPACITY_BACKOFF_MS);
  }

  /** Whether machines of the kind should not be requested now. */
  isActive(kind: MachineKind, now: number): boolean {
    return (this.#until.get(machineKindKey(kind)) ?? 0) > now;
  }
}
