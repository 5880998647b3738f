/** The part of this node's status that describes its shards, their jobs and observed workers. */
import { OBSERVED_WORKER_TTL_MS } from './constants.js';
import type { ShardController } from '../shards/shard-controller.js';
import type { OwnStatus } from '../peers/gossip.js';
import { jobProgressInShard, type ShardDirectory } from '../peers/shard-directory.js';

/**
 * Returns the status of this node's shards, the progress of their jobs if `detailed`, and how many workers of other
 * nodes' shards have lately sent heartbeats here. Removes expired entries from `observedWorkers`.
 */
export const describeOwnShards = (
  shardController: Pick<ShardController, 'owned' | 'observedWorkers'>,
  directory: Pick<ShardDirectory, 'describeShard'>,
  detailed: boolean,
  now: number,
): Pick<OwnStatus, 'shards' | 'jobs' | 'observedWorkers'> => {
  const observedWorkers = new Map<number, number>();
  for (const [machine, { shard, at }] of shardController.observedWorkers) {
    if (now - at > OBSERVED_WORKER_TTL_MS) shardController.observedWorkers.delete(machine);
    else observedWorkers.set(shard, (observedWorkers.get(shard) ?? 0) + 1);
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
    observedWorkers: [...observedWorkers].map(([shard, workers]) => ({ shard, workers })),
  };
};
