/** The part of machine moves that the owners of the source and target shards carry out. */
import { fencedCompareAndSwap, type Versioned } from '@sumacstep/leader-election';
import {
  isTerminal,
  moveEndpoints,
  moveKey,
  selectMachines,
  type Move,
} from '@sumacstep/shard-rebalancing';
import type { Logger } from 'pino';
import type { RebalancingConfig } from '../config/rebalancing.js';
import type { OwnedShard } from '../shards/owned-shard.js';
import type { ShardController } from '../shards/shard-controller.js';
import { CALL_PRIORITY } from '../store/call-priority.js';
import { StoreRequestError } from '../store/errors.js';
import type { StoreClient } from '../store/store-client.js';
import type { WatchCache } from '../store/watch-cache.js';
import { WAIT_REASON_WRITE_INTERVAL_MS } from './constants.js';
import { toCandidate } from './move-candidates.js';
import { movesById, findObstacle } from './move-coordinator.js';

const sameNames = (a: readonly string[], b: readonly string[]): boolean =>
  a.length === b.length && a.every((name, i) => name === b[i]);

/** Returns the move after the named machines have been assigned to the target shard. */
const withMoved = (move: Move, names: readonly string[]): Move => ({
  ...move,
  chosen: move.chosen.filter((name) => !names.includes(name)),
  moved:
    move.direction === 'forth'
      ? [...move.moved, ...names]
      : move.moved.filter((name) => !names.includes(name)),
});

/** Dependencies of `ShardMover`. */
export interface ShardMoverDependencies {
  readonly client: Pick<StoreClient, 'compareAndSwap'>;
  readonly cache: WatchCache;
  readonly shardController: ShardController;
  /** returns the time of the monotonic clock, ms */
  readonly now: () => number;
  readonly log: Logger;
}

/** Machines that can move to another shard in one transaction. */
interface ReadyMachines {
  readonly owned: OwnedShard;
  readonly target: number;
  readonly names: readonly string[];
}

/**
 * Moves machines between shards. The owner of the source shard selects machines, cordons them, and moves each one in
 * a single transaction once no task is on it and none can still arrive there. The owner of the target shard keeps its
 * term higher than that of the source shard, so that workers accept its commands after those of the source's owner.
 */
export class ShardMover {
  /** ids of the moves with a write in flight */
  readonly #writesInFlight = new Set<string>();
  /** whether an earlier round may have left machines cordoned */
  #mayHaveCordoned = false;
  /** by move id: when this owner last wrote the move, which includes its wait reason; monotonic clock, ms */
  readonly #lastWriteAt = new Map<string, number>();

  constructor(
    private readonly config: RebalancingConfig,
    private readonly dependencies: ShardMoverDependencies,
  ) {}

  /** Runs one round over the moves whose source or target shard this node owns. */
  tick(): void {
    const { cache, shardController } = this.dependencies;
    const moves = [...movesById(cache.tables).values()].filter(({ value }) => !isTerminal(value));
    if (moves.length > 0 || this.#mayHaveCordoned) this.#cordonChosen(moves);
    this.#mayHaveCordoned = moves.length > 0;
    for (const move of moves) {
      const { state } = move.value;
      if (state !== 'preparing' && state !== 'moving') continue;
      if (findObstacle(cache.tables, move.value) !== null) continue;
      const { source, target } = moveEndpoints(move.value);
      if (!this.#hasNewerTerm(source, target)) shardController.renewTerm(target);
      const owned = shardController.owned.get(source);
      if (owned !== undefined && shardController.mayActFor(owned)) {
        this.#advanceAsSource(move, owned, target);
      }
    }
  }

  /**
   * Cordons the chosen machines, and uncordons all other machines. Uncordoning a machine as soon as the stored move
   * no longer names it is safe: a transaction that would still move it is guarded by an older revision of the move.
   */
  #cordonChosen(moves: readonly Versioned<Move>[]): void {
    const chosenBySource = new Map<number, Set<string>>();
    for (const { value: move } of moves) {
      const { source } = moveEndpoints(move);
      const names = chosenBySource.get(source) ?? new Set();
      for (const name of move.chosen) names.add(name);
      chosenBySource.set(source, names);
    }
    for (const [index, { shard }] of this.dependencies.shardController.owned) {
      const names = chosenBySource.get(index);
      for (const machine of shard.machines.values()) {
        machine.cordoned = names?.has(machine.record.name) ?? false;
      }
    }
  }

  /** Returns whether the term of the target shard is higher than that of the source shard. */
  #hasNewerTerm(source: number, target: number): boolean {
    const { shardController } = this.dependencies;
    return (shardController.termOf(target) ?? 0) > (shardController.termOf(source) ?? Infinity);
  }

  #advanceAsSource(
    { value: stored, revision }: Versioned<Move>,
    owned: OwnedShard,
    target: number,
  ): void {
    if (this.#writesInFlight.has(stored.id)) return;
    const { shard } = owned;
    const now = this.dependencies.now();
    const move = this.#withoutReturned(stored, shard.index);
    const candidates = [...shard.machines.values()].map((machine) =>
      toCandidate(shard, machine, now),
    );
    const { chosen, ready, waitsFor } = selectMachines(
      move,
      candidates,
      this.config.maxDrainingMachines,
    );
    const newer = this.#hasNewerTerm(shard.index, target);
    if (newer && ready.length > 0 && stored.state === 'moving') {
      void this.#withWriteInFlight(stored.id, () =>
        this.#moveReady(move, revision, { owned, target, names: ready }),
      );
      return;
    }
    const next: Move = {
      ...move,
      state: newer && chosen.length > 0 ? 'moving' : 'preparing',
      chosen: [...chosen],
      waitsFor: newer ? waitsFor : `a newer term of part ${target}`,
    };
    if (this.#isWriteDue(stored, next, now)) {
      void this.#withWriteInFlight(stored.id, () => this.#write(owned, next, revision));
    }
  }

  /** On the way back, drops machines from `moved` that no longer exist or have left the shard `source` already. */
  #withoutReturned(move: Move, source: number): Move {
    if (move.direction === 'forth') return move;
    const { machines } = this.dependencies.cache;
    const moved = move.moved.filter((name) => machines.get(name)?.value.shard === source);
    return { ...move, moved };
  }

  /**
   * Returns whether the move must be written now. The wait reason changes with every task, so a change of it alone is
   * written at intervals only; all other changes are written at once.
   */
  #isWriteDue(stored: Move, next: Move, now: number): boolean {
    const changed =
      stored.state !== next.state ||
      !sameNames(stored.chosen, next.chosen) ||
      !sameNames(stored.moved, next.moved);
    if (changed) return true;
    if (stored.waitsFor === next.waitsFor) return false;
    return now - (this.#lastWriteAt.get(next.id) ?? -Infinity) >= WAIT_REASON_WRITE_INTERVAL_MS;
  }

  /** Marks the move as having a write in flight while `write` runs. If the store fails, a later round tries again. */
  async #withWriteInFlight(id: string, write: () => Promise<void>): Promise<void> {
    this.#writesInFlight.add(id);
    try {
      await write();
    } catch (error) {
      if (!(error instanceof StoreRequestError)) throw error;
      this.dependencies.log.debug({ move: id, error: error.message }, 'move write failed');
    } finally {
      this.#writesInFlight.delete(id);
    }
  }

  async #write({ authorization }: OwnedShard, move: Move, revision: number): Promise<void> {
    const { client, cache, now } = this.dependencies;
    const key = moveKey(move.id);
    const writes = [{ put: key, value: move }];
    const guards = [{ key, revision }];
    const outcome = await fencedCompareAndSwap(
      client,
      authorization,
      CALL_PRIORITY.background,
      guards,
      writes,
    );
    if (!outcome.ok) return;
    cache.applyOwnWrites(writes, outcome.epoch);
    this.#lastWriteAt.set(move.id, now());
  }

  async #moveReady(
    move: Move,
    revision: number,
    { owned, target, names: ready }: ReadyMachines,
  ): Promise<void> {
    const { shardController, cache, log } = this.dependencies;
    const targetRecord = cache.tables.shards.get(String(target));
    if (targetRecord === undefined) return;
    const key = moveKey(move.id);
    const moved = await shardController.machines.move(owned, ready, {
      shard: target,
      term: targetRecord.value.term,
      shardGuard: { key: `parts/${target}`, revision: targetRecord.revision },
      group: `moved-${move.id}-${revision}`,
      guards: [{ key, revision }],
      writes: (names) => [{ put: key, value: withMoved(move, names) }],
    });
    if (moved.length === 0) return;
    log.info(
      { move: move.id, from: owned.shard.index, to: target, machines: moved },
      'machines moved',
    );
  }
}
