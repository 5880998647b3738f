/**
 * Evidence that an attempt can't begin any more, however late a message arrives. A task is given back to the queue,
 * and an attempt is forgotten by its worker, only with such evidence.
 */
import type { ReportedTask, Heartbeat } from '../model.js';
import { attemptKey, isUndispatched, placementKey } from './placements.js';
import type { MachineState, Placement } from './types.js';

/**
 * Why an attempt can't begin any more.
 *
 * - `listed`: its worker lists it as exited, and so ignores further starts of it while it does;
 * - `fenced`: its worker refuses every start of it that was sent directly, from the next message on;
 * - `not-sent`: no start of it was sent that could still take effect;
 * - `unlisted`: its worker does not list it, and no direct start of it can be executed;
 * - `lease-expired`, `epoch-ended`: its worker has begun another agent epoch;
 * - `machine-gone`: its machine is proven gone, or has no task and another owner.
 */
export type InertReason =
  'listed' | 'fenced' | 'not-sent' | 'unlisted' | 'lease-expired' | 'epoch-ended' | 'machine-gone';

/** Evidence that an attempt can't begin any more. Only the functions of this class create it. */
export class InertAttempt<Reason extends InertReason = InertReason> {
  private constructor(readonly reason: Reason) {}

  /** Returns evidence if the worker lists the attempt as exited. It holds until the worker forgets the attempt. */
  static listed({ state }: ReportedTask): InertAttempt<'listed'> | null {
    return state === 'exited' ? new InertAttempt('listed') : null;
  }

  /**
   * Returns evidence if the worker refuses all direct starts of the attempt once it has a message under the machine's
   * present token, so that this message may tell it to forget the attempt.
   */
  static fenced(machine: MachineState, task: ReportedTask): InertAttempt<'fenced'> | null {
    return machine.fencing.isFencedByToken(attemptKey(task)) ? new InertAttempt('fenced') : null;
  }

  /** Returns evidence if no start of the placement was sent that could still take effect. */
  static notSent(placement: Placement): InertAttempt<'not-sent'> | null {
    return isUndispatched(placement) ? new InertAttempt('not-sent') : null;
  }

  /** Returns evidence if no direct start can be executed of a placement that its worker does not list. */
  static unlisted(placement: Placement): InertAttempt<'unlisted'> | null {
    const { fencing } = placement.machine;
    return fencing.isExecutable(placementKey(placement)) ? null : new InertAttempt('unlisted');
  }

  /** Returns evidence if the lease of the worker's known epoch has expired, given the longest time it can last. */
  static leaseExpired(
    { confirmedSince, epoch }: MachineState,
    now: number,
    longestLeaseMs: number,
  ): InertAttempt<'lease-expired'> | null {
    if (confirmedSince === null || epoch === null) return null;
    return epoch.hasLeaseExpired(now, longestLeaseMs) ? new InertAttempt('lease-expired') : null;
  }

  /** Returns evidence if a task list shows that the worker's known agent epoch has ended. */
  static epochEnded(
    { epoch }: MachineState,
    heartbeat: Heartbeat,
  ): InertAttempt<'epoch-ended'> | null {
    const ended = epoch !== null && heartbeat.agentEpoch > epoch.number;
    return ended ? new InertAttempt('epoch-ended') : null;
  }

  /** Returns evidence for the attempts on a machine that its caller has proven gone. */
  static machineGone(): InertAttempt<'machine-gone'> {
    return new InertAttempt('machine-gone');
  }
}
