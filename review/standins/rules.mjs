/** The rules of the protocol that are about tasks on machines, checked at every change. */
import { performance } from 'node:perf_hooks';

export class Rules {
  /** `limits`: by team, `{ cpus, gpus }`, where 0 means none; `cancelS` as in the settings. */
  constructor(limits, cancelS, record) {
    this.limits = limits;
    this.cancelS = cancelS;
    this.record = record;
    this.jobs = new Map();
    /** task -> map of machine name to { machine, attempt } for tasks that are on a machine */
    this.on = new Map();
    this.cancelledAt = new Map();
    this.broken = [];
    this.starts = 0;
  }

  addJob(job) {
    this.jobs.set(job.Uid, job);
  }

  violate(rule, text) {
    this.broken.push({ rule, text });
    this.record(`RULE BROKEN ${rule}: ${text}`);
  }

  /** A task has its image: from now on it is on its machine. */
  begin(uid, index, machine) {
    this.starts += 1;
    const task = `${uid}/${index}`;
    const machines = this.on.get(task) ?? new Map();
    this.on.set(task, machines);
    const others = [...machines.keys()].filter((name) => name !== machine.name);
    if (others.length > 0)
      this.violate('ran_twice', `${task} starts on ${machine.name} while it is on ${others}`);
    machines.set(machine.name, machine);
    this.checkPlace(task, this.jobs.get(uid), machine);
    this.checkQuota(this.jobs.get(uid));
    this.checkCancelled(task);
  }

  end(uid, index, machine) {
    const task = `${uid}/${index}`;
    this.on.get(task)?.delete(machine.name);
    if (this.on.get(task)?.size === 0) this.on.delete(task);
  }

  machinesOf(uid) {
    return [...this.on]
      .filter(([task]) => task.startsWith(`${uid}/`))
      .flatMap(([, machines]) => [...machines.values()]);
  }

  checkPlace(task, job, machine) {
    const inZone = (zone) => this.machinesOf(job.Uid).filter((m) => m.zone === zone).length;
    const others = this.machinesOf(job.Uid).filter((m) => m.zone !== machine.zone);
    const wrong =
      (job.Hosttypes !== null && !job.Hosttypes.includes(machine.type)) ||
      (job.Site !== null && job.Site !== machine.zone) ||
      (machine.spot && !job.Reclaimable) ||
      (job.OneZone && others.length > 0) ||
      (job.Spread && inZone(machine.zone) > Math.ceil(job.Pieces / 2));
    if (!wrong) return;
    const elsewhere = others.map((m) => `${m.name} in ${m.zone}`)[0] ?? 'none';
    this.violate(
      'wrong_place',
      `${task} starts on ${machine.name} in ${machine.zone}; OneZone ${job.OneZone}, other tasks of the job on ` +
        `${others.length} places elsewhere, such as ${elsewhere}`,
    );
  }

  checkQuota(job) {
    const limit = this.limits.get(job.Owner);
    if (limit === undefined) return;
    let cpus = 0;
    let gpus = 0;
    const tasks = [];
    for (const other of this.jobs.values()) {
      if (other.Owner !== job.Owner) continue;
      const count = this.machinesOf(other.Uid).length;
      cpus += other.Vcpus * count;
      gpus += other.Cards * count;
      if (count > 0) tasks.push(`${other.Uid}: ${count} x ${other.Vcpus} CPUs ${other.Cards} GPUs`);
    }
    const over = (used, max) => max > 0 && used > max + 1e-6;
    if (over(cpus, limit.cpus) || over(gpus, limit.gpus))
      this.violate(
        'quota',
        `${job.Owner} uses ${cpus} CPUs and ${gpus} GPUs; its limit is ${limit.cpus} CPUs and ${limit.gpus} GPUs ` +
          `(0: none); ${tasks.join('; ')}`,
      );
  }

  cancelled(uid) {
    if (!this.cancelledAt.has(uid)) this.cancelledAt.set(uid, performance.now());
  }

  checkCancelled(task) {
    const at = this.cancelledAt.get(task.slice(0, task.indexOf('/')));
    if (at === undefined || performance.now() - at <= this.cancelS * 1000) return;
    this.violate('ran_cancelled', `${task} is on a machine more than ${this.cancelS} s later`);
  }
}
