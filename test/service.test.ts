/** End-to-end tests: three whole nodes on loopback, with stand-ins for store, cloud, workers and users. */
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { Cluster } from './standins/cluster.js';

const LEASE_S = 4;

const cluster = new Cluster({ runMs: 1500, leaseS: LEASE_S, cancelS: 8 });
const { nodes: NODES, world, store: state } = cluster;
const until = cluster.waitUntil.bind(cluster);
const call = cluster.call.bind(cluster);
const statusOf = cluster.statusOf.bind(cluster);
const isReady = (node: string) => () => cluster.isReady(node);
const submit = (node: string, overrides: Record<string, unknown> = {}) =>
  cluster.submit(node, overrides);
const waitUntilDone = (node: string, uid: string, seconds = 25) =>
  until(`${uid} done`, seconds, async () => (await statusOf(node, uid)) === 'done');

before(() => cluster.open());
after(() => cluster.close());

test('a completed job is done at every node, and repeated submissions return its final state', async () => {
  const body = cluster.submission();
  await submit('n0', body);
  await waitUntilDone('n1', body.Uid);
  for (const node of NODES) {
    assert.equal(await statusOf(node, body.Uid), 'done');
    // The rest of the repeated body does not matter, even if it could never run or is malformed.
    for (const overrides of [{}, { Vcpus: 1000 }, { Pieces: 'x' }]) {
      const answer = await cluster.sendUserRequest(node, 'submit', body.Uid, {
        ...body,
        ...overrides,
      });
      assert.equal(answer?.status, 200);
      assert.equal((answer.body as { Status: string }).Status, 'done');
    }
  }
  assert.equal(world.completed.get(body.Uid)?.size, 4);
});

test('malformed or inadmissible submissions and requests for unknown jobs are refused', async () => {
  const cases: [string, number, unknown][] = [
    ['malformed', 400, cluster.submission({ Pieces: -1 })],
    ['unknown team', 422, cluster.submission({ Owner: 'nobody' })],
    ['fits no machine', 422, cluster.submission({ Vcpus: 99 })],
  ];
  for (const [name, status, body] of cases) {
    assert.equal((await call('n0', 'POST', '/submissions', body)).status, status, name);
  }
  assert.equal(await statusOf('n0', 'job-999999'), '404');
  assert.equal(await statusOf('n0', 'nonsense'), '404');
  assert.equal((await call('n0', 'POST', '/submissions/job-999999/withdraw')).status, 404);
});

test('a cancelled job is cancelled at every node, and its tasks stop within seconds', async () => {
  const uid = await submit('n0', { Pieces: 40 });
  await until('some tasks run', 20, () =>
    [...world.runningOn.keys()].some((task) => task.startsWith(uid)),
  );
  const answer = await cluster.sendUserRequest('n2', 'withdraw', uid);
  assert.deepEqual(
    [answer?.status, (answer?.body as { Status: string }).Status],
    [200, 'cancelled'],
  );
  for (const node of NODES) assert.equal(await statusOf(node, uid), 'cancelled');
  const isRunning = () =>
    [...world.runningOn].some(([task, machines]) => task.startsWith(uid) && machines.size > 0);
  await until('its tasks have stopped', 5, () => !isRunning());
  await sleep(1000);
  assert.equal(isRunning(), false);
  assert.equal(await statusOf('n1', uid), 'cancelled');
});

test('a node crashes and restarts: other nodes complete its jobs, and it accepts jobs again', async () => {
  const uids = await Promise.all(NODES.map((node) => submit(node, { Pieces: 8 })));
  cluster.kill('n1');
  for (const uid of uids) await waitUntilDone('n0', uid, 40);
  await cluster.start('n1');
  await until('n1 ready', 10, isReady('n1'));
  await waitUntilDone('n1', await submit('n1'));
});

test('all nodes crash at once: every accepted job completes after their restart', async () => {
  const uids = await Promise.all(NODES.map((node) => submit(node, { Pieces: 6 })));
  for (const node of NODES) cluster.kill(node);
  await Promise.all(NODES.map((node) => cluster.start(node)));
  await until('n0 ready', 10, isReady('n0'));
  for (const uid of uids) await waitUntilDone('n0', uid, 40);
});

test('the store is down for longer than a worker lease: submissions are refused fast, running tasks go on', async () => {
  const completed = await submit('n0');
  await waitUntilDone('n0', completed);
  const uid = await submit('n0', { Pieces: 6 });
  state.unavailable = true;
  const end = Date.now() + (LEASE_S + 3) * 1000;
  let refused = 0;
  while (Date.now() < end) {
    await sleep(500);
    const sentAt = Date.now();
    const answer = await call('n1', 'POST', '/submissions', cluster.submission());
    if (answer.status === 503) refused += 1;
    assert.notEqual(answer.status, 201);
    assert.ok(Date.now() - sentAt < 2500, 'no user waits long for the refusal');
  }
  assert.ok(refused > 5);
  assert.equal(await statusOf('n0', completed), 'done', 'a final state in memory needs no read');
  state.recover();
  await waitUntilDone('n2', uid, 30);
});

test('a node loses store and peers, but not its workers: others take over its shard, it recovers afterwards', async () => {
  const uids = await Promise.all(NODES.map((node) => submit(node, { Pieces: 10 })));
  cluster.partitionFromStore('n2', true);
  cluster.partitionFromPeers('n2', true);
  const cutAt = Date.now();
  // The other nodes take over its shard and complete all jobs, including the tasks on its machines.
  for (const uid of uids) await waitUntilDone('n0', uid, 40);
  await until('n2 not ready', 20, async () => !(await isReady('n2')()));
  assert.equal((await call('n2', 'POST', '/submissions', cluster.submission())).status, 503);
  await until('the partition has outlasted every lease', 30, () => Date.now() - cutAt > 12_000);
  cluster.partitionFromStore('n2', false);
  cluster.partitionFromPeers('n2', false);
  await until('n2 ready', 20, isReady('n2'));
  await waitUntilDone('n2', await submit('n2'));
  for (const uid of uids) assert.equal(await statusOf('n2', uid), 'done');
  assert.deepEqual(world.violations, []);
});

test('nodes restart within a fraction of a second, also during a takeover: every job completes', async () => {
  const uids = await Promise.all(NODES.map((node) => submit(node, { Pieces: 8 })));
  for (const pause of [50, 200, 700]) {
    cluster.kill('n1');
    await sleep(pause);
    await cluster.start('n1');
    await sleep(300);
  }
  cluster.kill('n0');
  cluster.kill('n1');
  await sleep(100);
  await cluster.start('n0');
  await cluster.start('n1');
  for (const uid of uids) await waitUntilDone('n2', uid, 40);
  await until('n1 ready', 10, isReady('n1'));
  await waitUntilDone('n1', await submit('n1'));
  assert.deepEqual(world.violations, []);
});

test('machines fail and a response of the cloud is lost: every job completes', async () => {
  cluster.cloud.losesNextRentalResponse = true;
  const uids = await Promise.all(NODES.map((node) => submit(node, { Pieces: 10 })));
  await until('machines are rented', 20, () => cluster.cloud.machines.size > 0);
  await sleep(1000);
  for (const name of [...cluster.cloud.machines.keys()].slice(0, 2)) cluster.cloud.kill(name);
  for (const uid of uids) await waitUntilDone('n0', uid, 40);
});

test('no invariant was violated so far, and idle machines are returned', async () => {
  // The estimated arrival rates, and with them the reserved capacity, decay over minutes; on a busy host it takes longer.
  await until('all machines returned', 120, () => cluster.cloud.machines.size === 0);
  assert.deepEqual(world.violations, []);
  assert.ok(world.starts > 60);
});
