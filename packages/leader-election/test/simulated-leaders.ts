import {
  decodeLeaderRecord,
  decodeTransferRequest,
  LEADER_PREFIX,
  LeaderElection,
  leaderKey,
  fencedCompareAndSwap,
  TRANSFER_REQUEST_PREFIX,
  NotLeaderError,
  FencingRejections,
  SessionLease,
  StoreUnavailableError,
  type Authorization,
  type LeaderRecord,
  type ElectionView,
  type LeadershipTransferRequest,
  type LiveMember,
  type CompareAndSwapStore,
  type Versioned,
} from '@sumacstep/leader-election';
import type { DutyEvent } from './history.js';
import { SimulatedStore, type Weather } from './simulated-store.js';
import { VirtualTime } from './virtual-time.js';

export const DUTY = 'work';
const NODES = 'nodes/';
const TICK_MS = 250;
const WATCH_MS = 200;
const TIMING = { ttlMs: 6000, renewMs: 1500, retryMs: 300, clockDrift: 0.001, marginMs: 500 };
const MACHINE_KEY = 'machine';

/** What a holder logged. */
export interface LogLine {
  readonly message: string;
  readonly [field: string]: unknown;
}

/** Chances and times of what may go wrong. */
export interface Faults extends Weather {
  /** share by which a node's steady clock runs fast or slow */
  drift(): number;
}

const calm: Weather = {
  delayMs: () => 5,
  fate: () => 'normal',
  lateMs: () => 0,
  refused: () => false,
};
export const CALM: Faults = { ...calm, drift: () => 0 };

/** A view as a node's watch of the store last showed it. */
const viewOf = (store: SimulatedStore): ElectionView => {
  const members: LiveMember[] = [];
  const records = new Map<string, Versioned<LeaderRecord>>();
  const requests = new Map<string, Versioned<LeadershipTransferRequest>>();
  for (const [key, { value, revision }] of store.items) {
    if (key.startsWith(NODES)) {
      const [node = '', incarnation = ''] = key.slice(NODES.length).split('/');
      members.push({ node, incarnation, revision, supportsElection: value === 'knows' });
    } else if (key.startsWith(LEADER_PREFIX)) {
      records.set(key.slice(LEADER_PREFIX.length), { value: decodeLeaderRecord(value), revision });
    } else if (key.startsWith(TRANSFER_REQUEST_PREFIX)) {
      const request = decodeTransferRequest(value);
      if (request !== null) {
        requests.set(key.slice(TRANSFER_REQUEST_PREFIX.length), { value: request, revision });
      }
    }
  }
  return { members, records, transferRequests: requests };
};

/** One life of a node that takes part in the duty. */
export class Holder {
  readonly refusals: FencingRejections;
  readonly log: LogLine[] = [];
  readonly manager: LeaderElection;
  readonly #lease: SessionLease;
  readonly #store: CompareAndSwapStore;
  readonly #drift: number;
  #view: ElectionView;
  #viewAt = -Infinity;
  #frozenUntil = -Infinity;
  #dead = false;

  constructor(
    private readonly world: HolderWorld,
    readonly node: string,
    readonly incarnation: string,
    faults: Faults,
    supportsElection: boolean,
  ) {
    const { store, time } = world;
    this.#drift = faults.drift();
    const client = store.client(faults, (work) => this.#whenAwake(work));
    this.#store = client;
    this.#view = viewOf(store);
    const write = (fields: object, message: string) => void this.log.push({ ...fields, message });
    const log = { info: write, debug: () => undefined };
    this.refusals = new FencingRejections((duty) => this.#currentToken(duty), log);
    const key = this.#memberKey(this);
    const value = supportsElection ? 'knows' : 'older';
    this.#lease = new SessionLease(client, { key, value }, TIMING, () => this.steady(), log);
    this.manager = new LeaderElection(
      { self: this, roles: [DUTY], candidateDelayMs: 1500, memberKey: (m) => this.#memberKey(m) },
      {
        store: client,
        view: () => this.#view,
        hasAuthority: () => this.#authority(),
        onCommitted: () => this.#watch(),
        steadyMs: () => this.steady(),
        wallClockMs: () => world.timeOfDay,
        rejections: this.refusals,
        log,
      },
    );
    const renew = () => {
      if (this.#dead) return;
      this.#whenAwake(() => void this.#lease.step().then((ms) => time.after(ms, renew)));
    };
    renew();
    time.every(WATCH_MS, () => this.#whenAwake(() => this.#watch()));
    if (supportsElection) time.every(TICK_MS, () => this.#whenAwake(() => this.#tick()));
  }

  /** The steady clock of this node: it runs on while the process stands still. */
  steady(): number {
    return this.world.time.now * (1 + this.#drift);
  }

  /** The process stands still, and goes on later as it was. */
  freeze(ms: number): void {
    this.#frozenUntil = this.world.time.now + ms;
  }

  kill(): void {
    this.#dead = true;
  }

  get alive(): boolean {
    return !this.#dead;
  }

  #whenAwake(work: () => void): void {
    if (this.#dead) return;
    const { time } = this.world;
    if (time.now < this.#frozenUntil) {
      time.after(this.#frozenUntil - time.now, () => this.#whenAwake(work));
    } else work();
  }

  #memberKey({ node, incarnation }: { node: string; incarnation: string }): string {
    return `${NODES}${node}/${incarnation}`;
  }

  /** A node without the store learns nothing. */
  #watch(): void {
    if (!this.world.reaches(this)) return;
    this.#view = viewOf(this.world.store);
    this.#viewAt = this.steady();
  }

  #authority(): boolean {
    return this.#lease.valid(this.steady()) && this.#viewAt >= this.#lease.validSince;
  }

  #currentToken(duty: string): Promise<number | null> {
    if (!this.world.reaches(this)) return Promise.reject(new StoreUnavailableError('out'));
    return Promise.resolve(viewOf(this.world.store).records.get(duty)?.value.token ?? null);
  }

  #tick(): void {
    this.manager.tick();
    const authorization = this.manager.authorize(DUTY);
    if (authorization !== null) void this.act(authorization);
  }

  /** Orders of a holder: a write, a command to a machine, and now and then a machine's return or use. */
  async act(authorization: Authorization): Promise<void> {
    try {
      authorization.ensureValid();
      this.world.sent(this, authorization);
      this.world.commandMachine(this, authorization);
      await fencedCompareAndSwap(
        this.#store,
        authorization,
        'normal',
        [],
        [{ put: MACHINE_KEY, value: authorization.fencingToken }],
      );
      await this.world.useOrReturn(this, this.#store, authorization);
    } catch (error) {
      if (error instanceof StoreUnavailableError || error instanceof NotLeaderError) return;
      throw error;
    }
  }

  /** Runs the work once this process is awake, if it still lives. */
  resume(work: () => void): void {
    this.#whenAwake(work);
  }
}

/** Nodes, a machine that compares tokens, and a cloud that knows none. */
export class HolderWorld {
  readonly time = new VirtualTime();
  readonly store = new SimulatedStore(this.time);
  readonly history: DutyEvent[] = [];
  readonly holders: Holder[] = [];
  /** machines that the cloud took back, and those that a holder uses */
  readonly broken: string[] = [];
  readonly counts = { machineRefused: 0, returned: 0, used: 0 };
  timeOfDay = 0;
  #machineToken = 0;
  #nextMachine = 0;
  /** nodes that the store refuses, or none */
  readonly #unreachable = new Set<string>();
  #lives = 0;

  constructor(
    private readonly faults: Faults,
    /** ms until the cloud carries a return out */
    private readonly cloudMs: () => number = () => 10,
  ) {
    this.store.observe((writes) => {
      for (const write of writes) {
        if (!('put' in write)) continue;
        if (write.put === MACHINE_KEY) {
          this.history.push({ kind: 'executed', by: 'store', token: write.value as number });
        } else if (write.put === leaderKey(DUTY)) this.#noteRecord(decodeLeaderRecord(write.value));
      }
    });
    this.time.every(50, () => this.store.expire());
  }

  start(node: string, supportsElection = true): Holder {
    this.#lives += 1;
    const faults = { ...this.faults, refused: () => this.#unreachable.has(node) };
    const holder = new Holder(this, node, `life${this.#lives}`, faults, supportsElection);
    this.holders.push(holder);
    return holder;
  }

  /** The store refuses one node, or serves it again. */
  refuse(node: string, refused: boolean): void {
    if (refused) this.#unreachable.add(node);
    else this.#unreachable.delete(node);
  }

  reaches(holder: Holder): boolean {
    return !this.#unreachable.has(holder.node);
  }

  /** The life that the store's record names. */
  get holder(): Holder | null {
    const record = viewOf(this.store).records.get(DUTY)?.value;
    const life = record?.holder?.incarnation;
    return this.holders.find((h) => h.incarnation === life) ?? null;
  }

  get token(): number {
    return viewOf(this.store).records.get(DUTY)?.value.token ?? 0;
  }

  #noteRecord({ holder, token }: LeaderRecord): void {
    if (holder === null) return;
    this.history.push({ kind: 'acquired', holder: holder.incarnation, token });
  }

  sent(holder: Holder, { fencingToken: token }: Authorization): void {
    this.history.push({ kind: 'sent', holder: holder.incarnation, token });
  }

  /** The command is on its way for some time, and the machine compares its token. */
  commandMachine(holder: Holder, authorization: Authorization): void {
    const { fencingToken: token } = authorization;
    this.time.after(this.faults.delayMs(), () => {
      if (token < this.#machineToken) {
        this.counts.machineRefused += 1;
        const newer = this.#machineToken;
        holder.resume(() => authorization.recordRejection('machine', newer));
        return;
      }
      this.#machineToken = token;
      this.history.push({ kind: 'executed', by: 'machine', token });
    });
  }

  /**
   * Two machines for each call: one is recorded as used, one is returned. The return's intent and the use depend on
   * the same list, so that no machine that is used is ever returned, however late the cloud carries it out.
   */
  async useOrReturn(
    holder: Holder,
    store: CompareAndSwapStore,
    authorization: Authorization,
  ): Promise<void> {
    const name = `machine${this.#nextMachine % 50}`;
    this.#nextMachine += 7;
    const list = this.store.items.get('returns');
    const returning = (list?.value as readonly string[] | undefined) ?? [];
    if (returning.includes(name) || this.store.items.has(`used/${name}`)) return;
    const use = this.#nextMachine % 2 === 0;
    const write = use
      ? { put: `used/${name}`, value: true }
      : { put: 'returns', value: [...returning, name] };
    const guards = [
      { key: 'returns', revision: list?.revision ?? 0 },
      { key: `used/${name}`, revision: 0 },
    ];
    const outcome = await fencedCompareAndSwap(store, authorization, 'normal', guards, [write]);
    if (!outcome.ok) return;
    if (use) {
      this.counts.used += 1;
      return;
    }
    authorization.ensureValid();
    this.sent(holder, authorization);
    this.time.after(this.cloudMs(), () => {
      this.counts.returned += 1;
      if (this.store.items.has(`used/${name}`)) this.broken.push(`${name} returned and used`);
    });
  }
}
