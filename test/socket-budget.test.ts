import { NotLeaderError, RecordedIntent } from '@sumacstep/leader-election';
import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { CloudClient } from '../src/cloud/cloud-client.js';
import { CborClient } from '../src/transport/http.js';
import { InboundConnections, socketBudget } from '../src/service/socket-budget.js';
import { encodeCbor } from '../src/wire/cbor.js';
import { authorization, job, LEASE_MS, machine, shardWith, Store } from './helpers.js';
import { StandInServer } from './standins/server.js';
import { FakeWorker, World } from './standins/worker.js';

/** A survivor that takes over every shard must neither run out of sockets nor leave any use without. */
const QUOTAS: { maxConnections: number; peers: number; workers: number }[] = [
  { maxConnections: 1500, peers: 6, workers: 1247 },
  { maxConnections: 2597, peers: 4, workers: 1563 },
  { maxConnections: 3000, peers: 2, workers: 60 },
  { maxConnections: 100, peers: 2, workers: 0 },
];
for (const { maxConnections, peers, workers } of QUOTAS) {
  test(`${maxConnections} sockets and ${peers} other nodes: all workers, direct commands, the rest`, () => {
    const { directCommands: direct, inboundConnections: inbound } = socketBudget(
      maxConnections,
      peers,
    );
    assert.ok(direct >= 1 && inbound >= 1);
    assert.ok(
      direct + inbound < maxConnections,
      'some are left for state service, cloud and nodes',
    );
    assert.ok(inbound > workers, 'a lone survivor hears every worker');
  });
}

test('more callers with connections that stay open than sockets: every one of them is heard', async () => {
  const maxConnections = 10;
  const callers = 40;
  let connections: InboundConnections | null = null;
  const server = createServer((request, response) => {
    connections?.beforeResponse(response);
    request.resume();
    request.on('end', () => response.end(encodeCbor({ ok: true })));
  });
  connections = new InboundConnections(server, maxConnections);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const clients = Array.from({ length: callers }, () => new CborClient(`127.0.0.1:${port}`, 1));
  const heard = new Set<number>();
  /** As a worker does: the next try after a refused connection. */
  const call = async (client: CborClient, i: number) => {
    const answer = await client.call('GET', '/', undefined, 2000).catch(() => null);
    if (answer?.status === 200) heard.add(i);
  };
  try {
    for (let round = 0; round < 20 && heard.size < callers; round++) {
      await Promise.all(clients.map((client, i) => call(client, i)));
    }
    assert.equal(heard.size, callers);
  } finally {
    for (const client of clients) client.close();
    server.close();
    server.closeAllConnections();
  }
});

test('direct commands go to so many machines at once; the rest is told by answers', () => {
  const names = Array.from({ length: 30 }, (_, i) => `m${i}`);
  const store = new Store().add(...names.map((n) => machine(n)));
  const shard = shardWith(store);
  const world = new World();
  for (const n of names) {
    const w = new FakeWorker(n, world, 1000, LEASE_MS, 0, 'z', 'm', `${n}:1`);
    w.fencingToken = 1;
    shard.handleHeartbeat(w.heartbeat(), 0, true);
  }
  store.add(job({ tasks: 60 }));
  shard.sync(store, 100);
  shard.placeAll(100);
  const first = shard.directCommands(100, 20);
  assert.equal(first.length, 20);
  assert.equal(shard.directCommands(100, 0).length, 0);
  const rest = shard.directCommands(200, 20);
  assert.equal(rest.length, 10, 'what had no socket comes next');
  const tasks = [...first, ...rest].flatMap((c) => c.starts.map((p) => p.index));
  assert.equal(new Set(tasks).size, 60);
});

/** A process that stood still finds its calls as it left them, but not its authority. */
for (const what of ['rent', 'returnMachines'] as const) {
  test(`${what}: authority lost while the call waited for its turn`, async () => {
    const asked: string[] = [];
    const server = new StandInServer();
    await server.listen((r) => {
      asked.push(r.path);
      return { status: 200, body: { Hosts: [] } };
    });
    let now = 0;
    const cloud = new CloudClient(server.address, 1, () => now);
    let may = true;
    const rental = { request: 'r', type: 'm', zone: 'z', spot: false, count: 1 };
    const held = authorization('parts/0', 1, 1, () => may);
    const intent = RecordedIntent.fromStored(held, { key: 'hires/0/r', revision: 2 });
    const call = () =>
      what === 'rent' ? cloud.rent(rental, intent) : cloud.returnMachines(['a'], held);
    try {
      await call();
      const before = asked.length;
      // No token is left: the call waits, and meanwhile the process stands still for a minute.
      const waiting = call();
      may = false;
      now = 60_000;
      await assert.rejects(waiting, NotLeaderError);
      assert.equal(asked.length, before, 'nothing was sent');
    } finally {
      cloud.close();
      server.close();
    }
  });
}
