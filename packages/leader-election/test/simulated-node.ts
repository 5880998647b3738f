/** A simulated process that takes part in leader election on virtual time, and that tests can freeze and kill. */
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
/** The key that every leader writes, with its fencing token as the value. */
export const LEADER_WRITE_KEY = 'machine';
const TICK_MS = 250;
const WATCH_MS = 200;
const TIMING = { ttlMs: 6000, renewMs: 1500, retryMs: 300, clockDrift: 0.001, marginMs: 500 };

/** A line that a node logged. */
export interface LogLine {
  readonly message: string;
  readonly [field: string]: unknown;
}

/** The faults of the network and of the clocks. */
export interface ClusterFaults extends NetworkFaults {
  /** returns the fraction by which a node's monotonic clock runs fast (positive) or slow (negative) */
  drift(): number;
}

/** The surroundings of a node: time, the store, and the systems that execute its orders. */
export interface NodeEnvironment {
  readonly time: VirtualTime;
  readonly store: SimulatedStore;
  /** time of day, ms */
  readonly timeOfDay: number;
  /** returns whether the store serves the node's calls */
  reaches(node: SimulatedNode): boolean;
  /** records an order that passed the node's own check */
  recordSent(node: SimulatedNode, authorization: Authorization): void;
  /** sends a command to a machine that checks its fencing token */
  commandMachine(node: SimulatedNode, authorization: Authorization): void;
  /** records the use of a machine, or returns it */
  useOrReturn(
    node: SimulatedNode,
    store: CompareAndSwapStore,
    authorization: Authorization,
  ): Promise<void>;
}

/** One incarnation of a node that takes part in the election of the role's leader. */
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
    this.#lease = new SessionLease(client, { key, value }, TIMING, () => this.monotonicMs(), log);
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
        monotonicMs: () => this.monotonicMs(),
        wallClockMs: () => this.environment.timeOfDay,
        rejections: this.rejections,
        log,
      },
    );
  }

  /** Starts the lease renewals, the watch and, if the node supports elections, the election rounds. */
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

  /** Reads the monotonic clock of this node, ms. The clock keeps running while the process is frozen. */
  monotonicMs(): number {
    return this.environment.time.now * (1 + this.#drift);
  }

  /** Suspends the process for `ms`; it then continues where it stopped. */
  freeze(ms: number): void {
    this.#frozenUntil = this.environment.time.now + ms;
  }

  /** Ends the process without any cleanup. */
  kill(): void {
    this.#ended = true;
  }

  /** Returns whether the process has not been killed. */
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

  /** Updates the view from the store; while the store refuses this node's calls, the view stays as it is. */
  #refreshView(): void {
    if (!this.environment.reaches(this)) return;
    this.#view = electionViewOf(this.environment.store);
    this.#viewAt = this.monotonicMs();
  }

  #hasAuthority(): boolean {
    return this.#lease.valid(this.monotonicMs()) && this.#viewAt >= this.#lease.validSince;
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

  /** Sends the orders of a leader: a command to a machine, a write, and the use or the return of a machine. */
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

  /** Runs the work once this process is not frozen; drops the work if the process has been killed. */
  runWhenAwake(work: () => void): void {
    this.#whenAwake(work);
  }
}
