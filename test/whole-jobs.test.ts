/**
 * Jobs all of whose tasks have to belong to one shard, stored in several ranges: they migrate whole or not at all, and
 * start nowhere while an earlier version has left them divided (docs/incidents/2026-12-06-divided-job.md).
 */
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { describe, test, type TestContext } from 'node:test';
import type { Write } from '@sumacstep/leader-election';
import { USUAL_BOOT_FACTOR } from '../src/core/capacity/constants.js';
import { encodeDone, maxRangeTasks } from '../src/core/jobs/jobs.js';
import { isDivided, requiresSingleShard } from '../src/core/jobs/single-shard.js';
import type { JobRecord, JobSpec } from '../src/core/model.js';
import { ATTEMPTS_PER_TERM } from '../src/core/shard/constants.js';
import { seededRandomInt } from '../src/random.js';
import * as limits from '../src/shards/constants.js';
import * as scenes from './controller-scene.js';
import { job, machineType, settings } from './helpers.js';

const { JOB, JOB_KEY, TERM } = scenes;
type Scene = scenes.ControllerScene;
type Kind = Partial<JobSpec>;

const ONE_ZONE: Kind = { oneZone: true };
const GANG: Kind = { kind: 'gang' };
const SERVICE: Kind = { kind: 'service', oneZone: true };
const LIMITED: Kind = { team: 'limited' };
const KINDS = new Map([
  ['OneZone', ONE_ZONE],
  ['Spread', { spread: true }],
  ['gang', GANG],
  ['service', SERVICE],
]);
const USUAL_VALUE_BYTES = 8192;
const SMALL_VALUE_BYTES = 700;

/** Returns a job whose ranges have `size` tasks and lie in these shards, one after the other. */
const jobInRanges = (kind: Kind, size: number, shards: readonly number[]): JobRecord => {
  const ranges = shards.map((shard, index) => {
    const from = index * size;
    return { from, to: from + size, shard, term: shard === 0 ? TERM - 1 : TERM };
  });
  return { ...job({ ...kind, tasks: size * shards.length }), ranges };
};

/** Returns the bitmaps of the job's ranges of that size, by their names in a slot. */
const bitmapsOf = (done: ReadonlySet<number>, { ranges }: JobRecord) =>
  Object.fromEntries(ranges.map((range) => [`${JOB}/${range.from}`, encodeDone(range, done)]));

const shardsOf = (scene: Scene): number[] => (scene.ranges() ?? []).map(({ shard }) => shard);

const writesJob = (write?: Write): write is Extract<Write, { put: string }> =>
  write !== undefined && 'put' in write && write.put.startsWith('active/');

/** Returns a scene without other live nodes that is closed after the test, or its retries would go on for ever. */
const openScene = (t: TestContext, options: scenes.ControllerSceneOptions = {}): Scene => {
  const scene = new scenes.ControllerScene({ ...options, isAlone: true });
  t.after(() => {
    scene.controller.close();
  });
  return scene;
};

/** Time after which a whole job migrates to room, is balanced, or no longer waits for a machine that boots. */
const ROOM_S = limits.MIGRATION_DELAY_MS / 1000;
const BALANCED_S = limits.BALANCING_DELAY_MS / 1000;
const LATE_S = machineType().bootS * USUAL_BOOT_FACTOR;

/** Priority of an array that waits, too, and whether the machine of the shard, which takes two tasks, boots. */
type Setting = { rival?: JobSpec['priority']; boots?: boolean; valueBytes?: number };
type Ranges = readonly [size: number, count: number];
/** `room`: tasks for which shard 0 has room; null: it has none, but is allocated less. `leavesAtS`: null: never. */
type MoveTimes = [room: number | null, leavesAtS: number | null];
type MigrationCase = [name: string, kind: Kind, ...[Ranges, ...MoveTimes, Setting?]];

const ofEachKind = (suffix: string, ...rest: [Ranges, ...MoveTimes, Setting?]): MigrationCase[] =>
  [...KINDS].map(([name, kind]) => [`${name}, ${suffix}`, kind, ...rest]);
const smallValues: Setting = { valueBytes: SMALL_VALUE_BYTES };
const smallRanges: Ranges = [maxRangeTasks(SMALL_VALUE_BYTES), 3];

const MIGRATION_CASES: MigrationCase[] = [
  // review/2: the balancing moved one range of two, and the job ran in two zones.
  ...ofEachKind('balanced', [8192, 2], null, BALANCED_S),
  ...ofEachKind('balanced, small values', smallRanges, null, BALANCED_S, smallValues),
  ['room for a part of an array', ONE_ZONE, [100, 3], 24, ROOM_S],
  ['room for a part of a service', SERVICE, [4, 2], 3, ROOM_S],
  ['room for a part of a gang', GANG, [16, 2], 24, null],
  ['room for all of a gang', GANG, [16, 2], 32, ROOM_S],
  ['more ranges than may be added', ONE_ZONE, [16, 70], 8, ROOM_S],
  ['a record over the limit of a value stays', ONE_ZONE, [16, 40], 8, null, smallValues],
  ['a team with a limit stays in its shard', LIMITED, [16, 2], 32, null],
  // Balancing comes sooner than a machine boots: jobs went back and forth, and each shard rented anew.
  ...ofEachKind('its machine boots', [1, 2], null, LATE_S, { boots: true }),
  ['a gang of more than boots', GANG, [1, 3], null, BALANCED_S, { boots: true }],
  ['for a more urgent job', ONE_ZONE, [1, 2], null, BALANCED_S, { boots: true, rival: 'high' }],
  ['for a less urgent job', ONE_ZONE, [1, 2], null, LATE_S, { boots: true, rival: 'low' }],
  ['room for as many as boot', ONE_ZONE, [4, 2], 2, ROOM_S, { boots: true }],
  ['room for fewer than boot', ONE_ZONE, [4, 2], 1, LATE_S, { boots: true }],
  ['room for all of a gang that boots', GANG, [1, 2], 2, ROOM_S, { boots: true }],
];

describe('a job that requires a single shard migrates with all of its ranges or not at all', () => {
  for (const [name, kind, [size, count], room, leavesAtS, setting = {}] of MIGRATION_CASES) {
    test(name, async (t) => {
      const { boots = false, rival, valueBytes = USUAL_VALUE_BYTES } = setting;
      const record = jobInRanges(kind, size, new Array<number>(count).fill(1));
      const machineX = { up: !boots };
      const scene = openScene(t, { record, machineX, storeLimits: { valueBytes } });
      if (rival !== undefined) {
        const other = job({ uid: 'job-000002', tasks: 2, priority: rival }, TERM, 1);
        scene.showChanges(22, [scenes.jobChange(other, 22)]);
      }
      if (room === null) scene.lessAllocatedShard = 0;
      else scene.shardWithFreeCapacity = { shard: 0, tasks: room };
      let leftAtS: number | null = null;
      for (let now = 0; now <= (LATE_S + 1) * 1000 && leftAtS === null; now += 500) {
        await scene.tickAt(now);
        const shards = new Set(shardsOf(scene));
        assert.equal(shards.size, 1, `divided at ${now} ms`);
        if (shards.has(0)) leftAtS = now / 1000;
      }
      const delayS = (leftAtS ?? Infinity) - (leavesAtS ?? Infinity);
      assert.ok(leftAtS === leavesAtS || (delayS > 0 && delayS <= 1), `left at ${leftAtS} s`);
      const records = scene.written.flat().filter((w) => writesJob(w) && w.put === JOB_KEY);
      assert.equal(records.length, leavesAtS === null ? 0 : 1, 'one transaction');
    });
  }
});

describe('each task and completion of a whole job is in one shard', { concurrency: true }, () => {
  for (const [name, isCarriedOut, isAnswered] of [
    ['its migration is answered', true, true],
    ['the answer is lost', true, false],
    ['the transaction is lost', false, false],
  ] as const) {
    test(name, async (t) => {
      const done = new Set([0, 1, 17]);
      // No machine of the scene is in this zone.
      const record = jobInRanges({ ...ONE_ZONE, zone: 'y' }, 16, [1, 1]);
      const scene = openScene(t, { record, completions: bitmapsOf(done, record) });
      scene.shardWithFreeCapacity = { shard: 0, tasks: 8 };
      scene.outcome = ([write]) => {
        if (isAnswered) return { ok: true, epoch: 40 };
        scene.outcome = () => ({ ok: false, failed: [JOB_KEY] });
        const value = writesJob(write) ? write.value : null;
        if (isCarriedOut) scene.stored = { key: JOB_KEY, value, revision: 40 };
        return scenes.noAnswer();
      };
      const stateIn = (shard: number) => scene.owned(shard)?.shard.jobs.get(JOB);
      await scene.tickAt(limits.MIGRATION_DELAY_MS + 1);
      assert.equal(stateIn(1)?.waitingTasks.size, 0, 'none starts meanwhile');
      await sleep(isAnswered ? 0 : 1200);
      scene.tick();
      const home = isCarriedOut ? 0 : 1;
      assert.deepEqual(shardsOf(scene), [home, home]);
      assert.equal(stateIn(1 - home), undefined);
      assert.equal(stateIn(home)?.waitingTasks.size, 32 - done.size);
      assert.deepEqual([...(stateIn(home)?.savedCompletions ?? [])], [...done]);
    });
  }
});

/** Shards of the ranges as an earlier version left them and in the end; whether tasks start on machine x of shard 1. */
type DividedCase = [string, Kind, shards: number[], united: number[], Starts, done?: number[]];
type Starts = readonly [before: boolean, after: boolean];

const NEVER = [false, false] as const;
const DIVIDED_CASES: DividedCase[] = [
  ...[...KINDS].flatMap(([name, kind]): DividedCase[] => [
    [`${name}, begun elsewhere`, kind, [0, 1], [0, 0], NEVER],
    [`${name}, begun here`, kind, [1, 0], [1, 1], [false, true]],
  ]),
  ['a team with a limit', LIMITED, [0, 1], [0, 0], NEVER],
  ['ranges of two shards in turn', ONE_ZONE, [0, 1, 0, 1], [0, 0, 0, 0], NEVER],
  ['a range that is complete in part', ONE_ZONE, [0, 1], [0, 0], NEVER, [3]],
  ['a range that is complete', ONE_ZONE, [0, 1], [0, 0], NEVER, [2, 3]],
  ['an ordinary array may be in two shards', {}, [0, 1], [0, 1], [true, true]],
];

// Each owner would choose a zone by itself.
describe('a divided job starts nowhere before it is reunited', { concurrency: true }, () => {
  for (const valueBytes of [USUAL_VALUE_BYTES, SMALL_VALUE_BYTES]) {
    for (const [name, kind, shards, united, [before, after], done = []] of DIVIDED_CASES) {
      test(`${name}, values of ${valueBytes} bytes`, async (t) => {
        const demand = { cpus: 1, gpus: 0, memoryGb: 1 };
        const record = jobInRanges({ ...kind, demand }, 2, shards);
        const completions = bitmapsOf(new Set(done), record);
        const outcome = scenes.noAnswer;
        const scene = openScene(t, { record, completions, outcome, storeLimits: { valueBytes } });
        let hasStarted = false;
        const starts = async (now: number): Promise<boolean> => {
          scene.now = now;
          scene.heartbeat();
          await scene.tickAt(now);
          hasStarted ||= (scene.owned(1)?.shard.machines.get('x')?.tasks.size ?? 0) > 0;
          return hasStarted;
        };
        assert.equal(await starts(1), before, 'before the reunion is answered');
        assert.deepEqual(shardsOf(scene), shards);
        scene.outcome = () => ({ ok: true, epoch: 50 });
        await sleep(500);
        scene.showChanges(60);
        assert.equal(await starts(limits.MIGRATION_INTERVAL_MS + 2), after, 'after it');
        assert.deepEqual(shardsOf(scene), united);
        const reunited = scene.owned(united[0]!)?.shard.jobs.get(JOB);
        assert.equal(reunited?.savedCompletions.size, done.length);
      });
    }
  }
});

// Replicas never end, so a divided service would stay divided; tasks of an array do, and keep their work.
test('replicas of a divided service are stopped outside its home shard, tasks of an array are not', async (t) => {
  for (const kind of [SERVICE, ONE_ZONE]) {
    const { ranges, ...rest } = jobInRanges(kind, 2, [0, 1]);
    const record = { ...rest, ranges: ranges.map((range) => ({ ...range, term: 1 })) };
    const scene = openScene(t, { record, machineX: { term: 1 } });
    const attempt = { uid: JOB, index: 2, attempt: ATTEMPTS_PER_TERM + 1 };
    const tasks = [{ ...attempt, state: 'running', why: null, saved: false }] as const;
    scene.heartbeat({ tasks });
    await scene.tickAt(limits.MIGRATION_INTERVAL_MS);
    const response = scene.heartbeat({ tasks });
    const stops = response.kind === 'answer' ? response.commands.map(({ op }) => op) : [];
    assert.deepEqual(stops, kind === SERVICE ? ['stop'] : []);
    assert.deepEqual(shardsOf(scene), [0, 1], 'a task of it is still here');
    scene.heartbeat();
    await scene.tickAt(3 * limits.MIGRATION_INTERVAL_MS);
    assert.deepEqual(shardsOf(scene), [0, 0], 'the last one is gone');
  }
});

/** Plays random migrations between two shards, some of which meet a conflict, and checks the jobs after each round. */
const playRandomMigrations = async (t: TestContext, seed: number): Promise<void> => {
  const random = seededRandomInt(seed);
  const pick = <T>(values: readonly T[]): T => values[random(values.length)]!;
  const scene = openScene(t);
  let revision = 60;
  const kinds = [...KINDS.values(), LIMITED, {}, { kind: 'service' } as const];
  const jobs = Array.from({ length: 6 }, (_, index) => {
    const shards = Array.from({ length: 1 + random(4) }, () => random(2));
    const demand = { cpus: 1 + random(9), gpus: 0, memoryGb: 1 };
    const kind = { ...pick(kinds), uid: `job-00010${index}`, demand, zone: pick([null, 'y']) };
    return scenes.jobChange(jobInRanges(kind, 4, shards), revision + 1);
  });
  scene.showChanges(++revision, jobs);
  scene.outcome = ([write]) => {
    if (writesJob(write) && random(4) === 0) return { ok: false, failed: [JOB_KEY] };
    return { ok: true, epoch: ++revision };
  };
  const whole = new Set<string>();
  for (let now = 0; now < 70_000; now += 500 * (1 + random(6))) {
    scene.shardWithFreeCapacity = pick([null, { shard: random(2), tasks: 1 + random(20) }]);
    scene.lessAllocatedShard = pick([null, 0, 1]);
    scene.now = now;
    if (random(3) > 0) scene.heartbeat();
    await scene.tickAt(now);
    scene.showChanges(++revision);
    for (const [uid, { value: record }] of scene.cache.tables.activeJobs) {
      const { spec, ranges } = record;
      const context = `seed ${seed}, ${now} ms, ${uid}`;
      const starts = [...ranges.map(({ from }) => from), spec.tasks];
      assert.deepEqual(starts, [0, ...ranges.map(({ to }) => to)], `${context}: ranges`);
      if (!requiresSingleShard(spec, settings().teams.get(spec.team))) continue;
      if (!isDivided(record)) whole.add(uid);
      else {
        assert.ok(!whole.has(uid), `${context}: a whole job was divided`);
        const states = [0, 1].map((shard) => scene.owned(shard)?.shard.jobs.get(uid));
        const placed = states.some((state) => (state?.placements.size ?? 0) > 0);
        assert.ok(!placed, `${context}: a divided job has started`);
      }
    }
  }
};

// Guards against any path on which a whole job is divided, or starts while it is: seeds are fixed.
test('random migrations never divide a job that requires a single shard, nor start a divided one', async (t) => {
  for (let seed = 1; seed <= 60; seed++) await playRandomMigrations(t, seed);
});
