import {
  COMMANDS_LOST_RETURN_INTERVALS,
  UNREACHABLE_HEARTBEAT_INTERVALS,
  UNREACHABLE_HEARTBEAT_INTERVALS_SERVICE,
  MISSED_HEARTBEAT_INTERVALS,
  STOP_TIMEOUT_SHARE,
} from './constants.js';
import { hostsServiceReplicas, type MachineState, type ShardSettings } from '../shard/types.js';

/**
 * What a shard concludes from the reports of its machines: which may get work, which should be asked, and
 * which are better returned to the cloud.
 */
export class MachineHealth {
  constructor(
    private readonly term: number,
    private readonly settings: ShardSettings,
  ) {}

  /** An earlier owner may have started something there. */
  mayHoldInheritedTasks(m: MachineState): boolean {
    return m.record.term !== this.term && m.record.up;
  }

  /**
   * True for a machine of an earlier term, which should be told of ours at once, and for one that seems to
   * hear nothing: an answer to a command would show that it does.
   */
  needsProbe(m: MachineState): boolean {
    if (m.terminating) return false;
    const untold = !m.known && (m.agentEpoch > 0 || this.mayHoldInheritedTasks(m));
    return m.commandsLostSince !== null || untold;
  }

  /** Silent for so long that the machine is better given back than waited for. */
  isLost(m: MachineState, now: number): boolean {
    const expected = m.everConfirmed || this.mayHoldInheritedTasks(m);
    if (!expected) return false;
    // An answered return proves a replica gone sooner than the end of its lease does. A worker that is
    // still looking for a living controller answers commands meanwhile.
    const silentMs = now - Math.max(m.lastStatusAt, m.lastHeartbeatAt, m.trackedSince);
    const gone =
      hostsServiceReplicas(m) &&
      silentMs > this.settings.heartbeatIntervalMs * UNREACHABLE_HEARTBEAT_INTERVALS_SERVICE;
    return gone || this.#unreported(m, now);
  }

  /** A machine that only answers commands reaches no controller: its lease ends with all that it runs. */
  #unreported(m: MachineState, now: number): boolean {
    return (
      now - Math.max(m.lastHeartbeatAt, m.trackedSince) >
      this.settings.heartbeatIntervalMs * UNREACHABLE_HEARTBEAT_INTERVALS
    );
  }

  /**
   * Reports come, but orders have had no effect for so long that the machine is better given back:
   * only that surely ends what runs there, which matters for cancelled jobs most of all.
   */
  losesCommands(m: MachineState, now: number): boolean {
    if (
      m.commandsLostSince !== null &&
      now - m.commandsLostSince > this.settings.heartbeatIntervalMs * COMMANDS_LOST_RETURN_INTERVALS
    ) {
      return true;
    }
    const patience = this.settings.cancelMs * STOP_TIMEOUT_SHARE;
    for (const p of m.tasks.values()) {
      if (p.stop === null) continue;
      const grace = p.job.ended ? 0 : p.stop.graceS * 1000;
      if (now - p.stop.at > grace + patience) return true;
    }
    return m.unknownTasksSince !== null && now - m.unknownTasksSince > patience;
  }

  isFresh(m: MachineState, now: number): boolean {
    const fresh =
      now - m.lastStatusAt <= this.settings.heartbeatIntervalMs * MISSED_HEARTBEAT_INTERVALS;
    return m.known && fresh && !this.#unreported(m, now);
  }

  /** Something may start there now, as far as the machine itself is concerned. */
  isSchedulable(m: MachineState, now: number): boolean {
    return (
      this.isFresh(m, now) &&
      m.record.up &&
      m.type !== null &&
      !m.quarantined &&
      !m.draining &&
      !m.terminating &&
      !m.cordoned &&
      m.preemptionNoticeAt === null &&
      m.commandsLostSince === null &&
      m.unknownTaskCount === 0 &&
      m.backoffUntil <= now
    );
  }
}
