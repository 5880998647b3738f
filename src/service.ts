import { createServer, type Server } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import hdr from 'hdr-histogram-js';
import Koa from 'koa';
import type { Logger } from 'pino';
import { steadyMs, timeOfDayMs } from './clock.js';
import { CloudClient, CloudTrouble } from './cloud/client.js';
import type { OperatorConfig } from './config/operator.js';
import type { PlatformConfig } from './config/platform.js';
import {
  CUT_OFF_MS,
  FEED_SHARE,
  FOLLOW_PAUSE_MS,
  IDLE_LEASES,
  LOOP_MS,
  READY_GRACE_MS,
  REQUEST_MS,
  SIGHTING_MS,
  SOON_MS,
  STATE_FRESH_MS,
  SUMMARY_MS,
  TYPES_MS,
  TYPES_RETRY_MS,
  UNKNOWN_LOAD,
} from './constants.js';
import { Hearer, Teller, type Cancellation } from './core/cancellations.js';
import type { PartLoad } from './core/jobs.js';
import { Learning } from './core/learning.js';
import {
  fits,
  PRIORITY_RANK,
  timesIn,
  type JobSpec,
  type MachineType,
  type Report,
  type Resources,
} from './core/model.js';
import type { MachineState } from './core/part.js';
import { Keeper, type PeerView } from './keeper.js';
import { Gossip, type OwnStatus } from './peers/gossip.js';
import type { PeerStatus, RoomStatus } from './peers/frames.js';
import { randomFrom } from './random.js';
import { Rentals } from './rentals.js';
import { shareSockets } from './sockets.js';
import { StateClient, type StateLimits } from './state/client.js';
import { Currency } from './state/currency.js';
import { NodeLease } from './state/lease.js';
import { feed, Mirror, type FeedBatch } from './state/mirror.js';
import { userRoutes } from './users/api.js';
import { Jobs } from './users/jobs.js';
import { workerRoutes, type BeatReply } from './workers/beats.js';

/** One controller: the core wired to state service, cloud, workers, users and the other nodes. */
export class Service {
  readonly #now = steadyMs;
  readonly #incarnation: string;
  readonly #random: (below: number) => number;
  readonly #state: StateClient;
  readonly #cloud: CloudClient;
  readonly #mirror = new Mirror();
  readonly #currency: Currency;
  readonly #lease: NodeLease;
  readonly #learning = new Learning();
  readonly #gossip: Gossip;
  readonly #teller: Teller;
  readonly #hearer: Hearer;
  readonly #keeper: Keeper;
  readonly #rentals: Rentals;
  readonly #jobs: Jobs;
  readonly #stop = new AbortController();
  readonly #timers: NodeJS.Timeout[] = [];
  readonly #accepts = hdr.build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000 });
  #types: ReadonlyMap<string, MachineType> | null = null;
  /** the loads of our own parts as last told to the others */
  readonly #loadsOf = new Map<number, number[]>();
  #soon: NodeJS.Timeout | null = null;
  /** when the loop runs next */
  #soonAt = Infinity;
  #aloneSince: number | null = null;
  #cutOffSince: number | null = null;
  /** nodes among which the limits are shared */
  #sharing: number;
  /** the mirror's version whose jobs are learned from */
  #learned = -1;
  #server: Server | null = null;
  /** connections closed at once since the last summary, for want of sockets */
  #dropped = 0;

  constructor(
    private readonly config: PlatformConfig,
    private readonly operator: OperatorConfig,
    private readonly log: Logger,
  ) {
    const seed = (timeOfDayMs() * 1000 + Math.floor(steadyMs() * 1000) + process.pid) | 0;
    this.#random = randomFrom(seed);
    this.#incarnation = `${timeOfDayMs().toString(36)}${this.#random(2 ** 30).toString(36)}`;
    this.#sharing = config.nodes;
    this.#state = new StateClient(
      config.state,
      this.#stateShare(config.nodes),
      config.stateLimits,
      this.#now,
      log,
    );
    this.#currency = new Currency(this.#state, this.#mirror, this.#now);
    const cloudRps = (config.cloudLimits.rps * operator.cloudRequestShare) / config.nodes;
    this.#cloud = new CloudClient(config.cloud, cloudRps, this.#now);
    this.#lease = new NodeLease(this.#state, config.node, this.#incarnation, this.#now, log);
    const others = config.peers.map((p) => p.node);
    this.#teller = new Teller(others, config.workers.cancelS * 1000);
    this.#hearer = new Hearer(others);
    this.#gossip = new Gossip(
      config.node,
      this.#incarnation,
      config.peers,
      (detailed, sentAt) => this.#status(detailed, sentAt),
      (status, echoed) => this.#heard(status, echoed),
      this.#now,
      log,
    );
    this.#keeper = new Keeper(
      config,
      operator,
      this.#incarnation,
      this.#state,
      this.#mirror,
      this.#lease,
      () => this.#currency.wait(),
      this.#peerView(),
      () => this.#types,
      (jobClass) => this.#startWithin(jobClass),
      this.#now,
      timeOfDayMs,
      log,
    );
    this.#rentals = new Rentals(
      config,
      operator,
      this.#incarnation,
      this.#cloud,
      this.#state,
      this.#mirror,
      this.#keeper,
      this.#learning,
      (part) => this.#busyElsewhere(part),
      () => this.#jobs.sentAway(),
      () => this.#types,
      this.#now,
      timeOfDayMs,
      log,
    );
    this.#jobs = new Jobs(
      this.#state,
      this.#mirror,
      this.#currency,
      {
        types: () => this.#types,
        loads: (spec) => this.#loads(spec),
        termOf: (part) => this.#keeper.termOf(part),
        random: this.#random,
      },
      config.teams,
      config.nodes,
      config.stateLimits.valueBytes,
      operator.loadThreshold,
      this.#now,
    );
    this.#mirror.on('change', () => this.#tickSoon());
    this.#mirror.on('cancelled', (c: Cancellation) => this.#teller.learned(c, this.#now()));
  }

  async start(): Promise<void> {
    await this.#gossip.listen(this.config.peerListen);
    await this.#listen();
    this.#background('lease', this.#lease.run());
    this.#background('feed', this.#follow());
    this.#background('machine types', this.#loadTypes());
    this.#tickIn(LOOP_MS);
    this.#timers.push(setInterval(() => this.#summary(), SUMMARY_MS));
    this.log.info({ listen: this.config.listen, incarnation: this.#incarnation }, 'started');
  }

  /** Loops that must never end; if one does, the process must not go on in an unknown state. */
  #background(name: string, work: Promise<void>): void {
    work.catch((error: unknown) => {
      if (this.#stop.signal.aborted) return;
      throw new Error(`the loop "${name}" ended`, { cause: error });
    });
  }

  async #listen(): Promise<void> {
    const app = new Koa();
    app.on('error', (error: Error) => this.log.debug({ error: error.message }, 'request failed'));
    app.use(
      workerRoutes(
        (report) => this.#beat(report),
        () => this.#mirror.ready,
      ),
    );
    app.use(
      userRoutes({
        jobs: this.#jobs,
        progress: (uid) => this.#progress(uid),
        // Whoever runs the job should stop it now, whether or not the state service tells it.
        cancelled: (uid) => {
          if (this.#teller.has(uid)) this.#gossip.hurry();
        },
        ready: () => this.#ready(),
        stateUp: () => this.#state.up,
        timeOfDay: timeOfDayMs,
        steady: this.#now,
        random: this.#random,
        malformed: (reason) => this.log.info({ reason }, 'malformed submission'),
        accepted: (spec, ms) => {
          this.#accepts.recordValue(Math.max(1, Math.round(ms)));
          const { uid, jobClass, tasks } = spec;
          this.log.debug({ job: uid, class: jobClass, tasks }, 'accepted');
        },
      }),
    );
    const handler = app.callback();
    const server = createServer((req, res) => void handler(req, res));
    server.keepAliveTimeout = this.config.workers.leaseS * 1000 * IDLE_LEASES;
    // Beyond this a connection is closed at once, and its worker or the load balancer tries another node.
    server.maxConnections = shareSockets(this.config.sockets, this.config.peers.length).inbound;
    server.requestTimeout = REQUEST_MS;
    server.on('drop', () => (this.#dropped += 1));
    this.#server = server;
    const colon = this.config.listen.lastIndexOf(':');
    const host = this.config.listen.slice(0, colon);
    const port = Number(this.config.listen.slice(colon + 1));
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
  }

  async #follow(): Promise<void> {
    const rps = (this.config.stateLimits.rps * this.operator.stateRequestShare) / this.config.nodes;
    const options = {
      pauseMs: Math.max(FOLLOW_PAUSE_MS, 1000 / (rps * FEED_SHARE)),
      now: this.#now,
      reading: (since: number | null) => this.#currency.reading(since),
    };
    for await (const batch of feed(this.#state, this.#stop.signal, options)) {
      this.#mirror.apply(batch as FeedBatch);
    }
  }

  async #loadTypes(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      try {
        const types = await this.#cloud.types();
        this.#types = new Map(types.map((t) => [t.name, t]));
        await this.#sleep(TYPES_MS);
      } catch (error) {
        if (!(error instanceof CloudTrouble)) throw error;
        this.log.debug({ error: error.message }, 'machine types not read');
        await this.#sleep(TYPES_RETRY_MS);
      }
    }
  }

  #sleep(ms: number): Promise<void> {
    return sleep(ms, undefined, { signal: this.#stop.signal });
  }

  // --- loops -------------------------------------------------------------------------------------

  /** Looks at the change together with those that come right after it. */
  #tickSoon(): void {
    if (this.#soon === null || this.#soonAt - this.#now() <= SOON_MS) return;
    clearTimeout(this.#soon);
    this.#tickIn(SOON_MS);
  }

  #tickIn(ms: number): void {
    this.#soonAt = this.#now() + ms;
    this.#soon = setTimeout(() => this.#tick(), ms);
  }

  #tick(): void {
    if (this.#stop.signal.aborted) return;
    this.#tickIn(LOOP_MS);
    this.#noteAlone();
    this.#shareLimits();
    this.#learn();
    this.#keeper.tick();
    for (const [index, { part }] of this.#keeper.owned) {
      for (const run of part.finishedRuns.splice(0)) this.#learning.ran(run.jobClass, run.runS);
      for (const { uid, ...e } of part.happened.splice(0)) {
        this.log.debug({ job: uid, part: index, term: part.term, ...e }, 'task');
      }
    }
    this.#rentals.tick();
  }

  /** The limits of state service and cloud are for all nodes together: those that live share them. */
  #shareLimits(): void {
    const alive = this.#mirror.ready ? this.#keeper.aliveNodes() : this.config.nodes;
    const nodes = Math.min(this.config.nodes, Math.max(1, alive));
    if (nodes === this.#sharing) return;
    this.#sharing = nodes;
    this.#state.setLimits(this.#stateShare(nodes));
    const { cloudRequestShare } = this.operator;
    this.#cloud.setRate((this.config.cloudLimits.rps * cloudRequestShare) / nodes);
  }

  #stateShare(nodes: number): StateLimits {
    const { rps, writeRps, next } = this.config.stateLimits;
    const { stateRequestShare, stateWriteShare } = this.operator;
    const share = (l: { rps: number; writeRps: number }) => ({
      rps: (l.rps * stateRequestShare) / nodes,
      writeRps: (l.writeRps * stateWriteShare) / nodes,
    });
    return { ...share({ rps, writeRps }), next: share(next) };
  }

  /** Arrivals, when there are new ones, and what other nodes have learned of run times. */
  #learn(): void {
    if (this.#learned === this.#mirror.version) return;
    this.#learned = this.#mirror.version;
    const nowS = timeOfDayMs() / 1000;
    for (const { value } of this.#mirror.tables['active/'].values()) {
      this.#learning.arrived(value.spec, Math.min(nowS, value.at / 1000));
    }
    for (const status of this.#gossip.heard()) {
      for (const c of status.classes) this.#learning.adopt(c.jobClass, c.runS, c.finished);
    }
  }

  #beat(report: Report): BeatReply {
    const reply = this.#keeper.beat(report);
    if (reply.kind === 'unavailable') this.#rentals.sighted(report);
    else if (reply.kind === 'answer') this.#tickSoon();
    return reply;
  }

  /**
   * Ready when requests can be served. Without state that is only so if no reachable node has any:
   * in an outage all stay, rather than leave the load balancer with nobody.
   */
  #ready(): boolean {
    if (!this.#mirror.ready || this.#types === null) return false;
    const now = this.#now();
    if (this.#cutOffSince !== null && now - this.#cutOffSince >= CUT_OFF_MS) return false;
    return this.#aloneSince === null || now - this.#aloneSince < READY_GRACE_MS;
  }

  /** Notes since when this node alone has been without state, or without state and anybody else. */
  #noteAlone(): void {
    const { up } = this.#state;
    const alone = !up && this.#peerWithState() !== null;
    this.#aloneSince = alone ? (this.#aloneSince ?? this.#now()) : null;
    const cutOff = !up && this.config.peers.length > 0 && this.#gossip.fresh().length === 0;
    this.#cutOffSince = cutOff ? (this.#cutOffSince ?? this.#now()) : null;
  }

  // --- aims --------------------------------------------------------------------------------------

  /** Aims for starts as they are, aims for ends less the time that a task runs. */
  #startWithin(jobClass: string): number[] {
    const runS = this.#learning.runS(jobClass) ?? 0;
    return this.config.objectives
      .filter((o) => o.jobClass === jobClass && (o.kind === 'wait' || o.kind === 'finished'))
      .map((o) => (o.kind === 'wait' ? o.withinS : Math.max(0, o.withinS - runS)))
      .sort((a, b) => a - b);
  }

  // --- other nodes -------------------------------------------------------------------------------

  #hasState(): boolean {
    return this.#state.up && this.#now() - this.#state.lastGood < STATE_FRESH_MS;
  }

  #peerWithState(): string | null {
    return this.#gossip.fresh().find((s) => s.hasState)?.node ?? null;
  }

  #peerView(): PeerView {
    return {
      withState: () => this.#peerWithState(),
      fit: (node) =>
        this.#gossip.fresh().find((s) => s.node === node && s.hasState)?.incarnation ?? null,
      roomElsewhere: (spec, not) => this.#roomElsewhere(spec, not),
      imagesOf: (machine) => {
        for (const { images } of this.#gossip.latest().flatMap((s) => s.parts)) {
          const known = images.find((i) => i.machine === machine);
          if (known !== undefined)
            return new Map(known.images.map((n, i) => [n, known.gb[i] ?? 0]));
        }
        return new Map();
      },
      hears: (part) => {
        let best: { node: string; workers: number } | null = null;
        for (const s of this.#gossip.fresh()) {
          const workers = s.sightings.find((x) => x.part === part)?.workers ?? 0;
          if (workers > (best?.workers ?? 0)) best = { node: s.node, workers };
        }
        return best?.node ?? null;
      },
      cancellationsKnownUntil: () => this.#hearer.knownUntil(this.#mirror.currentAt),
    };
  }

  #heard(status: PeerStatus, echoed: number): void {
    const { node, incarnation, cancellations, cancellationsComplete: complete } = status;
    for (const c of cancellations) this.#mirror.learnCancelled(c);
    const from = { node, incarnation, complete, echoed };
    this.#hearer.heard(from, this.#mirror.currentAt, this.#now());
    this.#teller.acknowledged(node, echoed);
  }

  #status(detailed: boolean, sentAt: number): OwnStatus {
    const now = this.#now();
    const sightings = new Map<number, number>();
    for (const [machine, s] of this.#keeper.sighted) {
      if (now - s.at > SIGHTING_MS) this.#keeper.sighted.delete(machine);
      else sightings.set(s.part, (sightings.get(s.part) ?? 0) + 1);
    }
    const jobs: PeerStatus['jobs'] = [];
    const parts: PeerStatus['parts'] = [];
    for (const [index, { part }] of this.#keeper.owned) {
      const rooms = this.#rooms(index);
      const images = [...(detailed ? part.machines.values() : [])]
        .filter((m) => m.images.size > 0)
        .map((m) => ({
          machine: m.record.name,
          images: [...m.images.keys()],
          gb: [...m.images.values()],
        }));
      const loads = RANKS.flatMap((r) => [part.load(r, false, now), part.load(r, true, now)]);
      this.#loadsOf.set(index, loads);
      const waiting = RANKS.map((r) => part.waiting(r));
      parts.push({ part: index, loads, rooms, waiting, images, busy: part.busy() });
      for (const job of detailed ? part.jobs.values() : []) {
        const done = job.saved.size + job.unsaved.size;
        const running = [...job.placed.values()].filter((p) => p.state === 'running').length;
        if (done + running > 0) jobs.push({ uid: job.spec.uid, running, done, part: index });
      }
    }
    return {
      cancellations: this.#teller.tell(sentAt),
      cancellationsComplete: this.#teller.complete(sentAt),
      hasState: this.#hasState(),
      parts,
      jobs,
      sightings: [...sightings].map(([part, workers]) => ({ part, workers })),
      classes: this.#learning.runs(),
    };
  }

  /** Machines with room, those alike put together: after a boot wave there are a hundred of them. */
  #rooms(index: number): RoomStatus[] {
    const part = this.#keeper.owned.get(index)?.part;
    if (part === undefined) return [];
    const out = new Map<string, RoomStatus & { images: string[] }>();
    const note = (m: MachineState, free: Resources, rank: number) => {
      const { type, zone, spot } = m.record;
      const { cpus, gpus, memoryGb } = free;
      const alike = `${type} ${zone} ${spot} ${rank} ${cpus} ${gpus} ${memoryGb}`;
      const known = out.get(alike);
      if (known === undefined) {
        const images = [...m.images.keys()];
        out.set(alike, { cpus, gpus, memoryGb, type, zone, spot, rank, count: 1, images });
      } else {
        known.count += 1;
        for (const i of m.images.keys()) if (!known.images.includes(i)) known.images.push(i);
      }
    };
    const now = this.#now();
    for (const m of part.rooms(now)) note(m, m.free, 0);
    for (const { m, rank } of part.displaceable(now)) if (m.type !== null) note(m, m.type, rank);
    return [...out.values()];
  }

  #loads(spec: JobSpec): PartLoad[] {
    const rank = PRIORITY_RANK[spec.priority];
    const heard = this.#gossip.heard();
    const out: PartLoad[] = [];
    for (let part = 0; part < this.config.nodes; part++) {
      const own = this.#keeper.owned.get(part)?.part;
      const said = heard.flatMap((s) => s.parts).find((p) => p.part === part);
      const rooms = own === undefined ? (said?.rooms ?? []) : this.#rooms(part);
      // Our own figures are as old as those of the others, at most a second: submissions are many.
      const loads = own === undefined ? said?.loads : this.#loadsOf.get(part);
      const load = loads?.[rank * 2 + Number(spec.spot)] ?? UNKNOWN_LOAD;
      const fitting = rooms.filter((r) => r.rank === 0 && roomFits(spec, r));
      const hasImage = fitting.some((r) => r.images.includes(spec.image));
      out.push({ part, load, fitsNow: fitting.length > 0, hasImage });
    }
    return out;
  }

  #roomElsewhere(spec: JobSpec, not: number): { part: number; tasks: number } | null {
    const rank = PRIORITY_RANK[spec.priority];
    let best: { part: number; tasks: number; image: boolean } | null = null;
    const heard = this.#gossip.heard();
    for (let part = 0; part < this.config.nodes; part++) {
      if (part === not) continue;
      const said = heard.flatMap((s) => s.parts).find((p) => p.part === part);
      // A part with tasks of its own waiting, of this rank or above, has no room to offer.
      const own = this.#keeper.owned.get(part)?.part;
      const waiting = own === undefined ? (said?.waiting[rank] ?? 1) : own.waiting(rank);
      if (waiting > 0) continue;
      const rooms = (own === undefined ? (said?.rooms ?? []) : this.#rooms(part)).filter((r) =>
        roomFits(spec, r),
      );
      const tasks = rooms.reduce((sum, r) => sum + timesIn(spec.demand, r) * r.count, 0);
      const image = rooms.some((r) => r.images.includes(spec.image));
      if (tasks === 0) continue;
      if (best === null || (image && !best.image)) best = { part, tasks, image };
    }
    return best;
  }

  /** Tasks of each class in all parts but one. */
  #busyElsewhere(not: number): Map<string, number> {
    const out = new Map<string, number>();
    const heard = this.#gossip.heard();
    for (let part = 0; part < this.config.nodes; part++) {
      if (part === not) continue;
      const own = this.#keeper.owned.get(part)?.part;
      const said = heard.flatMap((s) => s.parts).find((p) => p.part === part);
      for (const { jobClass, tasks } of own?.busy() ?? said?.busy ?? []) {
        out.set(jobClass, (out.get(jobClass) ?? 0) + tasks);
      }
    }
    return out;
  }

  #progress(uid: string): { done: number; running: number } {
    let done = 0;
    let running = 0;
    for (const { part } of this.#keeper.owned.values()) {
      const job = part.jobs.get(uid);
      if (job === undefined) continue;
      done += job.saved.size + job.unsaved.size;
      for (const p of job.placed.values()) if (p.state === 'running') running += 1;
    }
    for (const status of this.#gossip.heard()) {
      for (const j of status.jobs) {
        if (j.uid !== uid || this.#keeper.owned.has(j.part)) continue;
        done += j.done;
        running += j.running;
      }
    }
    return { done, running };
  }

  #summary(): void {
    const parts = [...this.#keeper.owned].map(([index, { part }]) => {
      let waiting = 0;
      let placed = 0;
      for (const job of part.jobs.values()) {
        waiting += job.waiting.length;
        placed += job.placed.size;
      }
      const machines = [...part.machines.values()];
      const up = machines.filter((m) => m.known).length;
      const idle = machines.filter((m) => m.known && m.tasks.size === 0).length;
      return { part: index, term: part.term, waiting, placed, machines: machines.length, up, idle };
    });
    const percentile = (p: number) => this.#accepts.getValueAtPercentile(p);
    this.log.info(
      {
        parts,
        active: this.#mirror.tables['active/'].size,
        state: this.#state.up,
        acceptMs: { p50: percentile(50), p99: percentile(99), count: this.#accepts.totalCount },
        connectionsDropped: this.#dropped,
        rssMb: Math.round(process.memoryUsage.rss() / 2 ** 20),
      },
      'summary',
    );
    this.#accepts.reset();
    this.#dropped = 0;
  }

  close(): void {
    this.#stop.abort();
    for (const t of this.#timers) clearTimeout(t);
    if (this.#soon !== null) clearTimeout(this.#soon);
    this.#lease.close();
    this.#gossip.close();
    this.#server?.close();
    this.#server?.closeAllConnections();
    this.#currency.close();
    this.#state.close();
    this.#cloud.close();
  }
}

const RANKS = Object.values(PRIORITY_RANK).sort((a, b) => a - b);

const roomFits = (spec: JobSpec, r: RoomStatus): boolean =>
  fits(spec.demand, r) &&
  PRIORITY_RANK[spec.priority] >= r.rank &&
  (spec.types === null || spec.types.includes(r.type)) &&
  (spec.zone === null || spec.zone === r.zone) &&
  (!r.spot || spec.spot);
