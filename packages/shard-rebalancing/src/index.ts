/**
 * Moves of machines between shards while jobs run: a stored state machine, steps that are computed from it
 * without any input or output, and the choice of the machines.
 */
export {
  advanceMove,
  moveEndpoints,
  isTerminal,
  remainingCount,
  type MoveFacts,
} from './move-state-machine.js';
export {
  decodeShardLock,
  decodeMove,
  encodeShardLock,
  MOVE_PREFIX,
  moveKey,
  parseMoveRequest,
  shardLockKey,
  newMove,
  moveRequestProblems,
  type MachineFilter,
  type Move,
  type MoveRequest,
  type MoveState,
} from './records.js';
export {
  matchesFilter,
  selectMachines,
  type Candidate,
  type Selection,
} from './machine-selection.js';
