/**
 * A row of the service table, which operators edit: one row per service. Owns the schema of the rows. They are
 * stored in the platform's table, so column names must not change and a new column needs a default.
 */
import * as z from 'zod';
import { RowInvalidError } from '../errors/index.js';

/** Maximum weight of a service relative to others. */
const MAXIMUM_WEIGHT = 1000;
/** Maximum number of requests of a service that may be executed at the same time. */
const MAXIMUM_CONCURRENCY = 100_000;
/** Maximum number of requests of a service that may wait for a slot. */
const MAXIMUM_WAITING = 1_000_000;
/** Maximum duration in a row, one hour. Milliseconds. */
const MAXIMUM_DURATION_MS = 3_600_000;
/** Names have the form of a host name label: at most 63 characters. */
const NAME_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/;

/** Descriptions of the allowed values of each column, for error messages and `services columns`. */
export const COLUMN_RANGES: Readonly<Record<keyof ServiceRow, string>> = {
  name: 'a name of 1 to 63 lower-case letters, digits and hyphens',
  kind: 'one of: completion, application',
  model: 'a model name of 1 to 63 lower-case letters, digits and hyphens, or empty for an application',
  adapter: 'an adapter name of 1 to 63 lower-case letters, digits and hyphens, or empty',
  version: 'a whole number from 1 to 1000000',
  weight: `a number from 0.001 to ${MAXIMUM_WEIGHT}`,
  priority: 'a whole number from 0 (first) to 9 (last)',
  maximumConcurrency: `a whole number from 1 to ${MAXIMUM_CONCURRENCY}, or 0 for no limit`,
  maximumWaiting: `a whole number from 0 to ${MAXIMUM_WAITING}`,
  maximumWaitMs: `milliseconds from 0 to ${MAXIMUM_DURATION_MS}`,
  deadlineMs: `milliseconds from 1 to ${MAXIMUM_DURATION_MS}`,
  firstTokenTargetMs: `milliseconds from 1 to ${MAXIMUM_DURATION_MS}`,
  betweenTokensTargetMs: `milliseconds from 1 to ${MAXIMUM_DURATION_MS}`,
  repeatable: 'true or false',
};

const optionalName = z.union([z.literal(''), z.string().regex(NAME_PATTERN)]);

/** The schema of a row. The defaults are those of a new service. */
export const serviceRowSchema = z
  .object({
    /** Name of the service; callers send it as the model name. */
    name: z.string().regex(NAME_PATTERN),
    /** Whether calls go to model engines or to application servers. */
    kind: z.enum(['completion', 'application']).default('completion'),
    /** Base model. Empty for an application. */
    model: optionalName.default(''),
    /** Adapter applied to the model. Empty for none. */
    adapter: optionalName.default(''),
    /** Version of the model. */
    version: z.number().int().min(1).max(1_000_000).default(1),
    /** Relative share of the engines among services of the same priority. */
    weight: z.number().min(0.001).max(MAXIMUM_WEIGHT).default(1),
    /** Priority class; 0 is served first. */
    priority: z.number().int().min(0).max(9).default(5),
    /** Requests that may be executed at the same time in the whole fleet; 0 for no limit. */
    maximumConcurrency: z.number().int().min(0).max(MAXIMUM_CONCURRENCY).default(0),
    /** Requests that may wait for a slot in the whole fleet. */
    maximumWaiting: z.number().int().min(0).max(MAXIMUM_WAITING).default(1000),
    /** A request with a longer expected wait is refused at once. Milliseconds. */
    maximumWaitMs: z.number().min(0).max(MAXIMUM_DURATION_MS).default(5000),
    /** Default deadline of a request. Milliseconds. */
    deadlineMs: z.number().min(1).max(MAXIMUM_DURATION_MS).default(60_000),
    /** Target time to the first token. Milliseconds. */
    firstTokenTargetMs: z.number().min(1).max(MAXIMUM_DURATION_MS).default(2000),
    /** Target for the mean time between tokens. Milliseconds. */
    betweenTokensTargetMs: z.number().min(1).max(MAXIMUM_DURATION_MS).default(79),
    /** Whether requests may be retried. False for work that must be executed at most once, such as payment notices. */
    repeatable: z.boolean().default(true),
  })
  .strict();

/** One service. */
export type ServiceRow = z.infer<typeof serviceRowSchema>;

/** A row together with the table revision that wrote it. `row` is null when the row was deleted. */
export interface VersionedRow {
  readonly name: string;
  readonly revision: number;
  readonly row: ServiceRow | null;
}

/** The columns in the order of the CSV file. */
export const SERVICE_COLUMNS = Object.keys(serviceRowSchema.shape) as (keyof ServiceRow)[];

/**
 * Checks a row.
 * @throws RowInvalidError naming row, column, value and the allowed range.
 */
export function parseServiceRow(input: unknown): ServiceRow {
  const result = serviceRowSchema.safeParse(input);
  const record = (typeof input === 'object' && input !== null ? input : {}) as Record<string, unknown>;
  const rowName = typeof record.name === 'string' ? record.name : '(unnamed)';
  if (!result.success) {
    const issue = result.error.issues[0];
    const unknownColumn = issue.code === 'unrecognized_keys' ? String(issue.keys[0]) : undefined;
    const column = unknownColumn ?? String(issue.path[0] ?? '(row)');
    const allowed = unknownColumn
      ? 'a known column'
      : (COLUMN_RANGES[column as keyof ServiceRow] ?? 'a table row');
    throw new RowInvalidError(rowName, column, record[column], allowed);
  }
  if (result.data.kind === 'completion' && result.data.model === '') {
    throw new RowInvalidError(rowName, 'model', '', 'a model name, since the kind is completion');
  }
  return result.data;
}
