/**
 * Moves of machines between shards while jobs run: a stored state machine, steps that are computed from it
 * without any input or output, and the choice of the machines.
 */
export { advance, ends, isOver, missing, type MoverFacts } from './move.js';
export {
  decodeLock,
  decodeMove,
  encodeLock,
  MOVE_PREFIX,
  moveKey,
  parseRequest,
  shardLockKey,
  requested,
  requestProblems,
  type MachineFilter,
  type Move,
  type MoveRequest,
  type MoveState,
} from './records.js';
export { matches, select, type Candidate, type Selection } from './selection.js';
