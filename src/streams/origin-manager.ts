/// Holds and finds the origins of streams across the fleet: each daemon sends the origin of every resumable
/// stream that begins there to two keepers (origin-replicator.ts), and asks the keepers of a stream that its
/// caller takes up here. Where nobody knows, or the caller names no attempt, the version is still known if the
/// service had only one for as long as a stream may last. A daemon that cannot find out does not guess.
import type {Member} from "../membership/membership-messages.js"
import type {EffectSink} from "../shared/effect-sink.js"
import {OriginKeepers} from "./origin-keepers.js"
import {OriginLookup} from "./origin-lookup.js"
import {decodeOrigin, encodeOrigin, type StreamMessage} from "./origin-messages.js"
import {OriginReplicator} from "./origin-replicator.js"
import {OriginStore} from "./origin-store.js"
import type {StreamOrigin} from "./stream-origin.js"
import type {VersionHistory} from "./version-history.js"

/// How long an origin is kept before the first configuration. Milliseconds.
const INITIAL_LIFETIME_MS = 30_000

/// Longest time for which a failed lookup waits until the records of back ends are confirmed. Milliseconds; the
/// store confirms them about twice a second.
const CONFIRMATION_MS = 1200

/// What the manager asks its daemon to do.
export type OriginEffect =
  | {readonly kind: "sendPeer"; readonly address: string; readonly message: StreamMessage}
  /// The decision for a request that waited; undefined if the origin cannot be found.
  | {readonly kind: "originDecided"; readonly requestId: string; readonly origin: StreamOrigin | undefined}

/// What is known of the origin of a stream.
export type OriginOutcome =
  | {readonly kind: "known"; readonly origin: StreamOrigin}
  | {readonly kind: "unknown"}
  /// `originDecided` follows.
  | {readonly kind: "waiting"}

/// A stream that a request takes up.
export interface TakenUpStream {
  readonly requestId: string
  /// The caller's id of the attempt that brought the first event; undefined if the caller does not name it.
  readonly attemptId: string | undefined
  /// The service of its route; undefined if the route leads to several.
  readonly service: string | undefined
}

/// What the manager relies on.
interface OriginContext {
  readonly selfAddress: string
  /// Active members, this daemon included; the same array until they change.
  getMembers(): readonly Member[]
  /// The versions of the back ends that this daemon has seen.
  readonly history: VersionHistory
  /// Whether newer records of back ends may exist.
  backendsMayBeStale(now: number): boolean
  /// Time since the copy of the records was last known to be up to date. Milliseconds.
  getBackendsAgeMs(now: number): number
}

/// The origins of one daemon. Times are monotonic milliseconds.
export class OriginManager {
  private readonly store = new OriginStore(attemptId => this.replicator.remove(attemptId))
  private readonly keepers: OriginKeepers
  private readonly replicator: OriginReplicator
  private readonly lookups = new Map<string, OriginLookup>()
  private lifetimeMs = INITIAL_LIFETIME_MS
  private found = 0
  private notFound = 0

  constructor(
    private readonly context: OriginContext,
    private readonly emit: EffectSink<OriginEffect>
  ) {
    this.keepers = new OriginKeepers(context.selfAddress, () => context.getMembers())
    this.replicator = new OriginReplicator(this.store, this.keepers, ({address, message}) =>
      this.emit({kind: "sendPeer", address, message})
    )
  }

  /// Sets how long origins are kept. Milliseconds.
  setLifetime(lifetimeMs: number): void {
    this.lifetimeMs = lifetimeMs
  }

  /// A stream has begun at this daemon.
  add(attemptId: string, origin: StreamOrigin, now: number): void {
    this.store.put(attemptId, origin, this.lifetimeMs, now)
    this.replicator.add(attemptId)
  }

  /// This daemon stops: hands over the origins that it holds.
  startStopping(): void {
    this.replicator.startStopping()
  }

  /// Finds the origin of a stream that a request takes up, asking the keepers if it is not known here.
  find(stream: TakenUpStream, now: number): OriginOutcome {
    const {requestId, attemptId, service} = stream
    if (attemptId === undefined) return this.findByHistory(service, now)
    const origin = this.store.find(attemptId, now)
    if (origin) return {kind: "known", origin}
    const lookup = this.lookups.get(attemptId) ?? this.createLookup(attemptId, now)
    if (lookup.hasFailed() && this.findVersion(service, now) === undefined) return this.makeUnknown()
    lookup.services.set(requestId, service)
    this.lookups.set(attemptId, lookup)
    return {kind: "waiting"}
  }

  /// Finds the only version at which a stream of the service can have begun.
  private findByHistory(service: string | undefined, now: number): OriginOutcome {
    const version = this.findVersion(service, now)
    if (service === undefined || version === undefined) return this.makeUnknown()
    this.found += 1
    return {kind: "known", origin: {service, backendId: undefined, version}}
  }

  private findVersion(service: string | undefined, now: number): string | undefined {
    const {history, backendsMayBeStale} = this.context
    if (service === undefined || backendsMayBeStale(now)) return undefined
    return history.findOnly(service, this.lifetimeMs, now)
  }

  private makeUnknown(): OriginOutcome {
    this.notFound += 1
    return {kind: "unknown"}
  }

  /// Whether the records of back ends were known to be up to date after the lookup had begun, so that they hold
  /// the back end that began its stream, whatever this daemon had missed before.
  private isConfirmed({startedAt}: OriginLookup, now: number): boolean {
    return this.context.getBackendsAgeMs(now) < now - startedAt
  }

  /// Whether the history may tell the version of a failed lookup once the records are confirmed.
  private awaitsConfirmation(lookup: OriginLookup, now: number): boolean {
    if (this.isConfirmed(lookup, now) || now - lookup.startedAt >= CONFIRMATION_MS) return false
    return [...lookup.services.values()].some(service => this.findVersion(service, now) !== undefined)
  }

  /// Receives a peer's message.
  receive(fromAddress: string, message: StreamMessage, now: number): void {
    const {attemptId} = message
    switch (message.kind) {
      case "streamBegan":
        this.store.put(attemptId, decodeOrigin(message.origin), this.lifetimeMs, now)
        this.replicator.onReceived(attemptId)
        break
      case "streamAsk":
        this.sendAnswer(fromAddress, attemptId, now)
        break
      case "streamAnswer":
        this.receiveAnswer(fromAddress, message, now)
        break
    }
  }

  /// Advances the lookups and removes expired origins.
  tick(now: number): void {
    this.store.tick(now)
    this.replicator.tick(now)
    this.context.history.removeOld(this.lifetimeMs, now)
    for (const [attemptId, lookup] of this.lookups)
      if (lookup.tick(now) && !this.awaitsConfirmation(lookup, now))
        this.finishLookup(attemptId, lookup, undefined, now)
  }

  /// Number of origins held, and of lookups that found one or failed.
  getFigures(): Readonly<Record<string, number>> {
    return {origins: this.store.size, found: this.found, notFound: this.notFound}
  }

  private createLookup(attemptId: string, now: number): OriginLookup {
    const message: StreamMessage = {kind: "streamAsk", attemptId}
    const sendAsk = (address: string): void => this.emit({kind: "sendPeer", address, message})
    return new OriginLookup(attemptId, this.keepers, sendAsk, now)
  }

  private sendAnswer(address: string, attemptId: string, now: number): void {
    const origin = this.store.find(attemptId, now)
    const known = origin && {origin: encodeOrigin(origin)}
    this.emit({kind: "sendPeer", address, message: {kind: "streamAnswer", attemptId, ...known}})
  }

  private receiveAnswer(
    fromAddress: string,
    {attemptId, origin}: Extract<StreamMessage, {kind: "streamAnswer"}>,
    now: number
  ): void {
    const lookup = this.lookups.get(attemptId)
    if (!lookup) return
    if (origin) {
      const found = decodeOrigin(origin)
      this.store.put(attemptId, found, this.lifetimeMs, now)
      this.finishLookup(attemptId, lookup, found, now)
      return
    }
    lookup.receiveUnknown(fromAddress)
    if (lookup.hasFailed() && !this.awaitsConfirmation(lookup, now))
      this.finishLookup(attemptId, lookup, undefined, now)
  }

  private finishLookup(
    attemptId: string,
    lookup: OriginLookup,
    found: StreamOrigin | undefined,
    now: number
  ): void {
    this.lookups.delete(attemptId)
    for (const [requestId, service] of lookup.services) {
      const isConfirmed = this.isConfirmed(lookup, now)
      const outcome = found || !isConfirmed ? undefined : this.findByHistory(service, now)
      const origin = outcome?.kind === "known" ? outcome.origin : found
      if (!found && !isConfirmed) this.notFound += 1
      if (found) this.found += 1
      this.emit({kind: "originDecided", requestId, origin})
    }
  }
}
