/// Follows what back ends say of themselves: the limits that they name, with the permits to send there, that
/// they leave, and that they want nothing for a while.
import type {PeerMessage} from "../daemon/peer-messages.js"
import type {BackendView} from "../forwarding/backends/backend-view.js"
import type {SignalReport} from "../forwarding/backends/backend-signals.js"
import type {BackendRecord} from "../forwarding/routes/route.js"
import {DaemonPart, type AnswerEvent, type PartFigures, type PartContext} from "./daemon-part.js"

/// A limit of which nothing was heard for so long is asked for by a health check, and again after that time.
/// Milliseconds.
const CONFIRM_INTERVAL_MS = 3000

/// The signals as a part.
export class BackendSignalPart extends DaemonPart {
  override readonly name = "backendSignals"
  /// When each limit was last heard of or asked for.
  private readonly confirmedAt = new Map<BackendView, number>()
  /// Back ends that name their limits in answers to health checks too: there silence tells that one has ended.
  private readonly namedInChecks = new Set<BackendView>()
  /// The last signal of each back end that could not be read.
  private readonly unreadable = new Map<BackendView, string>()

  constructor(private readonly surroundings: PartContext) {
    super()
  }

  override applyBackend({id}: BackendRecord, now: number): void {
    const {directory, leaving, limits} = this.surroundings
    const view = directory.get(id)
    if (!view) return
    limits.applyRecord(view, now)
    leaving.applyRecord(view)
  }

  override removeBackend(id: string): void {
    this.surroundings.leaving.remove(id)
  }

  override onSignals(view: BackendView, report: SignalReport, now: number): void {
    const {leaving, limits, logChange} = this.surroundings
    const {id: backend} = view.record
    this.logUnreadable(view, report.signals.unreadable)
    limits.apply(view, report, now)
    if (view.limit.get() !== undefined) this.confirmedAt.set(view, now)
    const {isLeaving, retryAfterMs} = report.signals
    if (isLeaving) leaving.add(view, now)
    if (retryAfterMs === undefined) return
    if (!view.isBackingOff(now))
      logChange("backend.back-off", {backend, retryAfterMs: Math.round(retryAfterMs)})
    view.signals.addBackOff(now + retryAfterMs)
  }

  override receiveAnswer(event: AnswerEvent, now: number): void {
    if (event.kind !== "backendSignalled") return
    const {backend, signals, sentAt, isHealthCheck} = event
    const view = this.surroundings.directory.get(backend.id)
    if (!view || view.record.bornMs !== backend.bornMs) return
    if (isHealthCheck && signals.requestsPerSecond !== undefined) this.namedInChecks.add(view)
    const isConclusive = isHealthCheck && this.namedInChecks.has(view)
    this.onSignals(view, {signals, sentAt, isConclusive}, now)
  }

  override receivePeer(fromId: string, fromAddress: string, message: PeerMessage, now: number): void {
    const {permits} = this.surroundings
    permits.onContact(fromId, now)
    switch (message.kind) {
      case "quotaAsk":
      case "quotaAnswer":
      case "quotaHandover":
        if (message.scope === "backend") permits.receive(fromId, fromAddress, message, now)
        break
      default:
        break
    }
  }

  override onProcessResumed(now: number): void {
    this.surroundings.permits.onProcessResumed(now)
  }

  override onMachineSuspended(forMs: number): void {
    this.surroundings.limits.onMachineSuspended(forMs)
  }

  override tick(now: number): void {
    this.surroundings.permits.tick(now)
  }

  override scan(_leaving: boolean, now: number): void {
    this.surroundings.limits.tick()
    for (const known of [this.confirmedAt, this.namedInChecks, this.unreadable])
      for (const view of known.keys()) if (view.removed) known.delete(view)
    for (const view of this.surroundings.limits.getLimited()) this.confirm(view, now)
  }

  override getFigures(): PartFigures {
    return this.surroundings.permits.getFigures()
  }

  /// Once for what a back end says in answer after answer.
  private logUnreadable(view: BackendView, signals: readonly string[]): void {
    const {id: backend} = view.record
    for (const signal of signals) {
      if (this.unreadable.get(view) === signal) continue
      this.unreadable.set(view, signal)
      this.surroundings.logChange("backend.signal-unreadable", {backend, signal})
    }
  }

  /// Without requests no answer would tell that a limit has ended. One daemon asks for all.
  private confirm(view: BackendView, now: number): void {
    const {emit, permits, routes} = this.surroundings
    const heardAt = this.confirmedAt.get(view) ?? view.limit.getChangedAt()
    if (now - heardAt < CONFIRM_INTERVAL_MS || !permits.isOwner(view, now)) return
    this.confirmedAt.set(view, now)
    const healthPath = routes()?.getService(view.record.service)?.healthPath
    if (healthPath !== undefined) emit({kind: "probeBackend", probe: {backend: view.record}, healthPath})
  }
}
