/**
 * Shard rebalancing: machines migrate between the shards of a cluster while jobs run. The package holds the stored
 * state machine of a move, the steps that are computed from it without any input or output, and the selection of
 * the machines.
 *
 * Outline of use:
 *
 *     const move = newMove(parseMoveRequest(input));          // stored under moveKey(move.id), with a lock
 *                                                             // under shardLockKey of both shards
 *     const next = advanceMove(move, { nowMs, obstacle });    // the coordinator: begin, finish, abort, send back
 *     const { chosen, ready } = selectMachines(move, candidates); // the owner of the source shard
 *
 * The caller writes each new state only over the revision that it was computed from: a step is then right however
 * often and however late it is taken.
 */

/** The state machine of a move. */
export {
  advanceMove,
  isTerminal,
  moveEndpoints,
  remainingCount,
  type MoveEndpoints,
  type MoveConditions,
} from './move-state-machine.js';

/** Selection of the machines that move. */
export {
  matchesFilter,
  selectMachines,
  type Candidate,
  type Selection,
} from './machine-selection.js';

/** Stored form, and the check of requests. */
export {
  decodeMove,
  decodeShardLock,
  encodeShardLock,
  MOVE_PREFIX,
  moveKey,
  moveRequestProblems,
  newMove,
  parseMoveRequest,
  shardLockKey,
  type MachineFilter,
  type Move,
  type MoveRequest,
  type MoveState,
} from './records.js';
