/// Holds and finds the origins of streams across the fleet: each daemon sends the origin of every resumable
/// stream that begins there to two keepers, and asks the keepers of a stream that its caller takes up here. A
/// daemon that cannot find out does not guess.
import type { Member } from '../membership/membership-messages.js';
import type { EffectSink } from '../shared/effect-sink.js';
import { OriginKeepers } from './origin-keepers.js';
import { OriginLookup } from './origin-lookup.js';
import { decodeOrigin, encodeOrigin, type StreamMessage } from './origin-messages.js';
import { OriginStore } from './origin-store.js';
import type { StreamOrigin } from './stream-origin.js';

/// Number of keepers that are told of a stream, besides the daemon at which it began.
const COPIES = 2;
/// How long an origin is kept before the first configuration. Milliseconds.
const INITIAL_LIFETIME_MS = 30_000;

/// What the manager asks its daemon to do.
export type OriginEffect =
  | { readonly kind: 'sendPeer'; readonly address: string; readonly message: StreamMessage }
  /// The decision for a request that waited; undefined if the origin cannot be found.
  | { readonly kind: 'originDecided'; readonly requestId: string; readonly origin: StreamOrigin | undefined };

/// What is known of the origin of a stream.
export type OriginOutcome =
  | { readonly kind: 'known'; readonly origin: StreamOrigin }
  | { readonly kind: 'unknown' }
  /// `originDecided` follows.
  | { readonly kind: 'waiting' };

/// The origins of one daemon. Times are monotonic milliseconds.
export class OriginManager {
  private readonly store = new OriginStore();
  private readonly keepers: OriginKeepers;
  private readonly lookups = new Map<string, OriginLookup>();
  private lifetimeMs = INITIAL_LIFETIME_MS;
  private found = 0;
  private notFound = 0;

  constructor(
    selfAddress: string,
    getMembers: () => readonly Member[],
    private readonly emit: EffectSink<OriginEffect>,
  ) {
    this.keepers = new OriginKeepers(selfAddress, getMembers);
  }

  /// Sets how long origins are kept. Milliseconds.
  setLifetime(lifetimeMs: number): void {
    this.lifetimeMs = lifetimeMs;
  }

  /// A stream has begun at this daemon.
  add(attemptId: string, origin: StreamOrigin, now: number): void {
    this.store.put(attemptId, origin, this.lifetimeMs, now);
    const message: StreamMessage = { kind: 'streamBegan', attemptId, origin: encodeOrigin(origin) };
    for (const address of this.keepers.pick(attemptId, COPIES))
      this.emit({ kind: 'sendPeer', address, message });
  }

  /// Finds the origin of a stream that a request takes up, asking the keepers if it is not known here.
  find(requestId: string, attemptId: string, now: number): OriginOutcome {
    const origin = this.store.find(attemptId, now);
    if (origin) return { kind: 'known', origin };
    const lookup = this.lookups.get(attemptId) ?? this.createLookup(attemptId, now);
    if (lookup.hasFailed()) {
      this.notFound += 1;
      return { kind: 'unknown' };
    }
    lookup.requestIds.add(requestId);
    this.lookups.set(attemptId, lookup);
    return { kind: 'waiting' };
  }

  /// Receives a peer's message.
  receive(fromAddress: string, message: StreamMessage, now: number): void {
    const { attemptId } = message;
    switch (message.kind) {
      case 'streamBegan':
        this.store.put(attemptId, decodeOrigin(message.origin), this.lifetimeMs, now);
        break;
      case 'streamAsk':
        this.sendAnswer(fromAddress, attemptId, now);
        break;
      case 'streamAnswer':
        this.receiveAnswer(fromAddress, message, now);
        break;
    }
  }

  /// Advances the lookups and removes expired origins.
  tick(now: number): void {
    this.store.tick(now);
    for (const [attemptId, lookup] of this.lookups)
      if (lookup.tick(now)) this.finishLookup(attemptId, lookup, undefined);
  }

  /// Number of origins held, and of lookups that found one or failed.
  getFigures(): Readonly<Record<string, number>> {
    return { origins: this.store.size, found: this.found, notFound: this.notFound };
  }

  private createLookup(attemptId: string, now: number): OriginLookup {
    const message: StreamMessage = { kind: 'streamAsk', attemptId };
    const sendAsk = (address: string): void => this.emit({ kind: 'sendPeer', address, message });
    return new OriginLookup(attemptId, this.keepers, sendAsk, now);
  }

  private sendAnswer(address: string, attemptId: string, now: number): void {
    const origin = this.store.find(attemptId, now);
    const known = origin && { origin: encodeOrigin(origin) };
    this.emit({ kind: 'sendPeer', address, message: { kind: 'streamAnswer', attemptId, ...known } });
  }

  private receiveAnswer(
    fromAddress: string,
    { attemptId, origin }: Extract<StreamMessage, { kind: 'streamAnswer' }>,
    now: number,
  ): void {
    const lookup = this.lookups.get(attemptId);
    if (!lookup) return;
    if (origin) {
      const found = decodeOrigin(origin);
      this.store.put(attemptId, found, this.lifetimeMs, now);
      this.finishLookup(attemptId, lookup, found);
      return;
    }
    lookup.receiveUnknown(fromAddress);
    if (lookup.hasFailed()) this.finishLookup(attemptId, lookup, undefined);
  }

  private finishLookup(attemptId: string, lookup: OriginLookup, origin: StreamOrigin | undefined): void {
    this.lookups.delete(attemptId);
    if (origin) this.found += 1;
    else this.notFound += 1;
    for (const requestId of lookup.requestIds) this.emit({ kind: 'originDecided', requestId, origin });
  }
}
