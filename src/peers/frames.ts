/**
 * Messages between the nodes: the TypeScript types that mirror `status.proto`, and the streams that encode and decode
 * the messages as length-delimited protobuf. Only field numbers are sent, so versions that name a field differently
 * understand each other.
 */
import { readFileSync } from 'node:fs';
import { Transform, type TransformCallback } from 'node:stream';
import protobuf from 'protobufjs';
import { ByteCollector } from '../transport/byte-collector.js';
import { MAX_FRAME_BYTES } from './constants.js';
import type { Cancellation } from '../core/cancellation/cancellation.js';

/** Free resources of each of `count` identical machines. */
export interface FreeCapacity {
  cpus: number;
  gpus: number;
  memoryGb: number;
  type: string;
  zone: string;
  spot: boolean;
  /** number of identical machines */
  count: number;
  /** lowest priority rank that may use this capacity, by preempting running tasks; 0: no preemption is needed */
  minimumRank: number;
  /** images cached on at least one of these machines */
  images: string[];
}

/** Images cached on one machine, with their sizes in GB. */
export interface MachineImages {
  machine: string;
  images: string[];
  gb: number[];
}

/** Status of a shard, as its owner sends it to the peers. */
export interface ShardStatus {
  shard: number;
  /**
   * allocation ratios, two for each rank: for jobs that may not use spot machines and for jobs that may; see
   * `loadIndex`
   */
  loads: number[];
  freeCapacity: FreeCapacity[];
  /** by rank: number of unschedulable tasks of that rank or a higher one */
  waiting: number[];
  /** number of tasks of each job class, waiting or placed */
  activeTasks: { jobClass: string; tasks: number }[];
  /** empty unless the status is detailed */
  images: MachineImages[];
}

/** Progress of a job within one shard, for display. */
export interface JobProgress {
  uid: string;
  running: number;
  done: number;
  shard: number;
}

/** Acknowledges the newest message that the sender of the status has received from `node`. */
export interface Echo {
  node: string;
  /** `sentAt` of the acknowledged message, ms of the monotonic clock of `node` */
  sentAt: number;
  /** incarnation of `node` that sent the acknowledged message */
  incarnation: string;
}

/** The status message of one node. */
export interface PeerStatus {
  node: string;
  incarnation: string;
  /** time of sending, ms of the sender's monotonic clock */
  sentAt: number;
  /** whether the sender can reach the store */
  hasStore: boolean;
  /** whether the message includes job progress and images, which most messages leave out */
  detailed: boolean;
  shards: ShardStatus[];
  jobs: JobProgress[];
  echoes: Echo[];
  /** by shard: number of workers that send heartbeats to the sender although another node owns their shard */
  observedWorkers: { shard: number; workers: number }[];
  /** learned run times of job classes, in seconds, and the number of finished tasks behind each */
  classes: { jobClass: string; runS: number; finished: number }[];
  cancellations: Cancellation[];
  /** whether `cancellations` lists every cancellation that some peer may not know */
  cancellationsComplete: boolean;
}

/**
 * The build copies the schema next to the compiled module or the bundle. It is not looked up anywhere else, since an
 * installation inside the repository of another version would then load that version's schema.
 */
const SCHEMA_FILE = new URL('./status.proto', import.meta.url);

const Status = protobuf
  .parse(readFileSync(SCHEMA_FILE, 'utf8'))
  .root.lookupType('sumacstep.Status');

const encode = (status: PeerStatus): Buffer =>
  Buffer.from(Status.encodeDelimited(Status.fromObject(status)).finish());

const withoutMachineImages = (status: PeerStatus): PeerStatus => ({
  ...status,
  shards: status.shards.map((shard) => ({ ...shard, images: [] })),
});

const withoutProgressAndCapacityImages = (status: PeerStatus): PeerStatus => ({
  ...status,
  jobs: [],
  shards: status.shards.map((shard) => ({
    ...shard,
    freeCapacity: shard.freeCapacity.map((capacity) => ({ ...capacity, images: [] })),
  })),
});

/**
 * Transforms each status into one buffer that holds a length-delimited frame, encoded once for all peers. The size of
 * images and progress grows with the number of machines and jobs. A status that would exceed `MAX_FRAME_BYTES` is
 * sent without images, and if it is still too long without progress, since both only improve placement and display.
 */
export class StatusEncoder extends Transform {
  constructor(
    /** called with the size in bytes of a status that exceeds `MAX_FRAME_BYTES` */
    private readonly onOversized: (bytes: number) => void = () => undefined,
  ) {
    super({ writableObjectMode: true, readableObjectMode: true });
  }

  override _transform(
    status: PeerStatus,
    _encoding: BufferEncoding,
    callback: TransformCallback,
  ): void {
    const frame = encode(status);
    if (frame.length <= MAX_FRAME_BYTES) {
      callback(null, frame);
      return;
    }
    this.onOversized(frame.length);
    const reduced = withoutMachineImages(status);
    const reducedFrame = encode(reduced);
    callback(
      null,
      reducedFrame.length <= MAX_FRAME_BYTES
        ? reducedFrame
        : encode(withoutProgressAndCapacityImages(reduced)),
    );
  }
}

/** Thrown if a peer announces a frame longer than `MAX_FRAME_BYTES`; the connection is then closed. */
export class FrameTooLongError extends Error {
  constructor(readonly bytes: number) {
    super(`peer frame of ${bytes} bytes exceeds the limit of ${MAX_FRAME_BYTES} bytes`);
  }
}

/** Transforms a byte stream of length-delimited frames into statuses; a malformed frame fails the stream. */
export class StatusDecoder extends Transform {
  /** received bytes of a frame that is still incomplete */
  readonly #buffered = new ByteCollector(MAX_FRAME_BYTES);

  constructor() {
    super({ readableObjectMode: true });
  }

  override _transform(chunk: Buffer, _encoding: BufferEncoding, callback: TransformCallback): void {
    this.#buffered.append(chunk);
    try {
      for (let frame = this.#nextFrame(); frame !== null; frame = this.#nextFrame()) {
        const message = Status.decode(frame);
        this.push(Status.toObject(message, { arrays: true, defaults: true, longs: Number }));
      }
      callback();
    } catch (error) {
      callback(error as Error);
    }
  }

  /** Removes the next complete frame from the buffer and returns its payload; null if more bytes are needed. */
  #nextFrame(): Uint8Array | null {
    const { bytes } = this.#buffered;
    const reader = protobuf.Reader.create(bytes);
    let length: number;
    try {
      length = reader.uint32();
    } catch {
      // The length prefix is incomplete.
      return null;
    }
    if (length > MAX_FRAME_BYTES) throw new FrameTooLongError(length);
    const end = reader.pos + length;
    if (bytes.length < end) return null;
    this.#buffered.discard(end);
    return bytes.subarray(reader.pos, end);
  }
}
