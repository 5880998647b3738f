/** Timing and limits of machine records. */

/** ms; between two writes of a shard's machine records: those of a boot wave come close together */
export const MACHINE_RECORDS_INTERVAL_MS = 400;

/** bytes of a machine's name in the record of its group, with quotes and state */
export const MACHINE_ENTRY_BYTES = 40;

/** bytes of everything else in such a record: type and zone are short names */
export const MACHINE_GROUP_OVERHEAD_BYTES = 300;

/** names of returned machines that are remembered: the cloud lists them a little longer */
export const RETURNED_INSTANCES_LIMIT = 10_000;
