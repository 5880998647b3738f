/** Selection of the machines that a move takes from its source shard. */
import { remainingCount } from './move-state-machine.js';
import type { MachineFilter, Move } from './records.js';

/** A machine of the source shard, as the shard's owner knows it. */
export interface Candidate {
  readonly name: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** tasks on it, including those whose start is under way */
  readonly tasks: number;
  /** whether a standing service runs there, which does not end by itself */
  readonly runsService: boolean;
  /** why it can't move now whatever it runs (unreachable, being returned, preempted), or null */
  readonly ineligibleReason: string | null;
  /** no task is there, none may arrive, and the worker lists none: it may move at once */
  readonly readyToMove: boolean;
}

/** Whether a machine is of the kind that a move asks for. */
export const matchesFilter = (
  { type, zone, spot }: MachineFilter,
  machine: Pick<Candidate, 'type' | 'zone' | 'spot'>,
): boolean =>
  (type === null || type === machine.type) &&
  (zone === null || zone === machine.zone) &&
  (spot === null || spot === machine.spot);

const isEligible = (move: Move, machine: Candidate): boolean => {
  if (machine.ineligibleReason !== null) return false;
  if (move.direction === 'back') return move.moved.includes(machine.name);
  return !machine.runsService && matchesFilter(move.filter, machine);
};

/** What the owner of the source shard decides about a move. */
export interface Selection {
  /** machines to cordon, which move when they are empty */
  readonly chosen: readonly string[];
  /** those of them that may move at once */
  readonly ready: readonly string[];
  /** what the others wait for; null if there are none. Stored and printed */
  readonly waitsFor: string | null;
}

/** machines that a reason names */
const MAX_NAMED_MACHINES = 3;

/** What the selected machines, or those that are lacking, wait for. The texts are stored and printed. */
const findWaitReason = (
  move: Move,
  machines: readonly Candidate[],
  chosen: readonly Candidate[],
): string | null => {
  const busy = chosen.filter((machine) => !machine.readyToMove);
  if (busy.length > 0) {
    const names = busy.map((machine) => machine.name);
    const more = names.length > MAX_NAMED_MACHINES ? ', ...' : '';
    return `the work on ${names.slice(0, MAX_NAMED_MACHINES).join(', ')}${more}`;
  }
  const lacking = remainingCount(move) - chosen.length;
  if (lacking <= 0) return null;
  const matching = machines.filter(
    (machine) => move.direction === 'back' || matchesFilter(move.filter, machine),
  );
  const ineligible = matching.find((machine) => machine.ineligibleReason !== null);
  if (ineligible !== undefined) return `${ineligible.name}: ${ineligible.ineligibleReason}`;
  const serving = matching.find((machine) => machine.runsService);
  if (serving !== undefined) return `${serving.name}: a standing service runs there`;
  return `${lacking} more machines of the kind`;
};

/**
 * Chooses the machines that will be empty soonest. Those chosen before stay chosen while they are eligible, so that
 * no machine is drained twice for one move. At most `limit` are chosen at a time.
 */
export const selectMachines = (
  move: Move,
  machines: readonly Candidate[],
  limit = Infinity,
): Selection => {
  const before = new Set(move.chosen);
  const chosen = machines
    .filter((machine) => isEligible(move, machine))
    .sort(
      (a, b) =>
        Number(before.has(b.name)) - Number(before.has(a.name)) ||
        Number(b.readyToMove) - Number(a.readyToMove) ||
        a.tasks - b.tasks ||
        (a.name < b.name ? -1 : 1),
    )
    .slice(0, Math.min(limit, remainingCount(move)));
  const ready = chosen.filter((machine) => machine.readyToMove).map((machine) => machine.name);
  return {
    chosen: chosen.map((machine) => machine.name),
    ready,
    waitsFor: findWaitReason(move, machines, chosen),
  };
};
