/** `pulleyledge services`: list, get, set, delete, import, export, columns. Owns no state. */
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
  /** The row's revision that the operator last saw; undefined to use the current one. */
  readonly revision: number | undefined;
  /** Identifies the edit; retrying it with the same id is safe. */
  readonly editId: string | undefined;
}

/**
 * Runs one services command and returns the text to print.
 * @throws ValidationError on invalid arguments; RowInvalidError on an invalid value; UnknownServiceError; any
 * error of the client.
 */
export async function runServicesCommand(
  client: OperatorClient,
  args: readonly string[],
  options: ServicesOptions,
): Promise<string> {
  const [action, ...rest] = args;
  switch (action) {
    case 'list':
      return listServices(client, options);
    case 'get':
      return JSON.stringify(await findService(client, checkRequired(rest[0], 'NAME')), null, 2);
    case 'set':
      return setService(client, checkRequired(rest[0], 'NAME'), rest.slice(1), options);
    case 'delete':
      return removeService(client, checkRequired(rest[0], 'NAME'), options);
    case 'import':
      return importCsv(client, checkRequired(rest[0], 'FILE'), options);
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

async function listServices(client: OperatorClient, options: ServicesOptions): Promise<string> {
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

async function findService(client: OperatorClient, name: string): Promise<VersionedRow> {
  const { services } = await client.getServices();
  const found = services.find((entry) => entry.name === name);
  if (!found) throw new UnknownServiceError(name);
  return found;
}

async function setService(
  client: OperatorClient,
  name: string,
  assignments: readonly string[],
  options: ServicesOptions,
): Promise<string> {
  if (assignments.length === 0) throw new ValidationError('services set', 'needs at least one column=value');
  const { services } = await client.getServices();
  const current = services.find((entry) => entry.name === name);
  const changes: Record<string, unknown> = {};
  for (const assignment of assignments) {
    const equals = assignment.indexOf('=');
    if (equals <= 0) throw new ValidationError(assignment, 'must have the form column=value');
    const column = assignment.slice(0, equals);
    changes[column] = parseCell(name, column, assignment.slice(equals + 1));
  }
  const row = parseServiceRow({ ...current?.row, ...changes, name });
  return sendEdits(
    client,
    [{ name, expectedRevision: options.revision ?? current?.revision ?? 0, row }],
    options,
  );
}

async function removeService(
  client: OperatorClient,
  name: string,
  options: ServicesOptions,
): Promise<string> {
  const current = await findService(client, name);
  return sendEdits(
    client,
    [{ name, expectedRevision: options.revision ?? current.revision, row: null }],
    options,
  );
}

async function importCsv(client: OperatorClient, path: string, options: ServicesOptions): Promise<string> {
  const imported = parseServicesCsv(readFileText(path));
  const edits = imported.map(({ row, expectedRevision }) => ({ name: row.name, expectedRevision, row }));
  return sendEdits(client, edits, options);
}

async function exportCsv(client: OperatorClient, path: string | undefined): Promise<string> {
  const { services } = await client.getServices();
  const csv = formatServicesCsv(services);
  if (path === undefined) return csv.trimEnd();
  writeFileSync(path, csv);
  return `wrote ${services.length} rows to ${path}`;
}

async function sendEdits(
  client: OperatorClient,
  edits: readonly RowEdit[],
  options: ServicesOptions,
): Promise<string> {
  const revision = await client.edit(options.editId ?? `edit-${randomUUID()}`, edits);
  return options.json
    ? JSON.stringify({ revision })
    : `accepted ${edits.length} row(s) at revision ${revision}`;
}

function readFileText(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    throw new ValidationError(path, (error as Error).message);
  }
}

function checkRequired(value: string | undefined, name: string): string {
  if (value === undefined || value === '') throw new ValidationError(name, 'is missing');
  return value;
}
