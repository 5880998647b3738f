import {
  fencedCompareAndSwap,
  type Authorization,
  type Versioned,
  type Write,
} from '@sumacstep/leader-election';
import {
  advanceMove,
  isTerminal,
  moveKey,
  shardLockKey,
  type Move,
  type MoveFacts,
} from '@sumacstep/shard-rebalancing';
import type { Logger } from 'pino';
import { MOVE_COORDINATOR_ROLE, type SingletonElection } from '../singletons/singleton-election.js';
import { CALL_PRIORITY } from '../store/call-priority.js';
import { StoreRequestError } from '../store/errors.js';
import type { StoreClient } from '../store/store-client.js';
import type { WatchCache } from '../store/watch-cache.js';

type Tables = Pick<WatchCache['tables'], 'nodes' | 'shards' | 'moves'>;

/** All moves that the state service holds, by id. */
export const movesById = ({ moves: table }: Pick<Tables, 'moves'>) => {
  const moves = new Map<string, Versioned<Move>>();
  for (const { value: entry, revision } of table.values()) {
    if (entry.kind === 'move') moves.set(entry.move.id, { value: entry.move, revision });
  }
  return moves;
};

/** Whether every living node takes part in moves. */
export const allSupportRebalancing = ({ nodes }: Pick<Tables, 'nodes'>): boolean => {
  for (const { value } of nodes.values()) if (!value.supportsRebalancing) return false;
  return nodes.size > 0;
};

/** Why no step of a move may be taken now; null if nothing stands in the way. */
export const obstacleTo = (tables: Tables, move: Move): string | null => {
  if (!allSupportRebalancing(tables)) return 'a node that does not know moves';
  for (const shard of [move.from, move.to]) {
    const owner = tables.shards.get(String(shard))?.value;
    const lives = owner !== undefined && tables.nodes.has(`${owner.owner}/${owner.incarnation}`);
    if (!lives) return `an owner of part ${shard}`;
  }
  return null;
};

/** What the duty of moving needs of the process. */
export interface MoveCoordinatorDependencies {
  readonly duties: Pick<SingletonElection, 'authorize'>;
  readonly client: Pick<StoreClient, 'compareAndSwap'>;
  readonly cache: WatchCache;
  readonly timeOfDay: () => number;
  readonly log: Logger;
}

/** The duty of moving: begins moves, ends them, turns them back at their deadline or at a stated time. */
export class MoveCoordinator {
  readonly #busy = new Set<string>();

  constructor(private readonly ports: MoveCoordinatorDependencies) {}

  /** One round, if this node holds the duty. */
  tick(): void {
    const { cache, duties, timeOfDay } = this.ports;
    const moves = movesById(cache.tables);
    if (moves.size === 0) return;
    const authorization = duties.authorize(MOVE_COORDINATOR_ROLE);
    if (authorization === null) return;
    for (const [id, { value: move, revision }] of moves) {
      if (isTerminal(move) || this.#busy.has(id)) continue;
      const obstacle = obstacleTo(cache.tables, move);
      const facts: MoveFacts = { nowMs: timeOfDay(), obstacle };
      const next = advanceMove(move, facts);
      if (next !== null) void this.#write(authorization, next, revision);
    }
  }

  async #write(authorization: Authorization, move: Move, revision: number): Promise<void> {
    const { client, cache, log } = this.ports;
    const key = moveKey(move.id);
    const writes: Write[] = [{ put: key, value: move }];
    if (isTerminal(move)) {
      writes.push({ drop: shardLockKey(move.from) }, { drop: shardLockKey(move.to) });
    }
    this.#busy.add(move.id);
    try {
      const guards = [{ key, revision }];
      const outcome = await fencedCompareAndSwap(
        client,
        authorization,
        CALL_PRIORITY.background,
        guards,
        writes,
      );
      if (!outcome.ok) return;
      cache.applyOwn(writes, outcome.epoch);
      const { id, state, direction, waitsFor } = move;
      log.info({ move: id, state, direction, waitsFor }, 'move of machines');
    } catch (error) {
      if (!(error instanceof StoreRequestError)) throw error;
      log.debug({ move: move.id, error: error.message }, 'move not written');
    } finally {
      this.#busy.delete(move.id);
    }
  }
}
