/**
 * Messages between the service and workers stay within the protocol's 64 KiB, however many small tasks a job has, and
 * such a job is completed nevertheless.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { allocationRatios, loadIndex } from '../src/core/capacity/allocation-ratio.js';
import { planCapacity } from '../src/core/capacity/capacity-planner.js';
import { MAX_TASKS_PER_MACHINE } from '../src/core/constants.js';
import type { Command, Heartbeat, JobSpec, ReportedTask } from '../src/core/model.js';
import { MAX_COMMANDS_PER_MESSAGE } from '../src/core/shard/constants.js';
import type { Shard } from '../src/core/shard/shard.js';
import { seededRandomInt } from '../src/random.js';
import { MAX_BODY_BYTES } from '../src/transport/constants.js';
import { MAX_TASKS_PER_JOB } from '../src/wire/constants.js';
import { commandsBody, heartbeatResponseBody, heartbeatSchema } from '../src/wire/workers.js';
import { capacityInput, job, LEASE_MS, machine, shardWith, Store } from './helpers.js';
import { assertDerivedState } from './standins/derived-state.js';
import { FakeWorker, World } from './standins/worker.js';

/** The longest uid that is accepted, and the largest numbers. */
const LONGEST = {
  uid: `job-${'9'.repeat(20)}`,
  index: MAX_TASKS_PER_JOB - 1,
  attempt: Number.MAX_SAFE_INTEGER,
};

const bytesOf = (body: unknown): number => JSON.stringify(body).length;

/** The report of a worker in the form of the protocol. */
const reportBody = ({ tasks, ...heartbeat }: Heartbeat): unknown => ({
  Host: heartbeat.machine,
  Address: heartbeat.address,
  Hosttype: heartbeat.type,
  Site: heartbeat.zone,
  Reclaimable: heartbeat.spot,
  Tenure: heartbeat.agentEpoch,
  Counter: heartbeat.counter,
  Mandate: heartbeat.fencingToken,
  WarningS: heartbeat.preemptionNoticeS,
  Pieces: tasks.map(({ uid, index, attempt, state, why, saved }) => ({
    Piece: `${uid}/${index}`,
    Try: attempt,
    Status: state === 'exited' ? 'ended' : state === 'waiting' ? 'gathering' : state,
    ...(why === null ? {} : { Cause: why, Saved: saved }),
  })),
});

test('a report of the most tasks of a machine and a message of the most commands fit 64 KiB', () => {
  const name = 'n'.repeat(200);
  const ended: ReportedTask = { ...LONGEST, state: 'exited', why: 'stopped', saved: false };
  const body = reportBody({
    ...{ machine: name, address: name, type: name, zone: name, spot: false, agentEpoch: 1e15 },
    ...{ counter: 1e15, fencingToken: 1e15, preemptionNoticeS: 1 / 3 },
    tasks: Array.from({ length: MAX_TASKS_PER_MACHINE }, () => ended),
  });
  assert.ok(heartbeatSchema.safeParse(body).success);
  assert.ok(bytesOf(body) <= MAX_BODY_BYTES, `${bytesOf(body)} bytes of report`);
  const stop: Command = { op: 'stop', ...LONGEST, graceS: 1 / 3 };
  const commands = Array.from({ length: MAX_COMMANDS_PER_MESSAGE }, () => stop);
  for (const message of [commandsBody(1e15, 1e15, commands), heartbeatResponseBody(1e15, commands)])
    assert.ok(bytesOf(message) <= MAX_BODY_BYTES, `${bytesOf(message)} bytes of commands`);
});

/** A shard with workers that take no message over the protocol's limit, and completions that are saved late. */
class SmallTaskScene {
  readonly world = new World();
  readonly store = new Store();
  readonly workers: FakeWorker[];
  readonly shard: Shard;
  now = 0;
  largestMessage = 0;
  /** until this time, in ms, workers execute direct commands but their answers are lost */
  directAnswersLostUntil = 0;

  constructor(machines: number, specs: readonly Partial<JobSpec>[], runMs: number) {
    for (const spec of specs) this.store.add(job(spec));
    const names = Array.from({ length: machines }, (_, i) => `m${i}`);
    for (const name of names) this.store.add(machine(name));
    this.shard = shardWith(this.store);
    this.workers = names.map((name) => new FakeWorker(name, this.world, runMs, LEASE_MS, 0));
  }

  #fits(body: unknown): boolean {
    this.largestMessage = Math.max(this.largestMessage, bytesOf(body));
    return bytesOf(body) <= MAX_BODY_BYTES;
  }

  #report(worker: FakeWorker): void {
    const heartbeat = worker.heartbeat();
    if (!this.#fits(reportBody(heartbeat))) return;
    const result = this.shard.handleHeartbeat(heartbeat, this.now, true);
    if (result.kind !== 'answer') return;
    const { fencingToken, commands } = result;
    if (!this.#fits(heartbeatResponseBody(fencingToken, commands))) return;
    worker.onHeartbeatAnswer(fencingToken, commands, this.now, worker.agentEpoch);
  }

  #sendDirectCommands(): void {
    for (const { machine: target, commands, starts } of this.shard.directCommands(this.now)) {
      const worker = this.workers.find(({ name }) => name === target.record.name)!;
      const { token } = target.fencing;
      const body = commandsBody(token, worker.agentEpoch, commands);
      const executed = this.#fits(body) && worker.executeDirect(token, worker.agentEpoch, commands);
      if (this.now < this.directAnswersLostUntil) continue;
      this.shard.settleDirectStarts(target, starts, executed);
      const status = worker.heartbeat();
      if (this.#fits(reportBody(status))) this.shard.handleCommandStatus(status, this.now);
    }
  }

  /** Runs one second: a report of each worker, a pass, direct commands, and a save with the given probability. */
  step(random: (below: number) => number, savesPercent: number): void {
    this.now += 1000;
    for (const worker of this.workers) {
      worker.advance(this.now);
      this.#report(worker);
    }
    this.shard.expireLeases(this.now);
    this.shard.placeAll(this.now);
    this.#sendDirectCommands();
    assertDerivedState(this.shard);
    if (random(100) >= savesPercent) return;
    for (const { spec, unsavedCompletions } of this.shard.jobs.values()) {
      this.shard.markCompletionsSaved(spec.uid, [...unsavedCompletions]);
    }
  }
}

// Guards against docs/incidents/2026-12-04-message-limit.md: a message over the limit was refused, so no task ever began.
test('arrays of thousands of small tasks are completed by messages within 64 KiB', () => {
  const cases: [string, Partial<JobSpec>][] = [
    ['0.0005 CPUs', { demand: { cpus: 0.0005, gpus: 0, memoryGb: 0.001 } }],
    ['no demand', { demand: { cpus: 0, gpus: 0, memoryGb: 0 } }],
    [
      '0.001 CPUs of a team with a limit',
      { demand: { cpus: 0.001, gpus: 0, memoryGb: 0.001 }, team: 'limited' },
    ],
  ];
  for (const [description, over] of cases) {
    const random = seededRandomInt(11);
    const uids = ['job-000001', LONGEST.uid];
    const specs = uids.map((uid) => ({ uid, tasks: 1700, priority: 'low' as const, ...over }));
    const scene = new SmallTaskScene(2, specs, 3000);
    for (let second = 0; second < 90; second++) scene.step(random, 40);
    const completed = uids.map((uid) => scene.world.completed.get(uid)?.size ?? 0);
    assert.deepEqual(completed, [1700, 1700], description);
    assert.equal(scene.world.starts, 3400, `${description}: each task begins once`);
    assert.deepEqual(scene.world.violations, []);
    assert.ok(scene.largestMessage <= MAX_BODY_BYTES, `${scene.largestMessage} bytes`);
  }
});

test('ended tasks that a worker still lists take the places of new ones', () => {
  const demand = { cpus: 0.001, gpus: 0, memoryGb: 0.001 };
  const scene = new SmallTaskScene(1, [{ tasks: 2000, demand, priority: 'low' }], 2000);
  // The store is out: no completion is saved, so no ended task may be forgotten.
  for (let second = 0; second < 20; second++) scene.step(() => 99, 0);
  assert.equal(scene.world.starts, MAX_TASKS_PER_MACHINE);
  assert.equal(scene.workers[0]!.tasks.size, MAX_TASKS_PER_MACHINE);
  for (let second = 0; second < 20; second++) scene.step(() => 0, 100);
  assert.ok(scene.world.starts > 2 * MAX_TASKS_PER_MACHINE, `${scene.world.starts} starts`);
});

// A worker may not forget an attempt whose direct start may still arrive, so the attempt keeps its place in the list.
test('a machine stays of use after answers to many direct starts were lost', () => {
  const demand = { cpus: 0.001, gpus: 0, memoryGb: 0.001 };
  const scene = new SmallTaskScene(1, [], 2000);
  for (let second = 0; second < 3; second++) scene.step(() => 0, 100);
  scene.store.add(job({ tasks: 2000, demand, priority: 'low' }));
  scene.shard.sync(scene.store, scene.now);
  scene.directAnswersLostUntil = scene.now + 10_000;
  for (let second = 0; second < 60; second++) scene.step(() => 0, 100);
  assert.equal(scene.world.completed.get('job-000001')?.size, 2000);
  assert.equal(scene.world.starts, 2000, 'each task begins once');
});

test('a cancelled job of small tasks is stopped whole, before anything else is commanded', () => {
  const demand = { cpus: 0.001, gpus: 0, memoryGb: 0.001 };
  const tiny = { demand, priority: 'low' as const, tasks: 400 };
  const scene = new SmallTaskScene(1, [tiny, { ...tiny, uid: 'job-000002' }], 1e6);
  for (let second = 0; second < 4; second++) scene.step(() => 0, 100);
  assert.equal(scene.workers[0]!.tasks.size, MAX_TASKS_PER_MACHINE);
  scene.store.jobs.delete('job-000001');
  scene.shard.sync(scene.store, scene.now);
  const [worker] = scene.workers;
  const result = scene.shard.handleHeartbeat(worker!.heartbeat(), scene.now, true);
  assert.equal(result.kind, 'answer');
  const ops = result.kind === 'answer' ? result.commands.map(({ op }) => op) : [];
  assert.equal(ops.filter((op) => op === 'stop').length, 400);
  assert.ok(ops.slice(0, 400).every((op) => op === 'stop'));
  for (let second = 0; second < 8; second++) scene.step(() => 0, 100);
  const running = [...scene.world.runningOn].filter(([, machines]) => machines.size > 0);
  assert.equal(running.length, 400, 'all tasks of the other job run');
  assert.ok(running.every(([task]) => task.startsWith('job-000002/')));
});

const planFor = (shard: Shard, now: number) =>
  planCapacity(
    capacityInput(shard, now, { reserveSigma: 0, idleKeepMs: 1000, maxMachines: 10_000 }),
  );

test('machines are rented for the number of tasks where resources would allow more on one machine', () => {
  const demand = { cpus: 0.001, gpus: 0, memoryGb: 0.001 };
  const cases: [string, Partial<JobSpec>, number][] = [
    ['a gang', { kind: 'gang', tasks: 1600 }, 4],
    ['a service', { kind: 'service', tasks: 1600 }, 4],
    ['an array that should be drained in its run time', { tasks: 1600, estimateS: 100 }, 4],
  ];
  for (const [description, over, machines] of cases) {
    const shard = shardWith(new Store().add(job({ demand, spot: false, ...over })));
    const rented = planFor(shard, 1).rentals.reduce((sum, { count }) => sum + count, 0);
    assert.equal(rented, machines, description);
    const [load] = allocationRatios(shard.state, 1).slice(loadIndex(0, false));
    assert.equal(load, 1600 / MAX_TASKS_PER_MACHINE, `${description}: load by tasks`);
  }
});

test('a service whose replica has no place in the task list of a machine gets another machine', () => {
  const demand = { cpus: 0.001, gpus: 0, memoryGb: 0.001 };
  const service = { kind: 'service' as const, demand, spot: false, tasks: MAX_TASKS_PER_MACHINE };
  const scene = new SmallTaskScene(1, [service], 1e6);
  for (let second = 0; second < 4; second++) scene.step(() => 0, 100);
  assert.equal(scene.world.starts, MAX_TASKS_PER_MACHINE);
  scene.store.add(job({ ...service, uid: 'job-000002', tasks: 1 }));
  scene.shard.sync(scene.store, scene.now);
  scene.step(() => 0, 100);
  const rented = planFor(scene.shard, scene.now).rentals.reduce((sum, { count }) => sum + count, 0);
  assert.equal(rented, 1);
});
