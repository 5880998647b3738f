/** The singleton controller of machine moves, and what the cache shows of moves. */
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
} from '@sumacstep/shard-rebalancing';
import type { Logger } from 'pino';
import { MOVE_COORDINATOR_ROLE } from '../singletons/roles.js';
import type { SingletonElection } from '../singletons/singleton-election.js';
import { CALL_PRIORITY } from '../store/call-priority.js';
import { StoreRequestError } from '../store/errors.js';
import { type StoreClient } from '../store/store-client.js';
import type { WatchCache } from '../store/watch-cache.js';

type Tables = Pick<WatchCache['tables'], 'nodes' | 'shards' | 'moves'>;

/** All stored moves, by id. */
export const movesById = ({
  moves: table,
}: Pick<Tables, 'moves'>): Map<string, Versioned<Move>> => {
  const moves = new Map<string, Versioned<Move>>();
  for (const { value: entry, revision } of table.values()) {
    if (entry.kind === 'move') moves.set(entry.move.id, { value: entry.move, revision });
  }
  return moves;
};

/** Whether every live node takes part in moves: before that no move begins. */
export const allNodesSupportRebalancing = ({ nodes }: Pick<Tables, 'nodes'>): boolean => {
  for (const { value } of nodes.values()) if (!value.supportsRebalancing) return false;
  return nodes.size > 0;
};

/** Why no step of a move may be taken now; null if nothing prevents it. The text is stored and printed. */
export const findObstacle = (tables: Tables, move: Move): string | null => {
  if (!allNodesSupportRebalancing(tables)) return 'a node that does not know moves';
  for (const shard of [move.from, move.to]) {
    const owner = tables.shards.get(String(shard))?.value;
    const live = owner !== undefined && tables.nodes.has(`${owner.owner}/${owner.incarnation}`);
    if (!live) return `an owner of part ${shard}`;
  }
  return null;
};

/** What the coordinator needs of the process. */
export interface MoveCoordinatorDependencies {
  readonly election: Pick<SingletonElection, 'authorize'>;
  readonly client: Pick<StoreClient, 'compareAndSwap'>;
  readonly cache: WatchCache;
  /** time of day, ms */
  readonly timeOfDay: () => number;
  readonly log: Logger;
}

/** Begins and ends moves, and sends machines back at a move's deadline or at the stated time. */
export class MoveCoordinator {
  /** moves with a write under way */
  readonly #writesInFlight = new Set<string>();

  constructor(private readonly dependencies: MoveCoordinatorDependencies) {}

  /** One round over all moves, if this node is the leader. */
  tick(): void {
    const { cache, election, timeOfDay } = this.dependencies;
    const moves = movesById(cache.tables);
    if (moves.size === 0) return;
    const authorization = election.authorize(MOVE_COORDINATOR_ROLE);
    if (authorization === null) return;
    for (const [id, { value: move, revision }] of moves) {
      if (isTerminal(move) || this.#writesInFlight.has(id)) continue;
      const obstacle = findObstacle(cache.tables, move);
      const next = advanceMove(move, { nowMs: timeOfDay(), obstacle });
      if (next !== null) void this.#write(authorization, next, revision);
    }
  }

  async #write(authorization: Authorization, move: Move, revision: number): Promise<void> {
    const { client, cache, log } = this.dependencies;
    const key = moveKey(move.id);
    const writes: Write[] = [{ put: key, value: move }];
    if (isTerminal(move)) {
      writes.push({ drop: shardLockKey(move.from) }, { drop: shardLockKey(move.to) });
    }
    this.#writesInFlight.add(move.id);
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
      log.info({ move: id, state, direction, waitsFor }, 'move updated');
    } catch (error) {
      if (!(error instanceof StoreRequestError)) throw error;
      log.debug({ move: move.id, error: error.message }, 'move not written');
    } finally {
      this.#writesInFlight.delete(move.id);
    }
  }
}
