/** Runs jobs on three controllers while machines move between their shards, with or without faults. */
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

/** Seed and size of a run. */
export interface MachineMovesOptions {
  readonly seed: number;
  readonly durationS: number;
  /** s between two move requests */
  readonly moveIntervalS: number;
  /** whether faults are injected */
  readonly faults: boolean;
}

/** The violations and measurements of a run. */
export interface MachineMovesResult {
  readonly violations: readonly string[];
  /** jobs and moves that had not ended in time */
  readonly unfinished: readonly string[];
  /** numbers of jobs, moves, faults and tasks, by the name under which measurements print them */
  readonly counts: Record<string, number>;
  /** ms from the request of each finished move to its end */
  readonly moveDurationsMs: readonly number[];
  /** ms from the transaction that moves a machine until its worker learns the new owner's fencing token */
  readonly pausesMs: readonly number[];
}

type Host = ReturnType<Cluster['workerHosts']>[number];

const FEATURES = { duties: parseSingletonsConfig('', ''), shares: parseRebalancingConfig('', '') };
const LIMITED_TEAM = { name: 'limited', cpus: 0, gpus: 0, cpusMax: 16, gpusMax: 0 };
/** Shortest duration of a task in ms. */
const TASK_MS = 700;
/** s after the last fault within which all jobs and moves must have ended. */
const SETTLE_S = 60;

/** Submits jobs and requests moves, injects faults one at a time, and finally waits until all jobs and moves ended. */
export class MachineMovesRun {
  readonly cluster = new Cluster({
    runMs: (index) => TASK_MS + (index % 5) * 300,
    leaseS: 10,
    cancelS: 20,
    features: FEATURES,
    teams: [LIMITED_TEAM],
  });
  readonly #randomBelow: (bound: number) => number;
  readonly #jobs: string[] = [];
  /**
   * Numbers of jobs, moves and faults, under the names that measurements print. `refused`: moves that found a lock
   * held; `cuts`: times that the store was unavailable to one node; `lateWrites`: times that transactions of one node
   * were executed late; `unheard`: times that heartbeats or commands of a machine were lost; `notices`: preemptions;
   * `stateWrites`: writes in transactions that write a move.
   */
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

  /** Returns the moves in the store. */
  #moves(): Move[] {
    return [...this.cluster.store.items]
      .filter(([key]) => key.startsWith(moveKey('')))
      .map(([, item]) => decodeMove(item.value)!);
  }

  /** Requests a move as the command does: writes the move and the locks of both shards, unless a lock is held. */
  #requestMove(): void {
    const from = this.#randomBelow(3);
    const to = (from + 1 + this.#randomBelow(2)) % 3;
    this.#counts.moves += 1;
    const id = `m${this.#counts.moves}`;
    const { store } = this.cluster;
    const locked = [from, to].some((shard) => store.items.has(shardLockKey(shard)));
    if (locked) {
      this.#counts.refused += 1;
      return;
    }
    const deadlineMs = Date.now() + 4000 + this.#randomBelow(10_000);
    const returnAtMs = this.#randomBelow(3) === 0 ? deadlineMs + 3000 : null;
    const filter = { type: null, zone: null, spot: null };
    const count = 1 + this.#randomBelow(3);
    const move = newMove({ id, from, to, count, filter, deadlineMs, returnAtMs });
    const lock = encodeShardLock(id);
    store.putValues({ [moveKey(id)]: move, [shardLockKey(from)]: lock, [shardLockKey(to)]: lock });
    this.#requestedAt.set(id, Date.now());
  }

  /** Submits a random job; with faults, cancels one of 8 later. */
  async #submit(): Promise<void> {
    const node = this.cluster.nodes[this.#randomBelow(3)]!;
    const gang = this.#randomBelow(4) === 0;
    const gangFields = gang ? { Shape: 'ensemble', Pieces: 2, SnapshotEveryS: 0 } : {};
    const tasks = 1 + this.#randomBelow(6);
    const teamFields = this.#randomBelow(4) === 0 ? { Owner: LIMITED_TEAM.name } : {};
    const body = this.cluster.submission({
      Pieces: tasks,
      GuessS: 1,
      ...teamFields,
      ...gangFields,
    });
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

  /** Injects a random fault; resolves when it is over. */
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

  /** Kills a controller and starts it again. */
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
    const proxy = this.cluster.storeProxies.get(node)!;
    proxy.lateTransactionMs = 3000;
    await sleep(4000);
    proxy.lateTransactionMs = null;
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
      const lostDirection = fault === 6 ? 'losesCommands' : 'losesHeartbeats';
      host[lostDirection] = true;
      await sleep(1000 + this.#randomBelow(8000));
      host[lostDirection] = false;
    }
  }

  /** Records the durations of moves that have finished. */
  #recordMoveDurations(): void {
    for (const move of this.#moves()) {
      const at = this.#requestedAt.get(move.id);
      if (at === undefined || !isTerminal(move)) continue;
      this.#requestedAt.delete(move.id);
      if (move.state === 'finished') this.#moveDurationsMs.push(Date.now() - at);
    }
  }

  /** Counts the writes of transactions that write a move. */
  #countMoveWrites({ body }: Request): void {
    const { Writes: writes } = body as { Writes: readonly { readonly Put?: string }[] };
    const ofMove = writes.some(({ Put: put }) => put?.startsWith(moveKey('')) ?? false);
    if (ofMove) this.#counts.stateWrites += writes.length;
  }

  /**
   * Records how long each moved machine was without an owner whose fencing token its worker knows. `movedMachines`
   * holds, by machine, its group, the group's term, and the ms `at` which the group was first seen with it; `at` is
   * Infinity once the pause is recorded.
   */
  #recordPauses(movedMachines: Map<string, { group: string; term: number; at: number }>): void {
    for (const [key, { value }] of this.cluster.store.items) {
      if (!key.startsWith('machines/moved-')) continue;
      // The stored format of a machine group.
      const { hosts, era: term } = value as { hosts: Record<string, number>; era: number };
      for (const name of Object.keys(hosts)) {
        const known = movedMachines.get(name);
        if (known?.group !== key) movedMachines.set(name, { group: key, term, at: Date.now() });
      }
    }
    for (const [name, { term, at }] of movedMachines) {
      const worker = this.cluster.cloud.machines.get(name)?.worker;
      if (at === Infinity || worker === undefined || worker.fencingToken < term) continue;
      this.#pausesMs.push(Date.now() - at);
      movedMachines.set(name, { ...movedMachines.get(name)!, at: Infinity });
    }
  }

  /** Runs everything and stops the cluster. */
  async run(): Promise<MachineMovesResult> {
    const { cluster, options } = this;
    await cluster.open();
    for (const proxy of cluster.storeProxies.values())
      proxy.onTransaction = (request) => {
        this.#countMoveWrites(request);
      };
    const end = Date.now() + options.durationS * 1000;
    const movedMachines = new Map<string, { group: string; term: number; at: number }>();
    let nextMove = Date.now() + 3000;
    let nextFault = Date.now() + 5000;
    let fault: Promise<void> = Promise.resolve();
    const watcher = setInterval(() => {
      this.#recordMoveDurations();
      this.#recordPauses(movedMachines);
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

  /** Waits until all jobs and moves have ended; returns those that have not within `SETTLE_S`. */
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
    // Lent machines are returned at the time that their move names, which is soon.
    while (this.#moves().some((move) => !isTerminal(move))) {
      if (Date.now() >= end) break;
      await this.cluster.runFor(0.3);
    }
    const moves = this.#moves().filter((move) => !isTerminal(move));
    const unfinishedMoves = moves.map(
      ({ id, state, direction, waitsFor }) =>
        `move ${id}: ${state} ${direction}, waits for ${waitsFor}`,
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
    const { violations } = this.cluster.world;
    this.cluster.close();
    return {
      violations,
      unfinished,
      counts,
      moveDurationsMs: this.#moveDurationsMs,
      pausesMs: this.#pausesMs,
    };
  }
}
