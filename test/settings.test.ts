/** Parsing of the settings files and of `LOG_LEVEL`, and the token bucket of the rate limits. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseOperatorConfig } from '../src/config/operator.js';
import { ConfigError, parsePlatformConfig } from '../src/config/platform.js';
import { createLogger } from '../src/log.js';
import { readFileSync } from 'node:fs';
import { TokenBucket } from '../src/transport/token-bucket.js';
import { PLATFORM } from './helpers.js';

test('platform file: unknown fields are ignored, and an invalid field is named in the error', () => {
  assert.equal(parsePlatformConfig('f', PLATFORM).nodes, 3);
  const cases: [string, string, RegExp][] = [
    ['not TOML', 'node = ', /not TOML/],
    ['missing field', PLATFORM.replace('node = "n-0"', ''), /node: /],
    ['wrong type', PLATFORM.replace('nodes = 3', 'nodes = "3"'), /settings\.nodes: /],
    ['wrong address', PLATFORM.replace('"127.0.0.1:4"', '"here"'), /services\.state: must be HOST/],
    ['out of range', PLATFORM.replace('txn_ops = 16', 'txn_ops = 0'), /settings\.state\.txn_ops/],
  ];
  for (const [name, text, expected] of cases) {
    assert.throws(
      () => parsePlatformConfig('f', text),
      (error) => error instanceof ConfigError && error.problems.some((p) => expected.test(p)),
      name,
    );
  }
});

test('operator file: unknown keys and invalid values are errors, and the shipped file equals the defaults', () => {
  const shipped = parseOperatorConfig('operator.ini', readFileSync('deploy/operator.ini', 'utf8'));
  assert.deepEqual(
    shipped,
    parseOperatorConfig('defaults', ''),
    'deploy/operator.ini equals the defaults',
  );
  const cases: [string, RegExp][] = [
    ['[placement]\nload_treshold = 1\n', /load_treshold/],
    ['[placement]\nload_threshold = -1\n', /placement\.load_threshold/],
    ['[capacity]\nidle_keep_s = soon\n', /capacity\.idle_keep_s/],
    ['[capasity]\nidle_keep_s = 1\n', /capasity/],
    ['[placement]\npreempt = 3\n', /placement\.preempt/],
  ];
  for (const [text, expected] of cases) {
    assert.throws(
      () => parseOperatorConfig('f', text),
      (error) => error instanceof ConfigError && expected.test(error.problems.join(' ')),
      text,
    );
  }
});

test('an unknown LOG_LEVEL is an error, and an unset one means info', () => {
  assert.throws(() => createLogger('loud', 'n'), ConfigError);
  assert.equal(createLogger('debug', 'n').level, 'debug');
  assert.equal(createLogger(undefined, 'n').level, 'info');
});

test('token bucket: rate, burst, costs above the burst, and blocking', () => {
  const bucket = new TokenBucket(10, 5, 0);
  assert.equal(bucket.tryTake(5, 0), true, 'the full burst is available at first');
  assert.equal(bucket.tryTake(1, 0), false, 'no token is left');
  assert.equal(bucket.waitMs(1, 0), 100);
  assert.equal(bucket.tryTake(1, 100), true);
  assert.equal(
    bucket.tryTake(8, 600),
    true,
    'a cost above the burst is granted once the bucket is full',
  );
  assert.equal(bucket.tryTake(1, 700), false, 'the excess is owed first');
  bucket.block(1000, 2000);
  assert.equal(bucket.tryTake(1, 2500), false, 'blocked until the given time');
  assert.equal(bucket.tryTake(1, 3000), true);
});
