import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import type { PlatformConfig } from '../../src/config/platform.js';
import { shardOfTeam } from '../../src/core/jobs/jobs.js';
import type { Team } from '../../src/core/model.js';
import { CborClient, type CborResponse } from '../../src/transport/http.js';
import { AnswerHistory, type UserCall } from './answer-history.js';
import { FakeCloud, type WorkerHost } from './cloud.js';
import type { OptionalFeatures } from '../../src/service/service.js';
import {
  createController,
  ProcessController,
  type Controller,
  type Version,
} from './controllers.js';
import { Link } from './link.js';
import { nextLoopbackAddress } from './loopback.js';
import { FakeStore, StoreProxy } from './store.js';
import { World } from './worker.js';

/** Below the ports that the system hands out, so that nobody is given one between two lives of a node. */
const FIRST_PORT = 10_000;

export interface ClusterOptions {
  /** number of controllers; three if not given */
  readonly controllers?: number;
  readonly runMs: number | ((index: number) => number);
  readonly leaseS: number;
  readonly cancelS: number;
  readonly teams?: readonly Team[];
  readonly zones?: readonly string[];
  readonly storeLimits?: PlatformConfig['storeLimits'];
  /** values that stand in the state service before the first controller starts */
  readonly initialValues?: Readonly<Record<string, unknown>>;
  /** version of each node at the start, by name; the present one if not given */
  readonly versions?: Readonly<Record<string, Version>>;
  /** what is switched on; nothing if not given */
  readonly features?: Partial<OptionalFeatures>;
}

/** What the version in production reads of the limits: it knows none that are announced. */
const PRODUCTION_LIMITS: PlatformConfig['storeLimits'] = {
  rps: 600,
  writeRps: 300,
  valueBytes: 8192,
  transactionOps: 8,
  next: { rps: 600, writeRps: 300 },
};
/** ms; a controller that ended by itself is started again, by the same version, after this */
const RESTART_MS = 500;

export const TEAM: Team = { name: 't', cpus: 0, gpus: 0, cpusMax: 0, gpusMax: 0 };

/** Whole controllers on loopback, each way between them and to the state service open to trouble. */
export class Cluster {
  readonly nodes: readonly string[];
  readonly store = new FakeStore();
  readonly storeProxies = new Map<string, StoreProxy>();
  readonly world: World;
  readonly history: AnswerHistory;
  cloud!: FakeCloud;
  readonly #controllers = new Map<string, Controller>();
  /** by node, its last life on its way out */
  readonly #stopping = new Map<string, Promise<void>>();
  /** controllers that ended by themselves */
  crashes = 0;
  readonly #clients = new Map<string, CborClient>();
  readonly #configs = new Map<string, PlatformConfig>();
  /** ways between nodes, by `from to` */
  readonly #links = new Map<string, Link>();
  readonly #storeLinks = new Map<string, Link>();
  #submissions = 0;
  readonly #host = nextLoopbackAddress();
  #port = FIRST_PORT;

  constructor(readonly options: ClusterOptions) {
    const { controllers = 3 } = options;
    this.nodes = Array.from({ length: controllers }, (_, index) => `n${index}`);
    this.world = new World(options.cancelS * 1000);
    this.history = new AnswerHistory(this.world.violations);
  }

  #nextAddress(): string {
    this.#port += 1;
    return `${this.#host}:${this.#port}`;
  }

  async open(): Promise<void> {
    this.store.host = this.#host;
    await this.store.start();
    const { initialValues: seed = {} } = this.options;
    this.store.putValues(seed);
    for (const name of Object.keys(seed)) {
      if (name.startsWith('active/'))
        this.history.addEarlierSubmission(name.slice('active/'.length));
    }
    const listen = new Map<string, string>();
    const peerListen = new Map<string, string>();
    for (const n of this.nodes) {
      listen.set(n, this.#nextAddress());
      peerListen.set(n, this.#nextAddress());
      const door = new StoreProxy(this.store);
      door.host = this.#host;
      await door.start();
      this.storeProxies.set(n, door);
    }
    const { runMs, leaseS, cancelS, teams = [], zones = ['z'], storeLimits } = this.options;
    for (const t of teams) if (t.cpusMax > 0) this.world.quotas.set(t.name, t.cpusMax);
    this.cloud = new FakeCloud(this.world, [...listen], runMs, leaseS * 1000, zones);
    this.cloud.host = this.#host;
    await this.cloud.start();
    for (const node of this.nodes) {
      const toState = new Link();
      await toState.open(this.storeProxies.get(node)!.address, this.#host);
      this.#storeLinks.set(node, toState);
      const peers = [];
      for (const other of this.nodes.filter((n) => n !== node)) {
        const link = new Link();
        await link.open(peerListen.get(other)!, this.#host);
        this.#links.set(`${node} ${other}`, link);
        peers.push({ node: other, address: link.address });
      }
      this.#configs.set(node, {
        node,
        zone: 'z',
        listen: listen.get(node)!,
        peerListen: peerListen.get(node)!,
        peers,
        cloud: this.cloud.address,
        store: toState.address,
        nodes: this.nodes.length,
        zones,
        teams: new Map([TEAM, ...teams].map((t) => [t.name, t])),
        objectives: [],
        workers: { heartbeatIntervalS: 0.5, leaseS, gangWaitS: 10, gangPeerS: 2, cancelS },
        storeLimits: storeLimits ?? PRODUCTION_LIMITS,
        cloudLimits: { rps: 60, listLagS: 0.2 },
        sockets: 1000,
      });
      this.#clients.set(node, new CborClient(listen.get(node)!, 4));
    }
    const { versions = {} } = this.options;
    await Promise.all(this.nodes.map((n) => this.start(n, versions[n])));
    for (const n of this.nodes) await this.waitUntil(`${n} ready`, 15, () => this.isReady(n));
  }

  async start(node: string, version: Version = 'current'): Promise<void> {
    await this.#stopping.get(node);
    const config = this.#configs.get(node)!;
    const old = version === 'production';
    const settings = old ? { ...config, storeLimits: PRODUCTION_LIMITS } : config;
    const features = { duties: null, shares: null, ...this.options.features };
    const controller: Controller = createController(version, settings, features, () => {
      this.crashes += 1;
      setTimeout(() => {
        if (this.#controllers.get(node) === controller) void this.start(node, version);
      }, RESTART_MS);
    });
    this.#controllers.set(node, controller);
    await controller.start();
  }

  kill(node: string): void {
    const controller = this.#controllers.get(node);
    if (controller === undefined) return;
    this.#controllers.delete(node);
    this.#stopping.set(node, controller.kill());
  }

  /** Settings of a node, as the platform would hand them over. */
  configOf(node: string): PlatformConfig {
    return this.#configs.get(node)!;
  }

  /** The process of a node that was started as one. */
  processOf(node: string): ProcessController {
    const controller = this.#controllers.get(node);
    assert.ok(controller instanceof ProcessController, `${node} has a process of its own`);
    return controller;
  }

  /** What the state service holds under a key. */
  stored(key: string): unknown {
    return this.store.items.get(key)?.value;
  }

  /** Ends a node and starts it again with the given version. */
  async replace(node: string, version: Version, awayMs = 300): Promise<void> {
    this.kill(node);
    await this.runFor(awayMs / 1000);
    await this.start(node, version);
    await this.waitUntil(`${node} is ready`, 40, () => this.isReady(node));
  }

  /** Cuts a node from the state service, or lets it back; unlike a refusal it gets no answer. */
  partitionFromStore(node: string, cut: boolean): void {
    this.#storeLinks.get(node)!.cut = cut;
  }

  /** Cuts a node from all other nodes, or lets it back. */
  partitionFromPeers(node: string, cut: boolean): void {
    for (const [way, link] of this.#links) if (way.split(' ').includes(node)) link.cut = cut;
  }

  call(node: string, method: string, path: string, body?: unknown): Promise<CborResponse> {
    return this.#clients.get(node)!.call(method, path, body, 3000);
  }

  async waitUntil(what: string, seconds: number, check: () => Promise<boolean> | boolean) {
    const end = Date.now() + seconds * 1000;
    while (!(await check())) {
      assert.ok(Date.now() < end, `not within ${seconds} s: ${what}`);
      this.world.checkCancellations(Date.now());
      await sleep(100);
    }
  }

  /** Time passes while the rules are watched. */
  async runFor(seconds: number): Promise<void> {
    const end = Date.now() + seconds * 1000;
    while (Date.now() < end) {
      await sleep(100);
      this.world.checkCancellations(Date.now());
    }
  }

  async isReady(node: string): Promise<boolean> {
    return (await this.call(node, 'GET', '/ready').catch(() => null))?.status === 200;
  }

  /** A call of a user. Every answer is judged by what users had been told when the call was sent. */
  async sendUserRequest(
    node: string,
    call: UserCall,
    uid: string,
    body?: unknown,
  ): Promise<CborResponse | null> {
    const sent = this.history.recordRequest(call, uid);
    const method = call === 'query' ? 'GET' : 'POST';
    const path = call === 'submit' ? '/submissions' : `/submissions/${uid}`;
    const whole = call === 'withdraw' ? `${path}/withdraw` : path;
    const answer = await this.call(node, method, whole, body).catch(() => null);
    this.history.recordAnswer(sent, answer, node);
    return answer;
  }

  /** What a node says of a job. */
  async statusOf(node: string, uid: string): Promise<string> {
    const a = await this.sendUserRequest(node, 'query', uid);
    const status = a?.status === 200 ? (a.body as { Status: string }).Status : String(a?.status);
    const tasks = this.world.jobs.get(uid)?.tasks ?? 0;
    if (status === 'done' && (this.world.completed.get(uid)?.size ?? 0) < tasks) {
      this.world.violations.push(`not_done ${uid}`);
    }
    return status;
  }

  submission(over: Record<string, unknown> = {}) {
    return {
      Uid: `job-${String(++this.#submissions).padStart(6, '0')}`,
      Jobclass: 'c',
      Owner: 't',
      Shape: 'batch',
      Rank: 'normal',
      Pieces: 4,
      Vcpus: 4,
      Cards: 1,
      MemGb: 8,
      Bundle: 'i',
      Site: null as string | null,
      ImageGb: 1,
      OneZone: false,
      Spread: false,
      Reclaimable: true,
      GuessS: 2,
      SnapshotEveryS: 0,
      SnapshotS: 0,
      ...over,
    };
  }

  async submit(node: string, over: Record<string, unknown> = {}): Promise<string> {
    return this.submitBody(node, this.submission(over));
  }

  async submitBody(node: string, body: ReturnType<Cluster['submission']>): Promise<string> {
    const gang = body.Shape === 'ensemble';
    const { Owner: team, Pieces: tasks, Vcpus: cpus, Site: zone } = body;
    const rules = { team, tasks, cpus, zone, gang };
    this.world.jobs.set(body.Uid, { ...rules, oneZone: body.OneZone, spread: body.Spread });
    await this.waitUntil(`${body.Uid} accepted`, 20, async () => {
      const a = await this.sendUserRequest(node, 'submit', body.Uid, body);
      return a?.status === 201 || a?.status === 200;
    });
    return body.Uid;
  }

  /**
   * Asks every node at the same moment, and repeats the submission at each. Nobody may say less than was
   * known to the user when the questions left.
   */
  async queryAndResubmitAtAllNodes(body: ReturnType<Cluster['submission']>): Promise<void> {
    const uid = body.Uid;
    const answers = await Promise.all(
      this.nodes.flatMap((n) => [
        this.sendUserRequest(n, 'query', uid),
        this.sendUserRequest(n, 'submit', uid, body),
      ]),
    );
    for (const a of answers) {
      if (a === null) continue;
      if (a.status === 404 || a.status === 400 || a.status === 422 || a.status === 201) {
        this.world.violations.push(`forgotten ${uid}: ${a.status}`);
      }
    }
  }

  /** The user is told that the job is cancelled: from now on the rule's time runs. */
  async cancel(node: string, uid: string): Promise<string> {
    await this.waitUntil(`${uid} cancelled`, 20, async () => {
      const a = await this.sendUserRequest(node, 'withdraw', uid);
      if (a?.status !== 200) return false;
      const { Status } = a.body as { Status: string };
      if (Status === 'cancelled') this.world.cancelledAt.set(uid, Date.now());
      return true;
    });
    return this.history.reportedFinalState(uid)!;
  }

  /** The node that the shard of a team with a limit belongs to while all live. */
  preferredNodeOf(team: string): string {
    return this.nodes[shardOfTeam(team, this.nodes.length)]!;
  }

  /** Tasks of the job that are on machines. */
  runningTasks(uid: string): number {
    let count = 0;
    for (const [task, on] of this.world.runningOn) if (task.startsWith(`${uid}/`)) count += on.size;
    return count;
  }

  workerHosts(): WorkerHost[] {
    return [...this.cloud.machines.values()];
  }

  close(): void {
    for (const n of this.nodes) this.kill(n);
    for (const c of this.#clients.values()) c.close();
    for (const l of [...this.#links.values(), ...this.#storeLinks.values()]) l.close();
    for (const d of this.storeProxies.values()) d.close();
    this.cloud.close();
    this.store.close();
  }
}
