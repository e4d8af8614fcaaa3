/** Reads the first line of a connection as bytes, since those after it need not be text. */
import { PeerProtocolError } from '../errors/index.js';

const LINE_END = '\n'.charCodeAt(0);

/** The first line of a connection and the bytes that arrived with it. */
export interface FirstLine {
  /** Without the line break. */
  readonly line: string;
  readonly rest: Buffer;
}

/** Reader of one connection. */
export class FirstLineReader {
  private received: Buffer = Buffer.alloc(0);

  /** @param maximumLength longest line that is accepted, in bytes. */
  constructor(private readonly maximumLength: number) {}

  /**
   * Adds a chunk; returns the line once it is complete.
   * @throws PeerProtocolError when the line is too long.
   */
  push(chunk: Buffer): FirstLine | undefined {
    this.received = Buffer.concat([this.received, chunk]);
    const end = this.received.indexOf(LINE_END);
    const length = end < 0 ? this.received.length : end;
    if (length > this.maximumLength) throw new PeerProtocolError('the first line is too long');
    if (end < 0) return undefined;
    return { line: this.received.toString('utf8', 0, end), rest: this.received.subarray(end + 1) };
  }
}
