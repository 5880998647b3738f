import { decodeShardLock, decodeMove, type Move } from '@sumacstep/shard-rebalancing';

/** What the state service holds of moves of machines, all under one prefix. */
export type RebalancingEntry =
  | { readonly kind: 'move'; readonly move: Move }
  | { readonly kind: 'lock'; readonly shard: number; readonly move: string }
  | { readonly kind: 'other' };

/** `id` is the key without the prefix. */
export const decodeRebalancingEntry = (id: string, value: unknown): RebalancingEntry => {
  if (id.startsWith('moves/')) {
    const move = decodeMove(value);
    return move === null ? { kind: 'other' } : { kind: 'move', move };
  }
  if (id.startsWith('parts/')) {
    const move = decodeShardLock(value);
    const shard = Number(id.slice('parts/'.length));
    return move === null ? { kind: 'other' } : { kind: 'lock', shard, move };
  }
  return { kind: 'other' };
};
