/** Reads and sends JSON bodies for the HTTP stand-ins. */
import type { IncomingMessage, ServerResponse } from 'node:http';

/** Reads the body as JSON; an empty object when there is no body. */
export async function readLabJson(message: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of message as AsyncIterable<Buffer>) chunks.push(chunk);
  return chunks.length === 0 ? {} : (JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown);
}

/** Answers with JSON. */
export function sendLabJson(
  response: ServerResponse,
  status: number,
  value: unknown,
  headers: Record<string, string> = {},
): void {
  response.writeHead(status, { 'content-type': 'application/json', ...headers });
  response.end(JSON.stringify(value));
}
