import type { Move } from './records.js';

/** The shard that gives machines away now, and the one that gets them. */
export const moveEndpoints = ({ direction, from, to }: Move): { source: number; target: number } =>
  direction === 'forth' ? { source: from, target: to } : { source: to, target: from };

/** Whether nothing is left to do. */
export const isTerminal = ({ state }: Move): boolean => state === 'finished' || state === 'aborted';

/** How many machines still have to be chosen or moved. */
export const remainingCount = ({ direction, count, moved }: Move): number =>
  direction === 'forth' ? count - moved.length : moved.length;

/** What the holder of the duty of moving sees. */
export interface MoveFacts {
  /** time of day, ms */
  readonly nowMs: number;
  /** why no step may be taken now, or null: a node that does not know moves, a shard without a living owner */
  readonly obstacle: string | null;
}

const waiting = (move: Move, waitsFor: string | null): Move | null =>
  move.waitsFor === waitsFor ? null : { ...move, waitsFor };

/** Machines go back to where they were. */
const sendBack = (move: Move): Move => ({
  ...move,
  state: 'preparing',
  direction: 'back',
  chosen: [],
  waitsFor: null,
});

const terminated = (move: Move, state: 'finished' | 'aborted'): Move => ({
  ...move,
  state,
  chosen: [],
  waitsFor: null,
});

/** Given up: what has moved goes back, so that the shares are as before. */
const abandon = (move: Move): Move =>
  move.moved.length === 0 ? terminated(move, 'aborted') : { ...sendBack(move), abortAsked: true };

/**
 * The step of the holder of the duty, or null if there is none. Pure, and right however often and late it is
 * taken, since it is written only over the move that it was computed from.
 */
export const advanceMove = (move: Move, { nowMs, obstacle }: MoveFacts): Move | null => {
  if (isTerminal(move)) return null;
  if (move.direction === 'back') {
    if (move.moved.length === 0) return terminated(move, move.abortAsked ? 'aborted' : 'finished');
    return obstacle === null ? null : waiting(move, obstacle);
  }
  if (move.abortAsked) return abandon(move);
  if (move.state === 'lent') {
    return move.returnAtMs !== null && nowMs >= move.returnAtMs ? sendBack(move) : null;
  }
  if (move.moved.length >= move.count) {
    if (move.returnAtMs === null) return terminated(move, 'finished');
    return { ...move, state: 'lent', chosen: [], waitsFor: null };
  }
  if (nowMs >= move.deadlineMs) return abandon(move);
  if (obstacle !== null) return waiting(move, obstacle);
  if (move.state === 'requested') return { ...move, state: 'preparing', waitsFor: null };
  return null;
};
