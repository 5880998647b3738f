import { fencedCompareAndSwap, type Versioned } from '@sumacstep/leader-election';
import {
  moveEndpoints,
  isTerminal,
  moveKey,
  selectMachines,
  type Candidate,
  type Move,
} from '@sumacstep/shard-rebalancing';
import type { Logger } from 'pino';
import type { RebalancingConfig } from '../config/rebalancing.js';
import { WAIT_REASON_WRITE_INTERVAL_MS } from './constants.js';
import {
  hostsServiceReplicas,
  isLeaving,
  type MachineState,
  type Shard,
} from '../core/shard/shard.js';
import type { OwnedShard } from '../shards/owned-shard.js';
import type { ShardController } from '../shards/shard-controller.js';
import { CALL_PRIORITY } from '../store/call-priority.js';
import { StoreRequestError } from '../store/errors.js';
import type { StoreClient } from '../store/store-client.js';
import type { WatchCache } from '../store/watch-cache.js';
import { movesById, obstacleTo } from './move-coordinator.js';

const unfitness = (shard: Shard, m: MachineState, now: number): string | null => {
  if (isLeaving(m)) return 'is to be returned';
  if (m.preemptionNoticeAt !== null) return 'has a notice';
  if (!m.record.up) return 'is not up yet';
  if (!shard.isFresh(m, now) || m.commandsLostSince !== null) return 'cannot be reached';
  return null;
};

/** A machine as the choice of machines sees it. */
export const candidateOf = (shard: Shard, m: MachineState, now: number): Candidate => {
  const { name, type, zone, spot } = m.record;
  const unfit = unfitness(shard, m, now);
  const empty =
    m.tasks.size === 0 &&
    m.unknownTaskCount === 0 &&
    m.unsettledDirectStarts.size === 0 &&
    m.reportedTaskCount === 0;
  return {
    name,
    type,
    zone,
    spot,
    tasks: m.tasks.size,
    runsService: hostsServiceReplicas(m),
    ineligibleBecause: unfit,
    readyToMove: unfit === null && empty && m.cordoned,
  };
};

const same = (a: readonly string[], b: readonly string[]): boolean =>
  a.length === b.length && a.every((name, i) => name === b[i]);

/** What the owners' side of moves needs of the process. */
export interface ShardMoverDependencies {
  readonly client: Pick<StoreClient, 'compareAndSwap'>;
  readonly cache: WatchCache;
  readonly shardController: ShardController;
  /** steady ms */
  readonly now: () => number;
  readonly log: Logger;
}

/**
 * The owners' side of moves. The source's owner chooses machines, starts nothing more on them, and moves each in one
 * transaction when nothing is there and nothing may arrive any more; the target's owner sees to it that its term is
 * the higher one, so that workers take its commands.
 */
export class ShardMover {
  readonly #busy = new Set<string>();
  /** whether machines may be marked as chosen since an earlier round */
  #marked = false;
  /** when the reason of a move was last written, steady ms */
  readonly #reasonAt = new Map<string, number>();

  constructor(
    private readonly config: RebalancingConfig,
    private readonly ports: ShardMoverDependencies,
  ) {}

  /** One round over the moves that concern shards of this node. */
  tick(): void {
    const { cache, shardController } = this.ports;
    const moves = [...movesById(cache.tables).values()].filter(({ value }) => !isTerminal(value));
    if (moves.length > 0 || this.#marked) this.#mark(moves);
    this.#marked = moves.length > 0;
    for (const move of moves) {
      const { state } = move.value;
      if (state !== 'preparing' && state !== 'moving') continue;
      if (obstacleTo(cache.tables, move.value) !== null) continue;
      const { source, target } = moveEndpoints(move.value);
      if (!this.#targetIsNewer(source, target)) shardController.renewTerm(target);
      const owned = shardController.owned.get(source);
      if (owned !== undefined && shardController.actsFor(owned))
        this.#asSource(move, owned, target);
    }
  }

  /**
   * Machines that are chosen take no new work; others do again. A machine may be let go as soon as the stored
   * move does not name it: a transaction that would move it depends on the move as it was before.
   */
  #mark(moves: readonly Versioned<Move>[]): void {
    const chosen = new Map<number, Set<string>>();
    for (const { value: move } of moves) {
      const { source } = moveEndpoints(move);
      const names = chosen.get(source) ?? new Set();
      for (const name of move.chosen) names.add(name);
      chosen.set(source, names);
    }
    for (const [index, { shard }] of this.ports.shardController.owned) {
      const names = chosen.get(index);
      for (const m of shard.machines.values()) m.cordoned = names?.has(m.record.name) ?? false;
    }
  }

  #targetIsNewer(source: number, target: number): boolean {
    const { shardController } = this.ports;
    return (shardController.termOf(target) ?? 0) > (shardController.termOf(source) ?? Infinity);
  }

  #asSource({ value: move, revision }: Versioned<Move>, owned: OwnedShard, target: number): void {
    if (this.#busy.has(move.id)) return;
    const { shard } = owned;
    const now = this.ports.now();
    const present = this.#withoutGone(move, shard.index);
    const machines = [...shard.machines.values()].map((m) => candidateOf(shard, m, now));
    const selection = selectMachines(present, machines, this.config.maxDrainingMachines);
    const newer = this.#targetIsNewer(shard.index, target);
    if (newer && selection.ready.length > 0 && move.state === 'moving') {
      void this.#once(move.id, () =>
        this.#moveReady(present, revision, owned, target, selection.ready),
      );
      return;
    }
    const next: Move = {
      ...present,
      state: newer && selection.chosen.length > 0 ? 'moving' : 'preparing',
      chosen: [...selection.chosen],
      waitsFor: newer ? selection.waitsFor : `a newer term of part ${target}`,
    };
    if (this.#worthWriting(move, next, now)) {
      void this.#once(move.id, () => this.#write(owned, next, revision));
    }
  }

  /** On the way back, machines that are gone, or back already, need nothing more. */
  #withoutGone(move: Move, source: number): Move {
    if (move.direction === 'forth') return move;
    const { machines } = this.ports.cache;
    const moved = move.moved.filter((name) => machines.get(name)?.value.shard === source);
    return { ...move, moved };
  }

  /** Reasons change with every task: they are written now and then, all else at once. */
  #worthWriting(old: Move, next: Move, now: number): boolean {
    const changed =
      old.state !== next.state || !same(old.chosen, next.chosen) || !same(old.moved, next.moved);
    if (changed) return true;
    if (old.waitsFor === next.waitsFor) return false;
    return now - (this.#reasonAt.get(next.id) ?? -Infinity) >= WAIT_REASON_WRITE_INTERVAL_MS;
  }

  async #once(id: string, work: () => Promise<void>): Promise<void> {
    this.#busy.add(id);
    try {
      await work();
    } catch (error) {
      if (!(error instanceof StoreRequestError)) throw error;
      this.ports.log.debug({ move: id, error: error.message }, 'move not written');
    } finally {
      this.#busy.delete(id);
    }
  }

  async #write(owned: OwnedShard, move: Move, revision: number): Promise<void> {
    const { client, cache } = this.ports;
    const key = moveKey(move.id);
    const writes = [{ put: key, value: move }];
    const guards = [{ key, revision }];
    const { authorization } = owned;
    const outcome = await fencedCompareAndSwap(
      client,
      authorization,
      CALL_PRIORITY.background,
      guards,
      writes,
    );
    if (!outcome.ok) return;
    cache.applyOwn(writes, outcome.epoch);
    this.#reasonAt.set(move.id, this.ports.now());
  }

  async #moveReady(
    move: Move,
    revision: number,
    owned: OwnedShard,
    target: number,
    ready: readonly string[],
  ): Promise<void> {
    const { shardController, cache, log } = this.ports;
    const to = cache.tables.shards.get(String(target));
    if (to === undefined) return;
    const key = moveKey(move.id);
    const after = (names: readonly string[]): Move => ({
      ...move,
      chosen: move.chosen.filter((name) => !names.includes(name)),
      moved:
        move.direction === 'forth'
          ? [...move.moved, ...names]
          : move.moved.filter((name) => !names.includes(name)),
    });
    const moved = await shardController.machines.move(owned, ready, {
      shard: target,
      term: to.value.term,
      shardGuard: { key: `parts/${target}`, revision: to.revision },
      group: `moved-${move.id}-${revision}`,
      guards: [{ key, revision }],
      writes: (names) => [{ put: key, value: after(names) }],
    });
    if (moved.length === 0) return;
    log.info(
      { move: move.id, from: owned.shard.index, to: target, machines: moved },
      'machines moved',
    );
  }
}
