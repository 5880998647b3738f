/** Kinds of machines of which the cloud had no more, and until when they are not asked for again. */
import { NO_CAPACITY_BACKOFF_MS } from './constants.js';
import { machineKindKey, type MachineKind } from '../machine-kind.js';

/** Backoff by kind of machine after the cloud's answer "no capacity". */
export class CapacityBackoff {
  /** by kind, steady ms */
  readonly #until = new Map<string, number>();

  /** The cloud has just refused machines of the kind. */
  begin(kind: MachineKind, now: number): void {
    this.#until.set(machineKindKey(kind), now + NO_CAPACITY_BACKOFF_MS);
  }

  isActive(kind: MachineKind, now: number): boolean {
    return (this.#until.get(machineKindKey(kind)) ?? 0) > now;
  }
}
