/**
 * Sends calls to application servers over HTTP. Each connection carries one call, so that a connection failure
 * belongs to exactly one call.
 */
import { Agent, request, type Dispatcher } from 'undici';
import type { ApplicationEvent } from '../routing/application-messages.js';
import { readBoundedBytes } from './bounded-body.js';
import { isConnectFailure } from './connect-failure.js';
import { ResetDetector } from './reset-detector.js';
import { readRetryAfterMs, type UnreadableRetryAfterListener } from './retry-after-header.js';

/** A caller's call as it is forwarded. */
export interface ApplicationPayload {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** A call to one application server. */
interface ApplicationServerCall {
  /** `ip:port`. */
  readonly address: string;
  readonly payload: ApplicationPayload;
  /** Time left until the caller's deadline. Milliseconds. */
  readonly remainingMs: number;
}

/** Client for application servers. */
export interface ApplicationClient {
  /** Starts a call; `onEvent` is called once. Returns a function that cancels the call. */
  start(call: ApplicationServerCall, onEvent: (event: ApplicationEvent) => void): () => void;
  close(): Promise<void>;
}

/** Set by a server that rejected a call before it began to execute it. */
const NOT_RUN_HEADER = 'pulleyledge-not-run';
/** Set by a server that is shutting down. */
const LEAVING_HEADER = 'pulleyledge-leaving';

/** A longer answer is broken off. Bytes; it only protects the process's memory. */
const MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;
/** A connection attempt that takes longer counts as refused. Milliseconds. */
const CONNECT_TIMEOUT_MS = 1000;

/** Application client over HTTP. */
export class HttpApplicationClient implements ApplicationClient {
  /** No pipelining and no keep-alive: a call can't be written to a connection that the server is closing. */
  private readonly agent: Agent;
  /** An answer without a length that is cut by a reset does not look complete. */
  private readonly dispatcher: Dispatcher;

  constructor(private readonly onUnreadable: UnreadableRetryAfterListener = () => undefined) {
    const resetDetector = new ResetDetector(CONNECT_TIMEOUT_MS);
    this.agent = new Agent({ connect: resetDetector.createConnector(), pipelining: 0 });
    this.dispatcher = this.agent.compose(resetDetector.createInterceptor());
  }

  start(call: ApplicationServerCall, onEvent: (event: ApplicationEvent) => void): () => void {
    const abort = new AbortController();
    void this.run(call, abort.signal, onEvent);
    return () => abort.abort();
  }

  close(): Promise<void> {
    return this.agent.destroy();
  }

  private async run(
    { address, payload, remainingMs }: ApplicationServerCall,
    signal: AbortSignal,
    onEvent: (event: ApplicationEvent) => void,
  ): Promise<void> {
    try {
      const hasBody = payload.method !== 'GET' && payload.method !== 'HEAD';
      const { statusCode, headers, body } = await request(`http://${address}${payload.path}`, {
        method: payload.method as 'GET',
        dispatcher: this.dispatcher,
        signal,
        headersTimeout: remainingMs,
        bodyTimeout: remainingMs,
        headers: payload.headers,
        body: hasBody ? payload.body : undefined,
      });
      const bytes = await readBoundedBytes(body, MAXIMUM_ANSWER_BYTES);
      const leaving = headers[LEAVING_HEADER] === 'true';
      const retryAfterMs = readRetryAfterMs(statusCode, headers, this.onUnreadable);
      if (headers[NOT_RUN_HEADER] === 'true') onEvent({ kind: 'refused', leaving, retryAfterMs });
      else
        onEvent({
          kind: 'response',
          status: statusCode,
          contentType: String(headers['content-type'] ?? ''),
          body: bytes,
          leaving,
          retryAfterMs,
        });
    } catch (error) {
      if (signal.aborted) return;
      const reason = (error as Error).message;
      onEvent(isConnectFailure(error) ? { kind: 'unreachable', reason } : { kind: 'broken', reason });
    }
  }
}
