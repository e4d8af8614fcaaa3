/** `pulleyledge services`: list, get, set, delete, import, export. */
import { randomUUID } from 'node:crypto';
import { readFileSync, writeFileSync } from 'node:fs';
import { formatServicesCsv, parseCell, parseServicesCsv } from '../configuration/service-csv.js';
import { COLUMN_RANGES, parseServiceRow, type VersionedRow } from '../configuration/service-row.js';
import type { RowEdit } from '../daemon/completion-messages.js';
import { UnknownServiceError, ValidationError } from '../errors/index.js';
import type { OperatorClient } from './operator-client.js';
import { formatTable } from '../shared/table.js';

/** Options of the services commands. */
interface ServicesOptions {
  readonly json: boolean;
  /** The revision that the operator last saw; without it the present one is taken. */
  readonly revision: number | undefined;
  /** Identifies the edit; repeating it with the same id is safe. */
  readonly editId: string | undefined;
}

/**
 * Runs one services command and returns what to print.
 * @throws PulleyledgeError of any kind
 */
export async function runServicesCommand(
  client: OperatorClient,
  args: readonly string[],
  options: ServicesOptions,
): Promise<string> {
  const [action, ...rest] = args;
  switch (action) {
    case 'list':
      return list(client, options);
    case 'get':
      return JSON.stringify(await find(client, required(rest[0], 'NAME')), null, 2);
    case 'set':
      return set(client, required(rest[0], 'NAME'), rest.slice(1), options);
    case 'delete':
      return remove(client, required(rest[0], 'NAME'), options);
    case 'import':
      return importCsv(client, required(rest[0], 'FILE'), options);
    case 'export':
      return exportCsv(client, rest[0]);
    case 'columns':
      return formatTable(['column', 'allowed values'], Object.entries(COLUMN_RANGES));
    default:
      throw new ValidationError(
        'services',
        'must be one of: list, get, set, delete, import, export, columns',
      );
  }
}

async function list(client: OperatorClient, options: ServicesOptions): Promise<string> {
  const { revision, services } = await client.getServices();
  if (options.json) return JSON.stringify({ revision, services }, null, 2);
  const columns = [
    'name',
    'kind',
    'model',
    'adapter',
    'version',
    'weight',
    'priority',
    'maximumConcurrency',
    'maximumWaiting',
  ] as const;
  const rows = services.map((entry) => [
    ...columns.map((column) => String(entry.row?.[column])),
    String(entry.revision),
  ]);
  return `revision ${revision}\n${formatTable([...columns, 'revision'], rows)}`;
}

async function find(client: OperatorClient, name: string): Promise<VersionedRow> {
  const { services } = await client.getServices();
  const found = services.find((entry) => entry.name === name);
  if (!found) throw new UnknownServiceError(name);
  return found;
}

async function set(
  client: OperatorClient,
  name: string,
  assignments: readonly string[],
  options: ServicesOptions,
): Promise<string> {
  if (assignments.length === 0) throw new ValidationError('services set', 'needs at least one column=value');
  const { services } = await client.getServices();
  const present = services.find((entry) => entry.name === name);
  const changes: Record<string, unknown> = {};
  for (const assignment of assignments) {
    const equals = assignment.indexOf('=');
    if (equals <= 0) throw new ValidationError(assignment, 'must have the form column=value');
    const column = assignment.slice(0, equals);
    changes[column] = parseCell(name, column, assignment.slice(equals + 1));
  }
  const row = parseServiceRow({ ...present?.row, ...changes, name });
  return submit(
    client,
    [{ name, expectedRevision: options.revision ?? present?.revision ?? 0, row }],
    options,
  );
}

async function remove(client: OperatorClient, name: string, options: ServicesOptions): Promise<string> {
  const present = await find(client, name);
  return submit(
    client,
    [{ name, expectedRevision: options.revision ?? present.revision, row: null }],
    options,
  );
}

async function importCsv(client: OperatorClient, path: string, options: ServicesOptions): Promise<string> {
  const imported = parseServicesCsv(readText(path));
  const edits = imported.map(({ row, expectedRevision }) => ({ name: row.name, expectedRevision, row }));
  return submit(client, edits, options);
}

async function exportCsv(client: OperatorClient, path: string | undefined): Promise<string> {
  const { services } = await client.getServices();
  const csv = formatServicesCsv(services);
  if (path === undefined) return csv.trimEnd();
  writeFileSync(path, csv);
  return `wrote ${services.length} rows to ${path}`;
}

async function submit(
  client: OperatorClient,
  edits: readonly RowEdit[],
  options: ServicesOptions,
): Promise<string> {
  const revision = await client.edit(options.editId ?? `edit-${randomUUID()}`, edits);
  return options.json
    ? JSON.stringify({ revision })
    : `accepted ${edits.length} row(s) at revision ${revision}`;
}

function readText(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    throw new ValidationError(path, (error as Error).message);
  }
}

function required(value: string | undefined, name: string): string {
  if (value === undefined || value === '') throw new ValidationError(name, 'is missing');
  return value;
}
