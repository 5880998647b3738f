import type { JobState } from '../shard/types.js';
import type { ShardState } from '../shard/shard-state.js';
import { add, ZERO_RESOURCES, type Resources } from '../model.js';

/** Limits and guarantees of teams, by what their placed tasks use. */
export class Quotas {
  constructor(private readonly state: ShardState) {}

  /** How many more tasks of the job its team's limit allows now. */
  tasksWithinLimit(job: JobState): number {
    const team = this.state.settings.teams.get(job.spec.team);
    if (team === undefined || (team.cpusMax <= 0 && team.gpusMax <= 0)) return Infinity;
    // What an unanswered machine runs for the team is not known, nor whose the tasks are that are
    // being stopped for want of a place in our state: nothing more until both are settled.
    if (
      !this.state.recovered ||
      [...this.state.machines.values()].some((m) => m.unknownTaskCount > 0)
    )
      return 0;
    const used = this.usedBy(job.spec.team);
    const { cpus, gpus } = job.spec.demand;
    let room = Infinity;
    if (team.cpusMax > 0 && cpus > 0) room = Math.min(room, (team.cpusMax - used.cpus) / cpus);
    if (team.gpusMax > 0 && gpus > 0) room = Math.min(room, (team.gpusMax - used.gpus) / gpus);
    return Math.max(0, Math.floor(room + 1e-9));
  }

  usedBy(team: string): Resources {
    let used = ZERO_RESOURCES;
    for (const job of this.state.jobs.values()) {
      if (job.spec.team === team) used = add(used, job.spec.demand, job.placements.size);
    }
    return used;
  }

  /** True if the team of the job stays within its guarantee with one more task of the job. */
  staysWithinGuarantee(job: JobState): boolean {
    const team = this.state.settings.teams.get(job.spec.team);
    if (team === undefined || (team.cpus <= 0 && team.gpus <= 0)) return false;
    const used = add(this.usedBy(job.spec.team), job.spec.demand);
    return (team.cpus <= 0 || used.cpus <= team.cpus) && (team.gpus <= 0 || used.gpus <= team.gpus);
  }

  exceedsGuarantee(name: string): boolean {
    const team = this.state.settings.teams.get(name);
    if (team === undefined) return true;
    const used = this.usedBy(name);
    return used.cpus > team.cpus || used.gpus > team.gpus;
  }
}
