/** Splits an event stream (text/event-stream) into complete events, so that no partial event is forwarded. */
import { isEventId } from '../shared/header-text.js';

/** Line terminators, as bytes. */
const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const ID_FIELD = /(?:^|\n)id: ?([^\r\n]*)/g;

/** What the bytes of a stream give. */
export type EventBatch =
  /** Complete events, and the id of the last one that has an id. */
  | { readonly kind: 'events'; readonly bytes: Buffer; readonly lastEventId: string | undefined }
  /** The bytes are no event stream that could be resumed; nothing of this batch may be passed on. */
  | { readonly kind: 'invalid'; readonly reason: string };

/** Splitter of one stream. */
export class EventSplitter {
  private buffered: Buffer = Buffer.alloc(0);

  /** Adds bytes and returns the events that are now complete, or undefined when there are none. */
  push(chunk: Buffer): EventBatch | undefined {
    const all = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
    const end = findEndOfLastEvent(all);
    this.buffered = all.subarray(end);
    if (end === 0) return undefined;
    const bytes = all.subarray(0, end);
    const lastEventId = findLastId(bytes);
    if (lastEventId !== undefined && !isEventId(lastEventId))
      return { kind: 'invalid', reason: 'an event has an invalid id' };
    return { kind: 'events', bytes, lastEventId };
  }

  /** Bytes after the last complete event. */
  getRemainder(): Buffer {
    return this.buffered;
  }
}

function findEndOfLastEvent(bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index -= 1) {
    if (bytes[index] !== LINE_FEED) continue;
    const before = bytes[index - 1] === CARRIAGE_RETURN ? index - 2 : index - 1;
    if (before >= 0 && bytes[before] === LINE_FEED) return index + 1;
  }
  return 0;
}

function findLastId(bytes: Buffer): string | undefined {
  let id: string | undefined;
  for (const match of bytes.toString('latin1').matchAll(ID_FIELD)) id = match[1];
  return id;
}
