/**
 * Loopback addresses for stand-ins. Each cluster has one of its own, so that a port which a stopped
 * controller or machine has left is never given to another cluster: that one would be taken for the old
 * one, by names that all clusters share.
 */
const BYTE_VALUES = 256;
/** the last byte of an address, without network and broadcast */
const MAX_CLUSTERS = 254;

let clusters = 0;

/** An address in 127.0.0.0/8 that no other cluster of this or another running process has. */
export const nextLoopbackAddress = (): string => {
  clusters += 1;
  if (clusters > MAX_CLUSTERS) throw new Error('too many clusters in one test file');
  const process16 = process.pid % BYTE_VALUES ** 2;
  // Not 127.0.x.x, where the addresses of everything else are.
  const [high, low] = [
    1 + (Math.floor(process16 / BYTE_VALUES) % (BYTE_VALUES - 2)),
    process16 % BYTE_VALUES,
  ];
  return `127.${high}.${low}.${clusters}`;
};
