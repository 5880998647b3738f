/** A small deployment on loopback: controllers in processes of their own, and stand-ins for everything round them. */
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setInterval, clearInterval } from 'node:timers';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Cloud } from './cloud.mjs';
import { Controller, PeerWay } from './controllers.mjs';
import { Store, StoreWay } from './store.mjs';
import { Users } from './users.mjs';
import { call, freePorts, sleep } from './wire.mjs';
import { World } from './world.mjs';

export const SETTINGS = {
  nodes: 3,
  zones: ['a', 'b'],
  time_bound_ms: 100,
  teams: [{ name: 'office', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }],
  objectives: [],
  workers: { report_s: 3, lease_s: 18, gang_wait_s: 50, gang_peer_s: 6, cancel_s: 38 },
  state: { rps: 250, write_rps: 25, value_kb: 8, txn_ops: 16 },
  cloud: { rps: 4, list_lag_s: 6 },
  quota: { cores: 0.425, memory_mb: 242, max_sockets: 1500 },
};

export const TYPES = [
  {
    Label: 'box',
    Vcpus: 16,
    Cards: 4,
    MemGb: 128,
    CacheGb: 60,
    FetchGbPerS: 2,
    Price: 4,
    LowPrice: 1,
    BootS: 20,
    Sites: ['a', 'b'],
  },
];

export class Deployment {
  controllers = new Map();
  storeWays = new Map();
  peerWays = new Map();
  closing = false;

  constructor({ settings = SETTINGS, types = TYPES, record = () => undefined, env = {} } = {}) {
    this.settings = settings;
    this.types = types;
    this.env = env;
    this.world = new World(settings, record);
    for (const team of settings.teams) {
      if (team.cpus_max > 0) this.world.teamLimits.set(team.name, team.cpus_max);
    }
    this.folder = mkdtempSync(join(tmpdir(), 'sumacstep-case-'));
  }

  async open() {
    const { settings, world } = this;
    const names = Array.from({ length: settings.nodes }, (_, i) => `worker-${i}`);
    this.names = names;
    const ports = await freePorts(2 * names.length);
    this.nodes = new Map(names.map((name, i) => [name, `127.0.0.1:${ports[2 * i]}`]));
    const peers = new Map(names.map((name, i) => [name, `127.0.0.1:${ports[2 * i + 1]}`]));
    this.store = new Store(settings.state);
    this.cloud = new Cloud(this.types, { world, nodes: this.nodes, settings });
    await this.cloud.open();
    this.users = new Users(world, this.nodes);
    for (const [i, name] of names.entries()) {
      const way = new StoreWay(this.store);
      await way.open();
      this.storeWays.set(name, way);
      const known = [];
      for (const other of names.filter((n) => n !== name)) {
        const peerWay = new PeerWay();
        await peerWay.open(peers.get(other));
        this.peerWays.set(`${name} ${other}`, peerWay);
        known.push({
          node: other,
          site: this.siteOf(names.indexOf(other)),
          endpoint: peerWay.address,
        });
      }
      const config = {
        node: name,
        site: this.siteOf(i),
        serve_on: this.nodes.get(name),
        peer_bind: peers.get(name),
        known,
        services: { cloud: this.cloud.address, state: way.address },
        settings,
      };
      this.controllers.set(name, new Controller(name, config, this.folder, world, this.env));
    }
    this.timer = setInterval(() => world.tick(), 200);
    for (const controller of this.controllers.values()) controller.start();
    await this.waitFor('all controllers ready', 30, () => this.allReady());
  }

  siteOf(index) {
    return this.settings.zones[index % this.settings.zones.length];
  }

  async isReady(name) {
    return (await call(this.nodes.get(name), 'GET', '/ready', undefined, 1000))?.status === 200;
  }

  async allReady() {
    for (const name of this.names) if (!(await this.isReady(name))) return false;
    return true;
  }

  /** The node that the store names as the owner of a part. */
  ownerOf(part) {
    return this.store.items.get(`parts/${part}`)?.value.owner;
  }

  cutPeers(name, cut) {
    for (const [key, way] of this.peerWays) if (key.split(' ').includes(name)) way.setCut(cut);
  }

  async waitFor(what, seconds, condition) {
    const until = performance.now() + seconds * 1000;
    while (performance.now() < until) {
      if (await condition()) return true;
      await sleep(100);
    }
    this.world.log(`waited ${seconds} s in vain: ${what}`);
    throw new Error(`waited in vain: ${what}`);
  }

  async close() {
    this.closing = true;
    clearInterval(this.timer);
    for (const controller of this.controllers.values()) {
      controller.process?.kill('SIGCONT');
      await controller.kill();
    }
    for (const way of [...this.storeWays.values(), ...this.peerWays.values()]) way.close();
    this.cloud.close();
    this.store.close();
    if (process.env.KEEP !== '1') rmSync(this.folder, { recursive: true, force: true });
  }
}

let jobs = 0;

/** Returns a submission; `runS` is how long each task runs and is not sent. */
export const submission = (fields = {}) => {
  jobs += 1;
  return {
    Uid: `job-${String(jobs).padStart(6, '0')}`,
    Jobclass: 'sweep',
    Owner: 'office',
    Shape: 'batch',
    Rank: 'normal',
    Pieces: 1,
    Vcpus: 4,
    Cards: 0,
    MemGb: 8,
    Bundle: 'img-1',
    ImageGb: 1,
    Hosttypes: null,
    Site: null,
    OneZone: false,
    Spread: false,
    Reclaimable: false,
    GuessS: 10,
    SnapshotEveryS: 0,
    SnapshotS: 0,
    DueS: null,
    runS: 5,
    ...fields,
  };
};
