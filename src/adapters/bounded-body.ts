/**
 * Reads the bodies of answers up to a limit: a server in trouble may send bytes without end. Owns no state.
 */
import { ProtocolError } from '../errors/index.js';

/** The body of an answer, as undici gives it. */
interface AnswerBody extends AsyncIterable<Uint8Array> {
  destroy(error?: Error): unknown;
}

/**
 * Reads a body as UTF-8 text.
 * @param maximumBytes a longer body is not read to its end; its connection is closed
 * @throws ProtocolError when the body is longer.
 */
export async function readBoundedText(body: AnswerBody, maximumBytes: number): Promise<string> {
  const chunks: Uint8Array[] = [];
  let length = 0;
  for await (const chunk of body) {
    length += chunk.length;
    if (length > maximumBytes) {
      body.destroy();
      throw new ProtocolError('the server', `an answer of over ${maximumBytes} bytes`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}
