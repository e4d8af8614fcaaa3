/**
 * What a daemon announces to a peer that connects: the kinds of messages that it reads beyond those that every daemon
 * reads. An older daemon closes a connection on which an unknown message arrives, so messages of these kinds wait
 * until the peer has announced them, and are dropped if it does not.
 */
import type { PeerMessage } from '../daemon/peer-messages.js';
import { partMessageSchemas } from '../quarantine/prompt-parts/part-messages.js';
import { streamMessageSchemas } from '../streams/origin-messages.js';
import { LineSplitter } from './line-splitter.js';
import { decodeAnnouncement, encodePeerMessage } from './peer-codec.js';

/** Kinds that older daemons do not read. */
const ANNOUNCED_KINDS: ReadonlySet<string> = new Set(
  [...streamMessageSchemas, ...partMessageSchemas].map(({ shape }) => shape.kind.value),
);
/** Messages that wait for an announcement at most, for each peer; more are dropped. */
const MAXIMUM_WAITING = 256;
/** An announcement that is longer is not read. Characters. */
const MAXIMUM_LENGTH = 16 * 1024;

/** The announcement of this daemon, as a line without the line break. */
export const ANNOUNCEMENT = encodePeerMessage({ kind: 'announcement', reads: [...ANNOUNCED_KINDS] });

/** What the peer of one outgoing connection reads, and the messages that wait until that is known. */
export class PeerAnnouncement {
  /** Undefined until the peer's first line has arrived. */
  private reads: ReadonlySet<string> | undefined;
  private waiting: PeerMessage[] = [];
  private readonly splitter = new LineSplitter(MAXIMUM_LENGTH);

  /** @param send sends a message that waited. */
  constructor(private readonly send: (message: PeerMessage) => void) {}

  /** Whether a message may be sent now. One whose kind may still be announced is sent later. */
  admit(message: PeerMessage): boolean {
    if (!ANNOUNCED_KINDS.has(message.kind)) return true;
    if (!this.reads && this.waiting.length < MAXIMUM_WAITING) this.waiting.push(message);
    return this.reads?.has(message.kind) === true;
  }

  /** Receives what the peer sends back: its announcement, or the empty line of an older daemon, comes first. */
  receive(chunk: string): void {
    if (this.reads) return;
    const lines = this.splitter.push(chunk);
    if (lines?.length === 0) return;
    this.reads = new Set(lines ? decodeAnnouncement(lines[0]) : []);
    const { waiting } = this;
    this.waiting = [];
    for (const message of waiting) if (this.reads.has(message.kind)) this.send(message);
  }
}
