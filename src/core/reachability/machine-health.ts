/**
 * Derives the reachability of a shard's machines from their messages: which machines may get tasks, which are probed
 * by direct command, and which are returned to the cloud.
 *
 * The states are named after the direction of communication that fails. They are computed from timestamps on
 * demand, and both directions may fail at the same time.
 *
 * | state           | condition                                            | consequence                           |
 * | --------------- | ---------------------------------------------------- | ------------------------------------- |
 * | unconfirmed     | no task list under this shard's term, or the lease   | gets no tasks; probed                 |
 * |                 | of the worker has expired                            |                                       |
 * | fresh           | confirmed, and a task list within 2.2 intervals      | may get tasks                         |
 * | stale           | confirmed, but no task list for 2.2 intervals        | gets no new tasks                     |
 * | heartbeats lost | no heartbeat for 4.5 intervals or, on a machine with | returned to the cloud                 |
 * |                 | service replicas, no task list for 3 intervals       |                                       |
 * | commands lost   | heartbeats arrive, but commands have no effect       | probed, gets no new tasks; returned   |
 * |                 |                                                      | if this lasts or a stop is overdue    |
 *
 * A task list is a heartbeat or the answer to a direct command. Only heartbeats renew the worker's lease, so answers
 * to commands can't replace them for long. Intervals are those between heartbeats; the thresholds are defined in
 * `constants.ts`.
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

/** Whether the machine is to be returned to the cloud or no longer belongs to this shard: no task may start there. */
export const isLeaving = (machine: MachineState): boolean =>
  machine.terminating ||
  machine.lifecycle !== 'in-service' ||
  machine.faultStatus === 'quarantined';

/** Computes the reachability states above for the machines of one shard. */
export class MachineHealth {
  constructor(
    private readonly term: number,
    private readonly settings: ShardSettings,
  ) {}

  /** Whether an earlier owner of the shard may have started tasks on the machine. */
  mayHoldInheritedTasks({ record }: MachineState): boolean {
    return record.term !== this.term && record.up;
  }

  /**
   * Whether the machine should be sent a direct command to get its task list. This is so for a machine that has not
   * confirmed this shard's term, which it learns at once by the probe, and for one that seems to lose commands,
   * since an answer would show that they arrive.
   */
  needsProbe(machine: MachineState): boolean {
    if (machine.terminating) return false;
    if (machine.commandsLostSince !== null) return true;
    const hasBooted = machine.epoch !== null || this.mayHoldInheritedTasks(machine);
    return machine.confirmedSince === null && hasBooted;
  }

  /** Whether the machine has sent no heartbeats for so long that it should be returned to the cloud. */
  heartbeatsLost(machine: MachineState, now: number): boolean {
    const hasBooted = machine.hasConfirmedTerm || this.mayHoldInheritedTasks(machine);
    if (!hasBooted) return false;
    // A return that the cloud has confirmed proves a replica gone earlier than the end of its lease does. A worker
    // that is still looking for a controller it can reach answers commands meanwhile, which counts here.
    const { lastStatusAt, lastHeartbeatAt, trackedSince } = machine;
    const silentMs = now - Math.max(lastStatusAt, lastHeartbeatAt, trackedSince);
    const limitMs = this.settings.heartbeatIntervalMs * HEARTBEATS_LOST_SERVICE_INTERVALS;
    return (
      (silentMs > limitMs && hostsServiceReplicas(machine)) || this.#sendsNoHeartbeats(machine, now)
    );
  }

  /** Whether a heartbeat should have arrived by now, although the machine may still get tasks. */
  heartbeatsOverdue(machine: MachineState, now: number): boolean {
    return this.#lacksHeartbeats(machine, now, STALE_HEARTBEAT_INTERVALS);
  }

  /** Whether no heartbeat has come for long. The worker's lease then ends with all its tasks, even if it answers commands. */
  #sendsNoHeartbeats(machine: MachineState, now: number): boolean {
    return this.#lacksHeartbeats(machine, now, HEARTBEATS_LOST_INTERVALS);
  }

  #lacksHeartbeats(
    { lastHeartbeatAt, trackedSince }: MachineState,
    now: number,
    intervals: number,
  ): boolean {
    const limitMs = this.settings.heartbeatIntervalMs * intervals;
    return now - Math.max(lastHeartbeatAt, trackedSince) > limitMs;
  }

  /**
   * Whether commands to the machine have had no effect for so long that it should be returned to the cloud. Only the
   * return is sure to end its tasks, which matters most for cancelled jobs.
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

  /** Whether the machine has confirmed this shard's term and has sent a task list recently. */
  isFresh(machine: MachineState, now: number): boolean {
    const limitMs = this.settings.heartbeatIntervalMs * STALE_HEARTBEAT_INTERVALS;
    return (
      machine.confirmedSince !== null &&
      now - machine.lastStatusAt <= limitMs &&
      !this.#sendsNoHeartbeats(machine, now)
    );
  }

  /** Whether a task may start on the machine now, regardless of its free capacity. */
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
