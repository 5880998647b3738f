/** A cluster of whole controllers on loopback, with stand-ins for store, cloud and workers, whose links can be cut. */
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

/**
 * Ports are counted up from here. They lie below the ephemeral ports of the system, so that no other socket gets the
 * port of a node between its end and its restart.
 */
const FIRST_PORT = 10_000;

/** Size, settings and versions of a cluster. */
export interface ClusterOptions {
  /** number of controllers; 3 by default */
  readonly controllers?: number;
  /** duration of a task in ms, or a function that returns it for the index of the task */
  readonly runMs: number | ((index: number) => number);
  /** s after which a worker without an answer to a heartbeat stops its tasks */
  readonly leaseS: number;
  /** s between heartbeats by which controllers judge silent machines; 0.5 by default. Workers send them more often. */
  readonly heartbeatIntervalS?: number;
  /** s after a confirmed cancellation within which every task of the job must have stopped */
  readonly cancelS: number;
  /** sockets of each controller; 1000 by default */
  readonly sockets?: number;
  /** teams besides `TEAM` */
  readonly teams?: readonly Team[];
  readonly zones?: readonly string[];
  readonly storeLimits?: PlatformConfig['storeLimits'];
  /** values that the store holds before the first controller starts, by key */
  readonly initialValues?: Readonly<Record<string, unknown>>;
  /** initial version of each node, by name; `current` by default */
  readonly versions?: Readonly<Record<string, Version>>;
  /** optional features that are enabled; none by default */
  readonly features?: Partial<OptionalFeatures>;
}

/** Default limits of the store, and those of the version in production: it doesn't know announced limits (`next`). */
const PRODUCTION_LIMITS: PlatformConfig['storeLimits'] = {
  rps: 600,
  writeRps: 300,
  valueBytes: 8192,
  transactionOps: 8,
  next: { rps: 600, writeRps: 300 },
};
/** ms after which a controller that exited by itself is started again with the same version. */
const RESTART_MS = 500;

/** The team of all jobs that name no other; it has no quota. */
export const TEAM: Team = { name: 't', cpus: 0, gpus: 0, cpusMax: 0, gpusMax: 0 };

/**
 * Runs controllers on loopback. Each connection between two nodes and from a node to the store passes a link or a proxy
 * in which faults can be injected.
 */
export class Cluster {
  /** names of the nodes */
  readonly nodes: readonly string[];
  readonly store = new FakeStore();
  /** the proxy in front of the store, by node */
  readonly storeProxies = new Map<string, StoreProxy>();
  readonly world: World;
  readonly history: AnswerHistory;
  cloud!: FakeCloud;
  readonly #controllers = new Map<string, Controller>();
  /** resolves when the node's killed controller has freed its ports, by node */
  readonly #stopping = new Map<string, Promise<void>>();
  /** number of controllers that exited by themselves */
  crashes = 0;
  readonly #clients = new Map<string, CborClient>();
  readonly #configs = new Map<string, PlatformConfig>();
  /** links between nodes, by `from to` */
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

  /** Starts the stand-ins and all controllers; resolves when every node is ready. */
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
    for (const node of this.nodes) {
      listen.set(node, this.#nextAddress());
      peerListen.set(node, this.#nextAddress());
      const proxy = new StoreProxy(this.store);
      proxy.host = this.#host;
      await proxy.start();
      this.storeProxies.set(node, proxy);
    }
    const { runMs, leaseS, cancelS, teams = [], zones = ['z'], storeLimits } = this.options;
    const { heartbeatIntervalS = 0.5 } = this.options;
    for (const team of teams) if (team.cpusMax > 0) this.world.quotas.set(team.name, team.cpusMax);
    this.cloud = new FakeCloud(this.world, [...listen], runMs, leaseS * 1000, zones);
    this.cloud.host = this.#host;
    await this.cloud.start();
    for (const node of this.nodes) {
      const storeLink = new Link();
      await storeLink.open(this.storeProxies.get(node)!.address, this.#host);
      this.#storeLinks.set(node, storeLink);
      const peers = [];
      for (const other of this.nodes.filter((name) => name !== node)) {
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
        store: storeLink.address,
        nodes: this.nodes.length,
        zones,
        teams: new Map([TEAM, ...teams].map((t) => [t.name, t])),
        objectives: [],
        workers: { heartbeatIntervalS, leaseS, gangWaitS: 10, gangPeerS: 2, cancelS },
        storeLimits: storeLimits ?? PRODUCTION_LIMITS,
        cloudLimits: { rps: 60, listLagS: 0.2 },
        sockets: this.options.sockets ?? 1000,
      });
      this.#clients.set(node, new CborClient(listen.get(node)!, 4));
    }
    const { versions = {} } = this.options;
    await Promise.all(this.nodes.map((node) => this.start(node, versions[node])));
    for (const node of this.nodes)
      await this.waitUntil(`${node} is ready`, 15, () => this.isReady(node));
  }

  /** Starts a controller; if it exits by itself, it is started again after `RESTART_MS`. */
  async start(node: string, version: Version = 'current'): Promise<void> {
    await this.#stopping.get(node);
    const config = this.#configs.get(node)!;
    const settings =
      version === 'production' ? { ...config, storeLimits: PRODUCTION_LIMITS } : config;
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

  /** Kills a controller; a later `start` waits until its ports are free. */
  kill(node: string): void {
    const controller = this.#controllers.get(node);
    if (controller === undefined) return;
    this.#controllers.delete(node);
    this.#stopping.set(node, controller.kill());
  }

  /** Returns the settings that the platform would give to a node. */
  configOf(node: string): PlatformConfig {
    return this.#configs.get(node)!;
  }

  /** Returns the controller of a node that runs in its own process; fails for any other node. */
  processOf(node: string): ProcessController {
    const controller = this.#controllers.get(node);
    assert.ok(controller instanceof ProcessController, `${node} has a process of its own`);
    return controller;
  }

  /** Returns the value that the store holds under a key, or undefined. */
  stored(key: string): unknown {
    return this.store.items.get(key)?.value;
  }

  /** Kills a node and starts it with the given version after `downtimeMs`; resolves when it is ready. */
  async replace(node: string, version: Version, downtimeMs = 300): Promise<void> {
    this.kill(node);
    await this.runFor(downtimeMs / 1000);
    await this.start(node, version);
    await this.waitUntil(`${node} is ready`, 40, () => this.isReady(node));
  }

  /** Cuts or restores the link from a node to the store. While it is cut, calls get no answer, not even a 503. */
  partitionFromStore(node: string, partitioned: boolean): void {
    this.#storeLinks.get(node)!.cut = partitioned;
  }

  /** Cuts or restores all links between a node and the other nodes. */
  partitionFromPeers(node: string, partitioned: boolean): void {
    for (const [route, link] of this.#links)
      if (route.split(' ').includes(node)) link.cut = partitioned;
  }

  /** Sends a request to a node; rejects if there is no answer within 3000 ms. */
  call(node: string, method: string, path: string, body?: unknown): Promise<CborResponse> {
    return this.#clients.get(node)!.call(method, path, body, 3000);
  }

  /** Sends a request over a connection of its own; rejects if there is no answer within 3000 ms. */
  async callOnce(
    node: string,
    method: string,
    path: string,
    body?: unknown,
  ): Promise<CborResponse> {
    const client = new CborClient(this.#configs.get(node)!.listen, 1);
    try {
      return await client.call(method, path, body, 3000);
    } finally {
      client.close();
    }
  }

  /**
   * Waits until the condition is met, checking the deadlines of cancellations meanwhile; fails after `seconds`.
   * `condition` names it in the error.
   */
  async waitUntil(condition: string, seconds: number, isMet: () => Promise<boolean> | boolean) {
    const end = Date.now() + seconds * 1000;
    while (!(await isMet())) {
      assert.ok(Date.now() < end, `not met within ${seconds} s: ${condition}`);
      this.world.checkCancellations(Date.now());
      await sleep(100);
    }
  }

  /** Waits for `seconds`, checking the deadlines of cancellations meanwhile. */
  async runFor(seconds: number): Promise<void> {
    const end = Date.now() + seconds * 1000;
    while (Date.now() < end) {
      await sleep(100);
      this.world.checkCancellations(Date.now());
    }
  }

  /** Whether `/ready` of the node answers 200. */
  async isReady(node: string): Promise<boolean> {
    return (await this.call(node, 'GET', '/ready').catch(() => null))?.status === 200;
  }

  /**
   * Sends a user's request. The history checks the answer against what users had been told when the request was sent.
   * Returns null if no answer arrives.
   */
  async sendUserRequest(
    node: string,
    call: UserCall,
    uid: string,
    body?: unknown,
  ): Promise<CborResponse | null> {
    const request = this.history.recordRequest(call, uid);
    const method = call === 'query' ? 'GET' : 'POST';
    const path = call === 'submit' ? '/submissions' : `/submissions/${uid}`;
    const fullPath = call === 'withdraw' ? `${path}/withdraw` : path;
    const answer = await this.call(node, method, fullPath, body).catch(() => null);
    this.history.recordAnswer(request, answer, node);
    return answer;
  }

  /**
   * Returns the job's status as the node reports it, or the HTTP code if that is not 200. It is a violation if a job is
   * reported as done before all of its tasks have completed (`not_done`).
   */
  async statusOf(node: string, uid: string): Promise<string> {
    const answer = await this.sendUserRequest(node, 'query', uid);
    const status =
      answer?.status === 200 ? (answer.body as { Status: string }).Status : String(answer?.status);
    const tasks = this.world.jobs.get(uid)?.tasks ?? 0;
    if (status === 'done' && (this.world.completed.get(uid)?.size ?? 0) < tasks) {
      this.world.violations.push(`not_done ${uid}`);
    }
    return status;
  }

  /** Returns a submission with a new `Uid`. */
  submission(overrides: Record<string, unknown> = {}) {
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
      ...overrides,
    };
  }

  /** Submits a job, repeating until it is accepted; returns its `Uid`. */
  async submit(node: string, overrides: Record<string, unknown> = {}): Promise<string> {
    return this.submitBody(node, this.submission(overrides));
  }

  /** Registers the job's constraints with the world and submits it until it is accepted; returns its `Uid`. */
  async submitBody(node: string, body: ReturnType<Cluster['submission']>): Promise<string> {
    const gang = body.Shape === 'ensemble';
    const { Owner: team, Pieces: tasks, Vcpus: cpus, Site: zone } = body;
    const constraints = { team, tasks, cpus, zone, gang };
    this.world.jobs.set(body.Uid, { ...constraints, oneZone: body.OneZone, spread: body.Spread });
    await this.waitUntil(`${body.Uid} is accepted`, 20, async () => {
      const answer = await this.sendUserRequest(node, 'submit', body.Uid, body);
      return answer?.status === 201 || answer?.status === 200;
    });
    return body.Uid;
  }

  /**
   * Queries the job and repeats its submission at every node at the same moment. An answer that denies the known job
   * (404, 400 or 422) or accepts it anew (201) is a violation (`forgotten`).
   */
  async queryAndResubmitAtAllNodes(body: ReturnType<Cluster['submission']>): Promise<void> {
    const uid = body.Uid;
    const answers = await Promise.all(
      this.nodes.flatMap((node) => [
        this.sendUserRequest(node, 'query', uid),
        this.sendUserRequest(node, 'submit', uid, body),
      ]),
    );
    for (const answer of answers) {
      if (answer === null) continue;
      if (
        answer.status === 404 ||
        answer.status === 400 ||
        answer.status === 422 ||
        answer.status === 201
      ) {
        this.world.violations.push(`forgotten ${uid}: ${answer.status}`);
      }
    }
  }

  /**
   * Repeats a cancellation until it is answered with 200, and returns the final state that users have been told. If it
   * is `cancelled`, all tasks must stop within `cancelS` from now on.
   */
  async cancel(node: string, uid: string): Promise<string> {
    await this.waitUntil(`${uid} is cancelled`, 20, async () => {
      const answer = await this.sendUserRequest(node, 'withdraw', uid);
      if (answer?.status !== 200) return false;
      const { Status } = answer.body as { Status: string };
      if (Status === 'cancelled') this.world.cancelledAt.set(uid, Date.now());
      return true;
    });
    return this.history.reportedFinalState(uid)!;
  }

  /** Returns the preferred node of the shard that keeps the jobs of a team with a quota. */
  preferredNodeOf(team: string): string {
    return this.nodes[shardOfTeam(team, this.nodes.length)]!;
  }

  /** Returns the number of the job's task attempts that run on machines. */
  runningTasks(uid: string): number {
    let count = 0;
    for (const [task, machines] of this.world.runningOn)
      if (task.startsWith(`${uid}/`)) count += machines.size;
    return count;
  }

  /** Returns the workers of all machines that the cloud has rented out. */
  workerHosts(): WorkerHost[] {
    return [...this.cloud.machines.values()];
  }

  /** Kills all controllers and stops the stand-ins. */
  close(): void {
    for (const node of this.nodes) this.kill(node);
    for (const client of this.#clients.values()) client.close();
    for (const link of [...this.#links.values(), ...this.#storeLinks.values()]) link.close();
    for (const proxy of this.storeProxies.values()) proxy.close();
    this.cloud.close();
    this.store.close();
  }
}
