/** Splits an event stream (text/event-stream) into complete events, so that no partial event is forwarded. */
import { isEventId } from '../shared/header-text.js';
import { ByteParts } from './byte-parts.js';

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

/** A longer event is invalid: a server in trouble may send one without end. Bytes. */
const MAXIMUM_EVENT_BYTES = 1024 * 1024;
/** Length of the end of an event, less its last byte. */
const EVENT_END_BYTES = 3;
const NO_BYTES = Buffer.alloc(0);

/** Splitter of one stream. */
export class EventSplitter {
  /** What was received of the event that is not complete. */
  private readonly partial = new ByteParts();
  /** Its last bytes, since the end of an event may arrive in two parts. */
  private tail: Buffer = NO_BYTES;

  /** Adds bytes; returns undefined when no event is complete. */
  push(chunk: Buffer): EventBatch | undefined {
    const end = findEndOfLastEvent(Buffer.concat([this.tail, chunk])) - this.tail.length;
    const bytes = end > 0 ? this.takeEvents(chunk.subarray(0, end)) : undefined;
    this.addPartial(bytes ? chunk.subarray(end) : chunk);
    if (this.partial.length > MAXIMUM_EVENT_BYTES) return { kind: 'invalid', reason: 'an event is too long' };
    if (!bytes) return undefined;
    const lastEventId = findLastId(bytes);
    if (lastEventId !== undefined && !isEventId(lastEventId))
      return { kind: 'invalid', reason: 'an event has an invalid id' };
    return { kind: 'events', bytes, lastEventId };
  }

  /** Bytes after the last complete event. */
  getRemainder(): Buffer {
    return this.partial.join();
  }

  /** Removes what was received before the end of the last event, and returns it with that end. */
  private takeEvents(end: Buffer): Buffer {
    this.partial.add(end);
    const bytes = this.partial.join();
    this.partial.clear();
    this.tail = NO_BYTES;
    return bytes;
  }

  private addPartial(bytes: Buffer): void {
    this.partial.add(bytes);
    this.tail = Buffer.concat([this.tail, bytes.subarray(-EVENT_END_BYTES)]).subarray(-EVENT_END_BYTES);
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
