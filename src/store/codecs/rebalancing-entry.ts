/** Codec of the stored state of moves of machines between shards (`shares/`). */
import { decodeShardLock, decodeMove, type Move } from '@sumacstep/shard-rebalancing';

/**
 * A decoded value under the prefix. Values of other versions and keys of other kinds are `other` and must not be
 * changed.
 */
export type RebalancingEntry =
  | { readonly kind: 'move'; readonly move: Move }
  /** the id of the move that has locked a shard; only one move at a time may change the shard's machines */
  | { readonly kind: 'lock'; readonly shard: number; readonly move: string }
  | { readonly kind: 'other' };

/** Prefixes of the keys after `shares/`: moves are stored by their id, locks by the index of the shard. */
const MOVE_PREFIX = 'moves/';
const LOCK_PREFIX = 'parts/';

/** Decodes a stored entry; `id` is the key without its prefix. */
export const decodeRebalancingEntry = (id: string, value: unknown): RebalancingEntry => {
  if (id.startsWith(MOVE_PREFIX)) {
    const move = decodeMove(value);
    return move === null ? { kind: 'other' } : { kind: 'move', move };
  }
  if (id.startsWith(LOCK_PREFIX)) {
    const move = decodeShardLock(value);
    const shard = Number(id.slice(LOCK_PREFIX.length));
    return move === null ? { kind: 'other' } : { kind: 'lock', shard, move };
  }
  return { kind: 'other' };
};
