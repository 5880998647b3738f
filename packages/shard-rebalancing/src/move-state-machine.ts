/** The state machine of a move: which state follows, computed from the stored one without any input or output. */
import type { Move } from './records.js';

/** Indexes of the shards that lose and gain machines now. */
export interface MoveEndpoints {
  readonly source: number;
  readonly target: number;
}

/** The shard that loses machines now, and the one that gains them: on the way back they are swapped. */
export const moveEndpoints = ({ direction, from, to }: Move): MoveEndpoints =>
  direction === 'forth' ? { source: from, target: to } : { source: to, target: from };

/** Whether the move has finished or was aborted, so that nothing is left to do. */
export const isTerminal = ({ state }: Move): boolean => state === 'finished' || state === 'aborted';

/** How many machines still have to be chosen or moved. */
export const remainingCount = ({ direction, count, moved }: Move): number =>
  direction === 'forth' ? count - moved.length : moved.length;

/** What the coordinator knows when it takes a step. */
export interface MoveConditions {
  /** time of day, ms */
  readonly nowMs: number;
  /**
   * why no step may be taken now, or null: a node whose version does not support moves, or a shard without a live
   * owner
   */
  readonly obstacle: string | null;
}

const withWaitReason = (move: Move, waitsFor: string): Move | null =>
  move.waitsFor === waitsFor ? null : { ...move, waitsFor };

/** Machines go back to the shard that they came from. */
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

/** What has moved goes back, so that the shards' machines are as before. */
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
 * The coordinator's next step, or null if there is none. Pure, and right however often and late it is taken, since
 * the result is written only over the revision that it was computed from.
 */
export const advanceMove = (move: Move, facts: MoveConditions): Move | null => {
  if (isTerminal(move)) return null;
  return move.direction === 'back' ? advanceBack(move, facts.obstacle) : advanceForth(move, facts);
};
