/** Stand-in for a worker: one machine that reports to the controllers and runs tasks. */
import { performance } from 'node:perf_hooks';
import { setTimeout, setInterval, clearInterval } from 'node:timers';
import { call, serve, sleep } from './wire.mjs';

const TICK_MS = 50;
/** A worker gives up an answer to a report after this time. */
const REPORT_TIMEOUT_MS = 4000;
const MIN_REPORT_GAP_MS = 500;
const NEXT_NODE_PAUSE_MS = 1000;

const sizeOf = (spec) => [spec.Vcpus, spec.Cards, spec.MemGb];

export class Worker {
  tenure = 1;
  counter = 0;
  mandate = 0;
  tasks = new Map();
  images = new Set();
  warningS = null;
  /** the machine stands still, with its network */
  hung = false;
  /** its reports reach nobody; direct commands reach it */
  mute = false;
  /** answers and direct commands are lost; its reports arrive */
  deaf = false;
  failing = false;
  /** ms by which direct commands are held up without an answer */
  holdCommandsMs = 0;
  /** nodes that it can't reach and that can't reach it */
  cutFrom = new Set();
  /** called with each direct request and each answer to a report that is executed */
  onOrders = () => undefined;
  gone = false;
  changed = true;
  reportedAt = -Infinity;
  reporting = false;

  constructor(name, kind, { world, nodes, settings }) {
    Object.assign(this, { name, ...kind, world, nodes, settings });
    this.free = [kind.capacity.Vcpus, kind.capacity.Cards, kind.capacity.MemGb];
    this.nodeNames = [...nodes.keys()];
    this.node = Math.floor(Math.random() * this.nodeNames.length);
    this.leaseBase = performance.now();
    this.nextReportAt = 0;
  }

  async open() {
    this.server = await serve((request) => this.handle(request));
    this.address = this.server.address;
    this.timer = setInterval(() => this.tick(), TICK_MS);
  }

  /** The machine is gone, with everything on it. */
  close() {
    this.gone = true;
    clearInterval(this.timer);
    this.server.close();
    for (const task of this.tasks.values()) this.leave(task);
    this.tasks.clear();
  }

  report() {
    this.counter += 1;
    return {
      Host: this.name,
      Address: this.address,
      Hosttype: this.type,
      Site: this.zone,
      Reclaimable: this.spot,
      Tenure: this.tenure,
      Counter: this.counter,
      Mandate: this.mandate,
      WarningS: this.warningS,
      Pieces: [...this.tasks.values()].map(({ piece, attempt, status, cause, saved }) => ({
        Piece: piece,
        Try: attempt,
        Status: status,
        ...(cause === null ? {} : { Cause: cause, Saved: saved }),
      })),
    };
  }

  async handle({ path, body }) {
    if (this.deaf) return null;
    if (this.holdCommandsMs > 0 && path === '/commands') {
      setTimeout(() => void this.whenAwake(() => this.execute(body)), this.holdCommandsMs);
      return null;
    }
    return this.whenAwake(() => {
      if (path === '/inspect') return { status: 200, body: this.report() };
      return this.execute(body);
    });
  }

  async whenAwake(act) {
    while (this.hung && !this.gone) await sleep(TICK_MS);
    if (this.gone) return null;
    this.advance();
    return act();
  }

  execute({ Mandate: mandate, Tenure: tenure, Orders: orders }) {
    if (mandate === undefined || tenure === undefined) return { status: 400, body: this.report() };
    if (mandate < this.mandate || tenure !== this.tenure) {
      return { status: 409, body: this.report() };
    }
    this.see(mandate);
    this.onOrders('direct', mandate, orders);
    for (const order of orders) this.obey(order);
    return { status: 200, body: this.report() };
  }

  see(mandate) {
    if (mandate > this.mandate) {
      this.mandate = mandate;
      this.changed = true;
    }
  }

  obey({ Verb: verb, Piece: piece, Try: attempt, WindupS: windupS = 0 }) {
    const key = `${piece}@${attempt}`;
    const task = this.tasks.get(key);
    this.changed = true;
    if (verb === 'start') {
      if (task === undefined) this.begin(key, piece, attempt);
    } else if (task === undefined) return;
    else if (verb === 'reap') {
      if (task.status === 'ended') this.tasks.delete(key);
    } else if (task.status !== 'ended') this.stop(task, windupS);
  }

  begin(key, piece, attempt) {
    const spec = this.world.specOf(piece);
    const task = { piece, attempt, spec, status: 'ended', cause: null, saved: false };
    this.tasks.set(key, task);
    const others = [...this.tasks.values()].filter((o) => o !== task && o.status !== 'ended');
    if (spec === undefined) task.cause = 'unknown';
    else if (others.some((other) => other.piece === piece)) task.cause = 'busy';
    else {
      const used = [...others, task].map((other) => sizeOf(other.spec));
      const full = this.free.some(
        (free, i) => used.reduce((sum, u) => sum + u[i], 0) > free + 1e-6,
      );
      if (full) task.cause = 'full';
    }
    if (task.cause !== null) return;
    task.status = 'fetching';
    const fetchMs = this.images.has(spec.Bundle)
      ? 0
      : (spec.ImageGb / this.capacity.FetchGbPerS) * 1000;
    task.readyAt = performance.now() + fetchMs;
    if (fetchMs === 0) this.arrive(task);
  }

  /** The image is there: the task is on its machine. */
  arrive(task) {
    const { piece, spec } = task;
    this.images.add(spec.Bundle);
    task.isOn = true;
    this.changed = true;
    this.world.start(piece, this);
    if (this.failing) return this.exit(task, 'error');
    if (this.world.done.has(piece)) return this.exit(task, 'done');
    task.left = (spec.runS ?? 5) * 1000 - (this.world.saved.get(piece) ?? 0);
    if (spec.Shape === 'service') task.left = Infinity;
    if (spec.Shape !== 'ensemble') {
      task.status = 'running';
      return undefined;
    }
    task.status = 'gathering';
    task.since = performance.now();
    const gangKey = `${spec.Uid}@${task.attempt}`;
    const gang = this.world.gangs.get(gangKey) ?? { members: new Map(), runs: false };
    this.world.gangs.set(gangKey, gang);
    gang.members.set(piece, { worker: this, task });
    task.gang = gang;
    if (gang.members.size === spec.Pieces && !gang.runs) {
      gang.runs = true;
      for (const { worker, task: member } of gang.members.values()) {
        member.status = 'running';
        worker.changed = true;
      }
    }
    return undefined;
  }

  stop(task, windupS) {
    const { spec } = task;
    if (task.status === 'running' && spec.SnapshotEveryS > 0 && windupS >= spec.SnapshotS) {
      task.status = 'flushing';
      task.flushedAt = performance.now() + spec.SnapshotS * 1000;
    } else this.exit(task, 'stopped');
  }

  exit(task, cause, saved = false) {
    task.status = 'ended';
    task.cause = cause;
    task.saved = saved;
    this.changed = true;
    if (cause === 'done') this.world.complete(task.piece);
    this.leave(task);
  }

  leave(task) {
    if (task.isOn) this.world.end(task.piece, this, task.cause ?? 'killed');
    task.isOn = false;
    const { gang } = task;
    if (gang === undefined || gang.members.get(task.piece)?.task !== task) return;
    gang.members.delete(task.piece);
    if (gang.runs && task.cause !== 'done') gang.lostAt ??= performance.now();
  }

  advance() {
    const now = performance.now();
    const { lease_s: leaseS, gang_wait_s: waitS, gang_peer_s: peerS } = this.settings.workers;
    if (now - this.leaseBase > leaseS * 1000) {
      for (const task of this.tasks.values()) this.leave(task);
      if (this.tasks.size > 0) this.world.log(`lease of ${this.name} ends`);
      this.tasks.clear();
      this.tenure += 1;
      this.leaseBase = now;
      this.changed = true;
    }
    const passed = now - (this.advancedAt ?? now);
    this.advancedAt = now;
    for (const task of [...this.tasks.values()]) {
      if (task.status === 'fetching' && now >= task.readyAt) this.arrive(task);
      else if (task.status === 'gathering' && now - task.since > waitS * 1000)
        this.exit(task, 'alone');
      else if (task.status === 'flushing' && now >= task.flushedAt) {
        const runMs = (task.spec.runS ?? 5) * 1000;
        this.world.saved.set(task.piece, runMs - task.left);
        this.exit(task, 'stopped', true);
      } else if (task.status === 'running') this.run(task, passed, now, peerS);
    }
  }

  run(task, passed, now, peerS) {
    const { gang } = task;
    if (gang?.lostAt !== undefined) {
      if (now - gang.lostAt > peerS * 500) this.exit(task, 'peers');
      return;
    }
    task.left -= passed;
    if (task.left > 0) return;
    if (gang === undefined) return this.exit(task, 'done');
    for (const { worker, task: member } of [...gang.members.values()]) worker.exit(member, 'done');
    return undefined;
  }

  tick() {
    if (this.hung) {
      this.advancedAt = performance.now();
      return;
    }
    this.advance();
    const now = performance.now();
    const due =
      now >= this.nextReportAt || (this.changed && now - this.reportedAt >= MIN_REPORT_GAP_MS);
    if (due && !this.reporting && now >= (this.pausedUntil ?? 0)) void this.sendReport(now);
  }

  nextNode() {
    this.node = (this.node + 1) % this.nodeNames.length;
    this.pausedUntil = performance.now() + NEXT_NODE_PAUSE_MS;
    this.changed = true;
  }

  async sendReport(sentAt) {
    this.reporting = true;
    this.changed = false;
    this.reportedAt = sentAt;
    const intervalMs = this.settings.workers.report_s * 1000;
    this.nextReportAt = sentAt + intervalMs * (0.75 + Math.random() / 2);
    const { tenure } = this;
    const name = this.nodeNames[this.node];
    const lost = this.mute || this.cutFrom.has(name);
    const body = this.report();
    this.keep?.(body);
    const answer = lost
      ? null
      : await call(this.nodes.get(name), 'POST', '/agent/beat', body, REPORT_TIMEOUT_MS);
    while (this.hung && !this.gone) await sleep(TICK_MS);
    this.reporting = false;
    if (this.gone) return;
    const inTime = performance.now() - sentAt <= REPORT_TIMEOUT_MS;
    if (answer === null || this.deaf || !inTime || this.cutFrom.has(name)) this.nextNode();
    else if (answer.status === 421) this.redirect(answer.body?.ReportsTo, name);
    else if (answer.status !== 200) this.nextNode();
    else this.accept(answer.body, sentAt, tenure);
  }

  redirect(target, from) {
    const index = this.nodeNames.indexOf(target);
    if (index < 0 || target === from) this.nextNode();
    else {
      this.node = index;
      this.changed = true;
    }
  }

  accept({ Mandate: mandate, Orders: orders = [] }, sentAt, tenure) {
    this.advance();
    if (tenure !== this.tenure || mandate === undefined || mandate < this.mandate) return;
    this.see(mandate);
    this.leaseBase = sentAt;
    if (orders.length > 0) this.onOrders('answer', mandate, orders);
    for (const order of orders) this.obey(order);
  }
}
