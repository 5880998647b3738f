/** Selects the machines that a move takes from its source shard. */
import { remainingCount } from './move-state-machine.js';
import type { MachineFilter, Move } from './records.js';

/** A machine of the source shard, in the state that the shard's owner sees. */
export interface Candidate {
  readonly name: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** number of tasks on the machine, including those that are being started */
  readonly tasks: number;
  /** whether a replica of a service job runs on the machine; such a job does not end by itself */
  readonly runsService: boolean;
  /**
   * why the machine cannot move now regardless of the tasks on it (it is unreachable, being returned or preempted),
   * or null if nothing prevents it
   */
  readonly ineligibleReason: string | null;
  /** true if the machine may move at once: no task is on it, none can still arrive, and its worker lists none */
  readonly readyToMove: boolean;
}

/** Returns whether a machine matches the filter of a move. */
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

/** The decision of the source shard's owner about a move. */
export interface Selection {
  /** names of the machines to cordon; each one moves once it is empty */
  readonly chosen: readonly string[];
  /** names of the chosen machines that may move at once */
  readonly ready: readonly string[];
  /** why chosen or missing machines cannot move yet; null if all can. The text is stored and printed */
  readonly waitsFor: string | null;
}

/** maximum number of machine names in a wait reason */
const MAX_NAMED_MACHINES = 3;

/** Returns why the move cannot complete yet, or null. The texts are stored and printed. */
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
 * Chooses the machines that are expected to be empty soonest: those with the fewest tasks. Machines that the stored
 * move has already chosen stay chosen while they are eligible, so that no machine is drained twice for one move. At
 * most `limit` machines are chosen at a time.
 */
export const selectMachines = (
  move: Move,
  machines: readonly Candidate[],
  limit = Infinity,
): Selection => {
  const previouslyChosen = new Set(move.chosen);
  const chosen = machines
    .filter((machine) => isEligible(move, machine))
    .sort(
      (a, b) =>
        Number(previouslyChosen.has(b.name)) - Number(previouslyChosen.has(a.name)) ||
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
