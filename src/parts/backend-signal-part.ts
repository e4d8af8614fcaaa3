/// Tracks what back ends report about themselves: their limits, with the permits for sending to them, that
/// they are leaving, and that they ask for a back-off.
import type {PeerMessage} from "../daemon/peer-messages.js"
import type {BackendView} from "../forwarding/backends/backend-view.js"
import type {SignalReport} from "../forwarding/backends/backend-signals.js"
import type {BackendRecord} from "../forwarding/routes/route.js"
import {DaemonPart, type AnswerEvent, type PartFigures, type PartContext} from "./daemon-part.js"

/// A limit that was not confirmed for this duration is requested by a health check, which is repeated at this
/// interval. Milliseconds.
const CONFIRM_INTERVAL_MS = 3000

/// The part that handles back ends' signals.
export class BackendSignalPart extends DaemonPart {
  override readonly name = "backendSignals"
  /// The time at which each limit was last confirmed or requested.
  private readonly confirmedAt = new Map<BackendView, number>()
  /// Back ends that name their limits in answers to health checks too: if such an answer names none, the
  /// limit has ended.
  private readonly namesLimitInChecks = new Set<BackendView>()
  /// The last signal of each back end that could not be parsed.
  private readonly lastUnreadable = new Map<BackendView, string>()

  constructor(private readonly context: PartContext) {
    super()
  }

  override applyBackend({id}: BackendRecord, now: number): void {
    const {directory, leaving, limits} = this.context
    const view = directory.get(id)
    if (!view) return
    limits.applyRecord(view, now)
    leaving.applyRecord(view)
  }

  override removeBackend(id: string): void {
    this.context.leaving.remove(id)
  }

  override onSignals(view: BackendView, report: SignalReport, now: number): void {
    const {leaving, limits, logChange} = this.context
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
    const view = this.context.directory.get(backend.id)
    if (!view || view.record.bornMs !== backend.bornMs) return
    if (isHealthCheck && signals.requestsPerSecond !== undefined) this.namesLimitInChecks.add(view)
    const isConclusive = isHealthCheck && this.namesLimitInChecks.has(view)
    this.onSignals(view, {signals, sentAt, isConclusive}, now)
  }

  override receivePeer(fromId: string, fromAddress: string, message: PeerMessage, now: number): void {
    const {permits} = this.context
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
    this.context.permits.onProcessResumed(now)
  }

  override onMachineSuspended(forMs: number): void {
    this.context.limits.onMachineSuspended(forMs)
  }

  override tick(now: number): void {
    this.context.permits.tick(now)
  }

  override scan(_draining: boolean, now: number): void {
    this.context.limits.tick()
    for (const known of [this.confirmedAt, this.namesLimitInChecks, this.lastUnreadable])
      for (const view of known.keys()) if (view.removed) known.delete(view)
    for (const view of this.context.limits.getLimited()) this.probeLimit(view, now)
  }

  override getFigures(): PartFigures {
    return this.context.permits.getFigures()
  }

  /// Logs each unreadable signal once, since a back end may repeat it in every answer.
  private logUnreadable(view: BackendView, signals: readonly string[]): void {
    const {id: backend} = view.record
    for (const signal of signals) {
      if (this.lastUnreadable.get(view) === signal) continue
      this.lastUnreadable.set(view, signal)
      this.context.logChange("backend.signal-unreadable", {backend, signal})
    }
  }

  /// Sends a health check to a back end whose limit was not confirmed recently: without requests, no answer
  /// would show that the limit has ended. Only the owner of the limit does so, for all daemons.
  private probeLimit(view: BackendView, now: number): void {
    const {emit, permits, getRoutes: routes} = this.context
    const lastConfirmedAt = this.confirmedAt.get(view) ?? view.limit.getChangedAt()
    if (now - lastConfirmedAt < CONFIRM_INTERVAL_MS || !permits.isOwner(view, now)) return
    this.confirmedAt.set(view, now)
    const healthPath = routes()?.getService(view.record.service)?.healthPath
    if (healthPath !== undefined) emit({kind: "probeBackend", probe: {backend: view.record}, healthPath})
  }
}
