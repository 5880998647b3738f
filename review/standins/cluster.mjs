/** A small deployment on loopback: the project's controllers as processes, and stand-ins for all round them. */
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { spawn } from 'node:child_process';
import {
  createWriteStream,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { fileURLToPath, URL } from 'node:url';
import { Cloud } from './cloud.mjs';
import { call } from './http.mjs';
import { Rules } from './rules.mjs';
import { Store } from './store.mjs';
import { Gangs } from './worker.mjs';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));

const SETTLE_MS = 14_000;

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Ports below those that systems take for outgoing connections, which could take a free one before it is used. */
const PORTS = { from: 20_000, count: 10_000 };

const canListen = (port) =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });

const freePort = async () => {
  for (let i = 0; i < 100; i++) {
    const port = PORTS.from + Math.floor(Math.random() * PORTS.count);
    if (await canListen(port)) return port;
  }
  throw new Error('no free port');
};

/** Returns the program and arguments with which the deploy file starts a controller. */
const runCommand = () => {
  const line = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, 'deploy/service.toml'), 'utf8'));
  return line[1].split(' ');
};

const toToml = ({ teams, ...sections }) =>
  [
    ...teams.map((team) => ['[[settings.teams]]', ...fields(team)].join('\n')),
    ...Object.entries(sections).map(([name, values]) =>
      [`[settings.${name}]`, ...fields(values)].join('\n'),
    ),
  ].join('\n\n');

const fields = (values) =>
  Object.entries(values).map(([key, value]) =>
    typeof value === 'number' && !['txn_ops', 'max_sockets'].includes(key)
      ? `${key} = ${Number.isInteger(value) ? value.toFixed(1) : value}`
      : `${key} = ${JSON.stringify(value)}`,
  );

export class Cluster {
  /** `options`: `folder` of the case, `nodes`, `zones`, `settings`, and those of `Cloud` and `Worker`. */
  constructor(options) {
    this.options = options;
    this.startedAt = performance.now();
    this.out = createWriteStream(join(options.folder, 'record.txt'));
    this.jobs = new Map();
    const { settings } = options;
    const limits = new Map(
      settings.teams.map((t) => [t.name, { cpus: t.cpus_max, gpus: t.gpus_max }]),
    );
    this.record = (text) => {
      const at = ((performance.now() - this.startedAt) / 1000).toFixed(2).padStart(7);
      this.out.write(`${at} ${text}\n`);
    };
    this.rules = new Rules(limits, settings.workers.cancel_s, this.record);
    this.store = new Store(settings.state);
    this.controllers = [];
  }

  async start() {
    this.temporary = mkdtempSync(join(tmpdir(), 'sumacstep-review-'));
    const { settings, nodes, zones, cloud, worker } = this.options;
    const state = await this.store.start();
    const names = Array.from({ length: nodes }, (_, i) => `worker-${i}`);
    this.nodes = [];
    for (const name of names) {
      const address = `127.0.0.1:${await freePort()}`;
      this.nodes.push({ name, address, peer: `127.0.0.1:${await freePort()}` });
    }
    const gangs = new Gangs(settings.workers.gang_wait_s);
    const workerOptions = {
      reportS: settings.workers.report_s,
      leaseS: settings.workers.lease_s,
      nodes: this.nodes,
      jobs: this.jobs,
      rules: this.rules,
      gangs,
      ...worker,
    };
    const cloudOptions = { rps: settings.cloud.rps, listLagS: settings.cloud.list_lag_s, ...cloud };
    this.cloud = new Cloud({ ...cloudOptions, worker: workerOptions }, this.record);
    gangs.workers = () => [...this.cloud.machines.values()].map((machine) => machine.worker);
    const addresses = { cloud: await this.cloud.start(), state };
    for (const [i, node] of this.nodes.entries()) {
      node.site = zones[i % zones.length];
      node.config = join(this.temporary, `${node.name}.toml`);
      writeFileSync(node.config, this.toml(node, addresses));
    }
    for (const node of this.nodes) this.startController(node);
    await Promise.all(this.nodes.map((node) => this.untilReady(node)));
    // Controllers that start at the same time divide the work among them within the first seconds.
    await sleep(this.options.settleMs ?? SETTLE_MS);
    this.record('the controllers are ready');
  }

  toml(node, { cloud, state }) {
    const { settings, zones, nodes } = this.options;
    const known = this.nodes
      .filter((other) => other !== node)
      .map((o) => `[[known]]\nnode = "${o.name}"\nsite = "${node.site}"\nendpoint = "${o.peer}"`);
    return [
      `node = "${node.name}"\nsite = "${node.site}"`,
      `serve_on = "${node.address}"\npeer_bind = "${node.peer}"`,
      ...known,
      `[services]\ncloud = "${cloud}"\nstate = "${state}"`,
      `[settings]\nnodes = ${nodes}\nzones = ${JSON.stringify(zones)}\ntime_bound_ms = 100.0`,
      toToml(settings),
      '',
    ].join('\n\n');
  }

  startController(node) {
    const [program, ...args] = runCommand();
    const log = openSync(join(this.temporary, `${node.name}.log`), 'a');
    const child = spawn(program, [...args, node.config], {
      cwd: ROOT,
      stdio: ['ignore', 'ignore', log],
    });
    node.child = child;
    this.controllers.push(child);
    child.once('exit', (code, signal) => this.record(`${node.name} ended: ${code ?? signal}`));
    this.record(`${node.name} started, serves on ${node.address}`);
  }

  async untilReady(node) {
    for (let i = 0; i < 200; i++) {
      try {
        if ((await call(node.address, 'GET', '/ready', undefined, 1000)).status === 200) return;
      } catch {
        // not up yet
      }
      await sleep(100);
    }
    throw new Error(`${node.name} is not ready`);
  }

  /** Sends a user's request to one node and writes both into the record. */
  async ask(node, method, path, body, timeoutMs) {
    const text = `user -> ${node.name}: ${method} ${path}`;
    this.record(body === undefined ? text : `${text} ${JSON.stringify(body)}`);
    try {
      const answer = await call(node.address, method, path, body, timeoutMs);
      this.record(`${text} answered ${answer.status} ${JSON.stringify(answer.body)}`);
      return answer;
    } catch (error) {
      this.record(`${text}: ${error.message}`);
      return null;
    }
  }

  /** Submits a job as a user does, with retries for up to 60 s; resolves with whether it was accepted. */
  async submit(job) {
    this.jobs.set(job.Uid, job);
    this.rules.addJob(job);
    const endsAt = performance.now() + 60_000;
    for (let attempt = 0; performance.now() < endsAt; attempt++) {
      const node = this.nodes[attempt % this.nodes.length];
      const answer = await this.ask(node, 'POST', '/submissions', job, 5000);
      if (answer !== null && [200, 201].includes(answer.status)) return true;
      if (answer !== null && [400, 422].includes(answer.status)) return false;
      await sleep(Math.max(1000, Number(answer?.headers['retry-after'] ?? 0) * 1000));
    }
    return false;
  }

  /** Polls a job once; resolves with the body of a 200, else null. */
  async poll(uid, node = this.nodes[0]) {
    const answer = await this.ask(node, 'GET', `/submissions/${uid}`, undefined, 2000);
    return answer?.status === 200 ? answer.body : null;
  }

  /** Ends all processes and removes the temporary folder. */
  async stop() {
    for (const child of this.controllers) child.kill('SIGKILL');
    this.cloud?.close();
    this.store.close();
    await sleep(200);
    if (process.env.KEEP_LOGS === undefined)
      rmSync(this.temporary, { recursive: true, force: true });
    else process.stderr.write(`logs: ${this.temporary}\n`);
    await new Promise((resolve) => this.out.end(resolve));
  }
}

/** Runs a case and exits: 1 if it resolves with a text (the rule was broken), 0 if with null, 2 if it cannot run. */
export const runCase = async (cluster, play) => {
  let code = 2;
  const end = () => {
    for (const child of cluster.controllers) child.kill('SIGKILL');
    process.exit(2);
  };
  process.once('SIGTERM', end);
  process.once('SIGINT', end);
  const limit = setTimeout(() => {
    process.stdout.write('the case took too long\n');
    end();
  }, 118_000);
  try {
    await cluster.start();
    const broken = await play(cluster);
    code = broken === null ? 0 : 1;
    cluster.record(broken === null ? 'RESULT: the rule held' : `RESULT: broken, ${broken}`);
    process.stdout.write(broken === null ? 'the rule held\n' : `the rule was broken: ${broken}\n`);
  } catch (error) {
    cluster.record(`RESULT: the case could not run: ${error.stack}`);
    process.stdout.write(`the case could not run: ${error.message}\n`);
  }
  clearTimeout(limit);
  await cluster.stop();
  process.exit(code);
};

/** Settings like those of the small deployment in Sfax; `teams` and single values can be replaced. */
export const sfax = (teams) => ({
  teams,
  workers: { report_s: 3, lease_s: 29, gang_wait_s: 40, gang_peer_s: 6, cancel_s: 59 },
  state: { rps: 90, write_rps: 35, value_kb: 8, txn_ops: 8 },
  cloud: { rps: 5, list_lag_s: 3 },
  quota: { cores: 0.51, memory_mb: 306, max_sockets: 3000 },
});

export const SFAX_ZONES = ['sfaxport', 'tunislac'];

/** The machine type of Sfax with another boot time. */
export const kerkennanode = (bootS) => ({
  Label: 'kerkennanode',
  Vcpus: 24,
  Cards: 2,
  MemGb: 192,
  CacheGb: 60,
  FetchGbPerS: 0.8,
  Price: 6.5,
  LowPrice: 2.25,
  BootS: bootS,
  Sites: SFAX_ZONES,
});

/** Settings like those of the small deployment in Dublin. */
export const dublin = (teams) => ({
  teams,
  workers: { report_s: 3, lease_s: 18, gang_wait_s: 50, gang_peer_s: 6, cancel_s: 38 },
  state: { rps: 250, write_rps: 25, value_kb: 8, txn_ops: 16 },
  cloud: { rps: 4, list_lag_s: 6 },
  quota: { cores: 0.425, memory_mb: 242, max_sockets: 1500 },
});

export const DUBLIN_ZONES = ['kildarehall'];

/** The machine type of Dublin with another boot time. */
export const liffeybox = (bootS) => ({
  Label: 'liffeybox',
  Vcpus: 64,
  Cards: 8,
  MemGb: 384,
  CacheGb: 60,
  FetchGbPerS: 0.8,
  Price: 28.76,
  LowPrice: 6.85,
  BootS: bootS,
  Sites: DUBLIN_ZONES,
});

/** A submission with the fields of an ordinary array job, and those given. */
export const submission = (values) => ({
  Jobclass: 'ocrbatch',
  Owner: 'secretariat',
  Shape: 'batch',
  Rank: 'normal',
  Pieces: 1,
  Vcpus: 1,
  Cards: 0,
  MemGb: 1,
  Bundle: 'img-01',
  ImageGb: 0.5,
  Hosttypes: null,
  Site: null,
  OneZone: false,
  Spread: false,
  Reclaimable: false,
  GuessS: 30,
  SnapshotEveryS: 0,
  SnapshotS: 0,
  DueS: null,
  ...values,
});
