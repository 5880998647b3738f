/**
 * Thresholds at which a machine counts as unreachable or faulty, and at which a job counts as suspect. Intervals
 * are those between heartbeats.
 */

/** A machine whose last message is older than this gets no new tasks. */
export const STALE_HEARTBEAT_INTERVALS = 2.2;

/**
 * A machine with service replicas is returned to the cloud after this many intervals without any message: each
 * second costs served time, and a machine that only lost a heartbeat or two is heard from within this time.
 */
export const HEARTBEATS_LOST_SERVICE_INTERVALS = 3;

/** A machine is returned to the cloud after this many intervals without a heartbeat. */
export const HEARTBEATS_LOST_INTERVALS = 4.5;

/** A machine is returned to the cloud when commands to it have been lost for this many intervals. */
export const COMMANDS_LOST_RETURN_INTERVALS = 2;

/**
 * A task that has been told to stop and still runs after this share of the time for a cancellation causes its
 * machine to be returned. The rest of the time is for the cloud's answer, and for asking again.
 */
export const STOP_TIMEOUT_SHARE = 0.5;

/** When a service fails later than this after its previous failure, its failure count starts again at one. */
export const REPLICA_STABLE_MS = 60_000;

/** A machine is quarantined after this many distinct jobs failed there without a success in between. */
export const QUARANTINE_FAILED_JOBS = 2;

/**
 * A machine is quarantined after this many distinct jobs failed there without a success in between, even if all of
 * them fail on other machines, too. One job in 25 may be submitted with a mistake, so four of them in a row on a
 * healthy machine are rare, while a faulty machine meets four jobs within seconds.
 */
export const QUARANTINE_SUSPECT_JOBS = 4;

/** A job is suspect after this many failures on different machines without a success in between. */
export const SUSPECT_FAILURES = 2;

/** A task of a suspect job that has run for this long shows that the job can run: its other tasks follow. */
export const SUSPECT_JOB_PROBE_MS = 20_000;

/** First and longest backoff of a job whose tasks fail on machine after machine. */
export const JOB_BACKOFF_S = { first: 2, max: 60 } as const;

/**
 * A job avoids a machine that failed one of its tasks for this long. It is below 90 s because no job may wait that
 * long beside a machine with free capacity, and the avoided machine may be the only one.
 */
export const MACHINE_AVOIDANCE_MS = 60_000;
