/** Formats failures as RFC 9457 problem documents. Owns no state. */
import type { ServerResponse } from 'node:http';
import { PulleyledgeError, type NotRun } from '../errors/index.js';
import { SECOND_MS } from '../shared/units.js';

/** Media type of a problem document. */
const PROBLEM_CONTENT_TYPE = 'application/problem+json';
/** Prefix of every `type`; the error's code follows. */
const TYPE_PREFIX = 'urn:pulleyledge:problem:';

/** The members of a problem document. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly notRun: boolean | 'unknown';
  readonly retryAfterMs?: number;
  readonly requestId?: string;
  readonly context: Readonly<Record<string, unknown>>;
}

/** Converts a failure to its problem document. */
export function toProblem(error: PulleyledgeError, requestId?: string): Problem {
  return {
    type: `${TYPE_PREFIX}${error.code}`,
    title: error.name,
    status: error.status,
    detail: error.message,
    notRun: formatNotRun(error.notRun),
    ...(error.retryAfterMs === undefined ? {} : { retryAfterMs: Math.ceil(error.retryAfterMs) }),
    ...(requestId === undefined ? {} : { requestId }),
    context: error.context,
  };
}

/** Responds with a problem document. Does nothing when the connection is closed or the response has ended. */
export function sendProblem(response: ServerResponse, error: PulleyledgeError, requestId?: string): void {
  if (response.destroyed || response.writableEnded) return;
  const headers: Record<string, string> = { 'content-type': PROBLEM_CONTENT_TYPE };
  // Retry-After has whole seconds (RFC 9110); the document has milliseconds.
  if (error.retryAfterMs !== undefined)
    headers['retry-after'] = String(Math.max(1, Math.ceil(error.retryAfterMs / SECOND_MS)));
  response.writeHead(error.status, headers);
  response.end(JSON.stringify(toProblem(error, requestId)));
}

function formatNotRun(notRun: NotRun): boolean | 'unknown' {
  return notRun === 'unknown' ? 'unknown' : notRun === 'true';
}
