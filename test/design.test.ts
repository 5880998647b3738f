import assert from 'node:assert/strict';
import { test } from 'node:test';
import { admit } from '../src/core/jobs/admission.js';
import { chooseShard, splitIntoRanges, decodeDone, encodeDone } from '../src/core/jobs/jobs.js';
import { shareOf, type Resources } from '../src/core/model.js';
import {
  findComplement,
  demandDeviation,
  dominantResource,
} from '../src/core/placement/pairing.js';
import { bestFit, unusedVolume } from '../src/core/placement/unused-volume.js';
import { seededRandomInt } from '../src/random.js';
import { machineType, settings, spec } from './helpers.js';

const r = (cpus: number, gpus: number, memoryGb: number): Resources => ({ cpus, gpus, memoryGb });

test("volumes and choices of the paper's example", () => {
  // The paper's C' = <25, 2, 30> for CPU, memory, storage; the order of resources does not matter.
  const largest = r(25, 2, 30);
  const free = [r(5, 0, 20), r(10, 1, 10), r(20, 2, 30), r(10, 1, 8.5)];
  const volumes = free.map((f) => Number(unusedVolume(f, largest).toFixed(3)));
  assert.deepEqual(volumes, [0.867, 1.233, 2.8, 1.183]);
  const vms = free.map((f, i) => ({ name: `vm${i + 1}`, free: f }));
  // Entity (3, 4) fits VM2 and VM3, entity (5, 6) fits VM2, VM3 and VM4.
  assert.equal(bestFit([vms[1]!, vms[2]!], largest)?.name, 'vm2');
  assert.equal(bestFit([vms[1]!, vms[2]!, vms[3]!], largest)?.name, 'vm4');
});

test('most matched machine: ties', () => {
  const largest = r(8, 2, 64);
  const m = (name: string, free: Resources, hasImage = false) => ({ name, free, hasImage });
  const cases: [string, ReturnType<typeof m>[], string | null][] = [
    ['none fits', [], null],
    ['least volume beats the image', [m('a', r(8, 2, 64), true), m('b', r(4, 1, 32))], 'b'],
    ['equal: the image', [m('a', r(4, 1, 32)), m('b', r(4, 1, 32), true)], 'b'],
    ['equal: the name', [m('b', r(4, 1, 32)), m('a', r(4, 1, 32))], 'a'],
  ];
  for (const [name, candidates, want] of cases) {
    assert.equal(bestFit(candidates, largest)?.name ?? null, want, name);
  }
});

test('deviation and complement: table', () => {
  // Equation (1): two gaps from the mean for each resource.
  assert.equal(demandDeviation(r(6, 0, 0), r(2, 0, 0)), 8);
  assert.equal(demandDeviation(r(1, 2, 3), r(1, 2, 3)), 0);
  assert.equal(dominantResource(r(0.2, 0.5, 0.1)), 'gpus');
  const g = (item: string, share: Resources, count = 1) => ({ item, share, count });
  const cpu = r(0.9, 0.1, 0.1);
  const cases: [string, ReturnType<typeof g>[], string | null][] = [
    ['nobody waits', [], null],
    ['the same dominant resource never pairs', [g('a', r(0.5, 0.1, 0.1))], null],
    ['largest deviation', [g('a', r(0.1, 0.3, 0.1)), g('b', r(0.1, 0.9, 0.1))], 'b'],
    ['a group without tasks is passed over', [g('a', r(0, 1, 0), 0), g('b', r(0, 0.2, 0))], 'b'],
    ['the earliest of equals', [g('a', r(0, 1, 0)), g('b', r(0, 1, 0))], 'a'],
  ];
  for (const [name, groups, want] of cases) {
    assert.equal(findComplement(cpu, groups)?.item ?? null, want, name);
  }
});

test('comparing groups gives what comparing each with each gives', () => {
  const random = seededRandomInt(7);
  const largest = r(8, 2, 64);
  for (let round = 0; round < 200; round++) {
    const groups = Array.from({ length: 1 + random(6) }, (_, item) => ({
      item,
      share: shareOf(r(random(9), random(3), random(65)), largest),
      count: random(4),
    }));
    const single = groups.flatMap((x) =>
      Array.from({ length: x.count }, () => ({ ...x, count: 1 })),
    );
    const share = shareOf(r(random(9), random(3), random(65)), largest);
    assert.equal(findComplement(share, groups)?.item, findComplement(share, single)?.item);
  }
});

test('admission: table', () => {
  const types = [machineType(), machineType({ name: 'big', cpus: 64, zones: ['y'] })];
  const cases: [string, Parameters<typeof spec>[0], string][] = [
    ['fits', {}, 'accept'],
    ['unknown team', { team: 'nobody' }, 'unknown_team'],
    ['too large for any', { demand: r(65, 0, 1) }, 'no_machine_type'],
    ['large one is not in this zone', { demand: r(20, 0, 1), zone: 'z' }, 'no_machine_type'],
    ['large one is in that zone', { demand: r(20, 0, 1), zone: 'y' }, 'accept'],
    ['type not allowed', { demand: r(20, 0, 1), types: ['m'] }, 'no_machine_type'],
    ['an array counts one task', { team: 'limited', tasks: 9 }, 'accept'],
    ['a gang counts all', { team: 'limited', tasks: 3, kind: 'gang' }, 'over_team_limit'],
    ['a service counts all', { team: 'limited', tasks: 3, kind: 'service' }, 'over_team_limit'],
    ['a service within the limit', { team: 'limited', tasks: 2, kind: 'service' }, 'accept'],
    ['a gang within the limit', { team: 'limited', tasks: 2, kind: 'gang' }, 'accept'],
  ];
  for (const [name, over, want] of cases) {
    assert.equal(admit(spec(over), types, settings().teams), want, name);
  }
});

test('ranges cover every task once, within the size of a value', () => {
  const cases: [number, number, boolean, number][] = [
    [1, 3, false, 1],
    [16, 3, false, 1],
    [60, 3, false, 3],
    [60, 3, true, 1],
    [100_000, 3, false, 13],
  ];
  for (const [tasks, shards, whole, count] of cases) {
    const ranges = splitIntoRanges(tasks, shards, whole);
    assert.equal(ranges.length, count, `${tasks} tasks`);
    let at = 0;
    for (const [from, to] of ranges) {
      assert.equal(from, at);
      assert.ok(to > from && (to - from) / 4 < 8000);
      at = to;
    }
    assert.equal(at, tasks);
  }
});

test('completion bitmaps keep what was put in', () => {
  for (const done of [[], [0], [4, 5, 9], [3, 4, 5, 6, 7, 8, 9, 10, 11, 12]]) {
    const range = { from: 3, to: 13 };
    const wanted = done.filter((i) => i >= 3);
    const back = decodeDone(range, encodeDone(range, new Set(done)));
    assert.deepEqual([...back], wanted);
  }
});

test('routing: random under the threshold, else the least loaded', () => {
  const load = (shard: number, l: number, fitsNow = false, hasImage = false) => {
    return { shard, load: l, fitsNow, hasImage };
  };
  const cases: [string, ReturnType<typeof load>[], number, number][] = [
    ['random among the light', [load(0, 0.1), load(1, 0.9), load(2, 0.2)], 1, 2],
    ['light, but it fits elsewhere only', [load(0, 0.1), load(1, 0.1, true)], 0, 1],
    ['an image at hand', [load(0, 0.1, true), load(1, 0.2, true, true)], 0, 1],
    ['all heavy: the least', [load(0, 1.5), load(1, 0.9), load(2, 1.1)], 0, 1],
  ];
  for (const [name, loads, pick, want] of cases) {
    assert.equal(
      chooseShard(loads, 0.85, (n) => pick % n),
      want,
      name,
    );
  }
});
