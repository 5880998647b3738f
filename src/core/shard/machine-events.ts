/** Events of a machine's worker that show operators why tasks were started there or given to another machine. */
import { knownAgentEpoch } from './agent-epoch.js';
import type { MachineState } from './types.js';

/**
 * What happened.
 *
 * - `epoch-began`: a task list shows a later agent epoch, so the tasks of the earlier one have ended;
 * - `lease-expired`: the lease of the worker's agent epoch has expired, so its tasks have ended;
 * - `silent-start`: tasks were started by direct command although heartbeats are overdue, for the first time in this
 *   agent epoch. They end with its lease unless a heartbeat is answered.
 */
export type MachineEventType = 'epoch-began' | 'lease-expired' | 'silent-start';

/** An event of a machine, for the log. */
export interface MachineEvent {
  readonly type: MachineEventType;
  readonly machine: string;
  /** the newest known agent epoch, which is the new one for `epoch-began` */
  readonly agentEpoch: number;
  /** the token of messages to the worker */
  readonly fencingToken: number;
  /** number of tasks that have ended, or that were started */
  readonly tasks: number;
  /** seconds since the newest heartbeat under this shard's term; null if there was none */
  readonly heartbeatAgeS: number | null;
  /** whether a heartbeat or the answer to a command showed the event; null if neither did */
  readonly learnedBy: 'heartbeat' | 'command' | null;
}

/** Returns an event of the machine at `now`. */
export const machineEvent = (
  type: MachineEventType,
  machine: MachineState,
  now: number,
  { tasks, learnedBy = null }: Pick<MachineEvent, 'tasks'> & Partial<MachineEvent>,
): MachineEvent => {
  const heartbeatAgeMs = now - machine.lastHeartbeatAt;
  return {
    type,
    machine: machine.record.name,
    agentEpoch: knownAgentEpoch(machine),
    fencingToken: machine.fencing.token,
    tasks,
    heartbeatAgeS: Number.isFinite(heartbeatAgeMs) ? Math.round(heartbeatAgeMs / 100) / 10 : null,
    learnedBy,
  };
};
