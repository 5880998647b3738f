/**
 * Jobs all of whose tasks have to belong to one shard. A rule about the whole job can only be kept by an owner that
 * sees all of its tasks, in however many ranges they are stored. Routing, placement and migration all ask this module.
 */
import type { JobRecord, JobSpec, Team } from '../model.js';

/** Returns whether the team has a quota limit. */
export const hasLimit = (team: Team | undefined): boolean =>
  team !== undefined && (team.cpusMax > 0 || team.gpusMax > 0);

/** Returns whether the team has a guarantee. */
export const hasGuarantee = (team: Team | undefined): boolean =>
  team !== undefined && (team.cpus > 0 || team.gpus > 0);

/**
 * Returns whether all tasks of the job have to belong to one shard. They have to if a rule depends on where or how many
 * of them run, since only one owner can check it: for gangs, for jobs with `oneZone` or `spread`, and for teams with a
 * limit or a guarantee.
 */
export const requiresSingleShard = (spec: JobSpec, team: Team | undefined): boolean =>
  spec.kind === 'gang' || spec.oneZone || spec.spread || hasLimit(team) || hasGuarantee(team);

/**
 * Returns the shard to which all tasks of a job that requires a single shard belong: that of its first task. An earlier
 * version may have divided the job between shards; its other ranges then migrate to this shard.
 */
export const homeShard = ({ ranges }: JobRecord): number => ranges[0]!.shard;

/** Returns whether the job has ranges in more than one shard. */
export const isDivided = (record: JobRecord): boolean =>
  record.ranges.some(({ shard }) => shard !== homeShard(record));
