/** One process that takes part in leader election, on virtual time: it can be frozen, killed and cut off. */
import {
  fencedCompareAndSwap,
  FencingRejections,
  LeaderElection,
  NotLeaderError,
  SessionLease,
  StoreUnavailableError,
  type Authorization,
  type CompareAndSwapStore,
  type ElectionView,
  type Log,
} from '@sumacstep/leader-election';
import type { NetworkFaults, SimulatedStore } from './simulated-store.js';
import { electionViewOf, memberKey, memberValue } from './store-view.js';
import type { VirtualTime } from './virtual-time.js';

/** The role that all nodes are candidates for. */
export const ROLE = 'work';
/** Each write of a leader goes to this key, with its fencing token as the value. */
export const LEADER_WRITE_KEY = 'machine';
const TICK_MS = 250;
const WATCH_MS = 200;
const TIMING = { ttlMs: 6000, renewMs: 1500, retryMs: 300, clockDrift: 0.001, marginMs: 500 };

/** What a node logged. */
export interface LogLine {
  readonly message: string;
  readonly [field: string]: unknown;
}

/** Chances and times of what may go wrong. */
export interface ClusterFaults extends NetworkFaults {
  /** share by which a node's steady clock runs fast or slow */
  drift(): number;
}

/** What surrounds a node: the store, and the systems that its orders go to. */
export interface NodeEnvironment {
  readonly time: VirtualTime;
  readonly store: SimulatedStore;
  /** time of day, ms */
  readonly timeOfDay: number;
  /** whether the node's calls reach the store */
  reaches(node: SimulatedNode): boolean;
  /** notes an order that the node's own check has let pass */
  recordSent(node: SimulatedNode, authorization: Authorization): void;
  commandMachine(node: SimulatedNode, authorization: Authorization): void;
  useOrReturn(
    node: SimulatedNode,
    store: CompareAndSwapStore,
    authorization: Authorization,
  ): Promise<void>;
}

/** One incarnation of a node that takes part in the election of the role. */
export class SimulatedNode {
  readonly rejections: FencingRejections;
  readonly log: LogLine[] = [];
  readonly election: LeaderElection;
  readonly #lease: SessionLease;
  readonly #store: CompareAndSwapStore;
  readonly #drift: number;
  #view: ElectionView;
  #viewAt = -Infinity;
  #frozenUntil = -Infinity;
  #ended = false;

  constructor(
    private readonly environment: NodeEnvironment,
    readonly node: string,
    readonly incarnation: string,
    faults: ClusterFaults,
    supportsElection: boolean,
  ) {
    const { store } = environment;
    this.#drift = faults.drift();
    const client = store.clientOf(faults, (work) => {
      this.#whenAwake(work);
    });
    this.#store = client;
    this.#view = electionViewOf(store);
    const write = (fields: object, message: string) => {
      this.log.push({ ...fields, message });
    };
    const log = { info: write, debug: () => undefined };
    this.rejections = new FencingRejections((role) => this.#currentToken(role), log);
    const key = memberKey(this);
    const value = memberValue(supportsElection);
    this.#lease = new SessionLease(client, { key, value }, TIMING, () => this.steadyMs(), log);
    this.election = this.#createElection(client, log);
    this.#schedule(supportsElection);
  }

  #createElection(store: CompareAndSwapStore, log: Log): LeaderElection {
    return new LeaderElection(
      { self: this, roles: [ROLE], candidateDelayMs: 1500, memberKey },
      {
        store,
        view: () => this.#view,
        hasAuthority: () => this.#hasAuthority(),
        onCommitted: () => {
          this.#refreshView();
        },
        steadyMs: () => this.steadyMs(),
        wallClockMs: () => this.environment.timeOfDay,
        rejections: this.rejections,
        log,
      },
    );
  }

  /** Starts renewals, the watch and, if this version supports it, election rounds. */
  #schedule(supportsElection: boolean): void {
    const { time } = this.environment;
    const everyWhenAwake = (ms: number, work: () => void) => {
      time.every(ms, () => {
        this.#whenAwake(work);
      });
    };
    this.#renew();
    everyWhenAwake(WATCH_MS, () => {
      this.#refreshView();
    });
    if (!supportsElection) return;
    everyWhenAwake(TICK_MS, () => {
      this.#tick();
    });
  }

  #renew(): void {
    if (this.#ended) return;
    this.#whenAwake(() => {
      void this.#lease.step().then((ms) => {
        this.environment.time.after(ms, () => {
          this.#renew();
        });
      });
    });
  }

  /** The steady clock of this node, ms: it continues while the process is frozen. */
  steadyMs(): number {
    return this.environment.time.now * (1 + this.#drift);
  }

  /** Suspends the process, which continues after `ms` where it stopped. */
  freeze(ms: number): void {
    this.#frozenUntil = this.environment.time.now + ms;
  }

  /** Ends the process without any cleanup. */
  kill(): void {
    this.#ended = true;
  }

  /** Whether the process has not ended. */
  get alive(): boolean {
    return !this.#ended;
  }

  #whenAwake(work: () => void): void {
    if (this.#ended) return;
    const { time } = this.environment;
    if (time.now < this.#frozenUntil) {
      time.after(this.#frozenUntil - time.now, () => {
        this.#whenAwake(work);
      });
    } else work();
  }

  /** While the store is unreachable, the view stays as it is. */
  #refreshView(): void {
    if (!this.environment.reaches(this)) return;
    this.#view = electionViewOf(this.environment.store);
    this.#viewAt = this.steadyMs();
  }

  #hasAuthority(): boolean {
    return this.#lease.valid(this.steadyMs()) && this.#viewAt >= this.#lease.validSince;
  }

  #currentToken(role: string): Promise<number | null> {
    if (!this.environment.reaches(this)) return Promise.reject(new StoreUnavailableError('out'));
    return Promise.resolve(
      electionViewOf(this.environment.store).records.get(role)?.value.token ?? null,
    );
  }

  #tick(): void {
    this.election.tick();
    const authorization = this.election.authorize(ROLE);
    if (authorization !== null) void this.act(authorization);
  }

  /** The orders of a leader: a write, a command to a machine, and sometimes the return or the use of a machine. */
  async act(authorization: Authorization): Promise<void> {
    try {
      authorization.ensureValid();
      this.environment.recordSent(this, authorization);
      this.environment.commandMachine(this, authorization);
      await fencedCompareAndSwap(
        this.#store,
        authorization,
        'normal',
        [],
        [{ put: LEADER_WRITE_KEY, value: authorization.fencingToken }],
      );
      await this.environment.useOrReturn(this, this.#store, authorization);
    } catch (error) {
      if (error instanceof StoreUnavailableError || error instanceof NotLeaderError) return;
      throw error;
    }
  }

  /** Runs the work once this process is not frozen, unless it has ended. */
  runWhenAwake(work: () => void): void {
    this.#whenAwake(work);
  }
}
