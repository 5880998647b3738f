/** One shard with stand-ins for its workers and for the network between them, in simulated time. */
import assert from 'node:assert/strict';
import type { Command, JobSpec } from '../src/core/model.js';
import type { MachineState, Shard } from '../src/core/shard/shard.js';
import { job, LEASE_MS, machine, shardWith, Store } from './helpers.js';
import { assertDerivedState } from './standins/derived-state.js';
import { FakeWorker, World } from './standins/worker.js';

/** Time between two steps, and between two heartbeats of a worker. */
export const STEP_MS = 1000;
/** Duration of a task unless a test sets another one. */
export const RUN_MS = 6000;
/** The job that a scene begins with. */
export const SCENE_JOB = 'job-000001';
const MACHINES = ['a', 'b', 'c'];

/** A direct message as the network keeps it. */
export interface SentMessage {
  readonly worker: FakeWorker;
  readonly token: number;
  readonly agentEpoch: number;
  readonly commands: readonly Command[];
}

/** A shard with idle machines, and a network that delivers all direct commands once more after each step. */
export class ShardScene {
  readonly world = new World();
  readonly store = new Store();
  readonly workers = new Map<string, FakeWorker>();
  readonly sent: SentMessage[] = [];
  shard: Shard;
  now = 0;
  /** whether workers execute direct commands without an answer that arrives */
  losesAnswers = false;
  /** workers that neither send heartbeats nor answer, while copies of earlier messages reach them */
  readonly unreachable = new Set<FakeWorker>();
  /** workers whose heartbeats reach no controller, while direct commands reach them */
  readonly withoutHeartbeats = new Set<FakeWorker>();
  /** workers that get neither direct commands nor answers, while their heartbeats arrive */
  readonly withoutCommands = new Set<FakeWorker>();
  /** whether the network holds up all direct commands, instead of delivering them and their copies */
  holdsCommands = false;
  /** whether the controller has authority: without it, it starts nothing, and sends stops alone */
  hasAuthority = true;

  constructor(spec: Partial<JobSpec>, runMs = RUN_MS) {
    for (const name of MACHINES) {
      this.store.add(machine(name));
      this.workers.set(name, new FakeWorker(name, this.world, runMs, LEASE_MS, 0));
    }
    this.shard = shardWith(this.store);
    this.run(3);
    // The workers have confirmed their token by now, so that the job's tasks are started directly.
    this.store.add(job(spec));
    this.shard.sync(this.store, this.now);
    this.shard.placeAll(this.now);
    this.sendDirectCommands(this.shard);
    assert.ok(this.sent.some(({ commands }) => commands.some(({ op }) => op === 'start')));
  }

  /** Runs for that many seconds. `others` are further shards. */
  run(seconds: number, others: readonly Shard[] = []): void {
    for (let second = 0; second < seconds; second++) this.step([this.shard, ...others]);
  }

  step(shards: readonly Shard[]): void {
    this.now += STEP_MS;
    for (const shard of shards) shard.sync(this.store, this.now);
    this.repeatAll();
    for (const worker of this.workers.values()) {
      worker.advance(this.now);
      const sendsHeartbeats = !this.unreachable.has(worker) && !this.withoutHeartbeats.has(worker);
      if (sendsHeartbeats) this.#report(worker, shards);
    }
    this.repeatAll();
    for (const shard of shards) {
      shard.expireLeases(this.now);
      if (this.hasAuthority) shard.placeAll(this.now);
      this.sendDirectCommands(shard);
      assertDerivedState(shard);
    }
    this.world.checkCancellations(this.now);
    assert.deepEqual(this.world.violations, [], `at ${this.now} ms`);
  }

  #report(worker: FakeWorker, shards: readonly Shard[]): void {
    const heartbeat = worker.heartbeat();
    for (const shard of shards) {
      const result = shard.handleHeartbeat(heartbeat, this.now, this.hasAuthority);
      if (result.kind !== 'answer') continue;
      if (this.withoutCommands.has(worker)) return;
      const { fencingToken, commands } = result;
      worker.onHeartbeatAnswer(fencingToken, commands, this.now, heartbeat.agentEpoch);
      return;
    }
  }

  /** Sends the shard's direct commands, and probes the machines whose task lists it lacks. */
  sendDirectCommands(shard: Shard): void {
    const batches = shard.directCommands(this.now, Infinity, this.hasAuthority);
    for (const { machine: target, commands, starts } of batches) {
      const executed = this.#sendDirectly(shard, target, commands);
      if (executed !== null) shard.settleDirectStarts(target, starts, executed);
    }
    for (const target of shard.machinesToProbe()) {
      if (target.address === null) continue;
      // A worker refuses the first probe if the shard does not know its agent epoch yet.
      if (this.#sendDirectly(shard, target, []) === false) this.#sendDirectly(shard, target, []);
    }
  }

  /** Returns whether the worker executed the commands; null if no answer arrived. */
  #sendDirectly(shard: Shard, target: MachineState, commands: readonly Command[]): boolean | null {
    const worker = this.workers.get(target.record.name)!;
    const token = target.fencing.token;
    const agentEpoch = target.epoch?.number ?? 1;
    if (commands.length > 0) this.sent.push({ worker, token, agentEpoch, commands });
    const isLost = this.unreachable.has(worker) || this.withoutCommands.has(worker);
    if (isLost || this.holdsCommands) return null;
    const executed = worker.executeDirect(token, agentEpoch, commands);
    if (this.losesAnswers) return null;
    shard.handleCommandStatus(worker.heartbeat(), this.now);
    return executed;
  }

  /** Delivers a copy of every direct message that was ever sent, or the original if it was held up. */
  repeatAll(): void {
    if (this.holdsCommands) return;
    for (const { worker, token, agentEpoch, commands } of this.sent) {
      worker.executeDirect(token, agentEpoch, commands);
    }
  }

  cancel(): void {
    this.store.jobs.delete(SCENE_JOB);
    this.world.cancelledAt.set(SCENE_JOB, this.now);
  }

  runningTasks(uid: string): number {
    let count = 0;
    for (const [task, machines] of this.world.runningOn) {
      if (task.startsWith(`${uid}/`)) count += machines.size;
    }
    return count;
  }

  get attemptsListed(): number {
    let count = 0;
    for (const { tasks } of this.workers.values()) count += tasks.size;
    return count;
  }

  saveCompletions(): void {
    for (const { spec, unsavedCompletions } of this.shard.jobs.values()) {
      this.shard.markCompletionsSaved(spec.uid, [...unsavedCompletions]);
    }
  }
}
