import assert from 'node:assert/strict';
import { test } from 'node:test';
import { planCapacity, type CapacityInput } from '../src/core/capacity/capacity-planner.js';
import type { Shard } from '../src/core/shard/shard.js';
import type { JobSpec, Heartbeat } from '../src/core/model.js';
import { wantedMachines } from '../src/core/capacity/wanted-machines.js';
import { job, machine, machineType, shardWith, Store } from './helpers.js';

/**
 * Jobs that were submitted with a mistake fail on every machine until their users cancel them
 * (docs/incidents/2026-12-02-faulty-jobs.md). No healthy machine is quarantined for them, they take little
 * room, and a machine that is really faulty is still found among them.
 */

const STEP_MS = 500;
const RUN_MS = 30_000;
const FAIL_MS = 3000;

interface Running {
  readonly uid: string;
  readonly index: number;
  readonly attempt: number;
  readonly endsAt: number;
  readonly why: 'done' | 'error';
}

/** Machines with workers that execute commands at once; faulty jobs fail everywhere, faulty machines everything. */
class Fleet {
  readonly store = new Store();
  readonly shard: Shard;
  readonly quarantined = new Set<string>();
  /** starts by job */
  readonly starts = new Map<string, number>();
  readonly done = new Map<string, number>();
  readonly #tasks = new Map<string, Running[]>();
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

  submit(over: Partial<JobSpec>): void {
    this.store.add(job(over));
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
      const same = (task: Running) =>
        task.uid === command.uid &&
        task.index === command.index &&
        task.attempt === command.attempt;
      if (command.op !== 'start') tasks = tasks.filter((task) => !same(task));
      else if (!tasks.some(same)) {
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
      const over = task.endsAt <= this.now;
      if (over && task.why === 'done') this.shard.markCompletionsSaved(task.uid, [task.index]);
      const state = over ? ('exited' as const) : ('running' as const);
      return { ...task, state, why: over ? task.why : null, saved: false };
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

const capacityInput = (fleet: Fleet): CapacityInput => ({
  shard: fleet.shard,
  shardCount: 1,
  types: new Map([['m', machineType()]]),
  zones: ['z'],
  objectives: [],
  classStats: new Map(),
  activeTasksElsewhere: new Map(),
  expectedJobs: [],
  pendingRentals: [],
  inBackoff: () => false,
  reserveSigma: 0,
  drainS: 45,
  idleKeepMs: 1e9,
  maxMachines: 1000,
  now: fleet.now,
});

test('no healthy machine is quarantined for faulty jobs, faulty machines are found: table', () => {
  const cases: { name: string; faulty: string[]; broken: number }[] = [
    { name: 'faulty jobs alone', faulty: [], broken: 6 },
    { name: 'one faulty machine among them', faulty: ['m003'], broken: 6 },
    { name: 'several faulty machines among them', faulty: ['m001', 'm004', 'm007'], broken: 6 },
    { name: 'faulty machines alone', faulty: ['m001', 'm004'], broken: 0 },
  ];
  for (const { name, faulty, broken } of cases) {
    const brokenJobs = Array.from({ length: broken }, (_, i) => `job-9${i}`);
    const fleet = new Fleet(20, new Set(faulty), new Set(brokenJobs));
    for (let i = 0; i < 6; i++) {
      if (i < broken) {
        const kind = i % 2 === 0 ? 'array' : 'gang';
        fleet.submit({ uid: `job-9${i}`, kind, tasks: kind === 'array' ? 16 : 1 });
      }
      for (let k = 0; k < 5; k++) fleet.submit({ uid: `job-${i}${k}`, tasks: 4 });
      fleet.run((i + 1) * 20_000);
    }
    assert.deepEqual([...fleet.quarantined].sort(), faulty, name);
  }
});

test('a faulty array takes one slot at a time and pauses ever longer; a healthy one is not held up', () => {
  const fleet = new Fleet(10, new Set(), new Set(['job-90']));
  fleet.submit({ uid: 'job-90', tasks: 40 });
  fleet.run(10_000);
  const atFirst = fleet.starts.get('job-90') ?? 0;
  fleet.submit({ uid: 'job-10', tasks: 20 });
  fleet.run(130_000);
  const later = (fleet.starts.get('job-90') ?? 0) - atFirst;
  assert.ok(later >= 1, 'it is tried again');
  assert.ok(later <= 7, `${later} starts in two minutes`);
  assert.equal(fleet.completed('job-10'), 20);
});

test('a task that runs long enough shows that a suspect array can run: the rest follows', () => {
  const fleet = new Fleet(10, new Set(['m000', 'm001']), new Set());
  fleet.submit({ uid: 'job-10', tasks: 60 });
  fleet.run(5 * RUN_MS);
  assert.equal(fleet.completed('job-10'), 60);
});

test('paused faulty jobs ask for no machines, and do not keep other shards from passing work', () => {
  const fleet = new Fleet(4, new Set(), new Set(['job-90', 'job-91']));
  fleet.submit({ uid: 'job-90', tasks: 400 });
  fleet.submit({ uid: 'job-91', kind: 'gang', tasks: 2 });
  const allPaused = () =>
    [...fleet.shard.jobs.values()].every(
      (jobState) => jobState.backoffUntil > fleet.now && jobState.placements.size === 0,
    );
  do fleet.run(fleet.now + STEP_MS);
  while (!allPaused() && fleet.now < 120_000);
  assert.ok(allPaused(), 'both pause at some time');
  assert.equal(fleet.shard.waitingTasks(0, fleet.now), 0);
  const wanted = wantedMachines(capacityInput(fleet));
  assert.deepEqual(wanted.get('m'), { ordinary: 0, spot: 0, instead: 0 });
});

test('a machine stays quarantined while older tasks complete there and other ones fail: any order', () => {
  const small = { demand: { cpus: 1, gpus: 0, memoryGb: 1 } };
  for (let offset = 2000; offset <= 6000; offset += STEP_MS) {
    const fleet = new Fleet(1, new Set(), new Set(['job-20', 'job-21', 'job-22']));
    fleet.submit({ uid: 'job-10', ...small });
    fleet.run(RUN_MS - offset);
    for (const uid of ['job-20', 'job-21']) fleet.submit({ uid, ...small });
    fleet.run(RUN_MS - offset + 2 * STEP_MS);
    fleet.submit({ uid: 'job-22', ...small });
    const machineState = fleet.shard.machines.get('m000')!;
    const verdicts: boolean[] = [];
    for (let at = fleet.now + STEP_MS; at < 2 * RUN_MS; at += STEP_MS) {
      fleet.run(at);
      verdicts.push(machineState.faultStatus === 'quarantined');
    }
    assert.equal(fleet.completed('job-10'), 1);
    const first = verdicts.indexOf(true);
    assert.ok(first >= 0, `found, ${offset} ms before`);
    assert.ok(!verdicts.slice(first).includes(false), `and stays so, ${offset} ms before`);
  }
});

test('a machine in use that was quarantined for jobs that turn out faulty is used again', () => {
  const faulty = new Set(['job-90', 'job-91']);
  const fleet = new Fleet(1, new Set(), faulty);
  fleet.submit({ uid: 'job-10', demand: { cpus: 1, gpus: 0, memoryGb: 1 } });
  fleet.run(2000);
  for (const uid of faulty) fleet.submit({ uid, demand: { cpus: 1, gpus: 0, memoryGb: 1 } });
  fleet.run(12_000);
  const machineState = fleet.shard.machines.get('m000')!;
  const isQuarantined = () => machineState.faultStatus === 'quarantined';
  const isInService = () => machineState.lifecycle === 'in-service';
  planCapacity(capacityInput(fleet));
  assert.ok(
    isQuarantined() && !isInService(),
    'two jobs failed there, and there is no other machine yet',
  );
  for (let i = 1; i < 4; i++) fleet.store.add(machine(`m00${i}`));
  fleet.shard.sync(fleet.store, fleet.now);
  fleet.run(25_000);
  assert.ok(!isQuarantined() && isInService(), 'they fail elsewhere, too');
});
