/** Stand-in for workers, and the invariants of the simulated world that they run tasks in. */
import type { Command, Heartbeat, ReportedTask } from '../../src/core/model.js';

/** The parts of a submission that limit where and how many of its tasks may run. */
export interface JobConstraints {
  readonly team: string;
  readonly tasks: number;
  /** cpus of each task */
  readonly cpus: number;
  readonly zone: string | null;
  readonly oneZone: boolean;
  readonly spread: boolean;
  readonly gang?: boolean;
}

/**
 * Tracks which task runs on which machine, and records every violation of an invariant: a task runs on two machines at
 * a time (`ran_twice`), too long after its job's cancellation (`ran_cancelled`), in a wrong zone (`wrong_place`), or
 * beyond the quota of its team (`quota`), or a worker starts an attempt again that it was told to forget (`restarted`).
 * Tasks are named `uid/index`.
 */
export class World {
  /** violations; each begins with the name of its rule */
  readonly violations: string[] = [];
  /** machines on which a task runs, by task */
  readonly runningOn = new Map<string, Set<string>>();
  /** ms at which the cancellation of a job was confirmed, by uid */
  readonly cancelledAt = new Map<string, number>();
  /** indexes of completed tasks, by uid */
  readonly completed = new Map<string, Set<number>>();
  /** number of tasks that were started, repeated starts included */
  starts = 0;
  /** constraints by uid; zones and quotas are checked only for the jobs in here */
  readonly jobs = new Map<string, JobConstraints>();
  /** zone by machine */
  readonly zoneOf = new Map<string, string>();
  /** most cpus that a team may use at a time, by team */
  readonly quotas = new Map<string, number>();
  /** number of starts of tasks whose job's cancellation had been confirmed */
  startsAfterCancellation = 0;
  /** number of starts of tasks that had completed before */
  startsAfterCompletion = 0;

  constructor(private readonly cancelMs = CANCEL_MS) {}

  /** Records the start of a task and checks the invariants. */
  onTaskStarted(task: string, machine: string, now: number): void {
    this.starts += 1;
    if (this.cancelledAt.has(task.slice(0, task.indexOf('/')))) this.startsAfterCancellation += 1;
    const [uid, index] = task.split('/') as [string, string];
    if (this.completed.get(uid)?.has(Number(index)) ?? false) this.startsAfterCompletion += 1;
    const others = [...(this.runningOn.get(task) ?? [])].filter((name) => name !== machine);
    if (others.length > 0) this.violations.push(`ran_twice ${task} on ${machine} and ${others[0]}`);
    const machines = this.runningOn.get(task) ?? new Set();
    machines.add(machine);
    this.runningOn.set(task, machines);
    this.checkCancelled(task, now);
    this.#checkPlace(task, machine);
    this.#checkQuota(task);
  }

  /** Returns the machines on which tasks of the job run, each once per task. */
  #machinesOf(uid: string): string[] {
    return [...this.runningOn].flatMap(([task, machines]) =>
      task.startsWith(`${uid}/`) ? [...machines] : [],
    );
  }

  #checkPlace(task: string, machine: string): void {
    const uid = task.slice(0, task.indexOf('/'));
    const job = this.jobs.get(uid);
    const zone = this.zoneOf.get(machine);
    if (job === undefined) return;
    const zones = this.#machinesOf(uid).map((m) => this.zoneOf.get(m));
    const tasksInZone = zones.filter((z) => z === zone).length;
    const misplaced =
      (job.zone !== null && job.zone !== zone) ||
      (job.oneZone && tasksInZone < zones.length) ||
      (job.spread && tasksInZone > Math.ceil(job.tasks / 2));
    if (misplaced) this.violations.push(`wrong_place ${task} in ${zone}`);
  }

  #checkQuota(task: string): void {
    const team = this.jobs.get(task.slice(0, task.indexOf('/')))?.team ?? '';
    const quota = this.quotas.get(team);
    if (quota === undefined) return;
    let used = 0;
    for (const [uid, job] of this.jobs) {
      if (job.team === team) used += job.cpus * this.#machinesOf(uid).length;
    }
    if (used > quota) this.violations.push(`quota ${team}: ${used} of ${quota}`);
  }

  /** Records a completion. The tasks of a gang complete together: when one is done, all of them are. */
  onTaskCompleted(uid: string, index: number): void {
    const completed = this.completed.get(uid) ?? new Set();
    const job = this.jobs.get(uid);
    const gang = job?.gang ?? false;
    const indexes = gang ? Array.from({ length: job!.tasks }, (_, i) => i) : [index];
    for (const i of indexes) completed.add(i);
    this.completed.set(uid, completed);
  }

  /** Records that a task no longer runs on a machine, whether completed or not. */
  onTaskEnded(task: string, machine: string): void {
    this.runningOn.get(task)?.delete(machine);
  }

  /** Records a violation if the task still runs more than `cancelMs` after its job's cancellation was confirmed. */
  checkCancelled(task: string, now: number): void {
    const at = this.cancelledAt.get(task.slice(0, task.indexOf('/')));
    if (at !== undefined && now - at > this.cancelMs && (this.runningOn.get(task)?.size ?? 0) > 0) {
      this.violations.push(`ran_cancelled ${task}`);
    }
  }

  /** Checks the deadline of cancellations for all tasks. */
  checkCancellations(now: number): void {
    for (const task of this.runningOn.keys()) this.checkCancelled(task, now);
  }
}

/** ms that tasks may run on after a cancellation unless a test sets another limit. */
export const CANCEL_MS = 38_000;

/** An attempt of a task that the worker runs, or whose end it still reports. */
interface WorkerTask {
  uid: string;
  index: number;
  attempt: number;
  state: 'running' | 'exited';
  why: ReportedTask['why'];
  saved: boolean;
  /** ms of work that are left */
  remainingMs: number;
}

/** Follows the worker's side of the protocol: fencing tokens, agent epochs, the lease and commands. */
export class FakeWorker {
  agentEpoch = 1;
  /** number of the last heartbeat */
  counter = 0;
  /** the largest fencing token seen; commands under a smaller one are rejected */
  fencingToken = 0;
  /** s until the cloud preempts the machine, as reported in heartbeats; null: no notice */
  preemptionNoticeS: number | null = null;
  /** whether the machine hangs: it runs nothing and answers nothing until this is false again */
  hung = false;
  /** whether every task fails at its start */
  failsTasks = false;
  /** attempts by `uid/index@attempt` */
  readonly tasks = new Map<string, WorkerTask>();
  /** attempts that were started in this agent epoch, by `uid/index@attempt` */
  readonly #startedAttempts = new Set<string>();
  #leaseStartMs: number;
  #nowMs: number;

  constructor(
    readonly name: string,
    private readonly world: World,
    /** duration of a task in ms, or a function that returns it for the index of the task */
    private readonly runMs: number | ((index: number) => number),
    /** ms after the last answered heartbeat at which the worker stops its tasks */
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

  /** Returns the next heartbeat. */
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
      tasks: [...this.tasks.values()].map((task) => ({
        uid: task.uid,
        index: task.index,
        attempt: task.attempt,
        state: task.state,
        why: task.why,
        saved: task.saved,
      })),
    };
  }

  /**
   * Handles the answer to the heartbeat that was sent at `sentAt` under `agentEpoch`: renews the lease and executes the
   * commands. An answer of another agent epoch or under a smaller fencing token is ignored.
   */
  onHeartbeatAnswer(
    fencingToken: number,
    commands: readonly Command[],
    sentAt: number,
    agentEpoch: number,
  ): void {
    if (agentEpoch !== this.agentEpoch || fencingToken < this.fencingToken) return;
    this.fencingToken = fencingToken;
    this.#leaseStartMs = sentAt;
    for (const command of commands) this.#execute(command);
  }

  /** Executes direct commands; returns false if the fencing token or the agent epoch is outdated. */
  executeDirect(fencingToken: number, agentEpoch: number, commands: readonly Command[]): boolean {
    if (fencingToken < this.fencingToken || agentEpoch !== this.agentEpoch) return false;
    this.fencingToken = fencingToken;
    for (const command of commands) this.#execute(command);
    return true;
  }

  #execute(command: Command): void {
    const key = `${command.uid}/${command.index}`;
    const entry = `${key}@${command.attempt}`;
    const existing = this.tasks.get(entry);
    if (command.op === 'start') {
      if (existing !== undefined) return;
      if (this.#startedAttempts.has(entry)) this.world.violations.push(`restarted ${entry}`);
      this.#startedAttempts.add(entry);
      const busy = [...this.tasks.values()].some(
        (o) => o.uid === command.uid && o.index === command.index && o.state === 'running',
      );
      const task: WorkerTask = {
        uid: command.uid,
        index: command.index,
        attempt: command.attempt,
        state: busy ? 'exited' : 'running',
        why: busy ? 'busy' : null,
        saved: false,
        remainingMs: typeof this.runMs === 'number' ? this.runMs : this.runMs(command.index),
      };
      this.tasks.set(entry, task);
      if (busy) return;
      this.world.onTaskStarted(key, this.name, this.#nowMs);
      if (this.failsTasks) this.#exit(task, 'error');
    } else if (command.op === 'stop') {
      if (existing !== undefined && existing.state === 'running') this.#exit(existing, 'stopped');
    } else if (existing !== undefined && existing.state === 'exited') this.tasks.delete(entry);
  }

  #exit(task: WorkerTask, why: ReportedTask['why']): void {
    task.state = 'exited';
    task.why = why;
    this.world.onTaskEnded(`${task.uid}/${task.index}`, this.name);
  }

  /**
   * Advances the worker's time to `now`: ends tasks, and if the lease has expired, stops all of them and begins a new
   * agent epoch. A hung machine does nothing.
   */
  advance(now: number): void {
    const elapsedMs = now - this.#nowMs;
    this.#nowMs = now;
    if (this.hung) return;
    if (now - this.#leaseStartMs > this.leaseMs) this.restart(now);
    for (const task of this.tasks.values()) {
      if (task.state !== 'running') continue;
      task.remainingMs -= elapsedMs;
      if (task.remainingMs > 0) continue;
      this.world.onTaskCompleted(task.uid, task.index);
      this.#exit(task, 'done');
    }
  }

  /** Ends all tasks and begins the next agent epoch. The counter goes on, and the fencing token is kept. */
  restart(now: number): void {
    this.terminate();
    this.#startedAttempts.clear();
    this.agentEpoch += 1;
    this.#leaseStartMs = now;
  }

  /** Lets all running tasks fail. */
  failRunningTasks(): void {
    this.endRunningTasks('error');
  }

  /** Ends all running tasks for that reason. */
  endRunningTasks(why: ReportedTask['why']): void {
    for (const task of this.tasks.values()) if (task.state === 'running') this.#exit(task, why);
  }

  /** Ends the machine and everything that runs on it. */
  terminate(): void {
    for (const task of this.tasks.values())
      if (task.state === 'running') this.#exit(task, 'stopped');
    this.tasks.clear();
  }
}
