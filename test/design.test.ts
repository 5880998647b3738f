/** Formulas and decisions without state: pairs and best fit of the paper, admission, task ranges and routing. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { admit } from '../src/core/jobs/admission.js';
import { chooseShard, splitIntoRanges, decodeDone, encodeDone } from '../src/core/jobs/jobs.js';
import { TaskQueue } from '../src/core/jobs/task-queue.js';
import { shareOf, type Resources } from '../src/core/model.js';
import { ResourceSum } from '../src/core/resource-sum.js';
import {
  findComplement,
  demandDeviation,
  dominantResource,
} from '../src/core/placement/pairing.js';
import { bestFit, unusedVolume } from '../src/core/placement/unused-volume.js';
import { seededRandomInt } from '../src/random.js';
import { machineType, settings, spec } from './helpers.js';

const resources = (cpus: number, gpus: number, memoryGb: number): Resources => ({
  cpus,
  gpus,
  memoryGb,
});

test("unused volumes and best fits match the paper's example", () => {
  // The paper's C' = <25, 2, 30> is for CPU, memory and storage; which resource is which does not matter here.
  const largest = resources(25, 2, 30);
  const free = [
    resources(5, 0, 20),
    resources(10, 1, 10),
    resources(20, 2, 30),
    resources(10, 1, 8.5),
  ];
  const volumes = free.map((f) => Number(unusedVolume(f, largest).toFixed(3)));
  assert.deepEqual(volumes, [0.867, 1.233, 2.8, 1.183]);
  const vms = free.map((f, i) => ({ name: `vm${i + 1}`, free: f }));
  // Entity (3, 4) fits VM2 and VM3, entity (5, 6) fits VM2, VM3 and VM4.
  assert.equal(bestFit([vms[1]!, vms[2]!], largest)?.name, 'vm2');
  assert.equal(bestFit([vms[1]!, vms[2]!, vms[3]!], largest)?.name, 'vm4');
});

test('best fit: least unused volume, then the image, then the name', () => {
  const largest = resources(8, 2, 64);
  const candidate = (name: string, free: Resources, hasImage = false) => ({ name, free, hasImage });
  const cases: [string, ReturnType<typeof candidate>[], string | null][] = [
    ['no candidate', [], null],
    [
      'less volume comes before the image',
      [candidate('a', resources(8, 2, 64), true), candidate('b', resources(4, 1, 32))],
      'b',
    ],
    [
      'equal volume: the image decides',
      [candidate('a', resources(4, 1, 32)), candidate('b', resources(4, 1, 32), true)],
      'b',
    ],
    [
      'equal volume: the name decides',
      [candidate('b', resources(4, 1, 32)), candidate('a', resources(4, 1, 32))],
      'a',
    ],
  ];
  for (const [name, candidates, expected] of cases) {
    assert.equal(bestFit(candidates, largest)?.name ?? null, expected, name);
  }
});

test('the complement is the task with another dominant resource and the largest deviation', () => {
  // Equation (1): for each resource the squared distances of both tasks from their mean.
  assert.equal(demandDeviation(resources(6, 0, 0), resources(2, 0, 0)), 8);
  assert.equal(demandDeviation(resources(1, 2, 3), resources(1, 2, 3)), 0);
  assert.equal(dominantResource(resources(0.2, 0.5, 0.1)), 'gpus');
  const group = (item: string, share: Resources, count = 1) => ({ item, share, count });
  const cpu = resources(0.9, 0.1, 0.1);
  const cases: [string, ReturnType<typeof group>[], string | null][] = [
    ['no waiting tasks', [], null],
    [
      'tasks with the same dominant resource are never paired',
      [group('a', resources(0.5, 0.1, 0.1))],
      null,
    ],
    [
      'the largest deviation',
      [group('a', resources(0.1, 0.3, 0.1)), group('b', resources(0.1, 0.9, 0.1))],
      'b',
    ],
    [
      'a group without tasks is skipped',
      [group('a', resources(0, 1, 0), 0), group('b', resources(0, 0.2, 0))],
      'b',
    ],
    [
      'the first of equal deviations',
      [group('a', resources(0, 1, 0)), group('b', resources(0, 1, 0))],
      'a',
    ],
  ];
  for (const [name, groups, expected] of cases) {
    assert.equal(findComplement(cpu, groups)?.item ?? null, expected, name);
  }
});

test('comparing with groups finds the same complement as comparing with each task', () => {
  const random = seededRandomInt(7);
  const largest = resources(8, 2, 64);
  for (let round = 0; round < 200; round++) {
    const groups = Array.from({ length: 1 + random(6) }, (_, item) => ({
      item,
      share: shareOf(resources(random(9), random(3), random(65)), largest),
      count: random(4),
    }));
    const singleTasks = groups.flatMap((group) =>
      Array.from({ length: group.count }, () => ({ ...group, count: 1 })),
    );
    const share = shareOf(resources(random(9), random(3), random(65)), largest);
    assert.equal(findComplement(share, groups)?.item, findComplement(share, singleTasks)?.item);
  }
});

test('admission rejects jobs that can never run', () => {
  const types = [machineType(), machineType({ name: 'big', cpus: 64, zones: ['y'] })];
  const cases: [string, Parameters<typeof spec>[0], string][] = [
    ['fits a machine type', {}, 'accept'],
    ['unknown team', { team: 'nobody' }, 'unknown_team'],
    ['too large for every machine type', { demand: resources(65, 0, 1) }, 'no_machine_type'],
    [
      'large enough type is not offered in the zone',
      { demand: resources(20, 0, 1), zone: 'z' },
      'no_machine_type',
    ],
    [
      'large enough type is offered in the zone',
      { demand: resources(20, 0, 1), zone: 'y' },
      'accept',
    ],
    [
      'large enough type is not allowed',
      { demand: resources(20, 0, 1), types: ['m'] },
      'no_machine_type',
    ],
    ['an array needs the limit for one task only', { team: 'limited', tasks: 9 }, 'accept'],
    [
      'a gang needs the limit for all tasks',
      { team: 'limited', tasks: 3, kind: 'gang' },
      'over_team_limit',
    ],
    [
      'a service needs the limit for all tasks',
      { team: 'limited', tasks: 3, kind: 'service' },
      'over_team_limit',
    ],
    ['a service within the limit', { team: 'limited', tasks: 2, kind: 'service' }, 'accept'],
    ['a gang within the limit', { team: 'limited', tasks: 2, kind: 'gang' }, 'accept'],
  ];
  for (const [name, changes, expected] of cases) {
    assert.equal(admit(spec(changes), types, settings().teams), expected, name);
  }
});

test('ranges cover every task exactly once, and the bitmap of each fits a stored value', () => {
  const cases: [tasks: number, shards: number, singleShard: boolean, count: number][] = [
    [1, 3, false, 1],
    [16, 3, false, 1],
    [60, 3, false, 3],
    [60, 3, true, 1],
    [100_000, 3, false, 13],
  ];
  for (const [tasks, shards, singleShard, count] of cases) {
    const ranges = splitIntoRanges(tasks, shards, singleShard);
    assert.equal(ranges.length, count, `${tasks} tasks`);
    let next = 0;
    for (const [from, to] of ranges) {
      assert.equal(from, next);
      assert.ok(to > from && (to - from) / 4 < 8000);
      next = to;
    }
    assert.equal(next, tasks);
  }
});

test('a decoded completion bitmap holds the encoded tasks of its range', () => {
  for (const done of [[], [0], [4, 5, 9], [3, 4, 5, 6, 7, 8, 9, 10, 11, 12]]) {
    const range = { from: 3, to: 13 };
    const expected = done.filter((i) => i >= 3);
    const decoded = decodeDone(range, encodeDone(range, new Set(done)));
    assert.deepEqual([...decoded], expected);
  }
});

test('routing chooses a random shard below the threshold, or else the least loaded', () => {
  const shardLoad = (shard: number, load: number, fitsNow = false, hasImage = false) => {
    return { shard, load, fitsNow, hasImage };
  };
  const cases: [string, ReturnType<typeof shardLoad>[], number, number][] = [
    [
      'random among the shards below the threshold',
      [shardLoad(0, 0.1), shardLoad(1, 0.9), shardLoad(2, 0.2)],
      1,
      2,
    ],
    [
      'a shard where the task fits now is preferred',
      [shardLoad(0, 0.1), shardLoad(1, 0.1, true)],
      0,
      1,
    ],
    [
      'among those a shard that holds the image is preferred',
      [shardLoad(0, 0.1, true), shardLoad(1, 0.2, true, true)],
      0,
      1,
    ],
    [
      'none below the threshold: the least loaded',
      [shardLoad(0, 1.5), shardLoad(1, 0.9), shardLoad(2, 1.1)],
      0,
      1,
    ],
  ];
  for (const [name, loads, pick, expected] of cases) {
    assert.equal(
      chooseShard(loads, 0.85, (n) => pick % n),
      expected,
      name,
    );
  }
});

test('a running sum of small decimals does not drift', () => {
  const random = seededRandomInt(9);
  const amounts = [0.1, 0.0005, 1 / 3, 57, 310, 1e-9];
  const sum = new ResourceSum();
  const present: Resources[] = [];
  for (let step = 0; step < 200_000; step++) {
    if (present.length > 0 && random(2) === 0) {
      const [removed] = present.splice(random(present.length), 1);
      sum.remove(removed!);
      continue;
    }
    const amount = amounts[random(amounts.length)]!;
    const added = resources(amount, amount / 7, amount * 3);
    present.push(added);
    sum.add(added);
  }
  for (const amount of present) sum.remove(amount);
  const { cpus, gpus, memoryGb } = sum.value;
  for (const rest of [cpus, gpus, memoryGb]) assert.ok(Math.abs(rest) < 1e-12, `${rest} left`);
});

test('a task queue holds tasks that were never placed in ascending order, then returned ones', () => {
  const random = seededRandomInt(4);
  const queue = new TaskQueue();
  let ascending: number[] = [];
  let returned: number[] = [];
  for (let step = 0; step < 20_000; step++) {
    const task = random(200);
    const has = ascending.includes(task) || returned.includes(task);
    switch (random(4)) {
      case 0:
        assert.equal(queue.delete(task), has);
        ascending = ascending.filter((other) => other !== task);
        returned = returned.filter((other) => other !== task);
        break;
      case 1:
        queue.addLast(task);
        if (!has) returned.push(task);
        break;
      case 2:
        queue.add(task);
        returned = returned.filter((other) => other !== task);
        ascending = [...new Set([...ascending, task])].sort((a, b) => a - b);
        break;
      default:
        if (random(50) > 0) break;
        queue.sort();
        ascending = [...ascending, ...returned].sort((a, b) => a - b);
        returned = [];
    }
    assert.equal(queue.has(task), ascending.includes(task) || returned.includes(task));
    assert.equal(queue.first, ascending[0] ?? returned[0]);
    assert.equal(queue.size, ascending.length + returned.length);
  }
  assert.deepEqual([...queue], [...ascending, ...returned]);
});
