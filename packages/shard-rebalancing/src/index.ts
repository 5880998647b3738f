/**
 * Shard rebalancing: moves machines between the shards of a cluster while jobs run. The package defines the stored
 * record of a move, computes the transitions of its state machine without I/O, and selects the machines to move.
 *
 * Usage:
 *
 *     const move = newMove(parseMoveRequest(input));          // stored under moveKey(move.id), with a lock
 *                                                             // under shardLockKey of both shards
 *     const next = advanceMove(move, { nowMs, obstacle });    // by the coordinator: start, finish, abort, return
 *     const { chosen, ready } = selectMachines(move, candidates); // by the source shard's owner
 *
 * The caller writes each new state only if the stored revision is still the one that the state was computed from. A
 * transition is therefore safe to compute repeatedly or late.
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

/** Selection of the machines to move. */
export {
  matchesFilter,
  selectMachines,
  type Candidate,
  type Selection,
} from './machine-selection.js';

/** Stored records and keys, and validation of requests. */
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
