/** The periodic `summary` line of the log. */
import hdr from 'hdr-histogram-js';
import type { FencingRejectionCounts } from '@sumacstep/leader-election';
import type { Logger } from 'pino';
import type { Shard } from '../core/shard/shard.js';

const MEBIBYTE = 2 ** 20;
/** ms; acceptances that take longer count as this long */
const INITIAL_ACCEPT_RANGE_MS = 60_000;

/** The figures of one shard in the summary line. */
const summarizeShard = (index: number, shard: Shard) => {
  let waiting = 0;
  let placed = 0;
  for (const job of shard.jobs.values()) {
    waiting += job.waitingTasks.length;
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

/** What the summary line tells besides its own counts. */
export interface SummaryInputs {
  readonly shards: ReadonlyMap<number, { readonly shard: Shard }>;
  readonly activeJobs: number;
  readonly storeAvailable: boolean;
  readonly fencingRejections: FencingRejectionCounts;
}

/** Counts what the periodic `summary` line of the log says. */
export class PeriodicSummary {
  readonly #acceptMs = hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: INITIAL_ACCEPT_RANGE_MS,
  });
  #connectionsDropped = 0;

  constructor(private readonly log: Logger) {}

  /** A submission was accepted after so long. */
  recordAcceptance(ms: number): void {
    this.#acceptMs.recordValue(Math.max(1, Math.round(ms)));
  }

  /** A connection was closed at once for want of sockets. */
  recordDroppedConnection(): void {
    this.#connectionsDropped += 1;
  }

  /** Writes the line and starts to count anew. */
  write({ shards, activeJobs, storeAvailable, fencingRejections }: SummaryInputs): void {
    const percentile = (p: number) => this.#acceptMs.getValueAtPercentile(p);
    const count = this.#acceptMs.totalCount;
    this.log.info(
      {
        shards: [...shards].map(([index, { shard }]) => summarizeShard(index, shard)),
        activeJobs,
        storeAvailable,
        acceptMs: { p50: percentile(50), p99: percentile(99), count },
        connectionsDropped: this.#connectionsDropped,
        fencingRejections,
        rssMb: Math.round(process.memoryUsage.rss() / MEBIBYTE),
      },
      'summary',
    );
    this.#acceptMs.reset();
    this.#connectionsDropped = 0;
  }
}
