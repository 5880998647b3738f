import hdr from 'hdr-histogram-js';
import type { FencingRejectionCounts } from '@sumacstep/leader-election';
import type { Logger } from 'pino';
import type { Shard } from '../core/shard/shard.js';

const MEBIBYTE = 2 ** 20;
/** ms; acceptances that take longer count as this long */
const LONGEST_MS = 60_000;

/** The figures of one shard in the summary line. */
const summaryOf = (index: number, shard: Shard) => {
  let waiting = 0;
  let placed = 0;
  for (const job of shard.jobs.values()) {
    waiting += job.waitingTasks.length;
    placed += job.placements.size;
  }
  const machines = [...shard.machines.values()];
  const known = machines.filter((m) => m.confirmedSince !== null);
  const idle = known.filter((m) => m.tasks.size === 0).length;
  return {
    part: index,
    term: shard.term,
    waiting,
    placed,
    machines: machines.length,
    up: known.length,
    idle,
  };
};

/** Counts what the periodic `summary` line of the log says. */
export class PeriodicSummary {
  readonly #acceptMs = hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: LONGEST_MS,
  });
  #connectionsDropped = 0;

  constructor(private readonly log: Logger) {}

  /** A submission was accepted after so long. */
  accepted(ms: number): void {
    this.#acceptMs.recordValue(Math.max(1, Math.round(ms)));
  }

  /** A connection was closed at once for want of sockets. */
  connectionDropped(): void {
    this.#connectionsDropped += 1;
  }

  /** Writes the line and begins to count anew. */
  write(
    shards: ReadonlyMap<number, { readonly shard: Shard }>,
    activeJobs: number,
    storeAvailable: boolean,
    ordersRefused: FencingRejectionCounts,
  ): void {
    const percentile = (p: number) => this.#acceptMs.getValueAtPercentile(p);
    const count = this.#acceptMs.totalCount;
    this.log.info(
      {
        parts: [...shards].map(([index, { shard }]) => summaryOf(index, shard)),
        active: activeJobs,
        state: storeAvailable,
        acceptMs: { p50: percentile(50), p99: percentile(99), count },
        connectionsDropped: this.#connectionsDropped,
        ordersRefused,
        rssMb: Math.round(process.memoryUsage.rss() / MEBIBYTE),
      },
      'summary',
    );
    this.#acceptMs.reset();
    this.#connectionsDropped = 0;
  }
}
