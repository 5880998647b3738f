/** Timeouts of a shard: leases, unsent starts and reservations. */
import { MAX_RELATIVE_CLOCK_DRIFT } from '../../constants.js';
import { knownAgentEpoch } from './agent-epoch.js';
import { UNDISPATCHED_START_TIMEOUT_MS, WORKER_LEASE_MARGIN_MS } from './constants.js';
import { InertAttempt } from './inert-attempt.js';
import { machineEvent } from './machine-events.js';
import type { ShardState } from './shard-state.js';
import type { MachineState } from './types.js';

/**
 * Ends expired worker leases and releases the tasks on those machines. Also releases placements whose start was not
 * sent in time, clears expired reservations, and removes orphaned machines that are empty.
 */
export const expireLeases = (state: ShardState, now: number): void => {
  const leaseMs = state.settings.leaseMs * (1 + MAX_RELATIVE_CLOCK_DRIFT) + WORKER_LEASE_MARGIN_MS;
  for (const machine of state.machines.values()) {
    const expired = InertAttempt.leaseExpired(machine, now, leaseMs);
    if (expired !== null) endLease(state, machine, now, expired);
    if (machine.hasUnsentStarts) releaseOverdueStarts(state, machine, now);
    if (machine.reservation !== null && now > machine.reservation.until) machine.reservation = null;
    if (machine.lifecycle === 'orphaned' && machine.tasks.size === 0) {
      state.removeMachine(machine.record.name, now);
    }
  }
};

/** Releases the placements of a machine whose start was not sent in time. */
const releaseOverdueStarts = (state: ShardState, machine: MachineState, now: number): void => {
  for (const placement of [...machine.tasks.values()]) {
    const overdue = now - placement.placedAt > UNDISPATCHED_START_TIMEOUT_MS;
    if (overdue) state.releaseIfNotSent(placement, now);
  }
};

/**
 * Releases all tasks of a machine whose lease has expired. Under this shard's term only this shard's answers renew the
 * lease, and the last one is too old, so the worker has killed its tasks, whether or not it is reachable. Its later
 * agent epochs have no tasks until it has confirmed the term anew.
 */
const endLease = (
  state: ShardState,
  machine: MachineState,
  now: number,
  evidence: InertAttempt<'lease-expired'>,
): void => {
  const tasks = machine.tasks.size;
  state.machineEvents.push(machineEvent('lease-expired', machine, now, { tasks }));
  machine.confirmedSince = null;
  machine.minimumAgentEpoch = knownAgentEpoch(machine) + 1;
  for (const placement of [...machine.tasks.values()]) state.release(placement, now, evidence);
};
