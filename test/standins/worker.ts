import type { Command, Heartbeat, ReportedTask } from '../../src/core/model.js';

export interface JobConstraints {
  readonly team: string;
  readonly tasks: number;
  readonly cpus: number;
  readonly zone: string | null;
  readonly oneZone: boolean;
  readonly spread: boolean;
  readonly gang?: boolean;
}

/** What is on which machine in the simulated world; notices every broken rule. */
export class World {
  readonly violations: string[] = [];
  readonly runningOn = new Map<string, Set<string>>();
  readonly cancelledAt = new Map<string, number>();
  readonly completed = new Map<string, Set<number>>();
  starts = 0;
  /** what jobs ask for, if the rules of places and limits are to be watched */
  readonly jobs = new Map<string, JobConstraints>();
  readonly zoneOf = new Map<string, string>();
  readonly quotas = new Map<string, number>();
  /** starts of jobs whose cancellation had been confirmed */
  startsAfterCancellation = 0;
  /** starts of tasks that had completed before */
  startsAfterCompletion = 0;

  constructor(private readonly cancelMs = CANCEL_MS) {}

  onTaskStarted(task: string, machine: string, now: number): void {
    this.starts += 1;
    if (this.cancelledAt.has(task.slice(0, task.indexOf('/')))) this.startsAfterCancellation += 1;
    const [uid, index] = task.split('/') as [string, string];
    if (this.completed.get(uid)?.has(Number(index)) ?? false) this.startsAfterCompletion += 1;
    const others = [...(this.runningOn.get(task) ?? [])].filter((m) => m !== machine);
    if (others.length > 0) this.violations.push(`ran_twice ${task} on ${machine} and ${others[0]}`);
    const set = this.runningOn.get(task) ?? new Set();
    set.add(machine);
    this.runningOn.set(task, set);
    this.checkCancelled(task, now);
    this.#checkPlace(task, machine);
    this.#checkQuota(task);
  }

  /** machines on which tasks of the job are */
  #machinesOf(uid: string): string[] {
    return [...this.runningOn].flatMap(([t, on]) => (t.startsWith(`${uid}/`) ? [...on] : []));
  }

  #checkPlace(task: string, machine: string): void {
    const uid = task.slice(0, task.indexOf('/'));
    const job = this.jobs.get(uid);
    const zone = this.zoneOf.get(machine);
    if (job === undefined) return;
    const zones = this.#machinesOf(uid).map((m) => this.zoneOf.get(m));
    const here = zones.filter((z) => z === zone).length;
    const wrong =
      (job.zone !== null && job.zone !== zone) ||
      (job.oneZone && here < zones.length) ||
      (job.spread && here > Math.ceil(job.tasks / 2));
    if (wrong) this.violations.push(`wrong_place ${task} in ${zone}`);
  }

  #checkQuota(task: string): void {
    const team = this.jobs.get(task.slice(0, task.indexOf('/')))?.team ?? '';
    const limit = this.quotas.get(team);
    if (limit === undefined) return;
    let used = 0;
    for (const [uid, j] of this.jobs) {
      if (j.team === team) used += j.cpus * this.#machinesOf(uid).length;
    }
    if (used > limit) this.violations.push(`quota ${team}: ${used} of ${limit}`);
  }

  /** A task has completed. The tasks of a gang complete together: when one is done, all of them are. */
  onTaskCompleted(uid: string, index: number): void {
    const done = this.completed.get(uid) ?? new Set();
    const rules = this.jobs.get(uid);
    const gang = rules?.gang ?? false;
    const together = gang ? Array.from({ length: rules!.tasks }, (_, i) => i) : [index];
    for (const i of together) done.add(i);
    this.completed.set(uid, done);
  }

  onTaskEnded(task: string, machine: string): void {
    this.runningOn.get(task)?.delete(machine);
  }

  checkCancelled(task: string, now: number): void {
    const at = this.cancelledAt.get(task.slice(0, task.indexOf('/')));
    if (at !== undefined && now - at > this.cancelMs && (this.runningOn.get(task)?.size ?? 0) > 0) {
      this.violations.push(`ran_cancelled ${task}`);
    }
  }

  checkCancellations(now: number): void {
    for (const task of this.runningOn.keys()) this.checkCancelled(task, now);
  }
}

export const CANCEL_MS = 38_000;

interface WorkerTask {
  uid: string;
  index: number;
  attempt: number;
  state: 'running' | 'exited';
  why: ReportedTask['why'];
  saved: boolean;
  remainingMs: number;
}

/** Stand-in for a worker: tokens, sessions, leases and commands as the protocol says. */
export class FakeWorker {
  agentEpoch = 1;
  counter = 0;
  fencingToken = 0;
  preemptionNoticeS: number | null = null;
  hung = false;
  failsTasks = false;
  readonly tasks = new Map<string, WorkerTask>();
  #leaseStartMs: number;
  #nowMs: number;

  constructor(
    readonly name: string,
    private readonly world: World,
    /** of a task by its number */
    private readonly runMs: number | ((index: number) => number),
    private readonly leaseMs: number,
    now: number,
    readonly zone = 'z',
    readonly type = 'm',
    readonly address = 'none:1',
    readonly spot = false,
  ) {
    this.#leaseStartMs = now;
    this.#nowMs = now;
  }

  heartbeat(): Heartbeat {
    this.counter += 1;
    return {
      machine: this.name,
      address: this.address,
      type: this.type,
      zone: this.zone,
      spot: this.spot,
      agentEpoch: this.agentEpoch,
      counter: this.counter,
      fencingToken: this.fencingToken,
      preemptionNoticeS: this.preemptionNoticeS,
      tasks: [...this.tasks.values()].map((t) => ({
        uid: t.uid,
        index: t.index,
        attempt: t.attempt,
        state: t.state,
        why: t.why,
        saved: t.saved,
      })),
    };
  }

  /** The answer to the report sent at `sentAt` in the given session. */
  onHeartbeatAnswer(
    token: number,
    commands: readonly Command[],
    sentAt: number,
    agentEpoch: number,
  ): void {
    if (agentEpoch !== this.agentEpoch || token < this.fencingToken) return;
    this.fencingToken = token;
    this.#leaseStartMs = sentAt;
    for (const c of commands) this.#execute(c);
  }

  /** A direct command; true if executed. */
  executeDirect(token: number, agentEpoch: number, commands: readonly Command[]): boolean {
    if (token < this.fencingToken || agentEpoch !== this.agentEpoch) return false;
    this.fencingToken = token;
    for (const c of commands) this.#execute(c);
    return true;
  }

  #execute(c: Command): void {
    const key = `${c.uid}/${c.index}`;
    const entry = `${key}@${c.attempt}`;
    const t = this.tasks.get(entry);
    if (c.op === 'start') {
      if (t !== undefined) return;
      const busy = [...this.tasks.values()].some(
        (o) => o.uid === c.uid && o.index === c.index && o.state === 'running',
      );
      const task: WorkerTask = {
        uid: c.uid,
        index: c.index,
        attempt: c.attempt,
        state: busy ? 'exited' : 'running',
        why: busy ? 'busy' : null,
        saved: false,
        remainingMs: typeof this.runMs === 'number' ? this.runMs : this.runMs(c.index),
      };
      this.tasks.set(entry, task);
      if (busy) return;
      this.world.onTaskStarted(key, this.name, this.#nowMs);
      if (this.failsTasks) this.#exit(task, 'error');
    } else if (c.op === 'stop') {
      if (t !== undefined && t.state === 'running') this.#exit(t, 'stopped');
    } else if (t !== undefined && t.state === 'exited') this.tasks.delete(entry);
  }

  #exit(t: WorkerTask, why: ReportedTask['why']): void {
    t.state = 'exited';
    t.why = why;
    this.world.onTaskEnded(`${t.uid}/${t.index}`, this.name);
  }

  /** Time passes: tasks end, and the lease may. A hanging machine does nothing until it goes on. */
  advance(now: number): void {
    const passed = now - this.#nowMs;
    this.#nowMs = now;
    if (this.hung) return;
    if (now - this.#leaseStartMs > this.leaseMs) {
      for (const t of this.tasks.values()) if (t.state === 'running') this.#exit(t, 'stopped');
      this.tasks.clear();
      this.agentEpoch += 1;
      this.#leaseStartMs = now;
    }
    for (const t of this.tasks.values()) {
      if (t.state !== 'running') continue;
      t.remainingMs -= passed;
      if (t.remainingMs > 0) continue;
      this.world.onTaskCompleted(t.uid, t.index);
      this.#exit(t, 'done');
    }
  }

  /** The machine is gone with everything on it. */
  terminate(): void {
    for (const t of this.tasks.values()) if (t.state === 'running') this.#exit(t, 'stopped');
    this.tasks.clear();
  }
}
