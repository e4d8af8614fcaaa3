/**
 * Reads the bodies of answers up to a limit: a server in trouble may send bytes without end. Owns no state.
 */
import { ProtocolError } from '../errors/index.js';
import { ByteParts } from './byte-parts.js';

/** The body of an answer, as undici gives it. */
interface AnswerBody extends AsyncIterable<Uint8Array> {
  destroy(error?: Error): unknown;
}

/**
 * Reads a body.
 * @param maximumBytes a longer body is not read to its end; its connection is closed
 * @throws ProtocolError when the body is longer.
 */
export async function readBoundedBytes(body: AnswerBody, maximumBytes: number): Promise<Buffer> {
  const chunks = new ByteParts();
  for await (const chunk of body) {
    if (chunks.length + chunk.length > maximumBytes) {
      body.destroy();
      throw new ProtocolError('the server', `an answer of over ${maximumBytes} bytes`);
    }
    chunks.add(chunk);
  }
  return chunks.join();
}

/** Reads a body as UTF-8 text, otherwise as `readBoundedBytes`. */
export async function readBoundedText(body: AnswerBody, maximumBytes: number): Promise<string> {
  return (await readBoundedBytes(body, maximumBytes)).toString('utf8');
}

/**
 * Reads a body as JSON, otherwise as `readBoundedBytes`.
 * @throws SyntaxError when it is no JSON.
 */
export async function readBoundedJson(body: AnswerBody, maximumBytes: number): Promise<unknown> {
  return JSON.parse(await readBoundedText(body, maximumBytes)) as unknown;
}
