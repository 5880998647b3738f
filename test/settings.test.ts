import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseOperatorConfig } from '../src/config/operator.js';
import { ConfigError, parsePlatformConfig } from '../src/config/platform.js';
import { createLogger } from '../src/log.js';
import { readFileSync } from 'node:fs';
import { TokenBucket } from '../src/transport/token-bucket.js';
import { PLATFORM } from './helpers.js';

test("the platform's file: unknown fields are ignored, wrong ones named", () => {
  assert.equal(parsePlatformConfig('f', PLATFORM).nodes, 3);
  const cases: [string, string, RegExp][] = [
    ['not TOML', 'node = ', /not TOML/],
    ['missing', PLATFORM.replace('node = "n-0"', ''), /node: /],
    ['wrong type', PLATFORM.replace('nodes = 3', 'nodes = "3"'), /settings\.nodes: /],
    ['wrong address', PLATFORM.replace('"127.0.0.1:4"', '"here"'), /services\.state: must be HOST/],
    ['out of range', PLATFORM.replace('txn_ops = 16', 'txn_ops = 0'), /settings\.state\.txn_ops/],
  ];
  for (const [name, text, want] of cases) {
    assert.throws(
      () => parsePlatformConfig('f', text),
      (e) => e instanceof ConfigError && e.problems.some((p) => want.test(p)),
      name,
    );
  }
});

test("the operator's file: unknown keys and values out of range are errors", () => {
  const shipped = parseOperatorConfig('operator.ini', readFileSync('deploy/operator.ini', 'utf8'));
  assert.deepEqual(
    shipped,
    parseOperatorConfig('defaults', ''),
    'the shipped file shows the defaults',
  );
  const cases: [string, RegExp][] = [
    ['[placement]\nload_treshold = 1\n', /load_treshold/],
    ['[placement]\nload_threshold = -1\n', /placement\.load_threshold/],
    ['[capacity]\nidle_keep_s = soon\n', /capacity\.idle_keep_s/],
    ['[capasity]\nidle_keep_s = 1\n', /capasity/],
    ['[placement]\npreempt = 3\n', /placement\.preempt/],
  ];
  for (const [text, want] of cases) {
    assert.throws(
      () => parseOperatorConfig('f', text),
      (e) => e instanceof ConfigError && want.test(e.problems.join(' ')),
      text,
    );
  }
});

test('a wrong LOG_LEVEL is an error', () => {
  assert.throws(() => createLogger('loud', 'n'), ConfigError);
  assert.equal(createLogger('debug', 'n').level, 'debug');
  assert.equal(createLogger(undefined, 'n').level, 'info');
});

test('tokens: rate, burst, large costs and blocks', () => {
  const bucket = new TokenBucket(10, 5, 0);
  assert.equal(bucket.tryTake(5, 0), true, 'the burst');
  assert.equal(bucket.tryTake(1, 0), false, 'empty');
  assert.equal(bucket.waitMs(1, 0), 100);
  assert.equal(bucket.tryTake(1, 100), true);
  assert.equal(bucket.tryTake(8, 600), true, 'more than the bucket needs a full one');
  assert.equal(bucket.tryTake(1, 700), false, 'and leaves a debt');
  bucket.block(1000, 2000);
  assert.equal(bucket.tryTake(1, 2500), false, 'blocked');
  assert.equal(bucket.tryTake(1, 3000), true);
});
