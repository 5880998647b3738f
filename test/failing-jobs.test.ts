/**
 * Tests with jobs that were submitted with a mistake, which fail on every machine until their users cancel them
 * (docs/incidents/2026-12-02-faulty-jobs.md). They must not cause healthy machines to be quarantined, must take
 * little capacity, and must not keep a faulty machine from being quarantined.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { planCapacity, type CapacityInput } from '../src/core/capacity/capacity-planner.js';
import type { Shard } from '../src/core/shard/shard.js';
import type { JobSpec, Heartbeat } from '../src/core/model.js';
import { wantedMachines } from '../src/core/capacity/wanted-machines.js';
import { capacityInput, job, machine, shardWith, Store } from './helpers.js';

const STEP_MS = 500;
const RUN_MS = 30_000;
const FAIL_MS = 3000;

interface SimulatedTask {
  readonly uid: string;
  readonly index: number;
  readonly attempt: number;
  readonly endsAt: number;
  readonly why: 'done' | 'error';
}

/**
 * Simulates machines whose workers execute commands at once. Faulty jobs fail on every machine, and faulty machines
 * fail every task.
 */
class Fleet {
  readonly store = new Store();
  readonly shard: Shard;
  /** names of machines that have been quarantined at any time */
  readonly quarantined = new Set<string>();
  /** number of starts by job uid */
  readonly starts = new Map<string, number>();
  /** time at which a completed task was last listed, by `<uid>/<index>` */
  readonly done = new Map<string, number>();
  readonly #tasks = new Map<string, SimulatedTask[]>();
  readonly #counters = new Map<string, number>();
  now = 0;

  constructor(
    machines: number,
    private readonly faultyMachines: ReadonlySet<string>,
    private readonly faultyJobs: ReadonlySet<string>,
  ) {
    for (let i = 0; i < machines; i++) {
      this.store.add(machine(`m${String(i).padStart(3, '0')}`));
    }
    this.shard = shardWith(this.store);
  }

  submit(overrides: Partial<JobSpec>): void {
    this.store.add(job(overrides));
    this.shard.sync(this.store, this.now, this.now);
  }

  run(untilMs: number): void {
    for (; this.now < untilMs; this.now += STEP_MS) {
      this.shard.expireLeases(this.now);
      this.shard.placeAll(this.now);
      for (const name of this.store.machines.keys()) this.#exchangeHeartbeat(name);
      for (const machineState of this.shard.machines.values()) {
        if (machineState.faultStatus === 'quarantined')
          this.quarantined.add(machineState.record.name);
      }
    }
  }

  #exchangeHeartbeat(name: string): void {
    const result = this.shard.handleHeartbeat(this.#heartbeat(name), this.now, true);
    if (result.kind !== 'answer') return;
    let tasks = this.#tasks.get(name) ?? [];
    for (const command of result.commands) {
      const isSameAttempt = (task: SimulatedTask) =>
        task.uid === command.uid &&
        task.index === command.index &&
        task.attempt === command.attempt;
      if (command.op !== 'start') tasks = tasks.filter((task) => !isSameAttempt(task));
      else if (!tasks.some(isSameAttempt)) {
        const fails = this.faultyMachines.has(name) || this.faultyJobs.has(command.uid);
        const endsAt = this.now + (fails ? FAIL_MS : RUN_MS);
        const { uid, index, attempt } = command;
        tasks.push({ uid, index, attempt, endsAt, why: fails ? 'error' : 'done' });
        this.starts.set(uid, (this.starts.get(uid) ?? 0) + 1);
      }
    }
    this.#tasks.set(name, tasks);
  }

  #heartbeat(name: string): Heartbeat {
    const counter = (this.#counters.get(name) ?? 0) + 1;
    this.#counters.set(name, counter);
    const tasks = (this.#tasks.get(name) ?? []).map((task) => {
      const ended = task.endsAt <= this.now;
      if (ended && task.why === 'done') this.shard.markCompletionsSaved(task.uid, [task.index]);
      const state = ended ? ('exited' as const) : ('running' as const);
      return { ...task, state, why: ended ? task.why : null, saved: false };
    });
    for (const task of tasks)
      if (task.why === 'done') this.done.set(`${task.uid}/${task.index}`, this.now);
    return {
      machine: name,
      address: 'none:1',
      type: 'm',
      zone: 'z',
      spot: false,
      agentEpoch: 1,
      counter,
      fencingToken: counter > 1 ? 1 : 0,
      preemptionNoticeS: null,
      tasks,
    };
  }

  completed(uid: string): number {
    return [...this.done.keys()].filter((task) => task.startsWith(`${uid}/`)).length;
  }
}

const fleetInput = ({ shard, now }: Fleet): CapacityInput =>
  capacityInput(shard, now, {
    zones: ['z'],
    reserveSigma: 0,
    idleKeepMs: 1e9,
    maxMachines: 1000,
  });

test('faulty jobs cause no quarantine of healthy machines, and faulty machines are quarantined', () => {
  const cases: { name: string; faultyMachines: string[]; faultyJobCount: number }[] = [
    { name: 'only faulty jobs', faultyMachines: [], faultyJobCount: 6 },
    { name: 'faulty jobs and one faulty machine', faultyMachines: ['m003'], faultyJobCount: 6 },
    {
      name: 'faulty jobs and several faulty machines',
      faultyMachines: ['m001', 'm004', 'm007'],
      faultyJobCount: 6,
    },
    { name: 'only faulty machines', faultyMachines: ['m001', 'm004'], faultyJobCount: 0 },
  ];
  for (const { name, faultyMachines, faultyJobCount } of cases) {
    const faultyJobs = Array.from({ length: faultyJobCount }, (_, i) => `job-9${i}`);
    const fleet = new Fleet(20, new Set(faultyMachines), new Set(faultyJobs));
    for (let i = 0; i < 6; i++) {
      if (i < faultyJobCount) {
        const kind = i % 2 === 0 ? 'array' : 'gang';
        fleet.submit({ uid: `job-9${i}`, kind, tasks: kind === 'array' ? 16 : 1 });
      }
      for (let k = 0; k < 5; k++) fleet.submit({ uid: `job-${i}${k}`, tasks: 4 });
      fleet.run((i + 1) * 20_000);
    }
    assert.deepEqual([...fleet.quarantined].sort(), faultyMachines, name);
  }
});

test('a faulty array runs one task at a time with growing backoff, and does not delay a healthy array', () => {
  const fleet = new Fleet(10, new Set(), new Set(['job-90']));
  fleet.submit({ uid: 'job-90', tasks: 40 });
  fleet.run(10_000);
  const initialStarts = fleet.starts.get('job-90') ?? 0;
  fleet.submit({ uid: 'job-10', tasks: 20 });
  fleet.run(130_000);
  const laterStarts = (fleet.starts.get('job-90') ?? 0) - initialStarts;
  assert.ok(laterStarts >= 1, 'the array is retried');
  assert.ok(laterStarts <= 7, `${laterStarts} starts in two minutes`);
  assert.equal(fleet.completed('job-10'), 20);
});

test('once a task of a suspect array has run for long enough, the other tasks are placed', () => {
  const fleet = new Fleet(10, new Set(['m000', 'm001']), new Set());
  fleet.submit({ uid: 'job-10', tasks: 60 });
  fleet.run(5 * RUN_MS);
  assert.equal(fleet.completed('job-10'), 60);
});

test('faulty jobs in backoff request no machines and do not keep other shards from migrating tasks', () => {
  const fleet = new Fleet(4, new Set(), new Set(['job-90', 'job-91']));
  fleet.submit({ uid: 'job-90', tasks: 400 });
  fleet.submit({ uid: 'job-91', kind: 'gang', tasks: 2 });
  const allInBackoff = () =>
    [...fleet.shard.jobs.values()].every(
      (jobState) => jobState.backoffUntil > fleet.now && jobState.placements.size === 0,
    );
  do fleet.run(fleet.now + STEP_MS);
  while (!allInBackoff() && fleet.now < 120_000);
  assert.ok(allInBackoff(), 'both jobs are in backoff at some time');
  assert.equal(fleet.shard.waitingTasks(0, fleet.now), 0);
  const wanted = wantedMachines(fleetInput(fleet));
  assert.deepEqual(wanted.get('m'), { ordinary: 0, spot: 0, instead: 0 });
});

test('a quarantined machine stays quarantined, in whichever order an older task completes and others fail', () => {
  const small = { demand: { cpus: 1, gpus: 0, memoryGb: 1 } };
  for (let offset = 2000; offset <= 6000; offset += STEP_MS) {
    const fleet = new Fleet(1, new Set(), new Set(['job-20', 'job-21', 'job-22']));
    fleet.submit({ uid: 'job-10', ...small });
    fleet.run(RUN_MS - offset);
    for (const uid of ['job-20', 'job-21']) fleet.submit({ uid, ...small });
    fleet.run(RUN_MS - offset + 2 * STEP_MS);
    fleet.submit({ uid: 'job-22', ...small });
    const machineState = fleet.shard.machines.get('m000')!;
    const quarantinedAt: boolean[] = [];
    for (let at = fleet.now + STEP_MS; at < 2 * RUN_MS; at += STEP_MS) {
      fleet.run(at);
      quarantinedAt.push(machineState.faultStatus === 'quarantined');
    }
    assert.equal(fleet.completed('job-10'), 1);
    const first = quarantinedAt.indexOf(true);
    assert.ok(first >= 0, `quarantined, with jobs submitted ${offset} ms before the completion`);
    assert.ok(
      !quarantinedAt.slice(first).includes(false),
      `stays quarantined, with jobs submitted ${offset} ms before the completion`,
    );
  }
});

test('a machine quarantined because of jobs that also fail on other machines returns to service', () => {
  const faultyJobs = new Set(['job-90', 'job-91']);
  const fleet = new Fleet(1, new Set(), faultyJobs);
  fleet.submit({ uid: 'job-10', demand: { cpus: 1, gpus: 0, memoryGb: 1 } });
  fleet.run(2000);
  for (const uid of faultyJobs) fleet.submit({ uid, demand: { cpus: 1, gpus: 0, memoryGb: 1 } });
  fleet.run(12_000);
  const machineState = fleet.shard.machines.get('m000')!;
  const isQuarantined = () => machineState.faultStatus === 'quarantined';
  const isInService = () => machineState.lifecycle === 'in-service';
  planCapacity(fleetInput(fleet));
  assert.ok(isQuarantined() && !isInService(), 'two jobs failed on the only machine');
  for (let i = 1; i < 4; i++) fleet.store.add(machine(`m00${i}`));
  fleet.shard.sync(fleet.store, fleet.now);
  fleet.run(25_000);
  assert.ok(!isQuarantined() && isInService(), 'the jobs fail on other machines, too');
});
