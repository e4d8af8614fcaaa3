/// Tells the fleet where streams began, and finds it out for streams that callers take up here.
import type {PeerMessage} from "../daemon/peer-messages.js"
import {isResumable, type BackendRecord, type RouteConfiguration} from "../forwarding/routes/route.js"
import {OriginManager, type OriginOutcome, type TakenUpStream} from "../streams/origin-manager.js"
import type {StreamOrigin} from "../streams/stream-origin.js"
import {VersionHistory} from "../streams/version-history.js"
import {DaemonPart, type PartFigures, type PartContext} from "./daemon-part.js"

/// A caller may take a stream up more than once, and each time its answer may last for the route's timeout.
const LIFETIME_TIMEOUTS = 3
/// Minimum time for which an origin is kept. Milliseconds.
const MINIMUM_LIFETIME_MS = 30_000

/// A back end that comes and goes is listed for longer than this, so a daemon misses none unless its copy is out of
/// date for as long. Milliseconds.
const MISSED_CHANGES_MS = 2000

/// The part that holds and finds the origins of streams.
export class StreamPart extends DaemonPart {
  override readonly name = "streams"
  private readonly history = new VersionHistory()
  private readonly manager: OriginManager
  /// When the copy of the back ends' records was last known to be up to date.
  private freshAt = -Infinity

  constructor(private readonly context: PartContext) {
    super()
    const {identity, getMembers, backendsMayBeStale, getBackendsAgeMs, emit, decideOrigin} = context
    const {history} = this
    const fleet = {selfAddress: identity.address, getMembers, history, backendsMayBeStale, getBackendsAgeMs}
    this.manager = new OriginManager(fleet, effect => {
      if (effect.kind === "sendPeer") emit(effect)
      else decideOrigin(effect.requestId, effect.origin)
    })
  }

  override applyBackend(record: BackendRecord, now: number): void {
    this.history.apply(record, now)
  }

  override removeBackend(id: string, now: number): void {
    this.history.remove(id, now)
  }

  /// The suspension is not counted by the clock of `tick`.
  override onMachineSuspended(): void {
    this.freshAt = -Infinity
  }

  override applyConfiguration({routes}: RouteConfiguration): void {
    const timeouts = routes.filter(isResumable).map(({timeoutMs}) => timeoutMs)
    this.manager.setLifetime(Math.max(MINIMUM_LIFETIME_MS, LIFETIME_TIMEOUTS * Math.max(0, ...timeouts)))
  }

  override receivePeer(_fromId: string, fromAddress: string, message: PeerMessage, now: number): void {
    switch (message.kind) {
      case "streamBegan":
      case "streamAsk":
      case "streamAnswer":
        this.manager.receive(fromAddress, message, now)
        break
      default:
        break
    }
  }

  override findStreamOrigin(stream: TakenUpStream, now: number): OriginOutcome {
    return this.manager.find(stream, now)
  }

  override onStreamBegan(attemptId: string, origin: StreamOrigin, now: number): void {
    this.manager.add(attemptId, origin, now)
  }

  override tick(now: number): void {
    if (now - this.freshAt > MISSED_CHANGES_MS) this.history.restart(now)
    if (!this.context.backendsMayBeStale(now)) this.freshAt = now
    this.manager.tick(now)
  }

  override scan(draining: boolean): void {
    if (draining) this.manager.startStopping()
  }

  override getFigures(): PartFigures {
    return {...this.manager.getFigures(), unknownVersions: this.history.countUnknown()}
  }
}
