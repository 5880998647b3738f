/** Stand-in for a worker, after the sections "Workers -> controller nodes" and "Controller nodes -> workers". */
import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval } from 'node:timers';
import { BODY_LIMIT, call, jsonBytes, serve } from './http.mjs';

const EPSILON = 1e-6;

export class Worker {
  /**
   * `options`: `reportS`, `leaseS`, `gangWaitS`, `nodes` (list of `{ name, address }`), `jobs` (submissions by uid),
   * `runS(job, index)`, `fetchS(job)`, `rules`.
   */
  constructor(machine, options, record) {
    this.machine = machine;
    this.options = options;
    this.record = record;
    this.tasks = new Map();
    this.images = new Set();
    this.tenure = 1;
    this.counter = 0;
    this.mandate = 0;
    this.node = Math.floor(Math.random() * options.nodes.length);
    this.dead = false;
    this.changed = false;
    this.lastReportAt = -Infinity;
    this.nextReportAt = 0;
    this.overLimit = { requests: 0, responses: 0 };
  }

  async start() {
    this.server = await serve((req) => this.direct(req));
    if (this.dead) {
      this.server.close();
      return null;
    }
    this.leaseFrom = performance.now();
    this.timer = setInterval(() => this.tick(), 50);
    return this.server.address;
  }

  /** The machine is gone, with everything on it. */
  kill() {
    this.dead = true;
    clearInterval(this.timer);
    this.server?.close();
    this.clear('machine gone');
  }

  clear(why) {
    for (const task of this.tasks.values()) if (task.status !== 'ended') this.leave(task, why);
    this.tasks.clear();
  }

  leave(task, why) {
    const { uid, index } = task;
    this.record(`${this.machine.name}: ${uid}/${index} try ${task.attempt} ends: ${why}`);
    if (task.on) this.options.rules.end(uid, index, this.machine);
    task.on = false;
  }

  end(task, cause) {
    if (task.status === 'ended') return;
    this.leave(task, cause);
    task.status = 'ended';
    task.cause = cause;
    this.changed = true;
  }

  /** Ends what is due, and reports. */
  tick() {
    const now = performance.now();
    if (now - this.leaseFrom > this.options.leaseS * 1000) {
      this.clear('lease of the worker ran out');
      this.tenure += 1;
      this.leaseFrom = now;
      this.changed = true;
      this.node = (this.node + 1) % this.options.nodes.length;
      this.record(`${this.machine.name}: lease ran out, session ${this.tenure}`);
    }
    for (const task of this.tasks.values()) this.advance(task, now);
    const early = this.changed && now - this.lastReportAt >= 500;
    if (!this.reporting && (early || now >= this.nextReportAt)) void this.report();
  }

  advance(task, now) {
    const { uid, index, attempt } = task;
    const job = this.options.jobs.get(uid);
    if (task.status === 'fetching' && now >= task.imageAt) {
      this.images.add(job.Bundle);
      task.on = true;
      task.status = job.Shape === 'ensemble' ? 'gathering' : 'running';
      task.beganAt = now;
      this.changed = true;
      this.record(`${this.machine.name}: ${uid}/${index} try ${attempt} starts (${task.status})`);
      this.options.rules.begin(uid, index, this.machine);
    }
    if (task.status === 'gathering') this.options.gangs.gather(this, task, job, now);
    if (task.status === 'running' && job.Shape !== 'service') {
      if (now - task.beganAt >= this.options.runS(job, index) * 1000) this.end(task, 'done');
    }
  }

  body() {
    this.counter += 1;
    const { name, type, zone, spot } = this.machine;
    const Pieces = [...this.tasks.values()].map((task) => ({
      Piece: `${task.uid}/${task.index}`,
      Try: task.attempt,
      Status: task.status,
      ...(task.status === 'ended' ? { Cause: task.cause } : {}),
    }));
    return {
      Host: name,
      Address: this.server.address,
      Hosttype: type,
      Site: zone,
      Reclaimable: spot,
      Tenure: this.tenure,
      Counter: this.counter,
      Mandate: this.mandate,
      WarningS: null,
      Pieces,
    };
  }

  async report() {
    this.reporting = true;
    this.changed = false;
    const sentAt = performance.now();
    this.lastReportAt = sentAt;
    const { reportS, nodes } = this.options;
    this.nextReportAt = sentAt + reportS * 1000 * (0.75 + Math.random() / 2);
    const { tenure } = this;
    try {
      const answer = await call(nodes[this.node].address, 'POST', '/agent/beat', this.body(), 4000);
      if (!this.dead) this.handle(answer, sentAt, tenure);
    } catch {
      this.tryNext();
    }
    this.reporting = false;
  }

  tryNext() {
    this.node = (this.node + 1) % this.options.nodes.length;
    this.nextReportAt = performance.now() + 1000;
  }

  handle({ status, body }, sentAt, tenure) {
    if (status === 421) {
      const target = this.options.nodes.findIndex(({ name }) => name === body?.ReportsTo);
      if (target < 0 || target === this.node) this.tryNext();
      else {
        this.node = target;
        this.nextReportAt = performance.now() + Math.random() * 500;
      }
      return;
    }
    if (status !== 200) {
      this.tryNext();
      return;
    }
    // A response over the protocol's limit is no valid response.
    if (jsonBytes(body) > BODY_LIMIT) {
      this.overLimit.responses += 1;
      this.record(`${this.machine.name}: response of ${jsonBytes(body)} bytes is over the limit`);
      this.tryNext();
      return;
    }
    if (tenure !== this.tenure || body.Mandate === undefined || body.Mandate < this.mandate) return;
    this.see(body.Mandate);
    this.leaseFrom = sentAt;
    this.execute(body.Orders ?? [], 'response');
  }

  see(mandate) {
    if (mandate > this.mandate) this.changed = true;
    this.mandate = Math.max(this.mandate, mandate);
  }

  direct({ method, path, body }) {
    if (method === 'GET' && path === '/inspect') return { status: 200, body: this.body() };
    // A server refuses what is over the limit for request bodies.
    if (jsonBytes(body) > BODY_LIMIT) {
      this.overLimit.requests += 1;
      this.record(`${this.machine.name}: request of ${jsonBytes(body)} bytes is over the limit`);
      return { status: 413, body: { error: 'body over the limit' } };
    }
    if (body.Mandate === undefined || body.Tenure === undefined) return { status: 400, body: {} };
    if (body.Mandate < this.mandate || body.Tenure !== this.tenure)
      return { status: 409, body: this.body() };
    this.see(body.Mandate);
    this.execute(body.Orders ?? [], 'direct');
    return { status: 200, body: this.body() };
  }

  execute(orders, way) {
    for (const { Verb, Piece, Try, WindupS } of orders) {
      const key = `${Piece}@${Try}`;
      const known = this.tasks.get(key);
      if (Verb === 'start' && known === undefined) {
        this.record(`${this.machine.name}: order (${way}) start ${Piece} try ${Try}`);
        this.startTask(key, Piece, Try);
      } else if (Verb === 'stop' && known !== undefined && known.status !== 'ended') {
        this.record(`${this.machine.name}: order (${way}) stop ${Piece} try ${Try} ${WindupS} s`);
        this.end(known, 'stopped');
      } else if (Verb === 'reap' && known?.status === 'ended') {
        this.tasks.delete(key);
        this.changed = true;
      }
    }
  }

  startTask(key, piece, attempt) {
    const slash = piece.indexOf('/');
    const task = { uid: piece.slice(0, slash), index: Number(piece.slice(slash + 1)), attempt };
    const job = this.options.jobs.get(task.uid);
    this.tasks.set(key, task);
    this.changed = true;
    const refuse = (cause) => Object.assign(task, { status: 'ended', cause, on: false });
    if (job === undefined || task.index >= job.Pieces) return refuse('unknown');
    const live = [...this.tasks.values()].filter((t) => t !== task && t.status !== 'ended');
    if (live.some((t) => t.uid === task.uid && t.index === task.index)) return refuse('busy');
    const { Vcpus, Cards, MemGb } = this.machine.capacity;
    const free = { Vcpus, Cards, MemGb };
    for (const { uid } of live) {
      const other = this.options.jobs.get(uid);
      for (const kind of Object.keys(free)) free[kind] -= other[kind];
    }
    if (Object.keys(free).some((kind) => job[kind] > free[kind] + EPSILON)) return refuse('full');
    const fetchMs = this.images.has(job.Bundle) ? 0 : this.options.fetchS(job) * 1000;
    task.imageAt = performance.now() + fetchMs;
    task.status = 'fetching';
    task.on = false;
    this.advance(task, performance.now());
    return task;
  }
}

/** The tasks of gangs that wait for one another, by job and attempt. */
export class Gangs {
  constructor(gangWaitS) {
    this.gangWaitS = gangWaitS;
  }

  gather(worker, task, job, now) {
    const members = [];
    for (const other of this.workers()) {
      if (other.dead) continue;
      for (const t of other.tasks.values()) {
        if (t.uid === task.uid && t.attempt === task.attempt && t.status === 'gathering')
          members.push(t);
      }
    }
    if (new Set(members.map((t) => t.index)).size === job.Pieces) {
      for (const t of members) Object.assign(t, { status: 'running', beganAt: now });
    } else if (now - task.beganAt > this.gangWaitS * 1000) worker.end(task, 'alone');
  }
}
