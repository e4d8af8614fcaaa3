/**
 * Reads and writes the service table as CSV for spreadsheets. Owns the text format of the cells; the values of
 * a row are checked by service-row.ts.
 */
import { parse } from 'csv-parse/sync';
import { stringify } from 'csv-stringify/sync';
import { RowInvalidError, ValidationError } from '../errors/index.js';
import {
  COLUMN_RANGES,
  SERVICE_COLUMNS,
  parseServiceRow,
  type ServiceRow,
  type VersionedRow,
} from './service-row.js';

const NUMBER_COLUMNS = new Set<string>([
  'version',
  'weight',
  'priority',
  'maximumConcurrency',
  'maximumWaiting',
  'maximumWaitMs',
  'deadlineMs',
  'firstTokenTargetMs',
  'betweenTokensTargetMs',
]);
const REVISION_COLUMN = 'revision';

/** A row read from CSV with the revision that the operator last saw; 0 for a new row. */
interface ImportedRow {
  readonly row: ServiceRow;
  readonly expectedRevision: number;
}

/** Formats rows as CSV with a header line; the last column is the row's revision. Deleted rows are left out. */
export function formatServicesCsv(rows: readonly VersionedRow[]): string {
  const records = rows
    .filter((entry) => entry.row !== null)
    .map((entry) => ({ ...entry.row, revision: entry.revision }));
  return stringify(records, {
    header: true,
    columns: [...SERVICE_COLUMNS, REVISION_COLUMN],
    cast: { boolean: (value) => String(value) },
  });
}

/**
 * Parses the text of one cell as the column's type.
 * @throws RowInvalidError when the column is unknown or the text is not of its type.
 */
export function parseCell(rowName: string, column: string, text: string): unknown {
  const allowed = COLUMN_RANGES[column as keyof ServiceRow];
  if (allowed === undefined) throw new RowInvalidError(rowName, column, text, 'a known column');
  if (NUMBER_COLUMNS.has(column)) {
    const value = Number(text);
    if (text.trim() === '' || Number.isNaN(value)) throw new RowInvalidError(rowName, column, text, allowed);
    return value;
  }
  if (column === 'repeatable') {
    const lower = text.trim().toLowerCase();
    if (lower !== 'true' && lower !== 'false') throw new RowInvalidError(rowName, column, text, allowed);
    return lower === 'true';
  }
  return text.trim();
}

/**
 * Parses CSV. Empty cells take the column's default; the entire text is rejected at the first invalid row.
 * @throws ValidationError when the text is not CSV; RowInvalidError for an invalid cell or a duplicate name.
 */
export function parseServicesCsv(text: string): ImportedRow[] {
  let records: Record<string, string>[];
  try {
    records = parse(text, { columns: true, skip_empty_lines: true, trim: true, bom: true });
  } catch (error) {
    throw new ValidationError('csv', (error as Error).message);
  }
  const seen = new Set<string>();
  return records.map((record) => {
    const imported = parseRecord(record);
    if (seen.has(imported.row.name)) {
      throw new RowInvalidError(
        imported.row.name,
        'name',
        imported.row.name,
        'a name that occurs only once in the file',
      );
    }
    seen.add(imported.row.name);
    return imported;
  });
}

function parseRecord(record: Record<string, string>): ImportedRow {
  const rowName = record.name ?? '(unnamed)';
  const values: Record<string, unknown> = {};
  let expectedRevision = 0;
  for (const [column, text] of Object.entries(record)) {
    if (text === '') continue;
    if (column === REVISION_COLUMN) {
      expectedRevision = Number(text);
      if (!Number.isInteger(expectedRevision))
        throw new RowInvalidError(rowName, column, text, 'a revision number');
    } else {
      values[column] = parseCell(rowName, column, text);
    }
  }
  return { row: parseServiceRow(values), expectedRevision };
}
