/** The state of the other nodes and their shards, as far as the control loops of this node's shards use it. */
import type { JobSpec } from '../core/model.js';

/** Another shard to which tasks may migrate, and how many it takes. */
export interface MigrationDestination {
  readonly shard: number;
  readonly tasks: number;
}

/** The capacity of the other shards. */
export interface OtherShards {
  /**
   * Returns a shard other than `excluded` with free capacity for at least `minimumTasks` tasks of the job, and the
   * number of tasks; null if there is none.
   */
  shardWithFreeCapacity(
    spec: JobSpec,
    excluded: number,
    minimumTasks: number,
  ): MigrationDestination | null;
  /**
   * Returns a shard whose capacity for such jobs is allocated much less than that of `shard`; null if there is none.
   */
  lessAllocatedShard(spec: JobSpec, shard: number): number | null;
}

/** The other nodes, according to their latest messages. */
export interface PeerView extends OtherShards {
  /** Returns a reachable peer that is connected to the store; null if there is none. */
  reachablePeerWithStore(): string | null;
  /** Returns the incarnation of the peer if it is reachable and connected to the store, else null. */
  incarnationWithStore(node: string): string | null;
  /** Returns the images that another owner knew on the machine, with their sizes in GB. */
  imagesOf(machine: string): ReadonlyMap<string, number>;
  /** Returns the reachable peer that receives heartbeats of most workers of the shard; null if there is none. */
  peerReceivingHeartbeats(shard: number): string | null;
  /** Returns the time, monotonic ms, up to which this node knows every cancellation that any node has confirmed. */
  cancellationsKnownUntil(): number;
}
