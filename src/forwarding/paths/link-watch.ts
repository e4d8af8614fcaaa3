/// Watches this daemon's own links to back ends: collects what attempts and health checks show of them, names
/// the back ends to check, and finds that all links are lost. Owns the health checks without an answer and the
/// suspicion; direct-contact.ts holds what is known of each path.
import type {BackendDirectory} from "../backends/backend-directory.js"
import {DirectContact} from "./direct-contact.js"

/// A health check without an answer for this time counts as lost, like a request that has waited longer.
/// Milliseconds; a health check is a small call.
const PROBE_PATIENCE_MS = 400

/// What the watch relies on.
export interface LinkWatchContext {
  readonly directory: BackendDirectory
  /// Whether back ends of the service answer health checks.
  hasHealthCheck(service: string): boolean
}

/// The links of one daemon. Times are monotonic milliseconds.
export class LinkWatch {
  readonly contact = new DirectContact()
  /// The paths whose loss hints that all may be lost; undefined while nothing does.
  private suspects: ReadonlySet<string> | undefined
  /// When the health checks without an answer were sent.
  private readonly probesSentAt = new Map<string, number>()

  constructor(private readonly context: LinkWatchContext) {}

  /// A health check was sent.
  onProbeSent(backendId: string, now: number): void {
    this.probesSentAt.set(backendId, now)
  }

  /// A back end has answered a health check.
  onProbeAnswered(backendId: string, now: number): void {
    this.probesSentAt.delete(backendId)
    this.contact.onProbeAnswered(backendId, now)
    this.suspects = undefined
  }

  /// A health check has failed. Those of back ends that leave or back off aren't reported here, and prove
  /// nothing.
  onProbeFailed(backendId: string, now: number): void {
    const sentAt = this.probesSentAt.get(backendId)
    this.probesSentAt.delete(backendId)
    if (sentAt !== undefined) this.contact.onLost(backendId, sentAt, now)
  }

  /// This process was paused until now.
  onProcessResumed(now: number): void {
    this.contact.onProcessResumed(now)
    this.probesSentAt.clear()
  }

  /// The record of a back end is gone.
  removeBackend(backendId: string): void {
    this.contact.remove(backendId)
    this.probesSentAt.delete(backendId)
  }

  /// Counts health checks that have waited for too long as lost. A back end that takes no more work may end as
  /// planned, which proves nothing.
  tick(now: number): void {
    const {directory} = this.context
    for (const id of this.contact.getLostIds()) if (!directory.get(id)?.takesWork()) this.contact.remove(id)
    for (const [id, sentAt] of this.probesSentAt)
      if (!directory.get(id)?.takesWork()) this.probesSentAt.delete(id)
      else if (now - sentAt > PROBE_PATIENCE_MS) this.contact.onLost(id, sentAt, now)
  }

  /// For how long this daemon has reached none of its back ends; undefined while it may reach one.
  /// Milliseconds.
  findLostMs(now: number): number | undefined {
    const backends = this.countBackends()
    const unanswered = this.findUnanswered()
    const lost = this.contact.getLostIds()
    const isSuspected = this.contact.hasEnoughLost(unanswered.length, backends)
    const suspects = isSuspected ? (this.suspects ?? new Set([...lost, ...unanswered])) : undefined
    this.suspects = suspects
    if (!suspects || !this.contact.isCutOff(backends, now)) return undefined
    // While little is sent, nothing but a check tells whether other paths work.
    if (lost.every(id => suspects.has(id)) && this.findUnheard().length > 0) return undefined
    return this.contact.getQuietMs(backends, now)
  }

  /// Whether nothing hints that this daemon reaches no back end.
  isSound(now: number): boolean {
    const backends = this.countBackends()
    if (!this.contact.hasHadContact() || !this.contact.hasPath(backends)) return false
    return this.contact.getQuietMs(backends, now) === undefined
  }

  /// The back ends whose direct paths are to be checked: those that may show that this daemon isn't cut off,
  /// while it may be; else those whose paths are lost though they are sound. Others are checked for their health.
  getUncheckedIds(now: number): readonly string[] {
    const {directory} = this.context
    const unheard = this.suspects ? this.findUnheard() : []
    if (unheard.length > 0) return unheard
    return this.contact.getLostIds().filter(id => directory.get(id)?.health.needsProbe(now) === false)
  }

  /// All back ends that answer health checks.
  getCheckableIds(): readonly string[] {
    return this.findCheckable(() => true)
  }

  /// Number of back ends that take work.
  countBackends(): number {
    let count = 0
    for (const view of this.context.directory.all()) if (view.takesWork()) count += 1
    return count
  }

  /// Health checks that were sent since the last direct answer and may still be answered.
  private findUnanswered(): string[] {
    const since = this.contact.getLastContactAt()
    const sent = [...this.probesSentAt].filter(([, sentAt]) => sentAt > since).map(([id]) => id)
    return sent.filter(id => !this.contact.isLost(id) && !this.contact.isDown(id))
  }

  /// Back ends whose direct paths may work, as far as is known.
  private findUnheard(): string[] {
    return this.findCheckable(id => !this.contact.isLost(id) && !this.contact.isDown(id))
  }

  private findCheckable(accepts: (id: string) => boolean): string[] {
    const {directory, hasHealthCheck} = this.context
    const ids: string[] = []
    for (const view of directory.all())
      if (view.takesWork() && accepts(view.record.id) && hasHealthCheck(view.record.service))
        ids.push(view.record.id)
    return ids
  }
}
