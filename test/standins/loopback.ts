/**
 * Loopback addresses for stand-ins. Each cluster has an address of its own, so that a port that a stopped controller or
 * machine has left is never reused by another cluster. Since all clusters use the same names of nodes and machines,
 * callers of the old port would take its new listener for the old one.
 */

const BYTE_VALUES = 256;
/** Number of values of the last byte of an address, without the network's and the broadcast address. */
const MAX_CLUSTERS = 254;

let clusters = 0;

/** Returns an address in 127.0.0.0/8 that no other cluster of this process or of another running process has. */
export const nextLoopbackAddress = (): string => {
  clusters += 1;
  if (clusters > MAX_CLUSTERS) throw new Error('too many clusters in one test file');
  const processBits = process.pid % BYTE_VALUES ** 2;
  // The second byte is at least 1: 127.0.x.x is left to everything else.
  const [high, low] = [
    1 + (Math.floor(processBits / BYTE_VALUES) % (BYTE_VALUES - 2)),
    processBits % BYTE_VALUES,
  ];
  return `127.${high}.${low}.${clusters}`;
};
