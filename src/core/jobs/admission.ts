/** Admission control: rejects submissions that could never run. */
import { fits, type JobSpec, type MachineType, type Team } from '../model.js';

/** The result of admission control: `accept`, or the reason why the job can never run. */
export type AdmissionResult = 'accept' | 'unknown_team' | 'no_machine_type' | 'over_team_limit';

/** Returns the machine types on which a task of the job may run. */
export const feasibleTypes = (spec: JobSpec, types: Iterable<MachineType>): MachineType[] =>
  [...types].filter(
    (type) =>
      (spec.types === null || spec.types.includes(type.name)) &&
      (spec.zone === null || type.zones.includes(spec.zone)) &&
      fits(spec.demand, type),
  );

/**
 * Decides whether a job can ever run, by its team, the machine types of the cloud and the limit of its team. An array
 * needs capacity for one task at a time, a gang or a service for all of its tasks. Call it only when the machine types
 * are known: with an empty list every job of a known team is rejected.
 */
export const admit = (
  spec: JobSpec,
  types: Iterable<MachineType>,
  teams: ReadonlyMap<string, Team>,
): AdmissionResult => {
  const team = teams.get(spec.team);
  if (team === undefined) return 'unknown_team';
  if (feasibleTypes(spec, types).length === 0) return 'no_machine_type';
  const concurrentTasks = spec.kind === 'array' ? 1 : spec.tasks;
  if (team.cpusMax > 0 && spec.demand.cpus * concurrentTasks > team.cpusMax)
    return 'over_team_limit';
  if (team.gpusMax > 0 && spec.demand.gpus * concurrentTasks > team.gpusMax)
    return 'over_team_limit';
  return 'accept';
};
