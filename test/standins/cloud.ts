import { setTimeout as sleep } from 'node:timers/promises';
import { CborClient } from '../../src/transport/http.js';
import type { Heartbeat } from '../../src/core/model.js';
import { StandInServer, type Reply, type Request } from './server.js';
import { FakeWorker, type World } from './worker.js';

const WIRE_STATUS = { running: 'running', exited: 'ended' } as const;

const heartbeatBody = (r: Heartbeat): unknown => ({
  Host: r.machine,
  Address: r.address,
  Hosttype: r.type,
  Site: r.zone,
  Reclaimable: r.spot,
  Tenure: r.agentEpoch,
  Counter: r.counter,
  Mandate: r.fencingToken,
  WarningS: r.preemptionNoticeS,
  Pieces: r.tasks.map((t) => ({
    Piece: `${t.uid}/${t.index}`,
    Try: t.attempt,
    Status: WIRE_STATUS[t.state as keyof typeof WIRE_STATUS],
    ...(t.why === null ? {} : { Cause: t.why, Saved: t.saved }),
  })),
});

interface WireOrder {
  Verb: 'start' | 'stop' | 'reap';
  Piece: string;
  Try: number;
  WindupS?: number;
}
const parseOrder = (o: WireOrder) => {
  const [uid, index] = o.Piece.split('/') as [string, string];
  const task = { uid, index: Number(index), attempt: o.Try };
  if (o.Verb === 'stop') return { op: 'stop' as const, ...task, graceS: o.WindupS ?? 0 };
  return { op: o.Verb === 'start' ? ('start' as const) : ('forget' as const), ...task };
};

/** A worker on loopback: reports to one node at a time and takes direct commands. */
export class WorkerHost extends StandInServer {
  worker!: FakeWorker;
  nodeIndex = 0;
  /** its reports reach no node, direct commands reach it */
  losesHeartbeats = false;
  /** its reports arrive, nothing that it is told does */
  losesCommands = false;
  /** ms that direct commands are held up before they are carried out */
  commandDelayMs = 0;
  /** the only node that it reaches, and that reaches it; null: all */
  onlyNode: string | null = null;
  /** a node that its reports do not reach; nothing that is sent to it directly arrives meanwhile */
  unreachableNode: string | null = null;
  /** ms after which copies of its reports arrive once more, at any node; null: never */
  duplicateAfterMs: number | null = null;
  duplicatesSent = 0;
  #nodes: readonly [string, string][] = [];
  #stopped = false;
  #heartbeatInFlight = false;
  #lastHeartbeatMs = 0;
  #timer: NodeJS.Timeout | null = null;

  async start(make: (address: string) => FakeWorker, nodes: readonly [string, string][]) {
    await this.listen((r) => this.#handleCommands(r));
    this.worker = make(this.address);
    this.#nodes = nodes;
    this.#timer = setInterval(() => void this.#sendHeartbeat(nodes), 50);
  }

  async #handleCommands(r: Request): Promise<Reply> {
    const cut = this.onlyNode !== null || this.unreachableNode !== null;
    if (this.losesCommands || this.worker.hung || cut) return 'hang';
    if (this.commandDelayMs > 0) await sleep(this.commandDelayMs);
    const body = r.body as { Mandate: number; Tenure: number; Orders: WireOrder[] };
    this.worker.advance(Date.now());
    const executed = this.worker.executeDirect(
      body.Mandate,
      body.Tenure,
      body.Orders.map(parseOrder),
    );
    this.#lastHeartbeatMs = 0;
    return { status: executed ? 200 : 409, body: heartbeatBody(this.worker.heartbeat()) };
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
    const report = this.worker.heartbeat();
    const sentAt = Date.now();
    const client = new CborClient(nodes[this.nodeIndex]![1], 1);
    if (this.duplicateAfterMs !== null)
      this.#scheduleDuplicate(nodes, report, this.duplicateAfterMs);
    try {
      const answer = await client.call('POST', '/agent/beat', heartbeatBody(report), 1000);
      const body = answer.body as {
        Mandate?: number;
        Orders?: WireOrder[];
        ReportsTo?: string;
      };
      if (this.#stopped || this.losesCommands || this.worker.hung) return;
      if (answer.status === 200) {
        const orders = (body.Orders ?? []).map(parseOrder);
        this.worker.advance(Date.now());
        this.worker.onHeartbeatAnswer(body.Mandate ?? 0, orders, sentAt, report.agentEpoch);
      } else {
        const to = nodes.findIndex(([name]) => name === body.ReportsTo);
        this.nodeIndex =
          to >= 0 && to !== this.nodeIndex ? to : (this.nodeIndex + 1) % nodes.length;
      }
    } catch {
      this.nodeIndex = (this.nodeIndex + 1) % nodes.length;
    } finally {
      client.close();
      this.#heartbeatInFlight = false;
    }
  }

  #scheduleDuplicate(nodes: readonly [string, string][], report: Heartbeat, ms: number): void {
    const timer = setTimeout(() => {
      if (this.#stopped) return;
      this.duplicatesSent += 1;
      this.#sendWithoutAnswer(nodes[this.duplicatesSent % nodes.length]![1], report);
    }, ms);
    timer.unref();
  }

  /** Nobody waits for the answer to a copy. */
  #sendWithoutAnswer(address: string, report: Heartbeat): void {
    const client = new CborClient(address, 1);
    void client
      .call('POST', '/agent/beat', heartbeatBody(report), 1000)
      .catch(() => null)
      .finally(() => client.close());
  }

  #keptHeartbeat: Heartbeat | null = null;
  /** Keeps a report as the worker would send it now. */
  keepHeartbeat(): void {
    this.#keptHeartbeat = this.worker.heartbeat();
  }

  /** The kept report arrives at every node. */
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

/** Stand-in for the cloud; its machines are up at once and report on loopback. */
export class FakeCloud extends StandInServer {
  readonly machines = new Map<string, WorkerHost>();
  readonly #machinesByRental = new Map<string, string[]>();
  #bootedMachines = 0;
  /** the next rental is carried out, but its answer gets lost */
  losesNextRentalResponse = false;
  /** ms that the answer to a rental takes; the machines are there at once */
  rentalDelayMs = 0;
  /** names in the calls that returned machines, in order */
  readonly returnedMachines: string[] = [];
  /** returns are on their way until this is set to false: then they are carried out */
  #holdsReturns = false;
  readonly #heldReturns: (readonly string[])[] = [];
  /** machines at once; more are refused */
  maxMachines = Infinity;

  constructor(
    private readonly world: World,
    private readonly nodes: readonly [string, string][],
    private readonly runMs: number | ((index: number) => number),
    private readonly leaseMs: number,
    private readonly zones: readonly string[] = ['z'],
  ) {
    super();
  }

  start(): Promise<void> {
    return this.listen((r) => this.#handle(r));
  }

  async #handle(r: Request): Promise<Reply> {
    if (r.path === '/machine_types') {
      const type = { Label: 'm', Vcpus: 8, Cards: 2, MemGb: 64, CacheGb: 50, FetchGbPerS: 1 };
      const price = { Price: 4, LowPrice: 1, BootS: 5, Sites: this.zones };
      return { status: 200, body: { Hosttypes: [{ ...type, ...price }] } };
    }
    if (r.path === '/rentals' && r.method === 'GET') {
      const hosts = [...this.machines].map(([name, h]) => ({
        Uid: name,
        Address: h.address,
        Hosttype: 'm',
        Site: h.worker.zone,
        Reclaimable: h.worker.spot,
        Status: 'running',
        HeldS: 1,
      }));
      return { status: 200, body: { Hosts: hosts, Truncated: false } };
    }
    if (r.path === '/rentals') {
      const body = r.body as { Hire: string; Number: number; Reclaimable: boolean; Site: string };
      let names = this.#machinesByRental.get(body.Hire);
      if (names === undefined) {
        names = [];
        const room = Math.min(body.Number, this.maxMachines - this.machines.size);
        if (room <= 0) return { status: 503, body: { error: 'no capacity' } };
        for (let i = 0; i < room; i++) names.push(await this.#boot(body.Reclaimable, body.Site));
      }
      this.#machinesByRental.set(body.Hire, names);
      if (this.rentalDelayMs > 0) await sleep(this.rentalDelayMs);
      if (this.losesNextRentalResponse) {
        this.losesNextRentalResponse = false;
        return 'hang';
      }
      return { status: 200, body: { Hosts: names } };
    }
    const { Hosts: names } = r.body as { Hosts: string[] };
    if (this.#holdsReturns) {
      this.#heldReturns.push(names);
      return 'hang';
    }
    this.#carryOutReturn(names);
    return { status: 200, body: {} };
  }

  set holdsReturns(holds: boolean) {
    this.#holdsReturns = holds;
    if (!holds) for (const names of this.#heldReturns.splice(0)) this.#carryOutReturn(names);
  }

  /** machines in returns that are on their way */
  get heldReturns(): readonly string[] {
    return this.#heldReturns.flat();
  }

  #carryOutReturn(names: readonly string[]): void {
    this.returnedMachines.push(...names);
    for (const name of names) this.kill(name);
  }

  /** A rental that no controller knows of. */
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

  /** The machine and everything on it are gone. */
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
