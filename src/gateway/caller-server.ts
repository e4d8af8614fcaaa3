/**
 * The HTTP server that callers use: completions, and application calls under a path per service. It reads and
 * validates a call and passes it to the handler with the sink for its answer; a caller that disconnects is
 * reported as a cancellation. Invalid input is answered here with a problem document. Owns no state.
 */
import { randomUUID } from 'node:crypto';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { ApplicationPayload } from '../adapters/application-client.js';
import { NotFoundError, PulleyledgeError, ValidationError } from '../errors/index.js';
import type { ApplicationCall } from '../routing/application-messages.js';
import { describePrompt, type CompletionRequest } from '../routing/completion-request.js';
import { digestContent, makeRequestKey } from '../quarantine/request-key.js';
import { parseChatBody, parseCompletionBody, type CompletionBody } from './completion-body.js';
import { sendProblem } from './problem.js';
import { readBody, readJson } from './read-body.js';
import { StreamingReply, BufferedReply, type CompletionForm, type ReplySink } from './reply-sink.js';

/** Receives the answer of one application call: one of the two methods is called, once. */
export interface ApplicationSink {
  respond(status: number, contentType: string, body: Uint8Array): void;
  fail(error: PulleyledgeError): void;
}

/** Handles validated calls, each identified by its request id. */
export interface CallerHandler {
  onCompletion(request: CompletionRequest, sink: ReplySink): void;
  onApplicationCall(call: ApplicationCall, payload: ApplicationPayload, sink: ApplicationSink): void;
  /** Called when the caller closed its connection before the answer was complete. */
  onCancelled(requestId: string): void;
}

const TIMEOUT_HEADER = 'request-timeout-ms';
const KEY_HEADER = 'idempotency-key';
const REQUEST_ID_HEADER = 'x-request-id';
const APPLICATION_PREFIX = '/app/';
/** Bounded because keys are stored in rows of the ledger's table. Characters. */
const MAXIMUM_KEY_LENGTH = 128;
/** The request headers of an application call that are forwarded. */
const FORWARDED_HEADERS = ['content-type', 'accept', 'authorization', KEY_HEADER];

/** Creates the server without listening. `maximumBodyBytes` limits the body of a call. */
export function createCallerServer(handler: CallerHandler, maximumBodyBytes: number): Server {
  return createServer((request, response) => {
    const requestId = randomUUID();
    response.setHeader(REQUEST_ID_HEADER, requestId);
    handleRequest({ request, response, requestId }, handler, maximumBodyBytes).catch((error: unknown) => {
      if (error instanceof PulleyledgeError) sendProblem(response, error, requestId);
      else throw error;
    });
  });
}

/** One call with its response and the id by which the daemon identifies it. */
interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly requestId: string;
}

async function handleRequest(exchange: Exchange, handler: CallerHandler, limitBytes: number): Promise<void> {
  const { request } = exchange;
  const path = (request.url ?? '/').split('?')[0];
  if (request.method === 'POST' && path === '/v1/completions') {
    const body = parseCompletionBody(await readJson(request, limitBytes));
    startCompletion(exchange, 'completion', body, handler);
  } else if (request.method === 'POST' && path === '/v1/chat/completions') {
    const body = parseChatBody(await readJson(request, limitBytes));
    startCompletion(exchange, 'chat', body, handler);
  } else if (path.startsWith(APPLICATION_PREFIX)) {
    await startApplicationCall(exchange, handler, limitBytes);
  } else {
    throw new NotFoundError(path);
  }
}

function startCompletion(
  { request, response, requestId }: Exchange,
  form: CompletionForm,
  body: CompletionBody,
  handler: CallerHandler,
): void {
  const completion: CompletionRequest = {
    requestId,
    service: body.service,
    prompt: describePrompt(body.prompt),
    maximumTokens: body.maximumTokens,
    receivedAt: performance.now(),
    timeoutMs: readTimeoutMs(request),
    key: createRequestKey(request, JSON.stringify(body)),
  };
  const Reply = body.stream ? StreamingReply : BufferedReply;
  reportCancellation(response, requestId, handler);
  handler.onCompletion(completion, new Reply(response, requestId, form, body.service));
}

async function startApplicationCall(
  { request, response, requestId }: Exchange,
  handler: CallerHandler,
  limitBytes: number,
): Promise<void> {
  const url = request.url ?? '/';
  const [service, ...rest] = url.slice(APPLICATION_PREFIX.length).split('/');
  const timeoutMs = readTimeoutMs(request);
  const idempotencyKey = readIdempotencyKey(request) ?? requestId;
  const body = await readBody(request, limitBytes);
  const call: ApplicationCall = {
    requestId,
    service,
    idempotencyKey,
    receivedAt: performance.now(),
    timeoutMs,
    key: createRequestKey(request, body),
  };
  const payload: ApplicationPayload = {
    method: request.method ?? 'GET',
    path: `/${service}/${rest.join('/')}`,
    headers: pickForwardedHeaders(request),
    body,
  };
  reportCancellation(response, requestId, handler);
  handler.onApplicationCall(call, payload, {
    respond(status, contentType, bytes) {
      response.writeHead(status, contentType === '' ? {} : { 'content-type': contentType });
      response.end(bytes);
    },
    fail: (error) => sendProblem(response, error, requestId),
  });
}

function pickForwardedHeaders(request: IncomingMessage): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const name of FORWARDED_HEADERS) {
    const value = request.headers[name];
    if (typeof value === 'string') headers[name] = value;
  }
  return headers;
}

function reportCancellation(response: ServerResponse, requestId: string, handler: CallerHandler): void {
  response.on('close', () => {
    if (!response.writableFinished) handler.onCancelled(requestId);
  });
}

function readTimeoutMs(request: IncomingMessage): number | undefined {
  const text = request.headers[TIMEOUT_HEADER];
  if (text === undefined) return undefined;
  const value = Number(text);
  if (!Number.isFinite(value) || value <= 0)
    throw new ValidationError(TIMEOUT_HEADER, 'must be a number of milliseconds over 0');
  return value;
}

/**
 * The key by which retries of the same request are recognized. Callers present no API key that is verified
 * here, so they are distinguished by their addresses.
 */
function createRequestKey(
  { method = '', headers, url = '', socket }: IncomingMessage,
  body: Buffer | string,
): string {
  const content = { method, host: headers.host ?? '', path: url, body };
  return makeRequestKey(digestContent(content), socket.remoteAddress ?? '');
}

function readIdempotencyKey(request: IncomingMessage): string | undefined {
  const key = request.headers[KEY_HEADER];
  if (key === undefined) return undefined;
  if (typeof key !== 'string' || key === '' || key.length > MAXIMUM_KEY_LENGTH) {
    throw new ValidationError(KEY_HEADER, `must have 1 to ${MAXIMUM_KEY_LENGTH} characters`);
  }
  return key;
}
