/** Connections that send half a message, or one byte at a time, beside whole requests to the same controller. */
import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { describe, test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import pino from 'pino';
import { MAX_UNIDENTIFIED_CONNECTIONS } from '../src/peers/constants.js';
import { Gossip } from '../src/peers/gossip.js';
import { MAX_INCOMPLETE_BODIES } from '../src/service/constants.js';
import { encodeCbor } from '../src/wire/cbor.js';
import { Cluster } from './standins/cluster.js';
import { nextLoopbackAddress } from './standins/loopback.js';

const BYTE_INTERVAL_MS = 100;
/** More than the requests that may wait for an answer. */
const SLOW_CONNECTIONS = 250;
/** Sockets of a controller, which are fewer than the connections to it in one case. */
const SOCKETS = 400;
const MOST_CONNECTIONS = 500;
/** Time within which a message that is not whole has to be given up: twice what a user waits for an answer. */
const RELEASED_WITHIN_MS = 10_000;

/** Connections that each send the beginning of a message, and then one byte of the rest at a time. */
class SlowSenders {
  readonly #sockets: Socket[] = [];
  #timer: NodeJS.Timeout | null = null;
  open = 0;

  constructor(
    private readonly address: string,
    private readonly message: Buffer,
    /** number of bytes that are sent at once */
    private readonly sentAtOnce: number,
  ) {}

  /** Opens connections; resolves once they are established. */
  async connect(count: number): Promise<void> {
    const colon = this.address.lastIndexOf(':');
    const [host, port] = [this.address.slice(0, colon), Number(this.address.slice(colon + 1))];
    const connected = Array.from({ length: count }, () => {
      const socket = connect(port, host);
      this.#sockets.push(socket);
      socket.on('error', () => undefined);
      socket.resume();
      return new Promise<void>((resolve) => {
        socket.once('close', () => resolve());
        socket.once('connect', () => {
          this.open += 1;
          socket.once('close', () => (this.open -= 1));
          socket.write(this.message.subarray(0, this.sentAtOnce));
          resolve();
        });
      });
    });
    await Promise.all(connected);
  }

  /** Sends a further byte over each connection at intervals. */
  dribble(): void {
    let sent = this.sentAtOnce;
    this.#timer = setInterval(() => {
      for (const socket of this.#sockets) {
        if (socket.writable) socket.write(this.message.subarray(sent, sent + 1));
      }
      sent += 1;
    }, BYTE_INTERVAL_MS);
  }

  close(): void {
    if (this.#timer !== null) clearInterval(this.#timer);
    for (const socket of this.#sockets) socket.destroy();
  }
}

const httpMessage = (path: string, body: unknown): { message: Buffer; headBytes: number } => {
  const bytes = encodeCbor(body);
  const head = `POST ${path} HTTP/1.1\r\nHost: n\r\nContent-Length: ${bytes.length}\r\n\r\n`;
  return { message: Buffer.concat([Buffer.from(head), bytes]), headBytes: head.length };
};

interface SlowCase {
  readonly name: string;
  readonly path: string;
  /** share of the message that is sent at once; null: the head */
  readonly share: number | null;
  readonly connections: number;
  /** most connections that may be left after a second */
  readonly mostLeft: number;
  readonly dribbles?: boolean;
}

const CASES: SlowCase[] = [
  {
    name: 'submissions whose body comes byte by byte',
    path: '/submissions',
    share: null,
    connections: SLOW_CONNECTIONS,
    mostLeft: MAX_INCOMPLETE_BODIES,
    dribbles: true,
  },
  {
    name: 'half-sent submissions',
    path: '/submissions',
    share: 0.9,
    connections: SLOW_CONNECTIONS,
    mostLeft: MAX_INCOMPLETE_BODIES,
  },
  {
    name: 'half-sent cancellations',
    path: '/submissions/job-999999/withdraw',
    share: 0.9,
    connections: SLOW_CONNECTIONS,
    mostLeft: MAX_INCOMPLETE_BODIES,
  },
  {
    name: 'half-sent heartbeats',
    path: '/agent/beat',
    share: 0.9,
    connections: SLOW_CONNECTIONS,
    mostLeft: MAX_INCOMPLETE_BODIES,
  },
  {
    name: 'half-sent heads on more connections than the controller has',
    path: '/submissions',
    share: 0.1,
    connections: MOST_CONNECTIONS,
    mostLeft: SOCKETS,
  },
];

const LEASE_S = 4;
const SMALL_TASK = { Vcpus: 1, Cards: 0, MemGb: 1, GuessS: 60 };

/** Sends whole requests for a while over new connections, as users and health checks do. */
const checkWholeRequests = async (cluster: Cluster): Promise<void> => {
  const uids: string[] = [];
  for (let round = 0; round < 2 * LEASE_S; round++) {
    await cluster.runFor(0.5);
    const body = cluster.submission({ ...SMALL_TASK, Pieces: 1 });
    const accepted = await cluster.callOnce('n0', 'POST', '/submissions', body);
    assert.equal(accepted.status, 201, JSON.stringify(accepted.body));
    uids.push(body.Uid);
    const state = await cluster.callOnce('n0', 'GET', `/submissions/${uids[0]!}`);
    assert.equal(state.status, 200, JSON.stringify(state.body));
    assert.equal((await cluster.callOnce('n0', 'GET', '/ready')).status, 200);
  }
};

describe('requests that are not whole', { concurrency: 2 }, () => {
  for (const { name, path, share, connections, mostLeft, dribbles = false } of CASES) {
    test(`${name}: whole requests and heartbeats are answered beside them`, async () => {
      const cluster = new Cluster({
        ...{ controllers: 1, sockets: SOCKETS },
        ...{ runMs: 60_000, leaseS: LEASE_S, cancelS: 26 },
      });
      let senders: SlowSenders | null = null;
      try {
        await cluster.open();
        const uid = await cluster.submit('n0', { ...SMALL_TASK, Pieces: 4 });
        await cluster.waitUntil('tasks run', 20, () => cluster.runningTasks(uid) === 4);
        const { message, headBytes } = httpMessage(path, cluster.submission());
        const sentAtOnce = share === null ? headBytes : Math.floor(message.length * share);
        senders = new SlowSenders(cluster.configOf('n0').listen, message, sentAtOnce);
        await senders.connect(connections);
        if (dribbles) senders.dribble();
        await cluster.runFor(1);
        assert.ok(senders.open <= mostLeft, `${senders.open} connections are left`);
        await checkWholeRequests(cluster);
        assert.equal(cluster.runningTasks(uid), 4, 'no worker has lost its lease');
        assert.equal(cluster.crashes, 0);
        await cluster.runFor(RELEASED_WITHIN_MS / 1000 - 2 * LEASE_S * 0.5);
        assert.equal(senders.open, 0, 'connections without a whole request are closed');
      } finally {
        senders?.close();
        cluster.close();
      }
    });
  }
});

test("half-sent messages to the peers' listener: statuses arrive beside them, and the connections are closed", async () => {
  const host = nextLoopbackAddress();
  const received: string[] = [];
  const ports = { a: 10_001, b: 10_002 };
  const gossipOf = (node: 'a' | 'b', other: 'a' | 'b') =>
    new Gossip({
      node,
      incarnation: node,
      peers: [{ node: other, address: `${host}:${ports[other]}` }],
      ownStatus: () => ({
        ...{ hasStore: true, shards: [], jobs: [], observedWorkers: [], classes: [] },
        ...{ cancellations: [], cancellationsComplete: true },
      }),
      onStatus: () => received.push(node),
      now: () => performance.now(),
      log: pino({ level: 'silent' }),
    });
  const [a, b] = [gossipOf('a', 'b'), gossipOf('b', 'a')];
  const lengthPrefix = Buffer.from([0x80, 0x80, 0x10]);
  const senders = new SlowSenders(
    `${host}:${ports.b}`,
    Buffer.concat([lengthPrefix, Buffer.alloc(1000)]),
    10,
  );
  try {
    await Promise.all([a.listen(`${host}:${ports.a}`), b.listen(`${host}:${ports.b}`)]);
    await sleep(2500);
    await senders.connect(SLOW_CONNECTIONS);
    senders.dribble();
    await sleep(1000);
    assert.ok(senders.open <= MAX_UNIDENTIFIED_CONNECTIONS, `${senders.open} connections are left`);
    const before = received.length;
    await sleep(RELEASED_WITHIN_MS);
    const statuses = received.slice(before);
    for (const node of ['a', 'b']) {
      const count = statuses.filter((receiver) => receiver === node).length;
      assert.ok(count >= RELEASED_WITHIN_MS / 2000, `${count} statuses at ${node}`);
    }
    assert.equal(b.reachable().length, 1);
    assert.equal(senders.open, 0, 'connections without a status are closed');
  } finally {
    senders.close();
    a.close();
    b.close();
  }
});
