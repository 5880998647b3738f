/** Limits and guarantees of teams. */
import type { JobState } from '../shard/types.js';
import type { ShardState } from '../shard/shard-state.js';
import { add } from '../model.js';

/** Checks the quotas of teams against the demand of their placed tasks. */
export class Quotas {
  constructor(private readonly state: ShardState) {}

  /** Returns how many more tasks of the job may be placed now under the limit of its team; Infinity if it has none. */
  tasksWithinLimit(job: JobState): number {
    const team = this.state.settings.teams.get(job.spec.team);
    if (team === undefined || (team.cpusMax <= 0 && team.gpusMax <= 0)) return Infinity;
    // The usage of the team is unknown while a machine that an earlier owner may have used has not reported what it
    // runs, and while tasks without a placement in this shard's state, whose team is unknown, are being stopped.
    if (!this.state.recovered || this.state.hasUnknownTasks) return 0;
    const used = this.state.usedBy(job.spec.team);
    const { cpus, gpus } = job.spec.demand;
    let tasks = Infinity;
    if (team.cpusMax > 0 && cpus > 0) tasks = Math.min(tasks, (team.cpusMax - used.cpus) / cpus);
    if (team.gpusMax > 0 && gpus > 0) tasks = Math.min(tasks, (team.gpusMax - used.gpus) / gpus);
    return Math.max(0, Math.floor(tasks + 1e-9));
  }

  /** Returns whether the team of the job has a guarantee and stays within it with one more task of the job. */
  staysWithinGuarantee(job: JobState): boolean {
    const team = this.state.settings.teams.get(job.spec.team);
    if (team === undefined || (team.cpus <= 0 && team.gpus <= 0)) return false;
    const used = add(this.state.usedBy(job.spec.team), job.spec.demand);
    return (team.cpus <= 0 || used.cpus <= team.cpus) && (team.gpus <= 0 || used.gpus <= team.gpus);
  }

  /** Returns whether the placed tasks of the team use more than its guarantee; true for an unknown team. */
  exceedsGuarantee(name: string): boolean {
    const team = this.state.settings.teams.get(name);
    if (team === undefined) return true;
    const used = this.state.usedBy(name);
    return used.cpus > team.cpus || used.gpus > team.gpus;
  }
}
