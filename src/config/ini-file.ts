import { parse } from 'ini';
import * as z from 'zod';
import { ConfigError, describeIssues } from './platform.js';

/** A number between two bounds. */
export const numberBetween = (least: number, most: number, fallback: number) =>
  z.coerce.number().min(least).max(most).default(fallback);

/** Reads an INI text by its schema; throws a `ConfigError` that names every bad key. */
export const parseIni = <S extends z.ZodType>(
  schema: S,
  file: string,
  text: string,
): z.infer<S> => {
  // ini makes objects without a prototype; zod wants plain ones.
  const raw: unknown = JSON.parse(JSON.stringify(parse(text)));
  const result = schema.safeParse(raw);
  if (!result.success) throw new ConfigError(file, describeIssues(result.error));
  return result.data;
};
