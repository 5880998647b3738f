/** The shard controller: transfers with unknown outcome, lost shards, and heartbeats without authority. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { renewalWindowMs } from '../src/core/cancellation/lease-renewal.js';
import { TOKENS_PER_TERM } from '../src/core/ownership/constants.js';
import { ATTEMPTS_PER_TERM } from '../src/core/shard/constants.js';
import { TRANSFER_SETTLE_MS } from '../src/shards/constants.js';
import { encodeJob } from '../src/store/codecs/job.js';
import {
  watchChange,
  CONFIG,
  ControllerScene,
  JOB,
  jobChange,
  NEXT_TERM,
  noAnswer,
  flushStoreCalls,
  SHARD_1,
  TERM,
} from './controller-scene.js';
import { job } from './helpers.js';

test('a transfer that fails leaves the shard and its state unchanged', async () => {
  const scene = new ControllerScene();
  const before = scene.owned(1)!.shard;
  scene.outcome = () => ({ ok: false, failed: ['term'] });
  await scene.failback();
  scene.tick();
  assert.ok(scene.written.length > 0, 'the transfer was attempted');
  assert.equal(scene.owned(1)?.shard, before, 'the state object is the same one');
  assert.equal(
    scene.controller.mayActFor(scene.owned(1)!),
    true,
    'the node acts for the shard again',
  );
});

test('after a transfer without an answer the node acts again only under a new term', async () => {
  const scene = new ControllerScene();
  scene.outcome = noAnswer;
  await scene.failback();
  scene.tick();
  const transferring = scene.owned(1)!;
  assert.equal(transferring.state, 'transferring');
  assert.equal(
    scene.controller.mayActFor(transferring),
    false,
    'the peer may own the shard by now',
  );
  assert.equal(
    transferring.authorization.isValid(),
    false,
    'no write and no cloud call may be sent',
  );
  scene.outcome = () => ({ ok: true, epoch: 60 });
  await scene.tickAt(scene.now + TRANSFER_SETTLE_MS + 1);
  assert.equal(scene.termOf(1), NEXT_TERM);
  scene.showChanges(60);
  scene.tick();
  const { shard } = scene.owned(1)!;
  assert.equal(shard.term, NEXT_TERM);
  assert.equal(shard.recovered, false, 'every machine has to send a heartbeat first');
});

test('a shard that was lost and appears again under the same term is acquired under a new term', async () => {
  const scene = new ControllerScene();
  scene.cache.tables.shards.delete('1');
  scene.tick();
  assert.equal(scene.owned(1), undefined);
  scene.showChanges(21, [watchChange('parts/1', SHARD_1, 10)]);
  scene.tick();
  assert.equal(scene.owned(1), undefined);
  await flushStoreCalls();
  assert.equal(scene.termOf(1), NEXT_TERM, 'the shard is acquired under a new term');
});

test('a heartbeat for a transferring shard or an unknown machine is not answered and renews no lease', async () => {
  const scene = new ControllerScene();
  assert.equal(scene.heartbeat({ fencingToken: 0 }).kind, 'answer');
  scene.outcome = noAnswer;
  await scene.failback();
  assert.equal(scene.heartbeat({ fencingToken: 0 }).kind, 'unavailable');
  assert.equal(scene.heartbeat({ fencingToken: 0, machine: 'unknown' }).kind, 'unavailable');
});

test('a shard that an earlier version transferred is acquired under a new term, which reserves tokens for direct starts', async () => {
  const scene = new ControllerScene();
  const transferred = { owner: 'n0', incarnation: 'a', term: NEXT_TERM };
  scene.showChanges(30, [
    watchChange('term', NEXT_TERM, 30),
    watchChange('parts/1', transferred, 30),
  ]);
  scene.tick();
  await flushStoreCalls();
  assert.equal(scene.owned(1)?.shard.term, NEXT_TERM);
  const written = scene.written.flat().find((write) => 'put' in write && write.put === 'term');
  assert.deepEqual(written, { put: 'term', value: NEXT_TERM + TOKENS_PER_TERM });
  scene.showChanges(60);
  scene.tick();
  const { tokens } = scene.owned(1)!.shard;
  assert.deepEqual(tokens, { first: NEXT_TERM + 1, last: NEXT_TERM + TOKENS_PER_TERM });
});

test('without authority running tasks keep their lease, and no task starts', () => {
  const scene = new ControllerScene();
  scene.leaseValid = false;
  assert.deepEqual(scene.heartbeat(), { kind: 'answer', fencingToken: TERM, commands: [] });
  scene.leaseValid = true;
  const reply = scene.heartbeat();
  assert.equal(reply.kind === 'answer' ? reply.commands.length : 0, 1);
});

test('without authority leases are renewed only while they expire in time for any unknown cancellation', () => {
  const scene = new ControllerScene();
  const attempt = { uid: JOB, index: 0, attempt: TERM * ATTEMPTS_PER_TERM + 1 };
  const tasks = [{ ...attempt, state: 'running' as const, why: null, saved: false }];
  const { cancelS, leaseS } = CONFIG.workers;
  assert.equal(scene.heartbeat({ tasks }).kind, 'answer');
  scene.leaseValid = false;
  scene.cancellationsKnownUntil = 0;
  scene.now = renewalWindowMs(cancelS * 1000, leaseS * 1000);
  assert.equal(scene.heartbeat({ tasks }).kind, 'answer');
  scene.now += 1;
  assert.equal(scene.heartbeat({ tasks }).kind, 'unavailable');
  const machine = scene.owned(1)!.shard.machines.get('x')!;
  assert.equal(machine.lastStatusAt, scene.now, 'the heartbeat still counts as received');
  scene.cache.applyCancellation({ uid: JOB, tasks: 1, done: 0, epoch: 40 });
  scene.cancellationsKnownUntil = scene.now;
  scene.tick();
  const reply = scene.heartbeat({ tasks });
  assert.deepEqual(reply.kind === 'answer' && reply.commands, [
    { op: 'stop', ...attempt, graceS: 0 },
  ]);
  // A listing or a change from before the cancellation must not bring the job back.
  const changes = [jobChange(job({}, TERM, 1), 13)];
  scene.cache.apply({ isListing: true, revision: 30, consistentFrom: 30, changes });
  assert.equal(scene.cache.tables.activeJobs.has(JOB), false);
  assert.equal(scene.cache.finalStates.get(JOB)?.status, 'cancelled');
});

test('an own write whose answer comes late does not bring a cancelled job back to its shard', () => {
  // Otherwise the shard starts tasks of a job that its user was told is cancelled
  // (docs/incidents/2026-12-02-went-back.md).
  const scene = new ControllerScene();
  const uid = 'job-000002';
  const record = job({ uid }, TERM, 1);
  scene.showChanges(22, [
    jobChange(record, 21),
    watchChange(`active/${uid}`, undefined, 22),
    watchChange(`final/${uid}`, { status: 'cancelled', tasks: 1, done: 0 }, 22),
  ]);
  scene.cache.applyOwnWrites([{ put: `active/${uid}`, value: encodeJob(record) }], 21);
  scene.tick();
  const { shard } = scene.owned(1)!;
  assert.ok(shard.jobs.has(JOB), 'the shard still has its other job');
  assert.ok(!shard.jobs.has(uid));
});
