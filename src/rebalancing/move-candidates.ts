/** Machines of a shard as the selection of machines for a move sees them. */
import type { Candidate } from '@sumacstep/shard-rebalancing';
import {
  hostsServiceReplicas,
  isLeaving,
  type MachineState,
  type Shard,
} from '../core/shard/shard.js';

/** Why a machine can't move now whatever it runs, or null. The text is stored and printed. */
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
 * A machine as a candidate at `now` (steady ms). It is ready to move only when nothing is on it and nothing may
 * still arrive there.
 */
export const toCandidate = (shard: Shard, machine: MachineState, now: number): Candidate => {
  const { name, type, zone, spot } = machine.record;
  const ineligibleBecause = findIneligibleReason(shard, machine, now);
  const empty =
    machine.tasks.size === 0 &&
    machine.unknownTaskCount === 0 &&
    machine.unsettledDirectStarts.size === 0 &&
    machine.reportedTaskCount === 0;
  return {
    name,
    type,
    zone,
    spot,
    tasks: machine.tasks.size,
    runsService: hostsServiceReplicas(machine),
    ineligibleReason: ineligibleBecause,
    readyToMove: ineligibleBecause === null && empty && machine.cordoned,
  };
};
