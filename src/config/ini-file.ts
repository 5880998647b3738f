/** Reads INI settings files by a schema. */
import { parse } from 'ini';
import * as z from 'zod';
import { ConfigError, describeIssues } from './platform.js';

/** Returns a schema for a number from `min` to `max` that is `fallback` if the key is missing. */
export const numberBetween = (min: number, max: number, fallback: number) =>
  z.coerce.number().min(min).max(max).default(fallback);

/** Parses INI text by a schema; throws a `ConfigError` that names every invalid key. `file` is the name in errors. */
export const parseIni = <S extends z.ZodType>(
  schema: S,
  file: string,
  text: string,
): z.infer<S> => {
  // `ini` returns objects without a prototype, but zod expects plain objects.
  const raw: unknown = JSON.parse(JSON.stringify(parse(text)));
  const result = schema.safeParse(raw);
  if (!result.success) throw new ConfigError(file, describeIssues(result.error));
  return result.data;
};
