import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import Koa from 'koa';
import type { Heartbeat } from '../src/core/model.js';
import { CborClient } from '../src/transport/http.js';
import { heartbeatRoutes, type HeartbeatResponse } from '../src/workers/heartbeat-routes.js';

const HEARTBEAT = {
  Host: 'a',
  Address: 'a:1',
  Hosttype: 'm',
  Site: 'z',
  Reclaimable: false,
  Tenure: 1,
  Counter: 1,
  Mandate: 7,
  WarningS: null,
  Pieces: [{ Piece: 'job-000001/3', Try: 9, Status: 'ended', Cause: 'done' }],
};
const TASK = { uid: 'job-000001', index: 3, attempt: 9 };

/** What a worker gets, by what the node makes of its report. */
const CASES: {
  name: string;
  open: boolean;
  body: unknown;
  reply: HeartbeatResponse;
  status: number;
  answer: unknown;
  /** whether the report reaches the shard's state */
  read: boolean;
}[] = [
  {
    name: 'the owner answers with its term and orders',
    open: true,
    body: HEARTBEAT,
    reply: { kind: 'answer', fencingToken: 8, commands: [{ op: 'forget', ...TASK }] },
    status: 200,
    answer: { Mandate: 8, Orders: [{ Verb: 'reap', Piece: 'job-000001/3', Try: 9 }] },
    read: true,
  },
  {
    name: 'another node names the owner',
    open: true,
    body: HEARTBEAT,
    reply: { kind: 'redirect', node: 'n2' },
    status: 421,
    answer: { ReportsTo: 'n2' },
    read: true,
  },
  {
    name: 'a node that does not know the owner',
    open: true,
    body: HEARTBEAT,
    reply: { kind: 'unavailable' },
    status: 503,
    answer: { error: 'not now' },
    read: true,
  },
  {
    name: 'a node that has just started turns reports away unread',
    open: false,
    body: HEARTBEAT,
    reply: { kind: 'answer', fencingToken: 8, commands: [] },
    status: 503,
    answer: { error: 'not now' },
    read: false,
  },
  {
    name: 'a report without its task number',
    open: true,
    body: { ...HEARTBEAT, Pieces: [{ Piece: 'job-000001', Try: 9, Status: 'running' }] },
    reply: { kind: 'answer', fencingToken: 8, commands: [] },
    status: 400,
    answer: { error: 'no report' },
    read: false,
  },
  {
    name: 'no report at all',
    open: true,
    body: ['x'],
    reply: { kind: 'answer', fencingToken: 8, commands: [] },
    status: 400,
    answer: { error: 'no report' },
    read: false,
  },
];

for (const c of CASES) {
  test(`a report: ${c.name}`, async () => {
    const seen: Heartbeat[] = [];
    const app = new Koa();
    app.use(
      heartbeatRoutes(
        (heartbeat) => {
          seen.push(heartbeat);
          return c.reply;
        },
        () => c.open,
      ),
    );
    const handler = app.callback();
    const server = createServer((req, res) => void handler(req, res));
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const client = new CborClient(`127.0.0.1:${(server.address() as AddressInfo).port}`, 1);
    try {
      // Twice: the connection stays open whatever the first answer was.
      for (let i = 0; i < 2; i++) {
        const got = await client.call('POST', '/agent/beat', c.body, 2000);
        assert.equal(got.status, c.status);
        assert.deepEqual(got.body, c.answer);
      }
      assert.equal(seen.length, c.read ? 2 : 0);
      const why = { state: 'exited', why: 'done', saved: false };
      if (c.read) assert.deepEqual(seen[0]?.tasks, [{ ...TASK, ...why }]);
    } finally {
      client.close();
      server.close();
    }
  });
}
