/**
 * Messages between the nodes: the typed form of `status.proto`, and the streams that encode and decode them as
 * length-delimited protobuf. Field numbers are the wire form; an older version reads them by its own names.
 */
import { readFileSync } from 'node:fs';
import { Transform, type TransformCallback } from 'node:stream';
import protobuf from 'protobufjs';
import { MAX_FRAME_BYTES } from './constants.js';
import type { Cancellation } from '../core/cancellation/cancellation.js';

/** Free resources of each of `count` machines that are alike. */
export interface FreeCapacity {
  cpus: number;
  gpus: number;
  memoryGb: number;
  type: string;
  zone: string;
  spot: boolean;
  /** machines that are alike */
  count: number;
  /** lowest priority rank that may use it, by preempting what runs there; 0: it is free */
  minimumRank: number;
  /** images cached on any of them */
  images: string[];
}

/** Images cached on one machine, with their sizes in GB. */
export interface MachineImages {
  machine: string;
  images: string[];
  gb: number[];
}

/** What the owner of a shard tells of it. */
export interface ShardStatus {
  shard: number;
  /** allocation ratios by rank, each for jobs without and with spot machines; see `loadIndex` */
  loads: number[];
  freeCapacity: FreeCapacity[];
  /** unschedulable tasks of a rank or a higher one, by rank */
  waiting: number[];
  /** tasks of each class, waiting or placed */
  activeTasks: { jobClass: string; tasks: number }[];
  /** only in a detailed status */
  images: MachineImages[];
}

/** Progress of a job within one shard, for display. */
export interface JobProgress {
  uid: string;
  running: number;
  done: number;
  shard: number;
}

/** Acknowledges the newest message that the sender has received from a node. */
export interface Echo {
  node: string;
  /** the acknowledged message's `sentAt`, by the clock of `node` */
  sentAt: number;
  incarnation: string;
}

/** The status message of one node. */
export interface PeerStatus {
  node: string;
  incarnation: string;
  /** ms of the sender's monotonic clock */
  sentAt: number;
  /** whether the store answers the sender */
  hasStore: boolean;
  /** whether jobs' progress and images are in this message; they are left out of most */
  detailed: boolean;
  shards: ShardStatus[];
  jobs: JobProgress[];
  echoes: Echo[];
  /** workers whose heartbeats reached the sender although another node owns their shard */
  observedWorkers: { shard: number; workers: number }[];
  /** learned run times of job classes */
  classes: { jobClass: string; runS: number; finished: number }[];
  cancellations: Cancellation[];
  /** whether `cancellations` names all that another node may not know */
  cancellationsComplete: boolean;
}

/**
 * The schema lies beside the compiled module, or beside the bundle: the build copies it there. It is looked up in no
 * other place, since an installation inside the repository of another version would find that version's schema.
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
 * Transforms statuses into length-delimited frames, one buffer each, encoded once for all peers. Images and
 * progress grow with machines and jobs; they are left out of a status that would exceed `MAX_FRAME_BYTES`, since
 * they only improve placement and display.
 */
export class StatusEncoder extends Transform {
  constructor(
    /** called with the size of a status that exceeded the limit */
    private readonly onOversized: (bytes: number) => void = () => undefined,
  ) {
    super({ writableObjectMode: true, readableObjectMode: true });
  }

  override _transform(status: PeerStatus, _: BufferEncoding, callback: TransformCallback): void {
    const whole = encode(status);
    if (whole.length <= MAX_FRAME_BYTES) {
      callback(null, whole);
      return;
    }
    this.onOversized(whole.length);
    const shorter = withoutMachineImages(status);
    const bytes = encode(shorter);
    callback(
      null,
      bytes.length <= MAX_FRAME_BYTES ? bytes : encode(withoutProgressAndCapacityImages(shorter)),
    );
  }
}

/** A peer announced a frame longer than `MAX_FRAME_BYTES`; its connection is closed. */
export class FrameTooLongError extends Error {
  constructor(readonly bytes: number) {
    super(`peer frame of ${bytes} bytes exceeds the limit of ${MAX_FRAME_BYTES} bytes`);
  }
}

/** Transforms a byte stream of length-delimited frames into statuses; a malformed frame ends it with an error. */
export class StatusDecoder extends Transform {
  /** bytes of a frame that is not complete yet */
  #buffered: Buffer = Buffer.alloc(0);

  constructor() {
    super({ readableObjectMode: true });
  }

  override _transform(chunk: Buffer, _: BufferEncoding, callback: TransformCallback): void {
    this.#buffered = this.#buffered.length === 0 ? chunk : Buffer.concat([this.#buffered, chunk]);
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

  /** The next complete frame; null if more bytes are needed. */
  #nextFrame(): Uint8Array | null {
    const reader = protobuf.Reader.create(this.#buffered);
    let length: number;
    try {
      length = reader.uint32();
    } catch {
      // The length prefix itself is not complete yet.
      return null;
    }
    if (length > MAX_FRAME_BYTES) throw new FrameTooLongError(length);
    const end = reader.pos + length;
    if (this.#buffered.length < end) return null;
    const frame = this.#buffered.subarray(reader.pos, end);
    this.#buffered = this.#buffered.subarray(end);
    return frame;
  }
}
