import {
  RELIABLE_RUN_COUNT,
  MIN_ARRIVAL_WINDOW_S,
  ARRIVAL_WINDOW_S,
  RUN_TIME_SMOOTHING,
  COUNTED_JOBS_LIMIT,
} from './constants.js';
import type { JobSpec } from '../model.js';

/** What is known of a class of jobs. */
export interface ClassStats {
  /** tasks that arrive in a second */
  readonly tasksPerS: number;
  readonly runS: number | null;
  readonly sample: JobSpec | null;
}

interface Learned {
  /** arrivals as (time of day s, tasks), the newest last */
  arrivals: { at: number; tasks: number }[];
  runS: number | null;
  finished: number;
  guesses: { sum: number; count: number };
  sample: JobSpec | null;
}

const expectedRunS = (c: Learned): number | null => {
  const guess = c.guesses.count > 0 ? c.guesses.sum / c.guesses.count : null;
  if (c.runS === null || guess === null) return c.runS ?? guess;
  // Few finished tasks are the short ones: lean on the owners' guesses until there are more.
  const trust = Math.min(1, c.finished / RELIABLE_RUN_COUNT);
  return c.runS * trust + guess * (1 - trust);
};

/** Arrival rates and run times by class, learned from the jobs that come by. Pure. */
export class WorkloadStatistics {
  readonly #classes = new Map<string, Learned>();
  #firstAt: number | null = null;
  #seenMost = COUNTED_JOBS_LIMIT;
  /** jobs that were counted; see `keepOnly` */
  #seen = new Set<string>();

  #of(name: string): Learned {
    let c = this.#classes.get(name);
    if (c === undefined) {
      c = {
        arrivals: [],
        runS: null,
        finished: 0,
        guesses: { sum: 0, count: 0 },
        sample: null,
      };
      this.#classes.set(name, c);
    }
    return c;
  }

  /** A job accepted at `at` (s, time of day). Repeats are ignored. */
  recordArrival(spec: JobSpec, at: number): void {
    if (this.#seen.has(spec.uid)) return;
    this.#seen.add(spec.uid);
    const c = this.#of(spec.jobClass);
    this.#firstAt = this.#firstAt === null ? at : Math.min(this.#firstAt, at);
    c.arrivals.push({ at, tasks: spec.tasks });
    c.sample = spec;
    if (spec.estimateS > 0) {
      c.guesses.sum += spec.estimateS * spec.tasks;
      c.guesses.count += spec.tasks;
    }
  }

  /**
   * Forgets jobs that have ended, once so many are remembered: they do not come by again. Those that have
   * not ended must stay, however many they are, or each would be counted anew at every look.
   */
  forgetEndedJobs(active: { has(uid: string): boolean }): void {
    if (this.#seen.size <= this.#seenMost) return;
    this.#seen = new Set([...this.#seen].filter((uid) => active.has(uid)));
    this.#seenMost = Math.max(COUNTED_JOBS_LIMIT, 2 * this.#seen.size);
  }

  recordRun(jobClass: string, runS: number): void {
    const c = this.#of(jobClass);
    c.finished += 1;
    // A plain mean at first, then one that forgets slowly.
    const weight = Math.max(RUN_TIME_SMOOTHING, 1 / c.finished);
    c.runS = c.runS === null ? runS : c.runS + (runS - c.runS) * weight;
  }

  /** Run times that another node has learned, taken if it has seen more than this one. */
  adoptRunTime(jobClass: string, runS: number, finished: number): void {
    const c = this.#of(jobClass);
    if (finished <= c.finished) return;
    c.runS = runS;
    c.finished = finished;
  }

  /** s; measured or guessed run time of a class */
  runS(jobClass: string): number | null {
    const c = this.#classes.get(jobClass);
    return c === undefined ? null : expectedRunS(c);
  }

  measuredRunTimes(): { jobClass: string; runS: number; finished: number }[] {
    return [...this.#classes]
      .filter(([, c]) => c.runS !== null)
      .map(([jobClass, c]) => ({ jobClass, runS: c.runS ?? 0, finished: c.finished }));
  }

  stats(nowS: number): Map<string, ClassStats> {
    const out = new Map<string, ClassStats>();
    // What arrives before the first minutes have passed is a burst at the start, not a rate.
    const span = Math.min(
      ARRIVAL_WINDOW_S,
      Math.max(MIN_ARRIVAL_WINDOW_S, nowS - (this.#firstAt ?? nowS)),
    );
    for (const [name, c] of this.#classes) {
      c.arrivals = c.arrivals.filter((a) => nowS - a.at <= ARRIVAL_WINDOW_S);
      const tasks = c.arrivals.reduce((sum, a) => sum + a.tasks, 0);
      out.set(name, { tasksPerS: tasks / span, runS: expectedRunS(c), sample: c.sample });
    }
    return out;
  }
}
