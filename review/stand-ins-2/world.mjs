/** What happens in the world outside the controllers, and the rules of PROTOCOL that can be seen in it. */
import { performance } from 'node:perf_hooks';

/** Starts and ends of the tasks of one job that are written down. */
const LOGGED_PER_JOB = 60;

export class World {
  jobs = new Map();
  /** machines on which a task is, by task */
  on = new Map();
  /** completed tasks */
  done = new Set();
  saved = new Map();
  gangs = new Map();
  broken = [];
  starts = 0;
  startsAfterCancel = 0;
  teamLimits = new Map();
  startedAt = performance.now();

  constructor(settings, record) {
    this.settings = settings;
    this.record = record;
  }

  get t() {
    return ((performance.now() - this.startedAt) / 1000).toFixed(2);
  }

  log(text) {
    this.record(`${this.t} ${text}`);
  }

  breakRule(rule, text) {
    const line = `${rule}: ${text}`;
    if (this.broken.includes(line)) return;
    this.broken.push(line);
    this.log(`BROKEN ${line}`);
  }

  addJob(spec) {
    if (!this.jobs.has(spec.Uid)) this.jobs.set(spec.Uid, { spec, cancelAsked: false, told: null });
    return this.jobs.get(spec.Uid);
  }

  specOf(piece) {
    return this.jobs.get(piece.split('/')[0])?.spec;
  }

  /** The task has its image: from now on it is on its machine. */
  start(piece, worker) {
    this.starts += 1;
    const job = this.jobs.get(piece.split('/')[0]);
    const { spec } = job;
    const machines = this.on.get(piece) ?? new Set();
    for (const other of machines) {
      if (other !== worker)
        this.breakRule('ran_twice', `${piece} starts on ${worker.name} while on ${other.name}`);
    }
    machines.add(worker);
    this.logRun(job, `run ${piece} on ${worker.name}`);
    this.on.set(piece, machines);
    if (job.cancelledAt !== undefined) {
      this.startsAfterCancel += 1;
      this.log(`start after cancel ${piece} on ${worker.name}`);
      this.checkCancelled(piece);
    }
    this.checkPlace(spec, piece, worker);
    this.checkLimit(spec.Owner);
  }

  end(piece, worker, why) {
    this.on.get(piece)?.delete(worker);
    this.logRun(this.jobs.get(piece.split('/')[0]), `end ${piece} on ${worker.name}: ${why}`);
  }

  logRun(job, text) {
    job.logged = (job.logged ?? 0) + 1;
    if (job.logged <= LOGGED_PER_JOB) this.log(text);
    if (job.logged === LOGGED_PER_JOB)
      this.log(`further runs of ${job.spec.Uid} are not written down`);
  }

  *places(uid) {
    for (const [piece, machines] of this.on) {
      if (!piece.startsWith(`${uid}/`)) continue;
      for (const machine of machines) yield machine;
    }
  }

  checkPlace(spec, piece, { zone, type, spot }) {
    const zones = [...this.places(spec.Uid)].map((machine) => machine.zone);
    const here = zones.filter((other) => other === zone).length;
    const wrong =
      (spec.Site && spec.Site !== zone) ||
      (spec.Hosttypes && !spec.Hosttypes.includes(type)) ||
      (spot && !spec.Reclaimable) ||
      (spec.OneZone && here < zones.length) ||
      (spec.Spread && here > Math.ceil(spec.Pieces / 2));
    if (wrong) this.breakRule('wrong_place', `${piece} in ${zone}, its job in ${zones.join()}`);
  }

  checkLimit(team) {
    const limit = this.teamLimits.get(team);
    if (limit === undefined) return;
    let used = 0;
    for (const { spec } of this.jobs.values()) {
      if (spec.Owner === team) used += spec.Vcpus * [...this.places(spec.Uid)].length;
    }
    if (used > limit + 1e-9) this.breakRule('quota', `${team} uses ${used} of ${limit} cpus`);
  }

  checkCancelled(piece) {
    const job = this.jobs.get(piece.split('/')[0]);
    const { cancel_s: cancelS } = this.settings.workers;
    if (job?.cancelledAt === undefined || (this.on.get(piece)?.size ?? 0) === 0) return;
    const lateS = (performance.now() - job.cancelledAt) / 1000;
    if (lateS > cancelS) {
      const names = [...this.on.get(piece)].map(({ name }) => name).join();
      this.breakRule('ran_cancelled', `${piece} on ${names} past ${cancelS} s`);
    }
  }

  tick() {
    for (const piece of this.on.keys()) this.checkCancelled(piece);
  }

  complete(piece) {
    this.done.add(piece);
  }

  isDone(uid) {
    const { spec } = this.jobs.get(uid);
    for (let i = 0; i < spec.Pieces; i++) if (!this.done.has(`${uid}/${i}`)) return false;
    return true;
  }
}
