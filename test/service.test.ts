import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { Cluster } from './standins/cluster.js';

/** Three whole controllers on loopback, with stand-ins for everything round them. */
const LEASE_S = 4;

const c = new Cluster({ runMs: 1500, leaseS: LEASE_S, cancelS: 8 });
const { nodes: NAMES, world, store: state } = c;
const until = c.waitUntil.bind(c);
const call = c.call.bind(c);
const statusOf = c.statusOf.bind(c);
const ready = (node: string) => () => c.isReady(node);
const submit = (node: string, over: Record<string, unknown> = {}) => c.submit(node, over);
const done = (node: string, uid: string, seconds = 25) =>
  until(`${uid} done`, seconds, async () => (await statusOf(node, uid)) === 'done');

before(() => c.open());
after(() => c.close());

test('a job runs, is done at every node, and a repeat gets its final state', async () => {
  const body = c.submission();
  await submit('n0', body);
  await done('n1', body.Uid);
  for (const n of NAMES) {
    assert.equal(await statusOf(n, body.Uid), 'done');
    // Whatever the rest of its body says, also if that could never run.
    for (const over of [{}, { Vcpus: 1000 }, { Pieces: 'x' }]) {
      const a = await c.sendUserRequest(n, 'submit', body.Uid, { ...body, ...over });
      assert.equal(a?.status, 200);
      assert.equal((a.body as { Status: string }).Status, 'done');
    }
  }
  assert.equal(world.completed.get(body.Uid)?.size, 4);
});

test('refusals: table', async () => {
  const cases: [string, number, unknown][] = [
    ['malformed', 400, c.submission({ Pieces: -1 })],
    ['unknown team', 422, c.submission({ Owner: 'nobody' })],
    ['fits no machine', 422, c.submission({ Vcpus: 99 })],
  ];
  for (const [name, status, body] of cases) {
    assert.equal((await call('n0', 'POST', '/submissions', body)).status, status, name);
  }
  assert.equal(await statusOf('n0', 'job-999999'), '404');
  assert.equal(await statusOf('n0', 'nonsense'), '404');
  assert.equal((await call('n0', 'POST', '/submissions/job-999999/withdraw')).status, 404);
});

test('a cancelled job is cancelled at every node, and its tasks are gone soon', async () => {
  const uid = await submit('n0', { Pieces: 40 });
  await until('some of it runs', 20, () =>
    [...world.runningOn.keys()].some((k) => k.startsWith(uid)),
  );
  const a = await c.sendUserRequest('n2', 'withdraw', uid);
  assert.deepEqual([a?.status, (a?.body as { Status: string }).Status], [200, 'cancelled']);
  for (const n of NAMES) assert.equal(await statusOf(n, uid), 'cancelled');
  const running = () => [...world.runningOn].some(([k, m]) => k.startsWith(uid) && m.size > 0);
  await until('its tasks are gone', 5, () => !running());
  await sleep(1000);
  assert.equal(running(), false);
  assert.equal(await statusOf('n1', uid), 'cancelled');
});

test('a node dies and returns: its work goes on elsewhere', async () => {
  const uids = await Promise.all(NAMES.map((n) => submit(n, { Pieces: 8 })));
  c.kill('n1');
  for (const uid of uids) await done('n0', uid, 40);
  await c.start('n1');
  await until('n1 ready', 10, ready('n1'));
  await done('n1', await submit('n1'));
});

test('all nodes die at once: nothing accepted is lost', async () => {
  const uids = await Promise.all(NAMES.map((n) => submit(n, { Pieces: 6 })));
  for (const n of NAMES) c.kill(n);
  await Promise.all(NAMES.map((n) => c.start(n)));
  await until('n0 ready', 10, ready('n0'));
  for (const uid of uids) await done('n0', uid, 40);
});

test('the state service is out for longer than a lease: refused at once, running work goes on', async () => {
  const before = await submit('n0');
  await done('n0', before);
  const uid = await submit('n0', { Pieces: 6 });
  state.unavailable = true;
  const end = Date.now() + (LEASE_S + 3) * 1000;
  let refused = 0;
  while (Date.now() < end) {
    await sleep(500);
    const began = Date.now();
    const a = await call('n1', 'POST', '/submissions', c.submission());
    if (a.status === 503) refused += 1;
    assert.notEqual(a.status, 201);
    assert.ok(Date.now() - began < 2500, 'nobody is held waiting');
  }
  assert.ok(refused > 5);
  assert.equal(await statusOf('n0', before), 'done', 'a final state needs no read');
  state.recover();
  await done('n2', uid, 30);
});

test('a node loses state service and other nodes, but not its workers', async () => {
  const uids = await Promise.all(NAMES.map((n) => submit(n, { Pieces: 10 })));
  c.partitionFromStore('n2', true);
  c.partitionFromPeers('n2', true);
  const began = Date.now();
  // The others take its shard and do all of the work, what was on its machines included.
  for (const uid of uids) await done('n0', uid, 40);
  await until('its users are sent elsewhere', 20, async () => !(await ready('n2')()));
  assert.equal((await call('n2', 'POST', '/submissions', c.submission())).status, 503);
  await until('longer than any lease', 30, () => Date.now() - began > 12_000);
  c.partitionFromStore('n2', false);
  c.partitionFromPeers('n2', false);
  await until('n2 ready', 20, ready('n2'));
  await done('n2', await submit('n2'));
  for (const uid of uids) assert.equal(await statusOf('n2', uid), 'done');
  assert.deepEqual(world.violations, []);
});

test('a node is back within a fraction of a second, also in the middle of a takeover', async () => {
  const uids = await Promise.all(NAMES.map((n) => submit(n, { Pieces: 8 })));
  for (const pause of [50, 200, 700]) {
    c.kill('n1');
    await sleep(pause);
    await c.start('n1');
    await sleep(300);
  }
  c.kill('n0');
  c.kill('n1');
  await sleep(100);
  await c.start('n0');
  await c.start('n1');
  for (const uid of uids) await done('n2', uid, 40);
  await until('n1 ready', 10, ready('n1'));
  await done('n1', await submit('n1'));
  assert.deepEqual(world.violations, []);
});

test('machines die, and an answer of the cloud gets lost', async () => {
  c.cloud.losesNextRentalResponse = true;
  const uids = await Promise.all(NAMES.map((n) => submit(n, { Pieces: 10 })));
  await until('machines are there', 20, () => c.cloud.machines.size > 0);
  await sleep(1000);
  for (const name of [...c.cloud.machines.keys()].slice(0, 2)) c.cloud.kill(name);
  for (const uid of uids) await done('n0', uid, 40);
});

test('no rule was broken, and machines with nothing to do go back', async () => {
  // Rates of arrival, and with them the reserve, fade over minutes; on a busy machine all of it takes longer.
  await until('all returned', 120, () => c.cloud.machines.size === 0);
  assert.deepEqual(world.violations, []);
  assert.ok(world.starts > 60);
});
