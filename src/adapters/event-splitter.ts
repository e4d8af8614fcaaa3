/** Cuts an event stream (text/event-stream) into whole events, so that none is passed on in part. */

/** Bytes that end a line. */
const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const ID_FIELD = /(?:^|\n)id: ?([^\r\n]*)/g;

/** Whole events, and the id of the last one that had any. */
interface EventBatch {
  readonly bytes: Buffer;
  readonly lastEventId: string | undefined;
}

/** The splitter of one stream. */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0);

  /** Takes bytes and returns the events that are whole now, or undefined when there is none. */
  push(chunk: Buffer): EventBatch | undefined {
    const all = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const end = endOfLastEvent(all);
    this.rest = all.subarray(end);
    if (end === 0) return undefined;
    const bytes = all.subarray(0, end);
    return { bytes, lastEventId: lastId(bytes) };
  }

  /** Bytes after the last whole event. */
  getRemainder(): Buffer {
    return this.rest;
  }
}

function endOfLastEvent(bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index -= 1) {
    if (bytes[index] !== LINE_FEED) continue;
    const before = bytes[index - 1] === CARRIAGE_RETURN ? index - 2 : index - 1;
    if (before >= 0 && bytes[before] === LINE_FEED) return index + 1;
  }
  return 0;
}

function lastId(bytes: Buffer): string | undefined {
  let id: string | undefined;
  for (const match of bytes.toString('latin1').matchAll(ID_FIELD)) id = match[1];
  return id;
}
