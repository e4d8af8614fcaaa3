/// One incarnation of a back end as this daemon sees it. Owns its record, the attempts of this daemon there
/// and the prompt tokens that wait for them; its health has a class of its own (backend-health.ts). Relies on
/// the peers' digests for the load of the other daemons.
import {DEFAULT_PACE_TRACKER_SETTINGS, PaceTracker, type BackendPace} from "../pace/pace-book.js"
import type {AdvertisedLimit} from "./advertised-limit.js"
import {BackendHealth, type BackendHealthSettings} from "./backend-health.js"
import type {PeerLoads} from "./peer-loads.js"
import {SignalState} from "./signal-state.js"
import type {BackendRecord} from "../routes/route.js"

interface SentAttempt {
  readonly sentAt: number
  /// Prompt tokens to be computed there.
  readonly promptTokens: number
  /// It gives way to prompts that can still be in time.
  readonly overdue: boolean
  answering: boolean
}

/// The state of one back end. Times are monotonic milliseconds.
export class BackendView {
  /// The incarnation has ended or its address belongs to another one.
  removed = false
  /// This daemon is changing the engine's stage.
  isChangingStage = false
  /// Whether it works, as far as this daemon knows.
  readonly health: BackendHealth
  /// Requests that this daemon may send there while it names a limit.
  permits = 0
  private readonly attempts = new Map<string, SentAttempt>()
  private localPendingTokens = 0
  private localPendingOverdueTokens = 0

  constructor(
    public record: BackendRecord,
    healthSettings: BackendHealthSettings,
    private readonly peers: PeerLoads,
    /// How fast it works beside the others of its group.
    readonly pace: BackendPace = new PaceTracker(DEFAULT_PACE_TRACKER_SETTINGS).get(record.id),
    /// What its present incarnation says of itself.
    public signals = new SignalState()
  ) {
    this.health = new BackendHealth(healthSettings, {
      getOldestSentAt: () => this.getOldestSentAt(),
      getPromptTokens: () => this.pendingTokens() + this.overdueTokens()
    })
  }

  /// How many requests a second it takes, as it says itself.
  get limit(): AdvertisedLimit {
    return this.signals.limit
  }

  /// Counts an attempt with so many prompt tokens to compute; an overdue one gives way to those that can be
  /// in time.
  addAttempt(attemptId: string, promptTokens: number, now: number, overdue = false): void {
    this.permits = Math.max(0, this.permits - 1)
    this.attempts.set(attemptId, {sentAt: now, promptTokens, overdue, answering: false})
    this.addPending(promptTokens, overdue)
  }

  /// The attempt has begun to answer: its prompt is computed.
  onAnswering(attemptId: string, now: number): void {
    this.health.onAnswering(now)
    const attempt = this.attempts.get(attemptId)
    if (!attempt || attempt.answering) return
    attempt.answering = true
    this.addPending(-attempt.promptTokens, attempt.overdue)
  }

  /// The attempt is over.
  removeAttempt(attemptId: string): void {
    const attempt = this.attempts.get(attemptId)
    if (!attempt) return
    this.attempts.delete(attemptId)
    if (!attempt.answering) this.addPending(-attempt.promptTokens, attempt.overdue)
  }

  /// Whether an attempt that was sent before a moment is still there.
  hasAttemptBefore(moment: number): boolean {
    for (const {sentAt} of this.attempts.values()) if (sentAt < moment) return true
    return false
  }

  /// Whether nothing should be sent there while another back end can take it.
  isEjected(now: number): boolean {
    return this.isChangingStage || this.health.isEjected(now)
  }

  /// Whether new work may go there at all.
  takesWork(): boolean {
    return !this.removed && this.record.state === "ready" && !this.signals.isLeaving
  }

  /// Whether it wants nothing from this daemon now.
  isBackingOff(now: number): boolean {
    return now < this.signals.getBackOffEnd()
  }

  /// Whether a request may be sent there now: it takes work, has not asked this daemon to back off, and its
  /// limit leaves room.
  mayReceive(now: number): boolean {
    return this.takesWork() && !this.isBackingOff(now) && (this.limit.get() === undefined || this.permits > 0)
  }

  /// Whether so many other daemons eject it that this one avoids it too.
  isEjectedByPeers(): boolean {
    return this.peers.isEjectedByPeers(this.record.id)
  }

  /// Attempts of this daemon.
  localInFlight(): number {
    return this.attempts.size
  }

  /// Attempts of all daemons, as far as they have told.
  inFlight(): number {
    return this.attempts.size + this.peers.getInFlight(this.record.id)
  }

  /// Prompt tokens that this daemon has sent and that are still to be computed, overdue ones aside.
  localPromptTokens(): number {
    return Math.max(0, this.localPendingTokens)
  }

  /// The same of overdue prompts.
  localOverdueTokens(): number {
    return Math.max(0, this.localPendingOverdueTokens)
  }

  /// Prompt tokens of all daemons that are still to be computed, overdue ones aside.
  pendingTokens(): number {
    return this.localPromptTokens() + this.peers.getPendingTokens(this.record.id)
  }

  /// The same of overdue prompts.
  overdueTokens(): number {
    return this.localOverdueTokens() + this.peers.getOverdueTokens(this.record.id)
  }

  /// When the oldest attempt was sent that has no answer yet; Infinity when there is none.
  private getOldestSentAt(): number {
    let oldest = Infinity
    for (const attempt of this.attempts.values())
      if (!attempt.answering) oldest = Math.min(oldest, attempt.sentAt)
    return oldest
  }

  private addPending(tokens: number, overdue: boolean): void {
    if (overdue) this.localPendingOverdueTokens += tokens
    else this.localPendingTokens += tokens
  }
}
