/**
 * Every fixed number of the program, with its unit and the reason for its value.
 * What an operator may want to change is in the operator's INI file (src/config/operator.ts).
 */

// --- interfaces ---------------------------------------------------------------------------------
/** bytes; type lists below this leave room for the rest of a value. */
export const TYPE_LIST_BYTES = 2048;
/** ms; a request that takes longer than any caller waits is cut off. */
export const REQUEST_MS = 10_000;
/** bytes; the protocol's limit for request bodies. */
export const BODY_LIMIT_BYTES = 64 * 1024;
/** characters; names inside a submission end up in values of the state service, which are small. */
export const NAME_LIMIT = 200;
/** tasks; the protocol's limit for one job. */
export const TASKS_LIMIT = 100_000;
/** ms; users wait 5 s for a submission, so an answer after this is of no use to them. */
export const USER_CALL_MS = 1500;
/** requests; more than these waiting on the state service are refused at once, never queued. */
export const USER_WAITING_LIMIT = 200;
/** ms; a submission whose write would wait longer than this is refused at once. */
export const SUBMIT_WAIT_MS = 900;
/** ms; a job that was told to come back is expected for this long: most are back by then. */
export const SENT_AWAY_MS = 4000;
/** s; what a refused user is told to wait: long enough that a wave of retries spreads out. */
export const RETRY_AFTER_S = { least: 1, most: 15, spread: 3 } as const;
/** final states kept in memory; at about 100 bytes each this stays below 3 MB. */
export const FINALS_IN_MEMORY = 20_000;

// --- sockets ------------------------------------------------------------------------------------
/** share of the process's sockets that direct commands may take at once: a survivor that takes over
 * every shard claims all workers, and their reports and the users need sockets as well. */
export const DIRECT_SHARE = 0.08;
/** share of the inbound connections beyond which answers close theirs: what is left takes newcomers */
export const CROWDED_SHARE = 0.7;
/** sockets to each other node: one a way, and as many that have ended and are not gone yet */
export const PEER_SOCKETS = 4;
/** sockets kept back for what is counted nowhere: listeners, probes of the load balancer, watches */
export const SPARE_SOCKETS = 24;
/** worker leases after which an idle inbound connection is closed: a machine that is gone says nothing,
 * and users ask about every 5 s while they wait. */
export const IDLE_LEASES = 2;

// --- clocks -------------------------------------------------------------------------------------
/** ms; a change is acted on this soon, together with those that come right after it. */
export const DEBOUNCE_MS = 250;
/** share; steady clocks drift by up to 0.05 % each, so two of them differ by at most twice that. */
export const CLOCK_DRIFT = 0.001;
/** ms; the wanted state is compared with what is this often. */
export const LOOP_MS = 500;
/** ms; completions collect this long so that those of one job share a write; users allow 3 s. */
export const SAVE_MS = 200;
/** ms; between writes of completions that end neither a job nor a range: nobody waits for them. */
export const PROGRESS_MS = 1500;
/** ms; between two writes of a shard's machine records: those of a boot wave come close together. */
export const MACHINES_MS = 400;
/** share of a value's limit up to which completions of ranges are put together in it */
export const SLOT_FILL = 0.6;

// --- state service ------------------------------------------------------------------------------
/** transactions remembered as refused for good, by keys and sizes; there should be none at all. */
export const INVALID_KEPT = 200;
/** conditions of a transaction for each put or delete that it may have; the protocol's limit. */
export const CONDITIONS_PER_OP = 4;
/** bytes; well under the 64 KiB of a transaction, keys and conditions included. */
export const BATCH_BYTES = 40_000;
/** tokens; a node with a small share may still send a transaction of this size at once. */
export const MIN_STORE_BURST = 4;
/** ms; a read of the feed that takes longer is held: nothing changes. Usual answers take 10 ms. */
export const HELD_READ_MS = 40;
/** share of a node's requests that the feed may take; less means answers and starts come later. */
export const FEED_SHARE = 0.3;
/** ms; polls of the same job that come within this time share a read. */
export const READ_GATHER_MS = 4;
/** calls; a single one may be lost on the way without the service being out. */
export const STORE_FAILURES_LIMIT = 2;
/** connections; a node has few calls in flight at a time. */
export const STORE_SOCKETS = 12;
/** ms; between tries while there is no lease, or after a slow renewal. */
export const LEASE_RETRY_MS = 300;
/** ms; usual answers take under 10 ms, slow ones a few hundred: later than this is "no answer". */
export const STORE_CALL_TIMEOUT_MS = 2000;
/** ms; a node's lease. Shorter means quicker takeover, longer survives slow renewals. */
export const LEASE_TTL_MS = 6000;
/** ms; three renewals may fail before the lease is lost. */
export const LEASE_RENEW_MS = 1500;
/** ms; taken off a lease's end, for the time between checking authority and acting on it. */
export const LEASE_MARGIN_MS = 500;
/** ms; a watch is opened again no sooner than this: each opening counts as a request. */
export const FOLLOW_PAUSE_MS = 400;
/** ms; how long a watch blocks. A held watch shows an outage only by its end, so not for long. */
export const FOLLOW_BLOCK_MS = 10_000;
/** items in one page of a listing; the service returns no more than 1,000. */
export const LIST_PAGE = 500;
/** ms; pause after a failed call in the feeds, so that an outage causes no storm of retries. */
export const STORE_RETRY_MS = 400;
/** ms; state answered more recently than this counts as "has state". */
export const STORE_FRESH_MS = 4000;
/** requests waiting for a token; beyond it a call fails at once instead of growing the queue. */
export const STORE_QUEUE_LIMIT = 500;
/** s of a limit that may be spent at once; the service itself allows one second's worth. */
export const STORE_BURST_S = 0.8;
/** ms; calls stop for this long after a 429, since somebody has spent the shared budget. */
export const BACKOFF_429_MS = 300;

/**
 * ms; a node without state stays in the load balancer this long although a peer has state. At both ends
 * of an outage the nodes see it a little apart, and a node that leaves comes back late.
 */
export const READY_GRACE_MS = 3000;
/**
 * ms; a node without state that hears no other node leaves the load balancer after this: by then its
 * lease is over and others have taken its shards. Its users are better served by them.
 */
export const CUT_OFF_MS = 8000;

// --- membership ---------------------------------------------------------------------------------
/** ms; a stray worker is told to the others for this long. */
export const SIGHTING_MS = 6000;
/** ms; a shard whose owner is gone is left this long to the node that it belongs to. */
export const FAILOVER_GRACE_MS = 1500;
/** ms; a returned node must have been alive this long before it gets its shard back. */
export const FAILBACK_MS = 8000;
/** ms; upper end of that time, which doubles with every handover of a shard: no flapping. */
export const MAX_FAILBACK_MS = 120_000;
/** ms; a shard that its living node gave away stays with the one that got it so long: that node hears no
 * workers, and nothing tells when it does again. Doubles each time, up to `HANDBACK_MAX_MS`. */
export const FAILBACK_HOLD_MS = 45_000;
/** ms; a handover without an answer is settled after this: the call itself has timed out by then. */
export const TRANSFER_SETTLE_MS = 2500;
/** ms; a duty without a holder is left this long to each candidate before the next one tries. */
export const DUTY_GRACE_MS = 1500;
/** ms; between two looks at what may be cleared: nobody waits for it. */
export const CLEAR_ROUND_MS = 10_000;
/** ms; observed time is written this often. A holder that ends sooner has observed nothing, so not rarely. */
export const RETENTION_WRITE_MS = 600_000;
/** ms; what a move waits for is written this often: it changes with every task, and people read it. */
export const MOVE_REASON_MS = 5000;
/** tries; an acceptance that met a clearing of final states is written anew. */
export const ACCEPT_TRIES = 3;
/** ms; gossip interval between nodes. */
export const GOSSIP_MS = 1000;
/** messages; one in so many carries what is large and changes slowly. */
export const DETAIL_EVERY = 8;
/** ms; a peer not heard for this long counts as unreachable. */
export const PEER_FRESH_MS = 3500;
/** bytes; a longer frame is an error of the sender: what does not fit is left out before. */
export const PEER_FRAME_BYTES = 1024 * 1024;
/** ms; a cancellation is told to the other nodes this soon, together with those of the same moment. */
export const CANCELLATION_FLUSH_MS = 50;
/** cancellations told at once; two writes each at 35 a second, kept for a minute, make about 1,000. */
export const GOSSIPED_CANCELLATIONS_LIMIT = 2000;
/** ms; kept back from the time for a cancellation when worker leases are renewed without knowing it:
 * the way of an answer, the worker's own timers, and the end of its tasks. */
export const LEASE_WITHHOLDING_MARGIN_MS = 1500;
/** ms; an owner whose workers are all silent for this long, while a peer hears them, hands over. */
export const NO_HEARTBEATS_MS = 7000;
/** report intervals; the same where workers report so often that this comes sooner: machines count as lost
 * after `LOST_REPORTS` of them. */
export const NO_HEARTBEATS_INTERVALS = 2.5;
/** attempt numbers are term * this + counter: below 2^53 for terms under a billion. */
export const ATTEMPTS_PER_TERM = 2 ** 23;

// --- workers ------------------------------------------------------------------------------------
/** ms; between attempts to tell a worker of our term directly. */
export const CLAIM_PAUSE_MS = 2000;
/** ms; a direct command that takes longer than this is given up. */
export const COMMAND_MS = 1500;
/** ms; a worker drops an answer that comes later than 4 s; ours are made within milliseconds. */
export const COMMAND_UNSENT_MS = 8000;
/** ms; added to a worker's lease before its tasks count as gone. */
export const WORKER_LEASE_MARGIN_MS = 1000;
/** report intervals without a report after which a machine gets no new tasks. */
export const MISSED_HEARTBEAT_INTERVALS = 2.2;
/** the same for a machine with replicas of services: each second costs served time, and a machine
 * that only lost a report or two says something within this. */
export const UNREACHABLE_HEARTBEAT_INTERVALS_SERVICE = 3;
/** ms; a replica that ran this long was well: its failures count anew. */
export const REPLICA_WELL_MS = 60_000;
/** report intervals without a report after which a machine is returned to the cloud. */
export const UNREACHABLE_HEARTBEAT_INTERVALS = 4.5;
/** s; a stop whose task still runs after its grace and this is repeated with no grace. */
export const STOP_OVERDUE_S = 6;
/** ms; a worker is told to forget completed tasks after this at the latest; it lists them until then. */
export const FORGET_AFTER_MS = 20_000;
/** tasks; with so many completed ones in its list a worker is told at once: reports stay short. */
export const FORGET_BATCH_LIMIT = 16;
/** orders in a row without effect after which a machine counts as one that hears nothing. */
export const LOST_COMMANDS_LIMIT = 2;
/** report intervals after which a machine that hears nothing is returned to the cloud. */
export const COMMANDS_LOST_RETURN_INTERVALS = 2;
/** share of the time for a cancellation after which a task that was told to stop and still runs
 * costs its machine: the rest is for the cloud's answer, and for asking again. */
export const STOP_PATIENCE = 0.5;
/** share of a shard's machines on which more gangs than the first may wait for the rest of theirs. */
export const COLLECT_SHARE = 0.06;
/** stuck jobs for which room is sought in one pass: each looks at every machine of the shard. */
export const ROOM_TRIES = 8;
/** distinct jobs that must fail on a machine, without a success between, to condemn it. */
export const QUARANTINE_FAILED_JOBS = 2;
/** the same if all of them fail elsewhere, too: one job in 25 may be submitted with a mistake, so four of
 * them in a row on a healthy machine are rare, and a faulty machine meets four jobs within seconds. */
export const QUARANTINE_SUSPECT_JOBS = 4;
/** failures on different machines, without a success between, after which a job is suspect itself */
export const SUSPECT_FAILURES = 2;
/** ms; a task of a suspect job that has run this long shows that the job can run: its other tasks follow. */
export const PROBE_WELL_MS = 20_000;
/** s; first and longest pause of a job whose tasks fail on machine after machine. */
export const JOB_PAUSE_S = { first: 2, most: 60 } as const;
/** ms; a machine that failed a job's task is avoided by that job for this long. No job may wait for 90 s
 * beside a machine with room, and it may be the only one. */
export const AVOID_MS = 60_000;
/** ms; a machine that refused a start as full is left alone for this long: our state lag. */
export const NO_ROOM_BACKOFF_MS = 3000;
/** ms; a hold on a machine for a preempting task ends after this if the task went elsewhere. */
export const RESERVATION_MS = 30_000;

// --- jobs ---------------------------------------------------------------------------------------
/** tries; each conflict means that the job's owner has just written it. */
export const CANCEL_TRIES = 4;
/** booked share by which a range raises its shard, until the shard's own figure comes round. */
export const LOAD_PER_RANGE = 0.05;
/** a shard of which nothing is known is neither light nor heavy */
export const UNKNOWN_LOAD = 0.85;
/** ranges of one job: its record must stay well within a value of the state service. */
export const MAX_RANGES = 64;
/** ms; a job none of whose tasks has begun by then goes before newer ones, whatever their aims. */
export const BEGIN_MS = 90_000;
/** s; a job without aims or deadline comes after those of its rank that have one this soon. */
export const NO_AIM_S = 600;
/** tasks; a range is not cut smaller than this, since each range costs writes of its own. */
export const MIN_RANGE_TASKS = 16;
/** tasks; a range's completion bitmap (4 per character) must fit one value of the state service, which
 * may allow less than this. */
export const MAX_RANGE_TASKS = 8192;
/** bytes beside a bitmap in a value that holds one range: its name and the quotes. */
export const RANGE_NAME_BYTES = 100;
/** share of a value's limit that a job's record may fill when tasks pass: cuts add to it. */
export const RECORD_FILL = 0.95;
/** bytes of a machine's name in a record of machines, with its quotes and state */
export const HOST_BYTES = 40;
/** bytes of everything else in such a record: type and zone are short names */
export const GROUP_BYTES = 300;
/** ms; a waiting range that fits nowhere in its shard may pass to another shard after this. */
export const TRANSFER_AFTER_MS = 1500;
/** ms; what other nodes say of their room comes about once a second, so passes are tried as often. */
export const TRANSFER_EVERY_MS = 500;
/** jobs looked at in one try, the longest waiting first. */
export const TRANSFER_TRIES = 10;
/** ms; tasks that wait longer than this although no shard has room may pass to one that is less booked. */
export const BALANCE_AFTER_MS = 10_000;
/** ms; between two such passes of a shard: each costs a write, and what others told is a second old. */
export const BALANCE_EVERY_MS = 1000;
/** times; the booked share of a shard must be so much larger than the other's: no passing to and fro. */
export const BALANCE_RATIO = 1.5;
/** booked share that it must be larger by as well: little differences are not worth a write. */
export const BALANCE_MARGIN = 0.5;
/** ms; a range that passed stays at least this long before it passes again. */
export const TRANSFER_AGAIN_MS = 5000;

// --- cloud --------------------------------------------------------------------------------------
/** ms; between tries to read the machine types, without which nothing can be decided. */
export const TYPES_RETRY_MS = 1000;
/** machines in one page of the cloud's list; the protocol's limit. */
export const CLOUD_LIST_PAGE = 500;
/** connections to the cloud; its limit is a few calls in a second. */
export const CLOUD_SOCKETS = 6;
/** ms; between repeats of a rental without an answer. */
export const RENT_RETRY_MS = 1000;
/** Fractions of a machine below this are not worth renting one for. */
export const CEIL_SLACK = 0.15;
/** ms; a rental call that takes longer is repeated under the same name. */
export const CLOUD_CALL_MS = 4000;
/** ms; the machine list is read this often by each owner. */
export const LIST_MS = 5000;
/** share of a node's calls to the cloud that reading the list may take. */
export const LIST_SHARE = 0.35;
/** ms; a call that lets others go first looks again after this. */
export const TOKEN_POLL_MS = 50;
/** s of the cloud's limit that may be spent at once; the cloud allows two seconds' worth. */
export const CLOUD_BURST_S = 1.5;
/** ms; machine types (prices) are read again this often. */
export const TYPES_MS = 60_000;
/** ms; after "no capacity" the same type, zone and kind is not asked for again for this long. */
export const NO_CAPACITY_MS = 15_000;
/** names of returned machines that are kept: the cloud lists them a little longer. */
export const RETURNED_KEPT = 10_000;
/** machines; the protocol's limits for one request. */
export const RENT_MOST = 50;
export const MAX_RETURN_BATCH = 100;
/** times the nominal boot time after which a machine that never reported is given back. */
export const BOOT_GIVE_UP = 2.2;
/** ms; a machine that nobody recorded is adopted after this: its renter usually does it sooner. */
export const ADOPT_MS = 4000;
/** ms; the least time between two rental decisions of a shard. */
export const RENT_MS = 2000;

// --- learning -----------------------------------------------------------------------------------
/** jobs remembered against counting twice, before those that have ended are sorted out */
export const SEEN_JOBS_LIMIT = 20_000;
/** s; shortest span that a rate is taken over */
export const FIRST_SPAN_S = 120;
/** finished tasks from which on the measured run time is trusted alone */
export const FINISHED_ENOUGH = 20;
/** s; arrival rates are averaged over about this long: several boot times, well under an hour. */
export const RATE_WINDOW_S = 150;
/** weight of one more finished task in the learned run time of its class. */
export const RUN_WEIGHT = 0.08;
/** s; assumed run time of a class of which nothing is known and whose guess is 0. */
export const RUN_UNKNOWN_S = 60;

// --- reporting ----------------------------------------------------------------------------------
/** ms; interval of the summary line at `info`. */
export const SUMMARY_MS = 30_000;

// --- rounding -------------------------------------------------------------------------------------
/** Volumes nearer than this are equal: the sums differ in the last digits only. */
export const EQUAL_VOLUME = 1e-9;
/** unused volume by which a machine may lack the demand's and still fit it: rounding, of every resource */
export const VOLUME_SLACK = 1e-3;
/** machines in a block of the order by volume: a block is passed over at the cost of one look */
export const ORDER_BLOCK = 32;
/** Sums of decimal amounts are off in the last digits; a millionth of a core is nothing. */
export const ROUNDING = 1e-6;
/** A task that asks for nothing still costs its worker something. */
export const TASKS_WITHOUT_DEMAND = 64;
