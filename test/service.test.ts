import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { after, before, test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import pino from 'pino';
import { parseOperator } from '../src/config/operator.js';
import type { PlatformConfig } from '../src/config/platform.js';
import { CborClient, type Answer } from '../src/http.js';
import { Service } from '../src/service.js';
import { FakeCloud } from './standins/cloud.js';
import { Link } from './standins/link.js';
import { FakeState } from './standins/state.js';
import { Ground } from './standins/worker.js';

/** Three whole controllers on loopback, with stand-ins for everything round them. */
const NAMES = ['n0', 'n1', 'n2'];
const RUN_MS = 1500;
const LEASE_S = 4;

const freePort = (): Promise<number> =>
  new Promise((resolve) => {
    const s = createServer().listen(0, '127.0.0.1', () => {
      const { port } = s.address() as AddressInfo;
      s.close(() => resolve(port));
    });
  });

const ground = new Ground();
const state = new FakeState();
let cloud: FakeCloud;
const configs: PlatformConfig[] = [];
/** every way between n2 and the state service or the other nodes; its workers and users are not cut */
const links: Link[] = [];
const link = async (target: string): Promise<string> => {
  const l = new Link();
  links.push(l);
  await l.open(target);
  return l.address;
};
const cutN2 = (cut: boolean): void => {
  for (const l of links) l.cut = cut;
};
const services = new Map<string, Service>();
const clients = new Map<string, CborClient>();

const start = async (name: string): Promise<void> => {
  const config = configs.find((c) => c.node === name)!;
  const service = new Service(config, parseOperator('', ''), pino({ level: 'silent' }));
  services.set(name, service);
  await service.start();
};
const kill = (name: string): void => {
  services.get(name)?.close();
  services.delete(name);
};

const call = async (node: string, method: string, path: string, body?: unknown): Promise<Answer> =>
  clients.get(node)!.call(method, path, body, 3000);

const until = async (what: string, seconds: number, check: () => Promise<boolean> | boolean) => {
  const end = Date.now() + seconds * 1000;
  while (!(await check())) {
    assert.ok(Date.now() < end, `not within ${seconds} s: ${what}`);
    await sleep(100);
  }
};
const ready = (node: string) => async () => {
  try {
    return (await call(node, 'GET', '/ready')).status === 200;
  } catch {
    return false;
  }
};
const statusOf = async (node: string, uid: string) => {
  const a = await call(node, 'GET', `/submissions/${uid}`);
  return a.status === 200 ? (a.body as { Status: string }).Status : String(a.status);
};

let count = 0;
const submission = (over: object = {}) => ({
  Uid: `job-${String(++count).padStart(6, '0')}`,
  Jobclass: 'c',
  Owner: 't',
  Shape: 'batch',
  Rank: 'normal',
  Pieces: 4,
  Vcpus: 4,
  Cards: 1,
  MemGb: 8,
  Bundle: 'i',
  ImageGb: 1,
  OneZone: false,
  Spread: false,
  Reclaimable: true,
  GuessS: 2,
  SnapshotEveryS: 0,
  SnapshotS: 0,
  ...over,
});
const submit = async (node: string, body = submission()): Promise<string> => {
  await until(`${body.Uid} accepted`, 15, async () => {
    const a = await call(node, 'POST', '/submissions', body).catch(() => null);
    return a?.status === 201 || a?.status === 200;
  });
  return body.Uid;
};
const done = (node: string, uid: string, seconds = 25) =>
  until(`${uid} done`, seconds, async () => (await statusOf(node, uid)) === 'done');

before(async () => {
  await state.start();
  const ports = await Promise.all([1, 2, 3, 4, 5, 6].map(freePort));
  const listen = (i: number) => `127.0.0.1:${ports[i]}`;
  cloud = new FakeCloud(
    ground,
    NAMES.map((n, i) => [n, listen(i)]),
    RUN_MS,
    LEASE_S * 1000,
  );
  await cloud.start();
  const stateOfN2 = await link(state.address);
  const fromN2 = [await link(listen(3)), await link(listen(4))];
  const toN2 = await link(listen(5));
  const peerAddress = (node: string, peer: number) => {
    if (node === 'n2') return fromN2[peer]!;
    return peer === 2 ? toN2 : listen(peer + 3);
  };
  NAMES.forEach((node, i) => {
    configs.push({
      node,
      zone: 'z',
      listen: listen(i),
      peerListen: listen(i + 3),
      peers: NAMES.flatMap((n, p) =>
        n === node ? [] : [{ node: n, address: peerAddress(node, p) }],
      ),
      cloud: cloud.address,
      state: node === 'n2' ? stateOfN2 : state.address,
      nodes: 3,
      zones: ['z'],
      teams: new Map([['t', { name: 't', cpus: 0, gpus: 0, cpusMax: 0, gpusMax: 0 }]]),
      objectives: [],
      workers: { reportS: 0.5, leaseS: LEASE_S, gangWaitS: 10, gangPeerS: 2, cancelS: 8 },
      stateLimits: {
        rps: 600,
        writeRps: 300,
        valueBytes: 8192,
        transactionOps: 8,
        next: { rps: 600, writeRps: 300 },
      },
      cloudLimits: { rps: 60, listLagS: 0.2 },
      sockets: 1000,
    });
    clients.set(node, new CborClient(listen(i), 4));
  });
  await Promise.all(NAMES.map(start));
  for (const n of NAMES) await until(`${n} ready`, 10, ready(n));
});

after(() => {
  for (const n of NAMES) kill(n);
  for (const c of clients.values()) c.close();
  for (const l of links) l.close();
  cloud.close();
  state.close();
});

test('a job runs, is done at every node, and a repeat gets its final state', async () => {
  const body = submission();
  await submit('n0', body);
  await done('n1', body.Uid);
  for (const n of NAMES) {
    assert.equal(await statusOf(n, body.Uid), 'done');
    // Whatever the rest of its body says, also if that could never run.
    for (const over of [{}, { Vcpus: 1000 }, { Pieces: 'x' }]) {
      const a = await call(n, 'POST', '/submissions', { ...body, ...over });
      assert.equal(a.status, 200);
      assert.equal((a.body as { Status: string }).Status, 'done');
    }
  }
  assert.equal(ground.completed.get(body.Uid)?.size, 4);
});

test('refusals: table', async () => {
  const cases: [string, number, unknown][] = [
    ['malformed', 400, submission({ Pieces: -1 })],
    ['unknown team', 422, submission({ Owner: 'nobody' })],
    ['fits no machine', 422, submission({ Vcpus: 99 })],
  ];
  for (const [name, status, body] of cases) {
    assert.equal((await call('n0', 'POST', '/submissions', body)).status, status, name);
  }
  assert.equal(await statusOf('n0', 'job-999999'), '404');
  assert.equal(await statusOf('n0', 'nonsense'), '404');
  assert.equal((await call('n0', 'POST', '/submissions/job-999999/withdraw')).status, 404);
});

test('a cancelled job is cancelled at every node, and its tasks are gone soon', async () => {
  const uid = await submit('n0', submission({ Pieces: 40 }));
  await until('some of it runs', 20, () => [...ground.on.keys()].some((k) => k.startsWith(uid)));
  const a = await call('n2', 'POST', `/submissions/${uid}/withdraw`);
  assert.deepEqual([a.status, (a.body as { Status: string }).Status], [200, 'cancelled']);
  for (const n of NAMES) assert.equal(await statusOf(n, uid), 'cancelled');
  const running = () => [...ground.on].some(([k, m]) => k.startsWith(uid) && m.size > 0);
  await until('its tasks are gone', 5, () => !running());
  await sleep(1000);
  assert.equal(running(), false);
  assert.equal(await statusOf('n1', uid), 'cancelled');
});

test('a node dies and returns: its work goes on elsewhere', async () => {
  const uids = await Promise.all(NAMES.map((n) => submit(n, submission({ Pieces: 8 }))));
  kill('n1');
  for (const uid of uids) await done('n0', uid, 40);
  await start('n1');
  await until('n1 ready', 10, ready('n1'));
  await done('n1', await submit('n1'));
});

test('all nodes die at once: nothing accepted is lost', async () => {
  const uids = await Promise.all(NAMES.map((n) => submit(n, submission({ Pieces: 6 }))));
  for (const n of NAMES) kill(n);
  await Promise.all(NAMES.map(start));
  await until('n0 ready', 10, ready('n0'));
  for (const uid of uids) await done('n0', uid, 40);
});

test('the state service is out for longer than a lease: refused at once, running work goes on', async () => {
  const before = await submit('n0');
  await done('n0', before);
  const uid = await submit('n0', submission({ Pieces: 6 }));
  state.out = true;
  const end = Date.now() + (LEASE_S + 3) * 1000;
  let refused = 0;
  while (Date.now() < end) {
    await sleep(500);
    const began = Date.now();
    const a = await call('n1', 'POST', '/submissions', submission());
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
  const uids = await Promise.all(NAMES.map((n) => submit(n, submission({ Pieces: 10 }))));
  cutN2(true);
  const began = Date.now();
  // The others take its part and do all of the work, what was on its machines included.
  for (const uid of uids) await done('n0', uid, 40);
  await until('its users are sent elsewhere', 20, async () => !(await ready('n2')()));
  assert.equal((await call('n2', 'POST', '/submissions', submission())).status, 503);
  await until('longer than any lease', 30, () => Date.now() - began > 12_000);
  cutN2(false);
  await until('n2 ready', 20, ready('n2'));
  await done('n2', await submit('n2'));
  for (const uid of uids) assert.equal(await statusOf('n2', uid), 'done');
  assert.deepEqual(ground.broken, []);
});

test('a node is back within a fraction of a second, also in the middle of a takeover', async () => {
  const uids = await Promise.all(NAMES.map((n) => submit(n, submission({ Pieces: 8 }))));
  for (const pause of [50, 200, 700]) {
    kill('n1');
    await sleep(pause);
    await start('n1');
    await sleep(300);
  }
  kill('n0');
  kill('n1');
  await sleep(100);
  await start('n0');
  await start('n1');
  for (const uid of uids) await done('n2', uid, 40);
  await until('n1 ready', 10, ready('n1'));
  await done('n1', await submit('n1'));
  assert.deepEqual(ground.broken, []);
});

test('machines die, and an answer of the cloud gets lost', async () => {
  cloud.loseAnswer = true;
  const uids = await Promise.all(NAMES.map((n) => submit(n, submission({ Pieces: 10 }))));
  await until('machines are there', 20, () => cloud.machines.size > 0);
  await sleep(1000);
  for (const name of [...cloud.machines.keys()].slice(0, 2)) cloud.kill(name);
  for (const uid of uids) await done('n0', uid, 40);
});

test('no rule was broken, and machines with nothing to do go back', async () => {
  // Rates of arrival, and with them the reserve, fade over minutes; on a busy machine all of it takes longer.
  await until('all returned', 120, () => cloud.machines.size === 0);
  assert.deepEqual(ground.broken, []);
  assert.ok(ground.started > 60);
});
