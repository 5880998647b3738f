import { remainingCount } from './move-state-machine.js';
import type { MachineFilter, Move } from './records.js';

/** A machine of the source shard, as its owner knows it. */
export interface Candidate {
  readonly name: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** tasks on it, those that are on their way included */
  readonly tasks: number;
  /** whether something runs there that does not end by itself */
  readonly runsService: boolean;
  /** why it can't move now whatever it runs (silent, to be returned, with a notice), or null */
  readonly ineligibleBecause: string | null;
  /** nothing is there, nothing may arrive, and the worker lists nothing: it may move at once */
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

const eligible = (move: Move, machine: Candidate): boolean => {
  if (machine.ineligibleBecause !== null) return false;
  if (move.direction === 'back') return move.moved.includes(machine.name);
  return !machine.runsService && matchesFilter(move.filter, machine);
};

/** What the source's owner decides about a move. */
export interface Selection {
  /** machines that take no new work, to move when they are empty */
  readonly chosen: readonly string[];
  /** of these, the ones that may move at once */
  readonly ready: readonly string[];
  /** what the others wait for; null if there are none */
  readonly waitsFor: string | null;
}

/**
 * Chooses the machines that will be empty soonest. Those chosen before stay chosen while they are fit, so that
 * no machine loses its work twice for one move. At most `most` are chosen at a time.
 */
export const selectMachines = (
  move: Move,
  machines: readonly Candidate[],
  most = Infinity,
): Selection => {
  const before = new Set(move.chosen);
  const chosen = machines
    .filter((machine) => eligible(move, machine))
    .sort(
      (a, b) =>
        Number(before.has(b.name)) - Number(before.has(a.name)) ||
        Number(b.readyToMove) - Number(a.readyToMove) ||
        a.tasks - b.tasks ||
        (a.name < b.name ? -1 : 1),
    )
    .slice(0, Math.min(most, remainingCount(move)));
  const ready = chosen.filter((machine) => machine.readyToMove).map((machine) => machine.name);
  return { chosen: chosen.map((m) => m.name), ready, waitsFor: reason(move, machines, chosen) };
};

const reason = (
  move: Move,
  machines: readonly Candidate[],
  chosen: readonly Candidate[],
): string | null => {
  const busy = chosen.filter((machine) => !machine.readyToMove);
  if (busy.length > 0) {
    const names = busy.map((machine) => machine.name);
    return `the work on ${names.slice(0, NAMED_MOST).join(', ')}${names.length > NAMED_MOST ? ', ...' : ''}`;
  }
  const lacking = remainingCount(move) - chosen.length;
  if (lacking <= 0) return null;
  const kind = machines.filter((m) => move.direction === 'back' || matchesFilter(move.filter, m));
  const unfit = kind.find((machine) => machine.ineligibleBecause !== null);
  if (unfit !== undefined) return `${unfit.name}: ${unfit.ineligibleBecause}`;
  const runsService = kind.find((machine) => machine.runsService);
  if (runsService !== undefined) return `${runsService.name}: a standing service runs there`;
  return `${lacking} more machines of the kind`;
};

/** machines that a reason names */
const NAMED_MOST = 3;
