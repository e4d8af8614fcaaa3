/**
 * The interface of the platform's transactional table service. docs/PROTOCOLS.md gives the HTTP form.
 * Contract: a commit applies all of its writes or none. A commit is idempotent by `writeId`: a retry returns
 * the result of the first one and writes nothing more, so a lost answer is resolved by a retry.
 */

/** Tables that pulleyledge uses. */
export type TableName = 'services' | 'leases' | 'claims' | 'usage' | 'quarantine';

/** A row of a table. `value` is null when the row was deleted. */
export interface TableRow {
  readonly table: TableName;
  readonly key: string;
  /** The revision of the commit that last wrote the row. */
  readonly revision: number;
  readonly value: unknown;
}

/** A write that applies only while the row is at `expectedRevision`; 0 stands for a row that does not exist. */
export interface TableWrite {
  readonly table: TableName;
  readonly key: string;
  readonly expectedRevision: number;
  readonly value: unknown;
}

/** A row that a commit removes regardless of its revision. */
export interface TableRemoval {
  readonly table: TableName;
  readonly key: string;
}

/** A request to the table service. */
export type TableRequest =
  | {
      readonly kind: 'commit';
      readonly writeId: string;
      readonly writes: readonly TableWrite[];
      readonly removes?: readonly TableRemoval[];
    }
  | { readonly kind: 'read'; readonly table: TableName; readonly key: string }
  /** Lists the rows of a table in the order of their keys, starting after the key `after`. */
  | { readonly kind: 'list'; readonly table: TableName; readonly after: string | undefined }
  | { readonly kind: 'changes'; readonly table: TableName; readonly since: number };

/** The result of a request, or the reason why there is no answer. */
export type TableResult =
  | { readonly kind: 'committed'; readonly revision: number }
  | { readonly kind: 'conflict'; readonly rows: readonly TableRow[] }
  | { readonly kind: 'row'; readonly row: TableRow | null }
  | { readonly kind: 'rows'; readonly rows: readonly TableRow[]; readonly more: boolean }
  | { readonly kind: 'changes'; readonly revision: number; readonly rows: readonly TableRow[] }
  | { readonly kind: 'rateLimited'; readonly retryAfterMs: number }
  /** No answer: the request may or may not have taken effect. */
  | { readonly kind: 'noAnswer'; readonly reason: string };

/** Client of the table service. */
export interface TableStore {
  /** Performs a request. Never rejects: a failure is a result. */
  perform(request: TableRequest): Promise<TableResult>;
}
