/** The operator's own settings (`--operator`, INI). */
import * as z from 'zod';
import { parseIni, numberBetween } from './ini-file.js';
import { readConfigFile } from './platform.js';

/** Every key is documented in deploy/operator.ini. */
const schema = z
  .object({
    placement: z
      .object({ load_threshold: numberBetween(0, 10, 0.85), preempt: z.boolean().default(true) })
      .strict()
      .prefault({}),
    capacity: z
      .object({
        reserve_sigma: numberBetween(0, 5, 1),
        drain_s: numberBetween(5, 3600, 45),
        idle_keep_s: numberBetween(0, 3600, 10),
        machines_most: numberBetween(1, 100_000, 10_000),
      })
      .strict()
      .prefault({}),
    state: z
      .object({
        request_share: numberBetween(0.05, 1, 0.9),
        write_share: numberBetween(0.05, 1, 0.9),
      })
      .strict()
      .prefault({}),
    cloud: z
      .object({ request_share: numberBetween(0.05, 1, 0.9) })
      .strict()
      .prefault({}),
  })
  .strict();

/** The operator's settings; deploy/operator.ini documents each. */
export interface OperatorConfig {
  readonly loadThreshold: number;
  readonly preempt: boolean;
  readonly reserveSigma: number;
  readonly drainS: number;
  readonly idleKeepS: number;
  readonly maxMachines: number;
  readonly storeRequestShare: number;
  readonly storeWriteShare: number;
  readonly cloudRequestShare: number;
}

/** Reads the settings from INI text; throws a `ConfigError` that names every bad key. */
export const parseOperatorConfig = (file: string, text: string): OperatorConfig => {
  const { placement, capacity, state, cloud } = parseIni(schema, file, text);
  return {
    loadThreshold: placement.load_threshold,
    preempt: placement.preempt,
    reserveSigma: capacity.reserve_sigma,
    drainS: capacity.drain_s,
    idleKeepS: capacity.idle_keep_s,
    maxMachines: capacity.machines_most,
    storeRequestShare: state.request_share,
    storeWriteShare: state.write_share,
    cloudRequestShare: cloud.request_share,
  };
};

/** Reads the settings from a file, or the defaults without one. */
export const loadOperatorConfig = (file: string | undefined): OperatorConfig =>
  file === undefined
    ? parseOperatorConfig('(defaults)', '')
    : parseOperatorConfig(file, readConfigFile(file));
