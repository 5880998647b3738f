/** Converts the machines of a shard to candidates for a move. */
import type { Candidate } from '@sumacstep/shard-rebalancing';
import {
  hostsServiceReplicas,
  isLeaving,
  type MachineState,
  type Shard,
} from '../core/shard/shard.js';

/** Returns why a machine cannot move now regardless of the tasks on it, or null. The text is stored and printed. */
const findIneligibleReason = (shard: Shard, machine: MachineState, now: number): string | null => {
  if (isLeaving(machine)) return 'is to be returned';
  if (machine.preemptionAt !== null) return 'has a notice';
  if (!machine.record.up) return 'is not up yet';
  if (!shard.isFresh(machine, now) || machine.commandsLostSince !== null) {
    return 'cannot be reached';
  }
  return null;
};

/**
 * Returns a machine as a candidate for a move at `now` (monotonic clock, ms). The machine is ready to move only if no
 * task is on it and no start of a task can still arrive there.
 */
export const toCandidate = (shard: Shard, machine: MachineState, now: number): Candidate => {
  const { name, type, zone, spot } = machine.record;
  const ineligibleReason = findIneligibleReason(shard, machine, now);
  const empty =
    machine.tasks.size === 0 &&
    machine.unknownTaskCount === 0 &&
    !machine.fencing.hasExecutableStarts &&
    machine.reportedTaskCount === 0;
  return {
    name,
    type,
    zone,
    spot,
    tasks: machine.tasks.size,
    runsService: hostsServiceReplicas(machine),
    ineligibleReason,
    readyToMove: ineligibleReason === null && empty && machine.cordoned,
  };
};
