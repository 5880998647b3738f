/**
 * Measures how long singleton controllers are without a leader after its end, and what their election costs the store.
 * Three controllers on loopback; the leader ends again and again. Usage: duty-takeover ROUNDS REPORT.html
 */
import { writeFileSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { leaderKey, type LeaderRecord } from '@sumacstep/leader-election';
import { parseSingletonsConfig, type SingletonsConfig } from '../../src/config/singletons.js';
import { ORPHAN_COLLECTOR_ROLE } from '../../src/singletons/roles.js';
import type { ShardRecord } from '../../src/store/codecs/shard.js';
import { Cluster } from '../standins/cluster.js';
import type { Version } from '../standins/controllers.js';
import { htmlReport, machineText, Series } from './report.js';

const IDLE_MS = 20_000;
const SETTLE_MS = 1500;
const POLL_MS = 5;

const [roundsText = '20', file = 'target/duty-takeover.html'] = process.argv.slice(2);
const rounds = Number(roundsText);

const ownerOf = (cluster: Cluster, key: string): string | null => {
  const value = cluster.stored(key) as ShardRecord | LeaderRecord | undefined;
  if (value === undefined) return null;
  return 'owner' in value ? value.owner : (value.holder?.node ?? null);
};

/** ms from the end of a key's holder until the store names another one. */
const takeoverMs = async (cluster: Cluster, key: string, version: Version): Promise<number> => {
  const holder = ownerOf(cluster, key)!;
  cluster.kill(holder);
  const ended = performance.now();
  while (ownerOf(cluster, key) === holder) await sleep(POLL_MS);
  const passed = performance.now() - ended;
  await cluster.start(holder, version);
  await cluster.waitUntil(`${holder} is ready`, 40, () => cluster.isReady(holder));
  await sleep(SETTLE_MS);
  return passed;
};

interface Measurement {
  readonly shards: Series;
  readonly duty: Series | null;
  readonly requestsPerS: number;
}

const measure = async (
  name: string,
  version: Version,
  duties: SingletonsConfig | undefined,
): Promise<Measurement> => {
  const versions = { n0: version, n1: version, n2: version };
  const options = { runMs: 1000, leaseS: 18, cancelS: 38, versions };
  const cluster = new Cluster(
    duties === undefined ? options : { ...options, features: { duties } },
  );
  const shards = new Series(`owner of a part, ${name}`);
  const duty = duties === undefined ? null : new Series(`holder of a duty, ${name}`);
  try {
    await cluster.open();
    await cluster.waitUntil('parts are owned', 30, () => ownerOf(cluster, 'parts/0') !== null);
    if (duty !== null)
      await cluster.waitUntil(
        'held',
        30,
        () => ownerOf(cluster, leaderKey(ORPHAN_COLLECTOR_ROLE)) !== null,
      );
    await sleep(SETTLE_MS);
    const before = cluster.store.requestCount;
    await sleep(IDLE_MS);
    const requestsPerS = ((cluster.store.requestCount - before) * 1000) / IDLE_MS;
    for (let round = 0; round < rounds; round++) {
      shards.add(await takeoverMs(cluster, 'parts/0', version));
      if (duty !== null)
        duty.add(await takeoverMs(cluster, leaderKey(ORPHAN_COLLECTOR_ROLE), version));
    }
    return { shards, duty, requestsPerS };
  } finally {
    cluster.close();
  }
};

const production = await measure('version before', 'production', undefined);
const dutiesOff = await measure('duties off', 'current', undefined);
const dutiesOn = await measure(
  'duties on',
  'current',
  parseSingletonsConfig('', '[clear]\nenabled = true'),
);
const series = [
  production.shards,
  dutiesOff.shards,
  dutiesOn.shards,
  ...(dutiesOn.duty === null ? [] : [dutiesOn.duty]),
];
const counts = {
  'state requests a second, version before': production.requestsPerS,
  'duties off': dutiesOff.requestsPerS,
  'duties on': dutiesOn.requestsPerS,
};
const settings = { controllers: 3, 'takeovers of each series': rounds, 'node lease': '6 s' };
const plot = { title: 'From the end of a holder to the next one', unit: 'ms', series };
writeFileSync(file, await htmlReport('Takeover of parts and duties', settings, [plot], counts));
for (const s of series) process.stdout.write(`${JSON.stringify(s.summary())}\n`);
process.stdout.write(`${JSON.stringify({ machine: machineText(), ...counts })}\n`);
process.exit(0);
