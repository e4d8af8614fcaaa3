/** Reads request bodies up to a limit. Owns no state. */
import type { IncomingMessage } from 'node:http';
import { ByteParts } from '../adapters/byte-parts.js';
import { PayloadTooLargeError, ValidationError } from '../errors/index.js';
import { parseJson } from '../shared/json.js';

/**
 * Reads the complete body.
 * @throws PayloadTooLargeError when it is longer than `limitBytes`; ValidationError when the caller
 * disconnects before its end.
 */
export async function readBody(message: IncomingMessage, limitBytes: number): Promise<Buffer> {
  const chunks = new ByteParts();
  try {
    for await (const chunk of message as AsyncIterable<Buffer>) {
      if (chunks.length + chunk.length > limitBytes) throw new PayloadTooLargeError(limitBytes);
      chunks.add(chunk);
    }
  } catch (error) {
    if (error instanceof PayloadTooLargeError) throw error;
    throw new ValidationError('body', 'the connection broke before the body was whole');
  }
  return chunks.join();
}

/**
 * Reads the complete body and parses it as JSON.
 * @throws ValidationError when it is not JSON; otherwise as `readBody`.
 */
export async function readJson(message: IncomingMessage, limitBytes: number): Promise<unknown> {
  const body = await readBody(message, limitBytes);
  const { value, reason } = parseJson(body.toString('utf8'));
  if (reason !== undefined) throw new ValidationError('body', reason);
  return value;
}
