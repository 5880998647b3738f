/** Limits on sockets, direct commands and queued cloud calls. */
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

/** The only surviving node, which takes over every shard, needs sockets for all workers and for each other use. */
const CASES: { maxSockets: number; peers: number; workers: number }[] = [
  { maxSockets: 1500, peers: 6, workers: 1247 },
  { maxSockets: 2597, peers: 4, workers: 1563 },
  { maxSockets: 3000, peers: 2, workers: 60 },
  { maxSockets: 100, peers: 2, workers: 0 },
];
for (const { maxSockets, peers, workers } of CASES) {
  test(`${maxSockets} sockets and ${peers} peers suffice for ${workers} workers, direct commands and all other uses`, () => {
    const { directCommands, inboundConnections } = socketBudget(maxSockets, peers);
    assert.ok(directCommands >= 1 && inboundConnections >= 1);
    assert.ok(
      directCommands + inboundConnections < maxSockets,
      'sockets are left for store, cloud and peers',
    );
    assert.ok(inboundConnections > workers, 'every worker can connect to the only surviving node');
  });
}

test('more clients with persistent connections than the server allows: every client gets a response', async () => {
  const maxConnections = 10;
  const clientCount = 40;
  let connections: InboundConnections | null = null;
  const server = createServer((request, response) => {
    connections?.beforeResponse(request, response);
    request.resume();
    request.on('end', () => response.end(encodeCbor({ ok: true })));
  });
  connections = new InboundConnections(server, maxConnections);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const clients = Array.from({ length: clientCount }, () => new CborClient(`127.0.0.1:${port}`, 1));
  const served = new Set<number>();
  /** A refused connection is no failure, since workers retry as well. */
  const call = async (client: CborClient, index: number) => {
    const response = await client.call('GET', '/', undefined, 2000).catch(() => null);
    if (response?.status === 200) served.add(index);
  };
  try {
    for (let round = 0; round < 20 && served.size < clientCount; round++) {
      await Promise.all(clients.map((client, index) => call(client, index)));
    }
    assert.equal(served.size, clientCount);
  } finally {
    for (const client of clients) client.close();
    server.close();
    server.closeAllConnections();
  }
});

test('direct commands go to a limited number of machines at a time, to the others in the next round', () => {
  const names = Array.from({ length: 30 }, (_, i) => `m${i}`);
  const store = new Store().add(...names.map((n) => machine(n)));
  const shard = shardWith(store);
  const world = new World();
  for (const name of names) {
    const worker = new FakeWorker(name, world, 1000, LEASE_MS, 0, 'z', 'm', `${name}:1`);
    worker.fencingToken = 1;
    shard.handleHeartbeat(worker.heartbeat(), 0, true);
  }
  store.add(job({ tasks: 60 }));
  shard.sync(store, 100);
  shard.placeAll(100);
  const first = shard.directCommands(100, 20);
  assert.equal(first.length, 20);
  assert.equal(shard.directCommands(100, 0).length, 0);
  const rest = shard.directCommands(200, 20);
  assert.equal(rest.length, 10, 'machines that had no socket come next');
  const tasks = [...first, ...rest].flatMap((c) => c.starts.map((start) => start.attempt));
  assert.equal(new Set(tasks).size, 60);
});

/** A suspended process resumes with its queued calls, but may have lost its authority meanwhile. */
for (const operation of ['rent', 'returnMachines'] as const) {
  test(`${operation}: a queued call is not sent if authority was lost while it waited`, async () => {
    const requests: string[] = [];
    const server = new StandInServer();
    await server.listen(({ path }) => {
      requests.push(path);
      return { status: 200, body: { Hosts: [] } };
    });
    let now = 0;
    const cloud = new CloudClient(server.address, 1, () => now);
    let hasAuthority = true;
    const rental = { request: 'r', type: 'm', zone: 'z', spot: false, count: 1 };
    const authorized = authorization('parts/0', 1, 1, () => hasAuthority);
    const intent = RecordedIntent.fromStored(authorized, { key: 'hires/0/r', revision: 2 });
    const call = () =>
      operation === 'rent' ? cloud.rent(rental, intent) : cloud.returnMachines(['a'], authorized);
    try {
      await call();
      const sentBefore = requests.length;
      // No rate limit token is left, so the call is queued; then the process is suspended for a minute.
      const queued = call();
      hasAuthority = false;
      now = 60_000;
      await assert.rejects(queued, NotLeaderError);
      assert.equal(requests.length, sentBefore, 'no request was sent');
    } finally {
      cloud.close();
      server.close();
    }
  });
}
