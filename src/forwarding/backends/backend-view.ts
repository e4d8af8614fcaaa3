/// One incarnation of a back end as this daemon sees it. Owns its record, this daemon's attempts there and
/// their uncomputed prompt tokens; its health has a class of its own (backend-health.ts). Relies on the
/// peers' digests for the load of the other daemons.
import {DEFAULT_PACE_TRACKER_SETTINGS, PaceTracker, type BackendPace} from "../pace/pace-tracker.js"
import type {AdvertisedLimit} from "./advertised-limit.js"
import {BackendHealth, type BackendHealthSettings} from "./backend-health.js"
import type {PeerLoads} from "./peer-loads.js"
import {SignalState} from "./signal-state.js"
import type {BackendRecord} from "../routes/route.js"

interface SentAttempt {
  readonly sentAt: number
  /// Prompt tokens to be computed there.
  readonly promptTokens: number
  /// It is computed after prompts that can still meet their target.
  readonly overdue: boolean
  answering: boolean
  /// No answer is expected of it: it waits on a connection that is lost.
  ignored?: boolean
}

/// The state of one back end. Times are monotonic milliseconds.
export class BackendView {
  /// The incarnation has ended or its address belongs to another one; nothing may be sent there.
  removed = false
  /// Whether this daemon is changing the engine's stage.
  isChangingStage = false
  /// Failures and lost contact, as this daemon sees them.
  readonly health: BackendHealth
  /// Requests that this daemon may send there while the back end advertises a limit.
  permits = 0
  private readonly attempts = new Map<string, SentAttempt>()
  private ignoredAttempts = 0
  private localPendingTokens = 0
  private localPendingOverdueTokens = 0

  constructor(
    public record: BackendRecord,
    healthSettings: BackendHealthSettings,
    private readonly peers: PeerLoads,
    /// Its speed relative to its group.
    readonly pace: BackendPace = new PaceTracker(DEFAULT_PACE_TRACKER_SETTINGS).get(record.id),
    /// The signals of its current incarnation.
    public signals = new SignalState()
  ) {
    this.health = new BackendHealth(healthSettings, {
      getOldestSentAt: () => this.getOldestSentAt(),
      getPromptTokens: () => this.pendingTokens() + this.overdueTokens()
    })
  }

  /// The request rate that it advertises.
  get limit(): AdvertisedLimit {
    return this.signals.limit
  }

  /// Adds an attempt with `promptTokens` to compute and uses a permit. An overdue prompt is computed after
  /// those that can still meet their target.
  addAttempt(attemptId: string, promptTokens: number, now: number, overdue = false): void {
    this.permits = Math.max(0, this.permits - 1)
    this.attempts.set(attemptId, {sentAt: now, promptTokens, overdue, answering: false})
    this.addPending(promptTokens, overdue)
  }

  /// The back end has begun to answer the attempt: its prompt is computed.
  onAnswering(attemptId: string, now: number): void {
    this.health.onAnswering(now)
    const attempt = this.attempts.get(attemptId)
    if (!attempt || attempt.answering) return
    attempt.answering = true
    this.addPending(-attempt.promptTokens, attempt.overdue)
  }

  /// The attempts that wait for an answer wait on lost connections: their silence isn't the back end's, and they
  /// are no load there.
  ignoreWaiting(): void {
    for (const attempt of this.attempts.values()) {
      if (attempt.answering || attempt.ignored) continue
      attempt.ignored = true
      this.ignoredAttempts += 1
    }
  }

  /// Removes an attempt that has ended.
  removeAttempt(attemptId: string): void {
    const attempt = this.attempts.get(attemptId)
    if (!attempt) return
    this.attempts.delete(attemptId)
    if (attempt.ignored) this.ignoredAttempts -= 1
    if (!attempt.answering) this.addPending(-attempt.promptTokens, attempt.overdue)
  }

  /// Whether an attempt that was sent before `moment` is still in flight.
  hasAttemptBefore(moment: number): boolean {
    for (const {sentAt} of this.attempts.values()) if (sentAt < moment) return true
    return false
  }

  /// Whether it is to be avoided while another back end can take the work.
  isEjected(now: number): boolean {
    return this.isChangingStage || this.health.isEjected(now)
  }

  /// Whether it accepts new work at all.
  takesWork(): boolean {
    return !this.removed && this.record.state === "ready" && !this.signals.isLeaving
  }

  /// Whether it has asked this daemon to back off until a later time.
  isBackingOff(now: number): boolean {
    return now < this.signals.getBackOffEnd()
  }

  /// Whether a request may be sent there now: it accepts work, has not asked this daemon to back off, and
  /// advertises no limit or this daemon has a permit.
  mayReceive(now: number): boolean {
    return this.takesWork() && !this.isBackingOff(now) && (this.limit.get() === undefined || this.permits > 0)
  }

  /// Whether enough other daemons eject it for this one to avoid it too.
  isEjectedByPeers(): boolean {
    return this.peers.isEjectedByPeers(this.record.id)
  }

  /// Attempts of this daemon in flight.
  localInFlight(): number {
    return this.attempts.size - this.ignoredAttempts
  }

  /// Attempts of all daemons in flight, by their last digests.
  inFlight(): number {
    return this.localInFlight() + this.peers.getInFlight(this.record.id)
  }

  /// Prompt tokens that this daemon has sent and that still have to be computed, without overdue prompts.
  localPromptTokens(): number {
    return Math.max(0, this.localPendingTokens)
  }

  /// The same for overdue prompts.
  localOverdueTokens(): number {
    return Math.max(0, this.localPendingOverdueTokens)
  }

  /// Prompt tokens of all daemons that still have to be computed, without overdue prompts.
  pendingTokens(): number {
    return this.localPromptTokens() + this.peers.getPendingTokens(this.record.id)
  }

  /// The same for overdue prompts.
  overdueTokens(): number {
    return this.localOverdueTokens() + this.peers.getOverdueTokens(this.record.id)
  }

  /// When the oldest unanswered attempt was sent; Infinity when there is none.
  private getOldestSentAt(): number {
    let oldest = Infinity
    for (const attempt of this.attempts.values())
      if (!attempt.answering && !attempt.ignored) oldest = Math.min(oldest, attempt.sentAt)
    return oldest
  }

  private addPending(tokens: number, overdue: boolean): void {
    if (overdue) this.localPendingOverdueTokens += tokens
    else this.localPendingTokens += tokens
  }
}
