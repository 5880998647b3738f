/** What the other controllers have told that matters to the control loops of this node's shards. */
import type { JobSpec } from '../core/model.js';

/** Another shard that takes tasks, and how many of them. */
export interface MigrationDestination {
  readonly shard: number;
  readonly tasks: number;
}

/** What is known of the capacity of the other shards. */
export interface OtherShards {
  /** a shard other than `excluded` with free capacity for tasks of the job, and for how many; null if none */
  shardWithFreeCapacity(spec: JobSpec, excluded: number): MigrationDestination | null;
  /** a shard that is allocated much less than `shard` for the job; null if none */
  lessAllocatedShard(spec: JobSpec, shard: number): number | null;
}

/** The other controllers, as this node heard of them lately. */
export interface PeerView extends OtherShards {
  /** a reachable peer that is in contact with the store; null if none */
  reachablePeerWithStore(): string | null;
  /** the incarnation of that peer, if it is reachable and in contact with the store; else null */
  incarnationWithStore(node: string): string | null;
  /** images, with their sizes in GB, that another owner knew on a machine */
  imagesOf(machine: string): ReadonlyMap<string, number>;
  /** the reachable peer that receives heartbeats of most workers of the shard; null if none does */
  peerReceivingHeartbeats(shard: number): string | null;
  /** up to when every cancellation that any controller has confirmed is known here, steady ms */
  cancellationsKnownUntil(): number;
}
