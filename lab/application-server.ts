/** The HTTP stand-in of an application server: counts each call by its key, so that a repeat shows. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { readLabJson, sendLabJson } from './lab-http.js';
import { LabServer } from './lab-server.js';

const ANSWER_DELAY_MS = 5;

/** One application server process. */
export class ApplicationServer extends LabServer {
  /** How often each idempotency key was executed. */
  readonly executions = new Map<string, number>();

  protected async onRequest(message: IncomingMessage, response: ServerResponse): Promise<void> {
    await readLabJson(message);
    if (message.url === '/executions') {
      sendLabJson(response, 200, Object.fromEntries(this.executions));
      return;
    }
    const key = String(message.headers['idempotency-key'] ?? '');
    this.executions.set(key, (this.executions.get(key) ?? 0) + 1);
    setTimeout(() => sendLabJson(response, 200, { done: message.url, key }), ANSWER_DELAY_MS);
  }
}
