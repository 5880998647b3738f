import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FORGET_DELAY_MAX_MS } from '../src/core/shard/constants.js';
import type { Command } from '../src/core/model.js';
import type { Shard } from '../src/core/shard/shard.js';
import { job, LEASE_MS, machine, shardWith, Store } from './helpers.js';
import { FakeWorker, World } from './standins/worker.js';

const RUN_MS = 60_000;
const workers = (names: string[], world = new World(), over: { zone?: string }[] = []) =>
  names.map((n, i) => new FakeWorker(n, world, RUN_MS, LEASE_MS, 0, over[i]?.zone));

/** One report and its answer; the commands that were given. */
const beat = (shard: Shard, w: FakeWorker, now: number, mayStart = true): readonly Command[] => {
  w.advance(now);
  const r = w.heartbeat();
  // The loop of the service, which runs several times in a second.
  if (mayStart) shard.placeAll(now);
  const result = shard.handleHeartbeat(r, now, mayStart);
  if (result.kind !== 'answer') return [];
  w.answered(shard.term, result.commands, now, r.agentEpoch);
  return result.commands;
};
const starts = (commands: readonly Command[]) =>
  commands.filter((c) => c.op === 'start').map((c) => `${c.uid}/${c.index}`);
const running = (w: FakeWorker) =>
  [...w.tasks.values()].filter((t) => t.state === 'running').map((t) => `${t.uid}/${t.index}`);

test('nothing starts before a report has come under our term, nor without authority', () => {
  const shard = shardWith(new Store().add(machine('a'), job()));
  const [a] = workers(['a']);
  assert.deepEqual(starts(beat(shard, a!, 1000)), [], 'the first answer only brings our term');
  assert.deepEqual(starts(beat(shard, a!, 1500, false)), [], 'no authority');
  assert.deepEqual(starts(beat(shard, a!, 2000)), ['job-000001/0']);
  assert.deepEqual(starts(beat(shard, a!, 2500)), [], 'it is there: no second start');
});

test('nothing starts on a machine whose record does not say that it is up', () => {
  const store = new Store().add(machine('a', { up: false }), job());
  const shard = shardWith(store);
  const [a] = workers(['a']);
  beat(shard, a!, 0);
  assert.deepEqual(starts(beat(shard, a!, 600)), []);
  assert.deepEqual(
    shard.newlyReadyMachines().map((m) => m.record.name),
    ['a'],
  );
  store.add(machine('a'));
  shard.sync(store, 700);
  assert.deepEqual(starts(beat(shard, a!, 1200)), ['job-000001/0']);
});

test('an answer that the worker dropped: the same attempt is given again', () => {
  const shard = shardWith(new Store().add(machine('a'), job()));
  const [a] = workers(['a']);
  beat(shard, a!, 0);
  const lost = shard.handleHeartbeat(a!.heartbeat(), 600, true);
  assert.equal(lost.kind, 'answer');
  const again = beat(shard, a!, 4600);
  assert.deepEqual(starts(again), ['job-000001/0']);
  assert.deepEqual(lost.kind === 'answer' ? lost.commands : [], again);
});

test('a completion is forgotten by its worker only once it is saved', () => {
  const shard = shardWith(new Store().add(machine('a'), job()));
  const [a] = workers(['a']);
  beat(shard, a!, 0);
  beat(shard, a!, 600);
  const before = beat(shard, a!, 600 + RUN_MS / 6);
  assert.deepEqual(before, []);
  for (let t = 12_000; t <= 63_000; t += 3000) beat(shard, a!, t);
  const [t] = [...a!.tasks.values()];
  assert.equal(t?.why, 'done');
  assert.deepEqual(beat(shard, a!, 65_000), [], 'not saved yet');
  shard.completionsSaved('job-000001', [0]);
  const told: number[] = [];
  for (let t = 66_000; t <= 90_000; t += 2000) if (beat(shard, a!, t).length > 0) told.push(t);
  assert.deepEqual(told, [66_000 + FORGET_DELAY_MAX_MS], 'an order of its own costs a report');
});

test('workers forget completed tasks along with other orders', () => {
  const store = new Store().add(machine('a'), job({ tasks: 2 }));
  const shard = shardWith(store);
  const [a] = workers(['a']);
  beat(shard, a!, 0);
  beat(shard, a!, 600);
  for (let t = 3000; t <= RUN_MS + 3000; t += 3000) beat(shard, a!, t);
  shard.completionsSaved('job-000001', [0, 1]);
  const at = RUN_MS + 6000;
  assert.deepEqual(beat(shard, a!, at), []);
  store.add(job({ uid: 'job-000002' }));
  shard.sync(store, at + 500);
  assert.deepEqual(
    beat(shard, a!, at + 1000).map((c) => c.op),
    ['start', 'forget', 'forget'],
  );
});

test('a completion that stays listed is no news: a machine that fails everything is quarantined', () => {
  const store = new Store().add(machine('a'), job());
  const shard = shardWith(store);
  const [a] = workers(['a']);
  beat(shard, a!, 0);
  beat(shard, a!, 600);
  for (let t = 3000; t <= RUN_MS + 3000; t += 3000) beat(shard, a!, t);
  assert.equal([...a!.tasks.values()][0]?.why, 'done');
  a!.faulty = true;
  const at = RUN_MS + 6000;
  ['job-000002', 'job-000003'].forEach((uid, i) => {
    const from = at + i * 5000;
    shard.sync(store.add(job({ uid })), from);
    for (let t = from; t < from + 5000; t += 500) beat(shard, a!, t);
  });
  assert.ok(
    [...a!.tasks.values()].some((t) => t.why === 'done'),
    'not saved, so still listed',
  );
  assert.ok(shard.machines.get('a')?.quarantined);
});

test('a silent machine: its tasks go elsewhere only when its lease has surely run out', () => {
  const world = new World();
  const shard = shardWith(new Store().add(machine('a'), machine('b'), job()));
  const [a, b] = workers(['a', 'b'], world);
  beat(shard, a!, 0);
  beat(shard, a!, 600);
  beat(shard, b!, 600);
  assert.deepEqual(running(a!), ['job-000001/0']);
  for (let t = 3000; t < LEASE_MS; t += 3000) {
    shard.expireLeases(t);
    assert.deepEqual(starts(beat(shard, b!, t)), [], `at ${t} the task may still run`);
  }
  const late = LEASE_MS + 3000;
  a!.advance(late);
  shard.expireLeases(late);
  assert.deepEqual(starts(beat(shard, b!, late)), ['job-000001/0']);
  assert.deepEqual(world.broken, []);
});

test('a new owner starts nothing inherited before every machine answered or was returned', () => {
  const world = new World();
  const store = new Store().add(machine('a'), machine('b'), job());
  const old = shardWith(store, 1);
  const [a, b] = workers(['a', 'b'], world);
  beat(old, a!, 0);
  beat(old, a!, 600);
  assert.deepEqual(running(a!), ['job-000001/0']);
  const shard = shardWith(store.add(job({ uid: 'job-000002' }, 2)), 2, {}, 5000);
  beat(shard, b!, 5000);
  const given = starts(beat(shard, b!, 5600));
  assert.deepEqual(given, ['job-000002/0'], 'a job of our own term may start, an old one not');
  const returned = shardWith(store, 3, {}, 9000);
  beat(returned, b!, 9000);
  assert.deepEqual(starts(beat(returned, b!, 9600)), []);
  a!.vanish();
  returned.removeMachine('a', 9700);
  assert.deepEqual(starts(beat(returned, b!, 10_200)), ['job-000001/0']);
  assert.deepEqual(world.broken, []);
});

test('a new owner takes running tasks into its state instead of starting them again', () => {
  const store = new Store().add(machine('a'), machine('b'), job());
  const old = shardWith(store, 1);
  const [a, b] = workers(['a', 'b']);
  beat(old, a!, 0);
  beat(old, a!, 600);
  const shard = shardWith(store, 2, {}, 5000);
  for (const w of [a!, b!]) beat(shard, w, 5000);
  for (const w of [a!, b!]) assert.deepEqual(starts(beat(shard, w, 5600)), []);
  assert.equal(shard.jobs.get('job-000001')?.placements.size, 1);
  assert.equal(
    old.handleHeartbeat(a!.heartbeat(), 6000, true).kind,
    'superseded',
    'the old owner learns of it',
  );
});

test('late and repeated messages', () => {
  const shard = shardWith(new Store().add(machine('a'), job()));
  const [a] = workers(['a']);
  beat(shard, a!, 0);
  const held = a!.heartbeat();
  beat(shard, a!, 600);
  const result = shard.handleHeartbeat(held, 5000, true);
  assert.deepEqual(result, { kind: 'old' }, 'an older report changes nothing');
  assert.equal(shard.jobs.get('job-000001')?.placements.size, 1);
});

test('a direct start without an answer is never given elsewhere, nor forgotten by its worker', () => {
  const world = new World();
  const shard = shardWith(new Store().add(machine('a'), machine('b'), job()));
  const [a, b] = workers(['a', 'b'], world);
  for (const w of [a!, b!]) beat(shard, w, 0);
  for (const w of [a!, b!]) shard.handleCommandStatus(w.heartbeat(), 100);
  shard.placeAll(200);
  const [direct] = shard.directCommands(200);
  const target = direct!.machine.record.name === 'a' ? a! : b!;
  const other = target === a ? b! : a!;
  assert.deepEqual(starts(direct!.commands), ['job-000001/0']);
  assert.deepEqual(starts(beat(shard, other, 1000)), [], 'in doubt: not elsewhere');
  assert.deepEqual(starts(beat(shard, target, 1000)), ['job-000001/0'], 'same attempt by report');
  shard.jobs.get('job-000001')!.ended = true;
  const stop = shard.jobs.get('job-000001')!.placements.get(0)!;
  shard.requestStop(stop, 0, 2000);
  for (let t = 3000; t < 12_000; t += 3000) beat(shard, target, t);
  assert.equal(target.tasks.size, 1, 'the ended attempt stays listed');
  target.direct(shard.term, target.agentEpoch, direct!.commands);
  assert.deepEqual(running(target), [], 'so the late command finds it and does nothing');
  assert.deepEqual(world.broken, []);
});

test('a direct start that surely never left may be given elsewhere', () => {
  const shard = shardWith(new Store().add(machine('a'), job()));
  const [a] = workers(['a']);
  beat(shard, a!, 0);
  shard.handleCommandStatus(a!.heartbeat(), 100);
  shard.placeAll(200);
  const [direct] = shard.directCommands(200);
  shard.directStartsSettled(direct!.starts, false);
  shard.expireLeases(20_000);
  assert.equal(shard.jobs.get('job-000001')?.placements.size, 0);
});

test('a cancelled job is stopped, and what waits of it never starts', () => {
  const store = new Store().add(machine('a'), job({ tasks: 5 }));
  const shard = shardWith(store);
  const [a] = workers(['a']);
  beat(shard, a!, 0);
  beat(shard, a!, 600);
  assert.equal(running(a!).length, 2);
  store.jobs.clear();
  shard.sync(store, 1000);
  const [direct] = shard.directCommands(1000);
  assert.deepEqual(
    direct?.commands.map((c) => c.op),
    ['stop', 'stop'],
    'without waiting',
  );
  beat(shard, a!, 1500);
  assert.deepEqual(running(a!), []);
  assert.deepEqual(starts(beat(shard, a!, 2000)), []);
  assert.equal(shard.jobs.size, 0);
});

test('every start passes one check of place: table', () => {
  const z = machine('a');
  const cases: [string, Parameters<typeof job>[0], Parameters<typeof machine>[1], number][] = [
    ['allowed', {}, {}, 1],
    ['type', { types: ['other'] }, {}, 0],
    ['zone', { zone: 'y' }, {}, 0],
    ['kind', { spot: false }, { spot: true }, 0],
    ['spot is allowed', { spot: true }, { spot: true }, 1],
    ['room', { demand: { cpus: 9, gpus: 0, memoryGb: 1 } }, {}, 0],
    ['as many as fit', { tasks: 5 }, {}, 2],
    ['team limit', { tasks: 5, team: 'limited', demand: { cpus: 3, gpus: 0, memoryGb: 1 } }, {}, 2],
    ['half of a spread job in a zone', { tasks: 2, spread: true }, {}, 1],
    ['half rounded up', { tasks: 3, spread: true }, {}, 2],
    ['a gang needs room for all', { tasks: 3, kind: 'gang' }, {}, 0],
    ['a gang that fits', { tasks: 2, kind: 'gang' }, {}, 2],
  ];
  for (const [name, spec, over, want] of cases) {
    const shard = shardWith(new Store().add({ ...z, ...over }, job(spec)));
    const [a] = workers(['a']);
    beat(shard, a!, 0);
    assert.equal(starts(beat(shard, a!, 600)).length, want, name);
  }
});

test('a gang in one zone, with one attempt number', () => {
  const store = new Store().add(
    machine('a', { zone: 'y' }),
    machine('b', { zone: 'z' }),
    machine('c', { zone: 'z' }),
    job({ kind: 'gang', tasks: 4, oneZone: true }),
  );
  const shard = shardWith(store);
  const [a, b, c] = workers(['a', 'b', 'c'], new World(), [{ zone: 'y' }, {}, {}]);
  for (const w of [a!, b!, c!]) beat(shard, w, 0);
  const given = [a!, b!, c!].flatMap((w) => beat(shard, w, 600));
  const more = [a!, b!, c!].flatMap((w) => beat(shard, w, 1200));
  assert.equal(new Set([...given, ...more].map((g) => g.attempt)).size, 1);
  assert.deepEqual(
    [a!, b!, c!].map((w) => running(w).length),
    [0, 2, 2],
  );
});

test('a gang that lost a task restarts only when all of it is gone', () => {
  const world = new World();
  const store = new Store().add(
    machine('a'),
    machine('b'),
    machine('c'),
    job({ kind: 'gang', tasks: 4 }),
  );
  const shard = shardWith(store);
  const [a, b, c] = workers(['a', 'b', 'c'], world);
  for (const w of [a!, b!]) beat(shard, w, 0);
  for (const w of [a!, b!]) beat(shard, w, 600);
  for (const w of [a!, b!]) beat(shard, w, 1200);
  assert.equal(running(a!).length + running(b!).length, 4);
  beat(shard, c!, 1200);
  b!.vanish();
  shard.removeMachine('b', 2000);
  assert.deepEqual(starts(beat(shard, c!, 2500)), [], 'half of the old attempt is still there');
  beat(shard, a!, 3000);
  beat(shard, a!, 3600);
  const again = [...starts(beat(shard, c!, 4200)), ...running(a!)];
  assert.ok(again.length >= 2);
  assert.deepEqual(world.broken, []);
});

test('preemption: lower rank makes room, equal rank does not', () => {
  const whole = { cpus: 8, gpus: 2, memoryGb: 8 };
  const cases: [string, Parameters<typeof job>[0], Parameters<typeof job>[0], boolean][] = [
    ['lower rank', { priority: 'low' }, { priority: 'normal' }, true],
    ['equal rank', { priority: 'normal' }, { priority: 'normal' }, false],
    ['higher rank', { priority: 'high' }, { priority: 'normal' }, false],
    ['for a guarantee', { priority: 'normal' }, { priority: 'normal', team: 'owed' }, true],
    ['owed, but not a guest', { team: 'owed' }, { team: 'owed' }, false],
  ];
  for (const [name, victim, guest, want] of cases) {
    const store = new Store().add(machine('a'), job({ ...victim, tasks: 2 }));
    const shard = shardWith(store);
    const [a] = workers(['a']);
    beat(shard, a!, 0);
    beat(shard, a!, 600);
    beat(shard, a!, 1200);
    assert.equal(running(a!).length, 2);
    store.add(job({ ...guest, uid: 'job-000002', demand: whole }));
    shard.sync(store, 2000);
    const stops = beat(shard, a!, 2000).filter((c) => c.op === 'stop');
    assert.equal(stops.length > 0, want, name);
    if (!want) continue;
    beat(shard, a!, 2600);
    beat(shard, a!, 3200);
    assert.deepEqual(running(a!), ['job-000002/0'], name);
  }
});

test('a machine that fails tasks of different jobs is quarantined, a failing job is paused', () => {
  const store = new Store().add(
    machine('a'),
    machine('b'),
    job({ tasks: 2 }),
    job({ uid: 'job-000002' }),
  );
  const shard = shardWith(store);
  const [a] = workers(['a']);
  a!.faulty = true;
  beat(shard, a!, 0);
  for (let t = 600; t < 6000; t += 600) beat(shard, a!, t);
  assert.equal(shard.machines.get('a')?.quarantined, true);
  const bad = shardWith(new Store().add(machine('a'), machine('b'), machine('c'), job()));
  const all = workers(['a', 'b', 'c']);
  let given = 0;
  for (const w of all) w.faulty = true;
  for (let t = 0; t < 30_000; t += 600)
    for (const w of all) given += starts(beat(bad, w, t)).length;
  assert.equal(given, 3, 'tried on each machine once, not again and again');
  assert.equal([...bad.machines.values()].filter((m) => m.quarantined).length, 0);
});

test('on notice nothing starts, and what can save is stopped in time to', () => {
  const store = new Store().add(
    machine('a', { spot: true }),
    job({ checkpointS: 10, saveS: 2 }),
    job({ uid: 'job-000002' }),
  );
  const shard = shardWith(store);
  const [a] = workers(['a']);
  beat(shard, a!, 0);
  beat(shard, a!, 600);
  beat(shard, a!, 1200);
  assert.equal(running(a!).length, 2);
  a!.noticeS = 8;
  store.add(job({ uid: 'job-000003' }));
  shard.sync(store, 2000);
  const commands = beat(shard, a!, 2000);
  assert.deepEqual(
    commands.map((c) => `${c.op} ${c.uid}`),
    ['stop job-000001'],
  );
});

test('what may pass to another shard: table', () => {
  const cases: [string, Parameters<typeof job>[0], number, [number, number] | null][] = [
    ['all of an array that never ran', { tasks: 5 }, 0, [0, 5]],
    ['the end behind the last placed task', { tasks: 5 }, 1, [2, 5]],
    ['a gang that runs stays', { tasks: 2, kind: 'gang' }, 1, null],
    ['a gang that waits goes whole', { tasks: 5, kind: 'gang' }, 1, [0, 5]],
    ['a job bound to a zone stays once it runs', { tasks: 5, oneZone: true }, 1, null],
  ];
  for (const [name, over, machines, want] of cases) {
    const record = job(over);
    const store = new Store().add(record);
    if (machines > 0) store.add(machine('a'));
    const shard = shardWith(store);
    const [a] = workers(['a']);
    if (machines > 0) for (const t of [0, 600, 1200]) beat(shard, a!, t);
    const state = shard.jobs.get('job-000001')!;
    const found = shard.migratable(state, record);
    assert.deepEqual(found === null ? null : [found.from, found.range.to], want, name);
    if (found === null) continue;
    shard.beginMigration(state, found.from, found.range.to);
    shard.placeAll(2000);
    assert.equal(state.waitingTasks.length, 0, 'nothing of it starts meanwhile');
    assert.equal(shard.migratable(state, record), null, 'nor passes twice');
    shard.endMigration(state, false, 3000);
    assert.equal(
      state.waitingTasks.length,
      found.range.to - found.from,
      'a refusal brings it back',
    );
  }
  const inherited = job({ tasks: 2 }, 1);
  const later = shardWith(new Store().add(inherited, machine('a')), 2);
  const state = later.jobs.get('job-000001')!;
  assert.equal(later.migratable(state, inherited), null, 'it may be running on a silent machine');
});

// A machine emptied for a gang stood idle for 24 s after the gang had found room elsewhere.
test('a machine held for a job is free again once the job has found room elsewhere', () => {
  const whole = { cpus: 8, gpus: 2, memoryGb: 8 };
  const store = new Store().add(machine('a'), job({ priority: 'low', tasks: 2 }));
  const shard = shardWith(store);
  const [a, b] = workers(['a', 'b']);
  for (const t of [0, 600, 1200]) beat(shard, a!, t);
  store.add(job({ uid: 'job-000002', priority: 'high', demand: whole }), machine('b'));
  shard.sync(store, 2000);
  shard.placeAll(2000);
  assert.equal(shard.machines.get('a')?.reservation?.uid, 'job-000002');
  for (const t of [2000, 2600]) beat(shard, b!, t);
  assert.deepEqual(running(b!), ['job-000002/0']);
  shard.placeAll(3000);
  assert.equal(shard.machines.get('a')?.reservation, null);
});

// Two gangs of Dublin missed their aim by a fetch of 15 s, though a machine with the image was full of
// small tasks that save in 6 s: their losses were added up as if each took a whole machine.
test('room is made where the image is, if that costs less than the fetch', () => {
  const whole = { cpus: 8, gpus: 2, memoryGb: 8 };
  const low = { priority: 'low' as const, checkpointS: 5, saveS: 6 };
  const store = new Store().add(
    machine('a'),
    machine('b'),
    job({ ...low, uid: 'job-000001', tasks: 3 }),
  );
  const shard = shardWith(store, 1, {
    imagesOf: (m) => (m === 'b' ? new Map([['big', 10]]) : new Map<string, number>()),
  });
  const [a, b] = workers(['a', 'b']);
  for (const t of [0, 600, 1200]) for (const w of [a!, b!]) beat(shard, w, t);
  const full = [a!, b!].map((w) => running(w).length);
  assert.deepEqual([...full].sort(), [1, 2]);
  const gang = { uid: 'job-000002', kind: 'gang' as const, demand: whole };
  store.add(job({ ...gang, image: 'big', imageGb: 10 }));
  shard.sync(store, 2000);
  shard.placeAll(2000);
  assert.equal(shard.machines.get('b')?.reservation?.uid, 'job-000002');
});

test('a team with a limit starts nothing while what runs for it is not all known', () => {
  const small = { team: 'limited', demand: { cpus: 4, gpus: 0, memoryGb: 1 }, tasks: 2 };
  const store = new Store().add(machine('a'), machine('b'), job(small));
  const old = shardWith(store, 1);
  const [a, b] = workers(['a', 'b']);
  for (const t of [0, 600, 1200]) beat(old, a!, t);
  assert.equal(running(a!).length, 2);
  // Its job is cancelled while the shard changes hands; its tasks still run for a moment.
  store.jobs.clear();
  const shard = shardWith(store.add(job({ ...small, uid: 'job-000002' }, 2)), 2, {}, 5000);
  for (const t of [5000, 5600]) assert.deepEqual(starts(beat(shard, b!, t)), [], 'a is not known');
  beat(shard, a!, 5700);
  shard.handleCommandStatus(a!.heartbeat(), 6000);
  assert.deepEqual(starts(beat(shard, b!, 6200)), [], 'and then being stopped');
  for (const t of [6300, 6900]) beat(shard, a!, t);
  assert.equal(running(a!).length + running(b!).length > 0, true, 'then it goes on');
});
