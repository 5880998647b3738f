import { readFileSync } from 'node:fs';
import { Transform, type TransformCallback } from 'node:stream';
import { fileURLToPath } from 'node:url';
import protobuf from 'protobufjs';
import { PEER_FRAME_BYTES } from './constants.js';
import type { Cancellation } from '../core/cancellation/cancellation.js';

export interface RoomStatus {
  cpus: number;
  gpus: number;
  memoryGb: number;
  type: string;
  zone: string;
  spot: boolean;
  /** machines that are alike */
  count: number;
  /** the least rank that finds this room, by displacing what is there; 0: it is free */
  rank: number;
  /** images that any of them holds */
  images: string[];
}
export interface PeerStatus {
  node: string;
  incarnation: string;
  sentAt: number;
  hasState: boolean;
  /** whether progress of jobs and images are in this message; they are left out of most */
  detailed: boolean;
  parts: {
    part: number;
    /** by rank, each for jobs without and with spot machines */
    loads: number[];
    rooms: RoomStatus[];
    /** tasks of a rank or a higher one that wait for room, by rank */
    waiting: number[];
    busy: { jobClass: string; tasks: number }[];
    images: { machine: string; images: string[]; gb: number[] }[];
  }[];
  jobs: { uid: string; running: number; done: number; part: number }[];
  echoes: { node: string; sentAt: number; incarnation: string }[];
  sightings: { part: number; workers: number }[];
  classes: { jobClass: string; runS: number; finished: number }[];
  cancellations: Cancellation[];
  cancellationsComplete: boolean;
}

/** The package's root, from wherever this file was compiled to. */
const protoFile = (): string => {
  for (const up of ['../../src/peers/', '../../../../src/peers/', '../src/peers/', './']) {
    const file = fileURLToPath(new URL(`${up}peers.proto`, import.meta.url));
    try {
      return readFileSync(file, 'utf8');
    } catch {
      // not there: try the next place
    }
  }
  throw new Error('peers.proto is missing from the installation');
};

const Status = protobuf.parse(protoFile()).root.lookupType('sumacstep.Status');

const encode = (status: PeerStatus): Buffer =>
  Buffer.from(Status.encodeDelimited(Status.fromObject(status)).finish());

const withoutImages = (status: PeerStatus): PeerStatus => ({
  ...status,
  parts: status.parts.map((part) => ({ ...part, images: [] })),
});

const withoutProgress = (status: PeerStatus): PeerStatus => ({
  ...status,
  jobs: [],
  parts: status.parts.map((part) => ({
    ...part,
    rooms: part.rooms.map((room) => ({ ...room, images: [] })),
  })),
});

/**
 * Status objects in, length-delimited bytes out, a buffer a status: encoded once for all peers. What grows
 * with the machines and jobs is left out of a status that would be too long for the receivers; it only
 * helps them to place better, and counts for display.
 */
export class StatusEncoder extends Transform {
  constructor(
    /** called with the bytes of a status that was too long */
    private readonly onTooLong: (bytes: number) => void = () => undefined,
  ) {
    super({ writableObjectMode: true, readableObjectMode: true });
  }

  override _transform(status: PeerStatus, _: BufferEncoding, done: TransformCallback): void {
    const whole = encode(status);
    if (whole.length <= PEER_FRAME_BYTES) {
      done(null, whole);
      return;
    }
    this.onTooLong(whole.length);
    const shorter = withoutImages(status);
    const bytes = encode(shorter);
    done(null, bytes.length <= PEER_FRAME_BYTES ? bytes : encode(withoutProgress(shorter)));
  }
}

/** Length-delimited bytes in, Status objects out. */
export class StatusDecoder extends Transform {
  #rest: Buffer = Buffer.alloc(0);
  constructor() {
    super({ readableObjectMode: true });
  }
  override _transform(chunk: Buffer, _: BufferEncoding, done: TransformCallback): void {
    this.#rest = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
    try {
      for (let frame = this.#next(); frame !== null; frame = this.#next()) {
        const message = Status.decode(frame);
        this.push(Status.toObject(message, { arrays: true, defaults: true, longs: Number }));
      }
      done();
    } catch (error) {
      done(error as Error);
    }
  }
  #next(): Uint8Array | null {
    const reader = protobuf.Reader.create(this.#rest);
    let length: number;
    try {
      length = reader.uint32();
    } catch {
      return null; // the length itself is not complete yet
    }
    if (length > PEER_FRAME_BYTES) throw new Error(`frame of ${length} bytes`);
    const end = reader.pos + length;
    if (this.#rest.length < end) return null;
    const frame = this.#rest.subarray(reader.pos, end);
    this.#rest = this.#rest.subarray(end);
    return frame;
  }
}
