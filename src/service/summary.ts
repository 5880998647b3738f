/** The periodic `summary` line of the log. */
import hdr from 'hdr-histogram-js';
import type { FencingRejectionCounts } from '@sumacstep/leader-election';
import type { Logger } from 'pino';
import type { Shard } from '../core/shard/shard.js';
import type { DirectStartCounts } from '../shards/direct-commands.js';

const MEBIBYTE = 2 ** 20;
/** Range of acceptance times that the histogram covers at first. It grows if one takes longer. */
const INITIAL_ACCEPT_RANGE_MS = 60_000;

/** Returns the figures of one shard in the summary line. */
const summarizeShard = (index: number, shard: Shard) => {
  let waiting = 0;
  let placed = 0;
  for (const job of shard.jobs.values()) {
    waiting += job.waitingTasks.size;
    placed += job.placements.size;
  }
  const machines = [...shard.machines.values()];
  const confirmed = machines.filter((machine) => machine.confirmedSince !== null);
  const idle = confirmed.filter((machine) => machine.tasks.size === 0).length;
  return {
    shard: index,
    term: shard.term,
    waiting,
    placed,
    machines: machines.length,
    up: confirmed.length,
    idle,
  };
};

/** Input of the summary line besides the counts that `PeriodicSummary` keeps. */
export interface SummaryInputs {
  readonly shards: ReadonlyMap<number, { readonly shard: Shard }>;
  readonly activeJobs: number;
  readonly storeAvailable: boolean;
  readonly fencingRejections: FencingRejectionCounts;
  readonly directStarts: Readonly<DirectStartCounts>;
}

/** Collects acceptance times and dropped connections, and writes the periodic `summary` line. */
export class PeriodicSummary {
  readonly #acceptMs = hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: INITIAL_ACCEPT_RANGE_MS,
  });
  #connectionsDropped = 0;

  constructor(private readonly log: Logger) {}

  /** Records the acceptance of a submission that took `ms`. */
  recordAcceptance(ms: number): void {
    this.#acceptMs.recordValue(Math.max(1, Math.round(ms)));
  }

  /** Counts an inbound connection that was closed on arrival because the limit was reached. */
  recordDroppedConnection(): void {
    this.#connectionsDropped += 1;
  }

  /** Writes the line at level `info` and resets the counts. */
  write(inputs: SummaryInputs): void {
    const { shards, activeJobs, storeAvailable, fencingRejections, directStarts } = inputs;
    const percentile = (rank: number) => this.#acceptMs.getValueAtPercentile(rank);
    const count = this.#acceptMs.totalCount;
    this.log.info(
      {
        shards: [...shards].map(([index, { shard }]) => summarizeShard(index, shard)),
        activeJobs,
        storeAvailable,
        acceptMs: { p50: percentile(50), p99: percentile(99), count },
        connectionsDropped: this.#connectionsDropped,
        fencingRejections,
        directStarts,
        rssMb: Math.round(process.memoryUsage.rss() / MEBIBYTE),
      },
      'summary',
    );
    this.#acceptMs.reset();
    this.#connectionsDropped = 0;
  }
}
