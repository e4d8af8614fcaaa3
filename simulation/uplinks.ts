/** Uplinks of limited rate: messages of one daemon leave one after another, as long as their bytes take. */
import { encodePeerMessage } from '../src/adapters/peer-codec.js';
import type { PeerMessage } from '../src/daemon/peer-messages.js';
import type { VirtualTime } from './virtual-time.js';

/** The uplinks of a fleet, by the address of the daemon. */
export class Uplinks {
  private readonly freeAt = new Map<string, number>();
  /** One message is sent to many daemons. */
  private readonly lengths = new WeakMap<PeerMessage, number>();

  /** `bytesPerMs` is the rate of each uplink. */
  constructor(
    private readonly time: VirtualTime,
    private readonly bytesPerMs: number,
  ) {}

  /** Queues a message at the uplink of its sender. Returns the time until it has left. Milliseconds. */
  send(from: string, message: PeerMessage): number {
    const now = this.time.now();
    const startAt = Math.max(now, this.freeAt.get(from) ?? 0);
    const endAt = startAt + this.getLength(message) / this.bytesPerMs;
    this.freeAt.set(from, endAt);
    return endAt - now;
  }

  private getLength(message: PeerMessage): number {
    const length = this.lengths.get(message) ?? encodePeerMessage(message).length;
    this.lengths.set(message, length);
    return length;
  }
}
