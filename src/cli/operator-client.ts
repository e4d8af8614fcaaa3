/** HTTP client for a daemon's operator server, used by the operator commands. Owns no state. */
import { request } from 'undici';
import { readBoundedJson } from '../adapters/bounded-body.js';
import type { CompletionDaemonStatus, RowEdit } from '../daemon/completion-messages.js';
import { ProtocolError, PulleyledgeError, TableUnavailableError } from '../errors/index.js';
import type { ServicesResponse } from '../gateway/operator-server.js';
import type { Problem } from '../gateway/problem.js';
import { STATUS_OK } from '../shared/http-status.js';

/** A failure reported by a daemon in a problem document; it keeps the document's code, status and context. */
export class RemoteProblemError extends PulleyledgeError {
  constructor(readonly problem: Problem) {
    super(problem.detail, {
      code: problem.type.slice(problem.type.lastIndexOf(':') + 1),
      status: problem.status,
      context: problem.context,
      retryAfterMs: problem.retryAfterMs,
    });
  }
}

/** Timeout of a call. Milliseconds; long, because an edit waits for a majority of daemons. */
const TIMEOUT_MS = 15_000;
/** A longer answer is not understood. Bytes. */
const MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;
/** Delay before a retry that the error for a missing answer suggests. Milliseconds. */
const RETRY_AFTER_MS = 2000;

/**
 * Calls one daemon's operator server. Each method throws RemoteProblemError when the daemon reports a failure,
 * ProtocolError when its answer is not understood, and TableUnavailableError when there is none.
 */
export class OperatorClient {
  constructor(private readonly address: string) {}

  /** Reads the daemon's status. */
  getStatus(): Promise<CompletionDaemonStatus> {
    return this.call('GET', '/v1/status') as Promise<CompletionDaemonStatus>;
  }

  /** Reads the services in force at the daemon. */
  getServices(): Promise<ServicesResponse> {
    return this.call('GET', '/v1/services') as Promise<ServicesResponse>;
  }

  /** Edits rows atomically, all or none. Returns the revision of the accepted edit. */
  async edit(editId: string, edits: readonly RowEdit[]): Promise<number> {
    const { revision } = (await this.call('POST', '/v1/services', { editId, edits })) as { revision: number };
    return revision;
  }

  private async call(method: 'GET' | 'POST', path: string, body?: unknown): Promise<unknown> {
    const answer = await this.send(method, path, body);
    if (answer.status === STATUS_OK) return answer.value;
    const problem = answer.value as Problem | undefined;
    if (typeof problem?.type !== 'string') throw new ProtocolError(this.address, `status ${answer.status}`);
    throw new RemoteProblemError(problem);
  }

  private async send(
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
  ): Promise<{ status: number; value: unknown }> {
    try {
      const response = await request(`http://${this.address}${path}`, {
        method,
        headersTimeout: TIMEOUT_MS,
        headers: { 'content-type': 'application/json' },
        body: body === undefined ? undefined : JSON.stringify(body),
      });
      return {
        status: response.statusCode,
        value: await readBoundedJson(response.body, MAXIMUM_ANSWER_BYTES),
      };
    } catch (error) {
      const notRun = method === 'GET' ? 'true' : 'unknown';
      throw new TableUnavailableError(
        `daemon ${this.address}: ${(error as Error).message}`,
        notRun,
        RETRY_AFTER_MS,
      );
    }
  }
}
