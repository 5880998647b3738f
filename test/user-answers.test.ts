import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { setImmediate as turn } from 'node:timers/promises';
import type { CborResponse } from '../src/transport/http.js';
import { storeKey } from '../src/store/keys.js';
import { AnswerHistory, type UserCall } from './standins/answer-history.js';
import { FakeStore } from './standins/store.js';
import { UserNode } from './standins/user-node.js';

/**
 * No user is told anything older than what any node has told before. A request that comes in while an
 * earlier one for the same job is under way must not be given that one's answer, which may rest on a read or
 * a write from before the later request (docs/incidents/2026-12-02-went-back.md).
 */
const BODY = {
  Uid: 'job-000001',
  Jobclass: 'c',
  Owner: 't',
  Shape: 'batch',
  Rank: 'normal',
  Pieces: 2,
  Vcpus: 1,
  Cards: 0,
  MemGb: 1,
  Bundle: 'i',
  ImageGb: 1,
  Site: null,
  OneZone: false,
  Spread: false,
  Reclaimable: true,
  GuessS: 2,
  SnapshotEveryS: 0,
  SnapshotS: 0,
};
const NAMES = ['a', 'b', 'c'] as const;
type NodeName = (typeof NAMES)[number];

interface Scene {
  readonly state: FakeStore;
  readonly history: AnswerHistory;
  readonly broken: string[];
  readonly nodes: Readonly<Record<NodeName, UserNode>>;
}

/** What holds the first request for the job, at node a. */
const FIRST = {
  'its write is on the way there': {
    hold: ({ nodes }: Scene) => nodes.a.writeRequest.close(),
    held: ({ nodes }: Scene) => nodes.a.writeRequest.heldCount,
    accepted: false,
  },
  "its write's answer is on the way back": {
    hold: ({ nodes }: Scene) => nodes.a.writeResponse.close(),
    held: ({ nodes }: Scene) => nodes.a.writeResponse.heldCount,
    accepted: false,
  },
  "the answer of its read's watch is on the way back": {
    hold: ({ nodes }: Scene) => nodes.a.watchResponse.close(),
    held: ({ nodes }: Scene) => nodes.a.watchResponse.heldCount,
    accepted: true,
  },
} as const;

/** What happens through node b while the first request is held. */
const BETWEEN = {
  nothing: () => Promise.resolve(),
  accepted: async ({ nodes }: Scene) => {
    await nodes.b.sendUserRequest('submit', BODY);
  },
  cancelled: async ({ nodes }: Scene) => {
    await nodes.b.sendUserRequest('submit', BODY);
    const answer = await nodes.b.sendUserRequest('withdraw', BODY);
    assert.equal(answer?.status, 200);
  },
  done: async ({ nodes, state, history }: Scene) => {
    await nodes.b.sendUserRequest('submit', BODY);
    const active = state.items.get(storeKey.activeJob(BODY.Uid));
    // A cancellation that is sent first may have ended it already.
    if (active !== undefined) {
      const When = [{ K: storeKey.activeJob(BODY.Uid), Stamp: active.revision }];
      const Value = { status: 'done', tasks: 2, done: 2 };
      const Writes = [
        { Drop: storeKey.activeJob(BODY.Uid) },
        { Put: storeKey.finalState(BODY.Uid), Value },
      ];
      const query = new URLSearchParams();
      await state.handle({ method: 'POST', path: '/multi', query, body: { When, Writes } });
    }
    await nodes.b.sendUserRequest('query', BODY);
    assert.notEqual(history.reportedFinalState(BODY.Uid), null);
  },
} as const;

const MOMENTS = ['before', 'after'] as const;
const CALLS: readonly UserCall[] = ['submit', 'query', 'withdraw'];

const openScene = async (valueBytesOfA?: number): Promise<Scene> => {
  const state = new FakeStore();
  const broken: string[] = [];
  const history = new AnswerHistory(broken);
  const node = (name: NodeName) => new UserNode(name, state, history);
  const nodes = { a: node('a'), b: node('b'), c: node('c') };
  nodes.a.valueBytes = valueBytesOfA ?? nodes.a.valueBytes;
  for (const name of NAMES) await nodes[name].open();
  return { state, history, broken, nodes };
};

const untilTrue = async (check: () => boolean): Promise<void> => {
  while (!check()) await turn();
};

const play = async (
  first: keyof typeof FIRST,
  between: keyof typeof BETWEEN,
  moment: (typeof MOMENTS)[number],
  call: UserCall,
  at: NodeName,
): Promise<void> => {
  const scene = await openScene();
  const { nodes, broken } = scene;
  try {
    if (FIRST[first].accepted) {
      await nodes.b.sendUserRequest('submit', BODY);
      // The repeat that is held must find the job known.
      await nodes.a.pollWatch();
    }
    FIRST[first].hold(scene);
    const earlier = nodes.a.sendUserRequest('submit', BODY);
    await untilTrue(() => FIRST[first].held(scene) > 0);
    const pending = [earlier];
    const send = async () => {
      const before = nodes[at].calls;
      let over = false;
      const answer = nodes[at].sendUserRequest(call, BODY).finally(() => (over = true));
      pending.push(answer);
      await untilTrue(() => over || nodes[at].calls > before);
    };
    if (moment === 'before') await send();
    await BETWEEN[between](scene);
    if (moment === 'after') await send();
    for (const gate of [nodes.a.writeRequest, nodes.a.writeResponse, nodes.a.watchResponse])
      gate.open();
    for (const answer of await Promise.all(pending)) {
      const status = answer?.status ?? 0;
      assert.ok(status > 0 && status < 500, 'nothing is out of order that would excuse a refusal');
    }
    for (const name of NAMES) {
      const answer = await nodes[name].sendUserRequest('query', BODY);
      assert.equal(answer?.status, 200, `${name} knows the job in the end`);
      await nodes[name].sendUserRequest('submit', BODY);
    }
    assert.deepEqual(broken, []);
  } finally {
    for (const name of NAMES) nodes[name].close();
  }
};

describe('answers to users while an earlier submission is held', () => {
  for (const first of Object.keys(FIRST) as (keyof typeof FIRST)[]) {
    for (const between of Object.keys(BETWEEN) as (keyof typeof BETWEEN)[]) {
      test(`${first}; meanwhile: ${between}`, async (t) => {
        for (const moment of MOMENTS) {
          for (const call of CALLS) {
            for (const at of NAMES) {
              await t.test(`${call} at ${at}, sent ${moment} it`, () =>
                play(first, between, moment, call, at),
              );
            }
          }
        }
      });
    }
  }
});

const withScene = async (
  run: (scene: Scene) => Promise<void>,
  valueBytesOfA?: number,
): Promise<void> => {
  const scene = await openScene(valueBytesOfA);
  try {
    await run(scene);
    assert.deepEqual(scene.broken, []);
  } finally {
    for (const name of NAMES) scene.nodes[name].close();
  }
};

/** Node a has accepted the job, its answer from the state service is held, and b's user cancels. */
const cancelledWhileHeld = async ({
  nodes,
}: Scene): Promise<{ accepted: Promise<CborResponse | null> }> => {
  nodes.a.writeResponse.close();
  const accepted = nodes.a.sendUserRequest('submit', BODY);
  await untilTrue(() => nodes.a.writeResponse.heldCount > 0);
  await nodes.b.sendUserRequest('submit', BODY);
  await nodes.b.sendUserRequest('withdraw', BODY);
  return { accepted };
};

describe('an acceptance whose answer comes after the end of its job', () => {
  test('and after a new listing, which shows no final states: the job stays ended', () =>
    withScene(async (scene) => {
      const { a } = scene.nodes;
      const { accepted } = await cancelledWhileHeld(scene);
      await a.relist();
      a.writeResponse.open();
      await accepted;
      assert.equal(a.cache.tables.activeJobs.size, 0);
      await a.sendUserRequest('query', BODY);
    }));

  test('the end, known by then, is what its user is told', () =>
    withScene(async (scene) => {
      const { a } = scene.nodes;
      const { accepted } = await cancelledWhileHeld(scene);
      await a.pollWatch();
      a.writeResponse.open();
      const answer = await accepted;
      assert.equal(answer?.status, 200);
      assert.equal((answer.body as { Status: string }).Status, 'cancelled');
    }));
});

test('a repeat whose own record would not fit a value gets the state of the accepted job', () =>
  withScene(async ({ nodes }) => {
    await nodes.b.sendUserRequest('submit', BODY);
    const answer = await nodes.a.sendUserRequest('submit', BODY);
    assert.equal(answer?.status, 200);
  }, 100));
