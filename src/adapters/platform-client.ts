/** Client for the platform's table service and machine list over HTTP. docs/PROTOCOLS.md describes the protocol. */
import type { IncomingHttpHeaders } from 'node:http';
import { Agent, request } from 'undici';
import * as z from 'zod';
import type { Cell, Machine, MachineListing } from '../contracts/machine-list.js';
import type { TableRequest, TableResult } from '../contracts/table-service.js';
import { addressSchema } from '../shared/address.js';
import { MAXIMUM_IDENTIFIER_LENGTH } from '../shared/header-text.js';
import { STATUS_OK, STATUS_TOO_MANY_REQUESTS } from '../shared/http-status.js';
import { readBoundedJson } from './bounded-body.js';
import { readRetryAfterMs, type UnreadableRetryAfterListener } from './retry-after-header.js';

/** Client for the platform. Calls never reject: a failure is a result. */
export interface PlatformClient {
  sendTableRequest(request: TableRequest): Promise<TableResult>;
  /** Reads the machine list; undefined when there was no valid answer. */
  listMachines(cells: readonly string[]): Promise<MachineListing | undefined>;
  close(): Promise<void>;
}

/** Timeout of a call. Milliseconds. */
const TIMEOUT_MS = 1500;
/** A connection attempt that takes longer counts as refused. Milliseconds. */
const CONNECT_TIMEOUT_MS = 1000;
/** A longer answer is invalid. Bytes; above a page of any table. */
const MAXIMUM_ANSWER_BYTES = 8 * 1024 * 1024;
/** Delay before a retry where the platform limits the rate without naming one. Milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 500;

const rowSchema = z.object({
  table: z.enum(['services', 'leases', 'claims', 'quarantine']),
  key: z.string(),
  revision: z.number(),
  value: z.unknown(),
});

const tableResultSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('committed'), revision: z.number() }),
  z.object({ kind: z.literal('conflict'), rows: z.array(rowSchema) }),
  z.object({ kind: z.literal('row'), row: rowSchema.nullable() }),
  z.object({ kind: z.literal('rows'), rows: z.array(rowSchema), more: z.boolean() }),
  z.object({ kind: z.literal('changes'), revision: z.number(), rows: z.array(rowSchema) }),
]);

/** Daemons send the fields of machines to their peers, which reject longer texts and other addresses. */
const text = z.string().min(1).max(MAXIMUM_IDENTIFIER_LENGTH);
const cellSchema = z.object({ name: text, zone: text });
const machineSchema = z.object({
  id: text,
  kind: z.enum(['engine', 'application']),
  address: addressSchema,
  zone: text,
  cell: text,
  state: z.enum(['live', 'leaving']),
});

/** Entries are validated one by one, so that an invalid one does not affect the others. */
const listingSchema = z.object({ cells: z.array(z.unknown()), machines: z.array(z.unknown()) });

/** Platform client over HTTP. All addresses are equivalent; after a failure the next one is used. */
export class HttpPlatformClient implements PlatformClient {
  private readonly agent = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: TIMEOUT_MS,
    bodyTimeout: TIMEOUT_MS,
  });
  private addressIndex = 0;
  private listingFailures = 0;
  private invalidEntries = 0;

  /**
   * `onListingFailure` receives the reason of each failure to read the machine list, and the failures so far; a list
   * with invalid entries, which are skipped, counts as one when their number changes.
   */
  constructor(
    private readonly addresses: readonly string[],
    private readonly onListingFailure: (reason: string, count: number) => void,
    private readonly onUnreadable: UnreadableRetryAfterListener = () => undefined,
  ) {}

  async sendTableRequest(tableRequest: TableRequest): Promise<TableResult> {
    try {
      const { statusCode, headers, body } = await this.post('/v1/table', tableRequest);
      const value: unknown = await readBoundedJson(body, MAXIMUM_ANSWER_BYTES);
      if (statusCode === STATUS_TOO_MANY_REQUESTS)
        return {
          kind: 'rateLimited',
          retryAfterMs: this.getRetryAfterMs(headers),
        };
      const parsed = tableResultSchema.safeParse(value);
      if (statusCode === STATUS_OK && parsed.success) return parsed.data as TableResult;
      return this.failOver(`status ${statusCode}`);
    } catch (error) {
      return this.failOver((error as Error).message);
    }
  }

  async listMachines(cells: readonly string[]): Promise<MachineListing | undefined> {
    try {
      const { statusCode, body } = await this.post('/v1/machines', { cells });
      const parsed = listingSchema.safeParse(await readBoundedJson(body, MAXIMUM_ANSWER_BYTES));
      if (statusCode === STATUS_OK && parsed.success) return this.readListing(parsed.data);
      return this.addListingFailure(
        statusCode === STATUS_OK ? 'invalid machine list' : `status ${statusCode}`,
      );
    } catch (error) {
      this.addressIndex += 1;
      return this.addListingFailure((error as Error).message);
    }
  }

  close(): Promise<void> {
    return this.agent.destroy();
  }

  private post(path: string, value: unknown): ReturnType<typeof request> {
    const address = this.addresses[this.addressIndex % this.addresses.length];
    return request(`http://${address}${path}`, {
      method: 'POST',
      dispatcher: this.agent,
      signal: AbortSignal.timeout(TIMEOUT_MS),
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(value),
    });
  }

  private readListing({ cells, machines }: z.infer<typeof listingSchema>): MachineListing {
    const listing: MachineListing = {
      cells: readValid<Cell>(cellSchema, cells),
      machines: readValid<Machine>(machineSchema, machines),
    };
    const invalid = cells.length + machines.length - listing.cells.length - listing.machines.length;
    if (invalid > 0 && invalid !== this.invalidEntries)
      this.addListingFailure(`${invalid} invalid entries in the machine list`);
    this.invalidEntries = invalid;
    return listing;
  }

  private addListingFailure(reason: string): undefined {
    this.listingFailures += 1;
    this.onListingFailure(reason, this.listingFailures);
  }

  private failOver(reason: string): TableResult {
    this.addressIndex += 1;
    return { kind: 'noAnswer', reason };
  }

  /** The platform's own header, `retry-after-ms` (milliseconds), takes precedence over `Retry-After`. */
  private getRetryAfterMs(headers: IncomingHttpHeaders): number {
    const headerMs = Number(headers['retry-after-ms']);
    if (Number.isFinite(headerMs)) return headerMs;
    const ms = readRetryAfterMs(STATUS_TOO_MANY_REQUESTS, headers, this.onUnreadable);
    return ms ?? DEFAULT_RETRY_AFTER_MS;
  }
}

function readValid<Entry>(schema: z.ZodType<Entry>, entries: readonly unknown[]): Entry[] {
  return entries.flatMap((entry) => {
    const result = schema.safeParse(entry);
    return result.success ? [result.data] : [];
  });
}
