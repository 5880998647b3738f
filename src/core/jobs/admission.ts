/** Whether a submission can ever run. */
import { fits, type JobSpec, type MachineType, type Team } from '../model.js';

/** Why a job is admitted or can never run. */
export type AdmissionResult = 'accept' | 'unknown_team' | 'no_machine_type' | 'over_team_limit';

/** Machine types on which one task of the job may run. */
export const feasibleTypes = (spec: JobSpec, types: Iterable<MachineType>): MachineType[] =>
  [...types].filter(
    (t) =>
      (spec.types === null || spec.types.includes(t.name)) &&
      (spec.zone === null || t.zones.includes(spec.zone)) &&
      fits(spec.demand, t),
  );

/** Whether a job can ever run. Needs the machine types: without them nothing is decided. */
export const admit = (
  spec: JobSpec,
  types: Iterable<MachineType>,
  teams: ReadonlyMap<string, Team>,
): AdmissionResult => {
  const team = teams.get(spec.team);
  if (team === undefined) return 'unknown_team';
  if (feasibleTypes(spec, types).length === 0) return 'no_machine_type';
  const atOnce = spec.kind === 'array' ? 1 : spec.tasks;
  if (team.cpusMax > 0 && spec.demand.cpus * atOnce > team.cpusMax) return 'over_team_limit';
  if (team.gpusMax > 0 && spec.demand.gpus * atOnce > team.gpusMax) return 'over_team_limit';
  return 'accept';
};
