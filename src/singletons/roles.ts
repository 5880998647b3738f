/**
 * The roles that leader election assigns, one for each singleton controller. Their names are parts of stored keys and
 * of the command line (`sumacstep duties`): they never change.
 */

/** Returns machines that no record knows. */
export const ORPHAN_COLLECTOR_ROLE = 'reclaim';
/** Deletes state that is not needed any more. */
export const GARBAGE_COLLECTOR_ROLE = 'clear';
/** Coordinates moves of machines between shards. */
export const MOVE_COORDINATOR_ROLE = 'move';

/** All roles, whether their controllers are switched on or not. */
export const SINGLETON_ROLES = [
  ORPHAN_COLLECTOR_ROLE,
  GARBAGE_COLLECTOR_ROLE,
  MOVE_COORDINATOR_ROLE,
] as const;
