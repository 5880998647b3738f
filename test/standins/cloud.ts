/** Stand-ins for the cloud and for the machines that it rents out, each with a worker that reports over loopback. */
import { setTimeout as sleep } from 'node:timers/promises';
import { CborClient } from '../../src/transport/http.js';
import type { Heartbeat } from '../../src/core/model.js';
import { StandInServer, type Reply, type Request } from './server.js';
import { FakeWorker, type World } from './worker.js';

/** Task states as heartbeats send them. */
const WIRE_STATUS = { running: 'running', exited: 'ended' } as const;

/** Returns a heartbeat in its wire format. */
const heartbeatBody = (heartbeat: Heartbeat): unknown => ({
  Host: heartbeat.machine,
  Address: heartbeat.address,
  Hosttype: heartbeat.type,
  Site: heartbeat.zone,
  Reclaimable: heartbeat.spot,
  Tenure: heartbeat.agentEpoch,
  Counter: heartbeat.counter,
  Mandate: heartbeat.fencingToken,
  WarningS: heartbeat.preemptionNoticeS,
  Pieces: heartbeat.tasks.map((task) => ({
    Piece: `${task.uid}/${task.index}`,
    Try: task.attempt,
    Status: WIRE_STATUS[task.state as keyof typeof WIRE_STATUS],
    ...(task.why === null ? {} : { Cause: task.why, Saved: task.saved }),
  })),
});

/** A command in its wire format. */
interface WireOrder {
  Verb: 'start' | 'stop' | 'reap';
  Piece: string;
  Try: number;
  WindupS?: number;
}

/** Direct commands in their wire format. */
interface WireCommands {
  Mandate: number;
  Tenure: number;
  Orders: WireOrder[];
}

const parseOrder = (order: WireOrder) => {
  const [uid, index] = order.Piece.split('/') as [string, string];
  const task = { uid, index: Number(index), attempt: order.Try };
  if (order.Verb === 'stop') return { op: 'stop' as const, ...task, graceS: order.WindupS ?? 0 };
  return { op: order.Verb === 'start' ? ('start' as const) : ('forget' as const), ...task };
};

/** A machine on loopback, whose worker sends heartbeats to one node at a time and accepts direct commands. */
export class WorkerHost extends StandInServer {
  worker!: FakeWorker;
  /** index of the node that gets the heartbeats */
  nodeIndex = 0;
  /** whether no heartbeat arrives at a node, while direct commands arrive at the worker */
  losesHeartbeats = false;
  /** whether neither direct commands nor answers to heartbeats arrive at the worker, while its heartbeats arrive */
  losesCommands = false;
  /** ms by which direct commands are delayed before they are executed */
  commandDelayMs = 0;
  /** ms after which a copy of each executed direct message with a start arrives; null: never */
  commandCopyDelayMs: number | null = null;
  /** number of such copies, those that are still under way included */
  commandCopies = 0;
  /** number of such copies that have arrived */
  commandCopiesArrived = 0;
  /** the only node that heartbeats are sent to, while no direct command arrives; null: no restriction */
  onlyNode: string | null = null;
  /** a node that no heartbeat is sent to, while no direct command arrives; null: none */
  unreachableNode: string | null = null;
  /** ms after which a copy of each heartbeat arrives, at each node in turn; null: never */
  duplicateAfterMs: number | null = null;
  /** number of copies that were sent */
  duplicatesSent = 0;
  /** name and address of each node */
  #nodes: readonly [string, string][] = [];
  readonly #commandCopies: (() => void)[] = [];
  #stopped = false;
  #heartbeatInFlight = false;
  #lastHeartbeatMs = 0;
  #timer: NodeJS.Timeout | null = null;

  /** Starts to listen and to send heartbeats. `createWorker` gets the address that the worker reports. */
  async start(createWorker: (address: string) => FakeWorker, nodes: readonly [string, string][]) {
    await this.listen((request) => this.#handleCommands(request));
    this.worker = createWorker(this.address);
    this.#nodes = nodes;
    this.#timer = setInterval(() => void this.#sendHeartbeat(nodes), 50);
  }

  async #handleCommands(request: Request): Promise<Reply> {
    const partitioned = this.onlyNode !== null || this.unreachableNode !== null;
    if (this.losesCommands || this.worker.hung || partitioned) return 'hang';
    if (this.commandDelayMs > 0) await sleep(this.commandDelayMs);
    const body = request.body as WireCommands;
    this.worker.advance(Date.now());
    const executed = this.worker.executeDirect(
      body.Mandate,
      body.Tenure,
      body.Orders.map(parseOrder),
    );
    if (executed && this.commandCopyDelayMs !== null) {
      this.#scheduleCommandCopy(body, this.commandCopyDelayMs);
    }
    this.#lastHeartbeatMs = 0;
    return { status: executed ? 200 : 409, body: heartbeatBody(this.worker.heartbeat()) };
  }

  /** Delivers a direct message once more after `delayMs`, if it has a start. Nobody waits for the answer. */
  #scheduleCommandCopy({ Mandate, Tenure, Orders }: WireCommands, delayMs: number): void {
    if (!Orders.some(({ Verb }) => Verb === 'start')) return;
    this.commandCopies += 1;
    const deliver = () => {
      if (this.#stopped) return;
      this.commandCopiesArrived += 1;
      this.worker.advance(Date.now());
      this.worker.executeDirect(Mandate, Tenure, Orders.map(parseOrder));
    };
    this.#commandCopies.push(deliver);
    setTimeout(deliver, delayMs).unref();
  }

  /** Delivers a copy of every such message now, besides the one that arrives later. */
  deliverCommandCopies(): void {
    for (const deliver of this.#commandCopies) deliver();
  }

  async #sendHeartbeat(nodes: readonly [string, string][]): Promise<void> {
    if (this.losesHeartbeats || this.worker.hung) {
      this.worker.advance(Date.now());
      return;
    }
    if (this.#heartbeatInFlight || Date.now() - this.#lastHeartbeatMs < 300) return;
    this.#heartbeatInFlight = true;
    if (this.onlyNode !== null)
      this.nodeIndex = nodes.findIndex(([name]) => name === this.onlyNode);
    this.#lastHeartbeatMs = Date.now();
    this.worker.advance(Date.now());
    if (nodes[this.nodeIndex]![0] === this.unreachableNode) {
      this.nodeIndex = (this.nodeIndex + 1) % nodes.length;
      this.#heartbeatInFlight = false;
      return;
    }
    const heartbeat = this.worker.heartbeat();
    const sentAt = Date.now();
    const client = new CborClient(nodes[this.nodeIndex]![1], 1);
    if (this.duplicateAfterMs !== null)
      this.#scheduleDuplicate(nodes, heartbeat, this.duplicateAfterMs);
    try {
      const answer = await client.call('POST', '/agent/beat', heartbeatBody(heartbeat), 1000);
      const body = answer.body as {
        Mandate?: number;
        Orders?: WireOrder[];
        ReportsTo?: string;
      };
      if (this.#stopped || this.losesCommands || this.worker.hung) return;
      if (answer.status === 200) {
        const orders = (body.Orders ?? []).map(parseOrder);
        this.worker.advance(Date.now());
        this.worker.onHeartbeatAnswer(body.Mandate ?? 0, orders, sentAt, heartbeat.agentEpoch);
      } else {
        const target = nodes.findIndex(([name]) => name === body.ReportsTo);
        this.nodeIndex =
          target >= 0 && target !== this.nodeIndex ? target : (this.nodeIndex + 1) % nodes.length;
      }
    } catch {
      this.nodeIndex = (this.nodeIndex + 1) % nodes.length;
    } finally {
      client.close();
      this.#heartbeatInFlight = false;
    }
  }

  #scheduleDuplicate(
    nodes: readonly [string, string][],
    heartbeat: Heartbeat,
    delayMs: number,
  ): void {
    const timer = setTimeout(() => {
      if (this.#stopped) return;
      this.duplicatesSent += 1;
      this.#sendWithoutAnswer(nodes[this.duplicatesSent % nodes.length]![1], heartbeat);
    }, delayMs);
    timer.unref();
  }

  /** Sends a copy of a heartbeat and ignores the answer. */
  #sendWithoutAnswer(address: string, heartbeat: Heartbeat): void {
    const client = new CborClient(address, 1);
    void client
      .call('POST', '/agent/beat', heartbeatBody(heartbeat), 1000)
      .catch(() => null)
      .finally(() => client.close());
  }

  #keptHeartbeat: Heartbeat | null = null;

  /** Keeps the heartbeat that the worker would send now, for `deliverKeptHeartbeat`. */
  keepHeartbeat(): void {
    this.#keptHeartbeat = this.worker.heartbeat();
  }

  /** Sends the kept heartbeat to every node. */
  deliverKeptHeartbeat(): void {
    if (this.#keptHeartbeat === null || this.#stopped) return;
    for (const [, address] of this.#nodes) this.#sendWithoutAnswer(address, this.#keptHeartbeat);
  }

  override close(): void {
    this.#stopped = true;
    if (this.#timer !== null) clearInterval(this.#timer);
    super.close();
  }
}

/** Rents out machines, which are up at once and send heartbeats on loopback. */
export class FakeCloud extends StandInServer {
  /** rented machines by name */
  readonly machines = new Map<string, WorkerHost>();
  /** names of the machines that a rental got, by the rental's key: a repeated rental gets the same */
  readonly #machinesByRental = new Map<string, string[]>();
  #bootedMachines = 0;
  /** whether the next rental is carried out, but its answer is lost */
  losesNextRentalResponse = false;
  /** ms by which the answer to a rental is delayed; the machines are up before */
  rentalDelayMs = 0;
  /** names of returned machines, in the order in which returns were carried out */
  readonly returnedMachines: string[] = [];
  /** whether returns are held back; they are carried out when `holdsReturns` is set to false */
  #holdsReturns = false;
  readonly #heldReturns: (readonly string[])[] = [];
  /** most machines that are rented out at a time */
  maxMachines = Infinity;

  constructor(
    private readonly world: World,
    /** name and address of each node */
    private readonly nodes: readonly [string, string][],
    /** duration of a task in ms, or a function that returns it for the index of the task */
    private readonly runMs: number | ((index: number) => number),
    private readonly leaseMs: number,
    private readonly zones: readonly string[] = ['z'],
  ) {
    super();
  }

  start(): Promise<void> {
    return this.listen((request) => this.#handle(request));
  }

  async #handle(request: Request): Promise<Reply> {
    if (request.path === '/machine_types') {
      const type = { Label: 'm', Vcpus: 8, Cards: 2, MemGb: 64, CacheGb: 50, FetchGbPerS: 1 };
      const price = { Price: 4, LowPrice: 1, BootS: 5, Sites: this.zones };
      return { status: 200, body: { Hosttypes: [{ ...type, ...price }] } };
    }
    if (request.path === '/rentals' && request.method === 'GET') {
      const hosts = [...this.machines].map(([name, host]) => ({
        Uid: name,
        Address: host.address,
        Hosttype: 'm',
        Site: host.worker.zone,
        Reclaimable: host.worker.spot,
        Status: 'running',
        HeldS: 1,
      }));
      return { status: 200, body: { Hosts: hosts, Truncated: false } };
    }
    if (request.path === '/rentals') {
      const body = request.body as {
        Hire: string;
        Number: number;
        Reclaimable: boolean;
        Site: string;
      };
      let names = this.#machinesByRental.get(body.Hire);
      if (names === undefined) {
        names = [];
        const granted = Math.min(body.Number, this.maxMachines - this.machines.size);
        if (granted <= 0) return { status: 503, body: { error: 'no capacity' } };
        for (let i = 0; i < granted; i++) names.push(await this.#boot(body.Reclaimable, body.Site));
      }
      this.#machinesByRental.set(body.Hire, names);
      if (this.rentalDelayMs > 0) await sleep(this.rentalDelayMs);
      if (this.losesNextRentalResponse) {
        this.losesNextRentalResponse = false;
        return 'hang';
      }
      return { status: 200, body: { Hosts: names } };
    }
    const { Hosts: names } = request.body as { Hosts: string[] };
    if (this.#holdsReturns) {
      this.#heldReturns.push(names);
      return 'hang';
    }
    this.#carryOutReturn(names);
    return { status: 200, body: {} };
  }

  /** Holds back returns from now on, which then get no answer; set to false, carries out those held back. */
  set holdsReturns(holds: boolean) {
    this.#holdsReturns = holds;
    if (!holds) for (const names of this.#heldReturns.splice(0)) this.#carryOutReturn(names);
  }

  /** Names of the machines in returns that are held back. */
  get heldReturns(): readonly string[] {
    return this.#heldReturns.flat();
  }

  #carryOutReturn(names: readonly string[]): void {
    this.returnedMachines.push(...names);
    for (const name of names) this.kill(name);
  }

  /** Boots a machine that belongs to no rental of a controller; returns its name. */
  bootUnknownMachine(): Promise<string> {
    return this.#boot(false, this.zones[0]!);
  }

  async #boot(spot: boolean, zone: string): Promise<string> {
    this.#bootedMachines += 1;
    const name = `vm-${String(this.#bootedMachines).padStart(6, '0')}`;
    const host = new WorkerHost();
    host.host = this.host;
    await host.start((address) => {
      const now = Date.now();
      const { world, runMs, leaseMs } = this;
      return new FakeWorker(name, world, runMs, leaseMs, now, zone, 'm', address, spot);
    }, this.nodes);
    host.nodeIndex = this.#bootedMachines % this.nodes.length;
    this.world.zoneOf.set(name, zone);
    this.machines.set(name, host);
    return name;
  }

  /** Removes a machine and everything that runs on it. */
  kill(name: string): void {
    const host = this.machines.get(name);
    host?.worker.terminate();
    host?.close();
    this.machines.delete(name);
  }

  override close(): void {
    for (const name of [...this.machines.keys()]) this.kill(name);
    super.close();
  }
}
