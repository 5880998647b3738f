import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  COMPLETION_SAVE_INTERVAL_MS,
  PROGRESS_SAVE_INTERVAL_MS,
} from '../src/shards/completions/constants.js';
import { ownedShard, shardWith, Store } from './helpers.js';

const owned = () => ownedShard(shardWith(new Store()));

test('an owned shard is active until a transfer begins, and again once that has failed', () => {
  const shard = owned();
  assert.equal(shard.isActive, true);
  shard.suspend();
  assert.deepEqual([shard.state, shard.isActive], ['transferring', false]);
  shard.resume();
  assert.deepEqual([shard.state, shard.isActive], ['active', true]);
});

test('a new shard takes in everything once, and again when changes passed it by', () => {
  const shard = owned();
  assert.equal(shard.consumeFullSyncRequest(), true);
  assert.equal(shard.consumeFullSyncRequest(), false);
  shard.requestFullSync();
  assert.equal(shard.consumeFullSyncRequest(), true);
  assert.equal(shard.consumeFullSyncRequest(), false);
});

test('completions are saved one write at a time, with a pause that counts from its end', () => {
  const shard = owned();
  assert.equal(shard.isSaveDue(COMPLETION_SAVE_INTERVAL_MS - 1), false);
  assert.equal(shard.isSaveDue(COMPLETION_SAVE_INTERVAL_MS), true);
  shard.beginSave();
  assert.equal(shard.isSaveDue(10 * COMPLETION_SAVE_INTERVAL_MS), false, 'one is under way');
  shard.endSave(10 * COMPLETION_SAVE_INTERVAL_MS);
  assert.equal(shard.isSaveDue(11 * COMPLETION_SAVE_INTERVAL_MS - 1), false);
  assert.equal(shard.isSaveDue(11 * COMPLETION_SAVE_INTERVAL_MS), true);
});

test('progress is due a while after the last one', () => {
  const shard = owned();
  assert.equal(shard.isProgressSaveDue(PROGRESS_SAVE_INTERVAL_MS - 1), false);
  assert.equal(shard.isProgressSaveDue(PROGRESS_SAVE_INTERVAL_MS), true);
  shard.recordProgressSave(PROGRESS_SAVE_INTERVAL_MS);
  assert.equal(shard.isProgressSaveDue(2 * PROGRESS_SAVE_INTERVAL_MS - 1), false);
});

test('a worker is probed once at a time', () => {
  const shard = owned();
  assert.equal(shard.beginProbe('x'), true);
  assert.equal(shard.beginProbe('x'), false);
  assert.equal(shard.beginProbe('y'), true);
  shard.endProbe('x');
  assert.equal(shard.beginProbe('x'), true);
});
