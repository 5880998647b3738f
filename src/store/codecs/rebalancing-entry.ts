/** Codec of what the store holds of moves of machines between shards (`shares/`). */
import { decodeShardLock, decodeMove, type Move } from '@sumacstep/shard-rebalancing';

/** One value under the prefix. A value of another version is `other` and is left alone. */
export type RebalancingEntry =
  | { readonly kind: 'move'; readonly move: Move }
  /** the move that holds a shard; one at a time touches it */
  | { readonly kind: 'lock'; readonly shard: number; readonly move: string }
  | { readonly kind: 'other' };

/** Stored keys after `shares/`: moves by their id, and locks by the index of the shard. */
const MOVE_PREFIX = 'moves/';
const LOCK_PREFIX = 'parts/';

/** Reads a stored entry; `id` is the key without its prefix. */
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
