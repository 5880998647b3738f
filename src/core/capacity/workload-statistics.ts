/** Learns arrival rates and run times by job class from the jobs that this node sees. */
import {
  RELIABLE_RUN_COUNT,
  MIN_ARRIVAL_WINDOW_S,
  ARRIVAL_WINDOW_S,
  RUN_TIME_SMOOTHING,
  COUNTED_JOBS_LIMIT,
} from './constants.js';
import type { JobSpec } from '../model.js';

/** Statistics of one job class. */
export interface ClassStats {
  /** tasks that arrive in a second */
  readonly tasksPerS: number;
  /** expected run time of a task, measured or estimated; null: unknown */
  readonly runS: number | null;
  /** the spec of the job of the class that arrived last; null: none has arrived */
  readonly sample: JobSpec | null;
}

/** Observations of one job class. */
interface ClassObservations {
  /** arrivals, the newest last; `at` is a time of day in seconds */
  arrivals: { at: number; tasks: number }[];
  /** moving average of measured run times; null: no task has finished */
  runS: number | null;
  finished: number;
  /** estimates of the jobs' owners, summed over tasks */
  estimates: { sum: number; count: number };
  sample: JobSpec | null;
}

const expectedRunS = (observed: ClassObservations): number | null => {
  const { estimates } = observed;
  const estimate = estimates.count > 0 ? estimates.sum / estimates.count : null;
  if (observed.runS === null || estimate === null) return observed.runS ?? estimate;
  // The first tasks to finish are the short ones, so the measured time is too low at first: the owners' estimates
  // count for less as more tasks finish.
  const confidence = Math.min(1, observed.finished / RELIABLE_RUN_COUNT);
  return observed.runS * confidence + estimate * (1 - confidence);
};

/** Arrival rates and run times by job class. Does no input or output. */
export class WorkloadStatistics {
  readonly #classes = new Map<string, ClassObservations>();
  /** time of day of the earliest arrival in seconds; null: none yet */
  #firstArrivalAt: number | null = null;
  /** size of `#countedJobs` above which ended jobs are removed from it */
  #countedJobsLimit = COUNTED_JOBS_LIMIT;
  /** uids of jobs whose arrival has been counted; see `forgetEndedJobs` */
  #countedJobs = new Set<string>();

  #observationsOf(jobClass: string): ClassObservations {
    let observed = this.#classes.get(jobClass);
    if (observed === undefined) {
      observed = {
        arrivals: [],
        runS: null,
        finished: 0,
        estimates: { sum: 0, count: 0 },
        sample: null,
      };
      this.#classes.set(jobClass, observed);
    }
    return observed;
  }

  /** Counts a job that was accepted at `at`, a time of day in seconds. Repeated calls for a job have no effect. */
  recordArrival(spec: JobSpec, at: number): void {
    if (this.#countedJobs.has(spec.uid)) return;
    this.#countedJobs.add(spec.uid);
    const observed = this.#observationsOf(spec.jobClass);
    this.#firstArrivalAt = this.#firstArrivalAt === null ? at : Math.min(this.#firstArrivalAt, at);
    observed.arrivals.push({ at, tasks: spec.tasks });
    observed.sample = spec;
    if (spec.estimateS > 0) {
      observed.estimates.sum += spec.estimateS * spec.tasks;
      observed.estimates.count += spec.tasks;
    }
  }

  /**
   * Forgets the uids of jobs that are not in `active` once more than a limit are remembered: ended jobs are not
   * reported again. Active jobs are kept however many there are, since a forgotten one would be counted again at
   * every call of `recordArrival`.
   */
  forgetEndedJobs(active: { has(uid: string): boolean }): void {
    if (this.#countedJobs.size <= this.#countedJobsLimit) return;
    this.#countedJobs = new Set([...this.#countedJobs].filter((uid) => active.has(uid)));
    this.#countedJobsLimit = Math.max(COUNTED_JOBS_LIMIT, 2 * this.#countedJobs.size);
  }

  /** Takes the run time of a finished task into the moving average of its class. */
  recordRun(jobClass: string, runS: number): void {
    const observed = this.#observationsOf(jobClass);
    observed.finished += 1;
    // The first runs are averaged with equal weights, later ones exponentially.
    const weight = Math.max(RUN_TIME_SMOOTHING, 1 / observed.finished);
    observed.runS = observed.runS === null ? runS : observed.runS + (runS - observed.runS) * weight;
  }

  /** Takes over a run time that another node has measured, if it saw more tasks finish than this one. */
  adoptRunTime(jobClass: string, runS: number, finished: number): void {
    const observed = this.#observationsOf(jobClass);
    if (finished <= observed.finished) return;
    observed.runS = runS;
    observed.finished = finished;
  }

  /** Returns the expected run time of a task of the class in seconds, measured or estimated; null: unknown. */
  runS(jobClass: string): number | null {
    const observed = this.#classes.get(jobClass);
    return observed === undefined ? null : expectedRunS(observed);
  }

  /** Returns the measured run times for other nodes, without those that are only estimated. */
  measuredRunTimes(): { jobClass: string; runS: number; finished: number }[] {
    return [...this.#classes]
      .filter(([, observed]) => observed.runS !== null)
      .map(([jobClass, { runS, finished }]) => ({ jobClass, runS: runS ?? 0, finished }));
  }

  /** Returns the statistics of every class. Arrivals that have left the window are forgotten. */
  stats(nowS: number): Map<string, ClassStats> {
    const byClass = new Map<string, ClassStats>();
    // Shortly after the first arrival, jobs are an initial burst: averaged over the time since then, they would
    // give far too high a rate.
    const windowS = Math.min(
      ARRIVAL_WINDOW_S,
      Math.max(MIN_ARRIVAL_WINDOW_S, nowS - (this.#firstArrivalAt ?? nowS)),
    );
    for (const [jobClass, observed] of this.#classes) {
      observed.arrivals = observed.arrivals.filter(({ at }) => nowS - at <= ARRIVAL_WINDOW_S);
      const tasks = observed.arrivals.reduce((sum, arrival) => sum + arrival.tasks, 0);
      byClass.set(jobClass, {
        tasksPerS: tasks / windowS,
        runS: expectedRunS(observed),
        sample: observed.sample,
      });
    }
    return byClass;
  }
}
