/** An HTTP stand-in for an application server. Counts calls by idempotency key, so that tests can find duplicates. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { readLabJson, sendLabJson } from './lab-http.js';
import { LabServer } from './lab-server.js';

const RESPONSE_DELAY_MS = 5;

/** One application server. `/executions` returns the counts; every other call is executed. */
export class ApplicationServer extends LabServer {
  /** Number of executions by idempotency key. */
  readonly executions = new Map<string, number>();

  protected async onRequest(message: IncomingMessage, response: ServerResponse): Promise<void> {
    await readLabJson(message);
    if (message.url === '/executions') {
      sendLabJson(response, 200, Object.fromEntries(this.executions));
      return;
    }
    const key = String(message.headers['idempotency-key'] ?? '');
    this.executions.set(key, (this.executions.get(key) ?? 0) + 1);
    setTimeout(() => sendLabJson(response, 200, { done: message.url, key }), RESPONSE_DELAY_MS);
  }
}
