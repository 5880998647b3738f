/**
 * What a shard concludes from the messages of its machines: which may get tasks, which should be asked by direct
 * command, and which are better returned to the cloud.
 *
 * Reachability, named by the direction that fails. The states are found from time stamps when they are asked for,
 * and the two directions may fail together.
 *
 * | state            | sign                                                | consequence                             |
 * | ---------------- | --------------------------------------------------- | --------------------------------------- |
 * | unconfirmed      | no list under our term, or its lease has expired    | gets nothing; probed                    |
 * | fresh            | confirmed, and a list within 2.2 intervals          | may get tasks                           |
 * | stale            | confirmed, but no list for longer than that         | gets nothing new                        |
 * | heartbeats lost  | no heartbeat for 4.5 intervals; with replicas of    | returned to the cloud                   |
 * |                  | services also no list of any kind for 3             |                                         |
 * | commands lost    | heartbeats arrive, but commands show no effect      | probed, gets nothing new; returned when |
 * |                  |                                                     | it lasts, or a stop is overdue          |
 *
 * A list is a heartbeat or the answer to a direct command. Such an answer renews no lease, so it does not replace
 * heartbeats for long. Intervals are those between heartbeats; their numbers are in `constants.ts`.
 */
import { hostsServiceReplicas } from '../shard/placements.js';
import type { MachineState, ShardSettings } from '../shard/types.js';
import {
  COMMANDS_LOST_RETURN_INTERVALS,
  HEARTBEATS_LOST_INTERVALS,
  HEARTBEATS_LOST_SERVICE_INTERVALS,
  STALE_HEARTBEAT_INTERVALS,
  STOP_TIMEOUT_SHARE,
} from './constants.js';

/** To be returned to the cloud, or no longer this shard's: nothing starts there. */
export const isLeaving = (machine: MachineState): boolean =>
  machine.terminating ||
  machine.lifecycle !== 'in-service' ||
  machine.faultStatus === 'quarantined';

/** Finds the states of the table above for single machines of one shard. */
export class MachineHealth {
  constructor(
    private readonly term: number,
    private readonly settings: ShardSettings,
  ) {}

  /** An earlier owner may have started something there. */
  mayHoldInheritedTasks({ record }: MachineState): boolean {
    return record.term !== this.term && record.up;
  }

  /**
   * True for a machine of an earlier term, which should be told of ours at once, and for one that seems to lose
   * commands: an answer to one would show that it does not.
   */
  needsProbe(machine: MachineState): boolean {
    if (machine.terminating) return false;
    if (machine.commandsLostSince !== null) return true;
    const expected = machine.agentEpoch > 0 || this.mayHoldInheritedTasks(machine);
    return machine.confirmedSince === null && expected;
  }

  /** Without heartbeats for so long that the machine is better returned than waited for. */
  heartbeatsLost(machine: MachineState, now: number): boolean {
    const expected = machine.everConfirmed || this.mayHoldInheritedTasks(machine);
    if (!expected) return false;
    // A return that the cloud has confirmed proves a replica gone sooner than the end of its lease does. A worker
    // that is still looking for a living controller answers commands meanwhile.
    const { lastStatusAt, lastHeartbeatAt, trackedSince } = machine;
    const silentMs = now - Math.max(lastStatusAt, lastHeartbeatAt, trackedSince);
    const limitMs = this.settings.heartbeatIntervalMs * HEARTBEATS_LOST_SERVICE_INTERVALS;
    return (
      (silentMs > limitMs && hostsServiceReplicas(machine)) || this.#sendsNoHeartbeats(machine, now)
    );
  }

  /** A machine that only answers commands reaches no controller: its lease ends with all that it runs. */
  #sendsNoHeartbeats({ lastHeartbeatAt, trackedSince }: MachineState, now: number): boolean {
    const limitMs = this.settings.heartbeatIntervalMs * HEARTBEATS_LOST_INTERVALS;
    return now - Math.max(lastHeartbeatAt, trackedSince) > limitMs;
  }

  /**
   * Heartbeats arrive, but commands have had no effect for so long that the machine is better returned: only that
   * surely ends what runs there, which matters for cancelled jobs most of all.
   */
  commandsLost(machine: MachineState, now: number): boolean {
    const { commandsLostSince, unknownTasksSince } = machine;
    const limitMs = this.settings.heartbeatIntervalMs * COMMANDS_LOST_RETURN_INTERVALS;
    if (commandsLostSince !== null && now - commandsLostSince > limitMs) return true;
    const stopTimeoutMs = this.settings.cancelMs * STOP_TIMEOUT_SHARE;
    for (const { stop, job } of machine.tasks.values()) {
      if (stop === null) continue;
      const graceMs = job.ended ? 0 : stop.graceS * 1000;
      if (now - stop.requestedAt > graceMs + stopTimeoutMs) return true;
    }
    return unknownTasksSince !== null && now - unknownTasksSince > stopTimeoutMs;
  }

  /** Confirmed, and heard from lately. */
  isFresh(machine: MachineState, now: number): boolean {
    const limitMs = this.settings.heartbeatIntervalMs * STALE_HEARTBEAT_INTERVALS;
    return (
      machine.confirmedSince !== null &&
      now - machine.lastStatusAt <= limitMs &&
      !this.#sendsNoHeartbeats(machine, now)
    );
  }

  /** A task may start there now, as far as the machine itself is concerned. */
  isSchedulable(machine: MachineState, now: number): boolean {
    return (
      this.isFresh(machine, now) &&
      machine.record.up &&
      machine.type !== null &&
      !isLeaving(machine) &&
      !machine.cordoned &&
      machine.preemptionAt === null &&
      machine.commandsLostSince === null &&
      machine.unknownTaskCount === 0 &&
      machine.backoffUntil <= now
    );
  }
}
