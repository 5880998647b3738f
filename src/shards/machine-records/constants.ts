/** Intervals and size limits of machine records. */

/** interval between two writes of a shard's machine records, so that machines that boot together share a write */
export const MACHINE_RECORDS_INTERVAL_MS = 400;

/** bytes of one machine in the record of its group: its name with quotes, and its state */
export const MACHINE_ENTRY_BYTES = 40;

/** bytes of everything else in the record of a group, given that type and zone are short names */
export const MACHINE_GROUP_OVERHEAD_BYTES = 300;

/** number of returned machines whose names are remembered, since the cloud still lists them for a short time */
export const RETURNED_INSTANCES_LIMIT = 10_000;
