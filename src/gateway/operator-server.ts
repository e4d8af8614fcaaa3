/** The HTTP server for operators and monitoring: health, readiness, metrics, status, edits of the table. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import * as z from 'zod';
import { parseServiceRow, type VersionedRow } from '../configuration/service-row.js';
import type { CompletionDaemonStatus, RowEdit } from '../daemon/completion-messages.js';
import { NotFoundError, PulleyledgeError, ValidationError } from '../errors/index.js';
import { sendProblem } from './problem.js';
import { readJson } from './read-body.js';
import { STATUS_OK, STATUS_UNAVAILABLE } from '../shared/http-status.js';

/** What the server asks of the daemon. */
interface OperatorHandler {
  getStatus(): CompletionDaemonStatus;
  getMetrics(): Promise<{ contentType: string; text: string }>;
  /** Resolves with the revision of the accepted edit; rejects with a PulleyledgeError. */
  applyEdit(editId: string, edits: readonly RowEdit[]): Promise<number>;
}

/** What `GET /v1/services` answers. */
export interface ServicesResponse {
  readonly revision: number;
  readonly services: readonly VersionedRow[];
}

/** Body of an edit at most. Bytes. */
const MAXIMUM_EDIT_BYTES = 8 * 1024 * 1024;
/** Ids of edits at most. Characters. */
const MAXIMUM_EDIT_ID_LENGTH = 128;

const editSchema = z.object({
  editId: z.string().min(1).max(MAXIMUM_EDIT_ID_LENGTH),
  edits: z
    .array(z.object({ name: z.string(), expectedRevision: z.number().int().min(0), row: z.unknown() }))
    .min(1),
});

/** Creates the server; the caller listens. */
export function createOperatorServer(handler: OperatorHandler): Server {
  return createServer((request, response) => {
    route(request, response, handler).catch((error: unknown) => {
      if (error instanceof PulleyledgeError) sendProblem(response, error);
      else throw error;
    });
  });
}

async function route(
  request: IncomingMessage,
  response: ServerResponse,
  handler: OperatorHandler,
): Promise<void> {
  const path = (request.url ?? '/').split('?')[0];
  const key = `${request.method} ${path}`;
  switch (key) {
    case 'GET /healthz':
      sendJson(response, STATUS_OK, { ok: true });
      break;
    case 'GET /readyz': {
      const { ready, reason } = handler.getStatus();
      sendJson(response, ready ? STATUS_OK : STATUS_UNAVAILABLE, { ready, reason });
      break;
    }
    case 'GET /metrics': {
      const { contentType, text } = await handler.getMetrics();
      response.writeHead(STATUS_OK, { 'content-type': contentType });
      response.end(text);
      break;
    }
    case 'GET /v1/status':
      sendJson(response, STATUS_OK, handler.getStatus());
      break;
    case 'GET /v1/services': {
      const { configurationRevision, services } = handler.getStatus();
      sendJson(response, STATUS_OK, { revision: configurationRevision, services } satisfies ServicesResponse);
      break;
    }
    case 'POST /v1/services': {
      const { editId, edits } = parseEdit(await readJson(request, MAXIMUM_EDIT_BYTES));
      sendJson(response, STATUS_OK, { revision: await handler.applyEdit(editId, edits) });
      break;
    }
    default:
      throw new NotFoundError(path);
  }
}

function parseEdit(value: unknown): { editId: string; edits: RowEdit[] } {
  const result = editSchema.safeParse(value);
  if (!result.success) {
    const issue = result.error.issues[0];
    throw new ValidationError(issue.path.join('.') || 'body', issue.message);
  }
  const edits = result.data.edits.map(({ name, expectedRevision, row }) => {
    const checked = row === null || row === undefined ? null : parseServiceRow(row);
    if (checked && checked.name !== name)
      throw new ValidationError('edits.name', `"${name}" is not the name in its row`);
    return { name, expectedRevision, row: checked };
  });
  return { editId: result.data.editId, edits };
}

function sendJson(response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(value));
}
