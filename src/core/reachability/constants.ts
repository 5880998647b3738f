/** When machines count as unreachable or faulty, and jobs as suspect. */

/** heartbeat intervals without a message after which a machine gets no new tasks. */
export const STALE_HEARTBEAT_INTERVALS = 2.2;

/** heartbeat intervals without any message after which a machine with replicas of services is returned to the
 * cloud: each second costs served time, and a machine that only lost a heartbeat or two is heard within this. */
export const HEARTBEATS_LOST_SERVICE_INTERVALS = 3;

/** heartbeat intervals without a heartbeat after which a machine is returned to the cloud. */
export const HEARTBEATS_LOST_INTERVALS = 4.5;

/** heartbeat intervals after which a machine that loses commands is returned to the cloud. */
export const COMMANDS_LOST_RETURN_INTERVALS = 2;

/** share of the time for a cancellation after which a task that was told to stop and still runs costs its machine:
 * the rest is for the cloud's answer, and for asking again. */
export const STOP_TIMEOUT_SHARE = 0.5;

/** ms; failures of a service count anew after a replica ran this long. */
export const REPLICA_STABLE_MS = 60_000;

/** distinct jobs that must fail on a machine, without a success between, to quarantine it. */
export const QUARANTINE_FAILED_JOBS = 2;

/** the same if all of them fail elsewhere, too: one job in 25 may be submitted with a mistake, so four of them in a
 * row on a healthy machine are rare, and a faulty machine meets four jobs within seconds. */
export const QUARANTINE_SUSPECT_JOBS = 4;

/** failures on different machines, without a success between, after which a job is suspect itself. */
export const SUSPECT_FAILURES = 2;

/** ms; a task of a suspect job that has run this long shows that the job can run: its other tasks follow. */
export const SUSPECT_JOB_PROBE_MS = 20_000;

/** s; first and longest backoff of a job whose tasks fail on machine after machine. */
export const JOB_BACKOFF_S = { first: 2, max: 60 } as const;

/** ms; a machine that failed a job's task is avoided by that job for this long. No job may wait for 90 s beside a
 * machine with free capacity, and it may be the only one. */
export const MACHINE_AVOIDANCE_MS = 60_000;
