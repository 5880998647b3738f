import { OBSERVED_WORKER_TTL_MS } from './constants.js';
import type { ShardController } from '../shards/shard-controller.js';
import type { OwnStatus } from '../peers/gossip.js';
import { jobProgressInShard, type ShardDirectory } from '../peers/shard-directory.js';

/**
 * What this node tells the others of its shards, of the jobs in them, and of workers of other shards that came here
 * lately. Progress of jobs only in a detailed status.
 */
export const describeOwnShards = (
  shardController: Pick<ShardController, 'owned' | 'observedElsewhere'>,
  directory: Pick<ShardDirectory, 'describeShard'>,
  detailed: boolean,
  now: number,
): Pick<OwnStatus, 'shards' | 'jobs' | 'observedWorkers'> => {
  const sightings = new Map<number, number>();
  for (const [machine, { shard, at }] of shardController.observedElsewhere) {
    if (now - at > OBSERVED_WORKER_TTL_MS) shardController.observedElsewhere.delete(machine);
    else sightings.set(shard, (sightings.get(shard) ?? 0) + 1);
  }
  const jobs: OwnStatus['jobs'] = [];
  const shards: OwnStatus['shards'] = [];
  for (const [index, { shard }] of shardController.owned) {
    shards.push(directory.describeShard(index, shard, detailed));
    for (const uid of detailed ? shard.jobs.keys() : []) {
      const { done, running } = jobProgressInShard(shard, uid);
      if (done + running > 0) jobs.push({ uid, running, done, shard: index });
    }
  }
  return {
    shards,
    jobs,
    observedWorkers: [...sightings].map(([shard, workers]) => ({ shard, workers })),
  };
};
