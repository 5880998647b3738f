/**
 * The roles that leader election assigns, one for each singleton controller. The names of the roles are parts of stored
 * keys and of the command line (`sumacstep duties`), so they never change.
 */

/** The role of the controller that returns machines that no stored record lists. */
export const ORPHAN_COLLECTOR_ROLE = 'reclaim';
/** The role of the controller that deletes stored state that is no longer needed. */
export const GARBAGE_COLLECTOR_ROLE = 'clear';
/** The role of the controller that coordinates moves of machines between shards. */
export const MOVE_COORDINATOR_ROLE = 'move';

/** All roles, whether or not their controllers are enabled. */
export const SINGLETON_ROLES = [
  ORPHAN_COLLECTOR_ROLE,
  GARBAGE_COLLECTOR_ROLE,
  MOVE_COORDINATOR_ROLE,
] as const;
