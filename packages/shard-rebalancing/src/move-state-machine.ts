/** The state machine of a move: computes the next state from the stored one, without I/O. */
import type { Move } from './records.js';

/** Indexes of the shards between which machines move in the current direction. */
export interface MoveEndpoints {
  /** the shard that loses machines */
  readonly source: number;
  /** the shard that gains machines */
  readonly target: number;
}

/** Returns the source and target shards of a move; when the machines are returned, the two are swapped. */
export const moveEndpoints = ({ direction, from, to }: Move): MoveEndpoints =>
  direction === 'forth' ? { source: from, target: to } : { source: to, target: from };

/** Returns whether the move has finished or was aborted, so that nothing is left to do. */
export const isTerminal = ({ state }: Move): boolean => state === 'finished' || state === 'aborted';

/** Returns how many machines still have to move in the current direction, chosen ones included. */
export const remainingCount = ({ direction, count, moved }: Move): number =>
  direction === 'forth' ? count - moved.length : moved.length;

/** The external conditions on which the next transition depends. */
export interface MoveConditions {
  /** current time of day, ms since the epoch */
  readonly nowMs: number;
  /**
   * why machines must not move now (a node whose version does not support moves, or a shard without a live owner), or
   * null if nothing prevents it
   */
  readonly obstacle: string | null;
}

const withWaitReason = (move: Move, waitsFor: string): Move | null =>
  move.waitsFor === waitsFor ? null : { ...move, waitsFor };

/** Starts the return of the moved machines to the shard that they came from. */
const startReturn = (move: Move): Move => ({
  ...move,
  state: 'preparing',
  direction: 'back',
  chosen: [],
  waitsFor: null,
});

const withTerminalState = (move: Move, state: 'finished' | 'aborted'): Move => ({
  ...move,
  state,
  chosen: [],
  waitsFor: null,
});

/** Aborts a move: machines that have moved are returned first, so that each shard has its machines as before. */
const startAbort = (move: Move): Move =>
  move.moved.length === 0
    ? withTerminalState(move, 'aborted')
    : { ...startReturn(move), abortAsked: true };

const advanceBack = (move: Move, obstacle: string | null): Move | null => {
  if (move.moved.length === 0)
    return withTerminalState(move, move.abortAsked ? 'aborted' : 'finished');
  return obstacle === null ? null : withWaitReason(move, obstacle);
};

const advanceForth = (move: Move, { nowMs, obstacle }: MoveConditions): Move | null => {
  if (move.abortAsked) return startAbort(move);
  if (move.state === 'lent') {
    return move.returnAtMs !== null && nowMs >= move.returnAtMs ? startReturn(move) : null;
  }
  if (move.moved.length >= move.count) {
    if (move.returnAtMs === null) return withTerminalState(move, 'finished');
    return { ...move, state: 'lent', chosen: [], waitsFor: null };
  }
  if (nowMs >= move.deadlineMs) return startAbort(move);
  if (obstacle !== null) return withWaitReason(move, obstacle);
  if (move.state === 'requested') return { ...move, state: 'preparing', waitsFor: null };
  return null;
};

/**
 * Returns the move after the coordinator's next transition, or null if there is none. The function is pure. It is safe
 * to call repeatedly or late, because the result is written only if the stored revision is still the one that the
 * result was computed from.
 */
export const advanceMove = (move: Move, conditions: MoveConditions): Move | null => {
  if (isTerminal(move)) return null;
  return move.direction === 'back'
    ? advanceBack(move, conditions.obstacle)
    : advanceForth(move, conditions);
};
