/** Jobs on three controllers while machines move between their shards, with or without faults. */
import { setTimeout as sleep } from 'node:timers/promises';
import {
  decodeMove,
  encodeShardLock,
  isTerminal,
  moveKey,
  shardLockKey,
  newMove,
  type Move,
} from '@sumacstep/shard-rebalancing';
import { parseSingletonsConfig } from '../../src/config/singletons.js';
import { parseRebalancingConfig } from '../../src/config/rebalancing.js';
import { seededRandomInt } from '../../src/random.js';
import { Cluster } from './cluster.js';
import type { Request } from './server.js';

/** Sizes of a run. */
export interface MachineMovesOptions {
  readonly seed: number;
  readonly durationS: number;
  /** s between two requests of moves */
  readonly moveIntervalS: number;
  readonly faults: boolean;
}

/** What a run met and measured. */
export interface MachineMovesResult {
  readonly violations: readonly string[];
  readonly unfinished: readonly string[];
  readonly counts: Record<string, number>;
  /** ms from request to end of moves that were carried out */
  readonly moveDurationsMs: readonly number[];
  /** ms from the transaction to the machine's first report to its new owner */
  readonly pausesMs: readonly number[];
}

type Host = ReturnType<Cluster['workerHosts']>[number];

const FEATURES = { duties: parseSingletonsConfig('', ''), shares: parseRebalancingConfig('', '') };
const LIMITED_TEAM = { name: 'limited', cpus: 0, gpus: 0, cpusMax: 16, gpusMax: 0 };
const TASK_MS = 700;
/** s after the last fault within which everything must be over */
const SETTLE_S = 60;

/** A run: jobs keep coming while machines move between the shards, and controllers and machines fail. */
export class MachineMovesRun {
  readonly cluster = new Cluster({
    runMs: (index) => TASK_MS + (index % 5) * 300,
    leaseS: 10,
    cancelS: 20,
    features: FEATURES,
    teams: [LIMITED_TEAM],
  });
  readonly #randomBelow: (n: number) => number;
  readonly #jobs: string[] = [];
  readonly #counts = {
    jobs: 0,
    cancelled: 0,
    moves: 0,
    refused: 0,
    kills: 0,
    cuts: 0,
    outages: 0,
    lateWrites: 0,
    hangs: 0,
    notices: 0,
    unheard: 0,
    stateWrites: 0,
  };
  readonly #requestedAt = new Map<string, number>();
  readonly #cancelling = new Set<Promise<unknown>>();
  readonly #moveDurationsMs: number[] = [];
  readonly #pausesMs: number[] = [];

  constructor(private readonly options: MachineMovesOptions) {
    this.#randomBelow = seededRandomInt(options.seed);
  }

  #moves(): Move[] {
    return [...this.cluster.store.items]
      .filter(([key]) => key.startsWith(moveKey('')))
      .map(([, item]) => decodeMove(item.value)!);
  }

  /** Writes a request as the command does: the move and the locks of both shards, if nothing holds them. */
  #requestMove(): void {
    const from = this.#randomBelow(3);
    const to = (from + 1 + this.#randomBelow(2)) % 3;
    this.#counts.moves += 1;
    const id = `m${this.#counts.moves}`;
    const { store: state } = this.cluster;
    const held = [from, to].some((shard) => state.items.has(shardLockKey(shard)));
    if (held) {
      this.#counts.refused += 1;
      return;
    }
    const deadlineMs = Date.now() + 4000 + this.#randomBelow(10_000);
    const returnAtMs = this.#randomBelow(3) === 0 ? deadlineMs + 3000 : null;
    const filter = { type: null, zone: null, spot: null };
    const count = 1 + this.#randomBelow(3);
    const move = newMove({ id, from, to, count, filter, deadlineMs, returnAtMs });
    const lock = encodeShardLock(id);
    state.putValues({ [moveKey(id)]: move, [shardLockKey(from)]: lock, [shardLockKey(to)]: lock });
    this.#requestedAt.set(id, Date.now());
  }

  async #submit(): Promise<void> {
    const node = this.cluster.nodes[this.#randomBelow(3)]!;
    const gang = this.#randomBelow(4) === 0;
    const shape = gang ? { Shape: 'ensemble', Pieces: 2, SnapshotEveryS: 0 } : {};
    const pieces = 1 + this.#randomBelow(6);
    const owner = this.#randomBelow(4) === 0 ? { Owner: LIMITED_TEAM.name } : {};
    const body = this.cluster.submission({ Pieces: pieces, GuessS: 1, ...owner, ...shape });
    this.#counts.jobs += 1;
    const uid = await this.cluster.submitBody(node, body);
    this.#jobs.push(uid);
    if (this.options.faults && this.#randomBelow(8) === 0) void this.#cancelLater(node, uid);
  }

  async #cancelLater(node: string, uid: string): Promise<void> {
    await sleep(this.#randomBelow(4000));
    this.#counts.cancelled += 1;
    this.#cancelling.add(this.cluster.cancel(node, uid));
  }

  /** One fault at random, which is repaired after a while. */
  async #injectFault(): Promise<void> {
    const node = this.cluster.nodes[this.#randomBelow(3)]!;
    const hosts = this.cluster.workerHosts();
    const host = hosts[this.#randomBelow(Math.max(1, hosts.length))];
    const fault = this.#randomBelow(8);
    if (fault === 0) await this.#restart(node);
    else if (fault === 1) await this.#makeStoreUnavailableTo(node);
    else if (fault === 4) await this.#delayTransactions(node);
    else if (fault === 5) await this.#storeOutage();
    else if (host !== undefined) await this.#injectMachineFault(fault, host);
  }

  async #restart(node: string): Promise<void> {
    this.#counts.kills += 1;
    this.cluster.kill(node);
    await sleep(this.#randomBelow(2) === 0 ? 100 : 3000);
    await this.cluster.start(node);
  }

  async #makeStoreUnavailableTo(node: string): Promise<void> {
    this.#counts.cuts += 1;
    this.cluster.storeProxies.get(node)!.unavailable = true;
    await sleep(1000 + this.#randomBelow(8000));
    this.cluster.storeProxies.get(node)!.unavailable = false;
  }

  async #delayTransactions(node: string): Promise<void> {
    this.#counts.lateWrites += 1;
    const door = this.cluster.storeProxies.get(node)!;
    door.lateTransactionMs = 3000;
    await sleep(4000);
    door.lateTransactionMs = null;
  }

  async #storeOutage(): Promise<void> {
    this.#counts.outages += 1;
    this.cluster.store.unavailable = true;
    await sleep(1000 + this.#randomBelow(7000));
    this.cluster.store.recover();
  }

  async #injectMachineFault(fault: number, host: Host): Promise<void> {
    if (fault === 2) {
      this.#counts.hangs += 1;
      host.worker.hung = true;
      await sleep(1000 + this.#randomBelow(4000));
      host.worker.hung = false;
    } else if (fault === 3) {
      this.#counts.notices += 1;
      host.worker.preemptionNoticeS = 3;
      await sleep(3000);
      this.cluster.cloud.kill(host.worker.name);
    } else {
      this.#counts.unheard += 1;
      const lost = fault === 6 ? 'losesCommands' : 'losesHeartbeats';
      host[lost] = true;
      await sleep(1000 + this.#randomBelow(8000));
      host[lost] = false;
    }
  }

  #recordMoveDurations(): void {
    for (const move of this.#moves()) {
      const at = this.#requestedAt.get(move.id);
      if (at === undefined || !isTerminal(move)) continue;
      this.#requestedAt.delete(move.id);
      if (move.state === 'finished') this.#moveDurationsMs.push(Date.now() - at);
    }
  }

  /** Puts and deletes of transactions that change a move. */
  #countMoveWrites({ body }: Request): void {
    const { Writes: writes } = body as { Writes: readonly { readonly Put?: string }[] };
    const ofMove = writes.some(({ Put: put }) => put?.startsWith(moveKey('')) ?? false);
    if (ofMove) this.#counts.stateWrites += writes.length;
  }

  /** Notes how long machines were without an owner that may use them. */
  #recordPauses(owners: Map<string, { group: string; token: number; at: number }>): void {
    for (const [key, { value }] of this.cluster.store.items) {
      if (!key.startsWith('machines/moved-')) continue;
      // The stored form of a machine group.
      const { hosts, era: term } = value as { hosts: Record<string, number>; era: number };
      for (const name of Object.keys(hosts)) {
        const known = owners.get(name);
        if (known?.group !== key) owners.set(name, { group: key, token: term, at: Date.now() });
      }
    }
    for (const [name, { token, at }] of owners) {
      const worker = this.cluster.cloud.machines.get(name)?.worker;
      if (at === Infinity || worker === undefined || worker.fencingToken < token) continue;
      this.#pausesMs.push(Date.now() - at);
      owners.set(name, { ...owners.get(name)!, at: Infinity });
    }
  }

  async run(): Promise<MachineMovesResult> {
    const { cluster, options } = this;
    await cluster.open();
    for (const door of cluster.storeProxies.values())
      door.onTransaction = (request) => {
        this.#countMoveWrites(request);
      };
    const end = Date.now() + options.durationS * 1000;
    const owners = new Map<string, { group: string; token: number; at: number }>();
    let nextMove = Date.now() + 3000;
    let nextFault = Date.now() + 5000;
    let fault: Promise<void> = Promise.resolve();
    const watcher = setInterval(() => {
      this.#recordMoveDurations();
      this.#recordPauses(owners);
    }, 20);
    while (Date.now() < end) {
      await this.#submit();
      if (Date.now() >= nextMove) {
        this.#requestMove();
        nextMove = Date.now() + options.moveIntervalS * 1000;
      }
      if (options.faults && Date.now() >= nextFault) {
        await fault;
        fault = this.#injectFault();
        nextFault = Date.now() + 4000;
      }
      await cluster.runFor(0.2 + this.#randomBelow(3) / 10);
    }
    await fault;
    await Promise.all(this.#cancelling);
    const unfinished = await this.#settle();
    clearInterval(watcher);
    return this.#result(unfinished);
  }

  async #settle(): Promise<string[]> {
    const end = Date.now() + SETTLE_S * 1000;
    let open = [...this.#jobs];
    while (open.length > 0 && Date.now() < end) {
      const checked = await Promise.all(
        open.map(async (uid) => [uid, await this.cluster.statusOf('n0', uid)] as const),
      );
      open = checked
        .filter(([, status]) => status !== 'done' && status !== 'cancelled')
        .map(([uid]) => uid);
      await this.cluster.runFor(0.3);
    }
    // Lent machines go back at their time, which is soon.
    while (this.#moves().some((move) => !isTerminal(move))) {
      if (Date.now() >= end) break;
      await this.cluster.runFor(0.3);
    }
    const moves = this.#moves().filter((m) => !isTerminal(m));
    const unfinishedMoves = moves.map(
      (m) => `move ${m.id}: ${m.state} ${m.direction}, waits for ${m.waitsFor}`,
    );
    return [...open, ...unfinishedMoves];
  }

  #result(unfinished: readonly string[]): MachineMovesResult {
    const moves = this.#moves();
    const counts = {
      ...this.#counts,
      finished: moves.filter((m) => m.state === 'finished').length,
      aborted: moves.filter((m) => m.state === 'aborted').length,
      machinesMoved: this.#pausesMs.length,
      tasks: [...this.cluster.world.completed.values()].reduce((sum, done) => sum + done.size, 0),
      starts: this.cluster.world.starts,
      tasksStartedAfterCompletion: this.cluster.world.startsAfterCompletion,
    };
    const { violations: broken } = this.cluster.world;
    this.cluster.close();
    return {
      violations: broken,
      unfinished,
      counts,
      moveDurationsMs: this.#moveDurationsMs,
      pausesMs: this.#pausesMs,
    };
  }
}
