/// Outlier ejection: the health of one incarnation of a back end as this daemon sees it.
///
/// A back end is ejected, so that nothing is sent there while another one can take the work, for any of these
/// reasons:
///
/// - Its failure share, over this daemon's attempts or those of the whole fleet, has reached
///   `ejectFailureShare`. It is ejected for `ejectionMs`, doubled at each further ejection up to
///   `maximumEjectionMs`; the doubling is reset when the share of this daemon's attempts falls below half of
///   the limit.
/// - Contact is lost: a connection attempt failed, or its process was found to have crashed. This lasts until
///   the back end answers a probe (health-prober.ts) or a request.
/// - It is silent: requests wait there, and it has answered nothing for `silenceMs` plus `silenceMsPerToken`
///   for each prompt token that waits. This lasts until it answers anything.
///
/// Ejections by other daemons are counted in peer-loads.ts; regions without contact are found in
/// region-contact.ts.
///
/// Owns these counts and times. The caller reports events and passes the time; nothing here reads a clock.

/// Thresholds and durations of ejection.
export interface BackendHealthSettings {
  /// Failure share at which a back end is ejected. Default 0.3.
  readonly ejectFailureShare: number
  /// Length of the moving average of this daemon's outcomes. Outcomes. Default 6.
  readonly failureMemory: number
  /// The same for the outcomes of all daemons of a large fleet. Default 8: three consecutive failures reach
  /// the default `ejectFailureShare`.
  readonly fleetFailureMemory: number
  /// Duration of the first ejection; doubled while the back end keeps failing. Milliseconds. Default 1000.
  readonly ejectionMs: number
  /// Longest ejection. Milliseconds. Default 4000.
  readonly maximumEjectionMs: number
  /// A back end that has answered nothing for this long while requests wait there is ejected. Milliseconds.
  /// Default 800.
  readonly silenceMs: number
  /// Added to `silenceMs` for each prompt token that waits there. Milliseconds per token. Default 0.05.
  readonly silenceMsPerToken: number
}

/// Default settings. An allowance for silence by expected time (350 ms plus three times that time, together
/// with another share of stalls) was worse on four of five simulated days, one run each (docs/DECISIONS.md).
export const DEFAULT_BACKEND_HEALTH_SETTINGS: BackendHealthSettings = {
  ejectFailureShare: 0.3,
  failureMemory: 6,
  fleetFailureMemory: 8,
  ejectionMs: 1000,
  maximumEjectionMs: 4000,
  silenceMs: 800,
  silenceMsPerToken: 0.05
}

/// Approximate age of the fleet's outcomes when they arrive: two intervals of the relays. Milliseconds.
const FLEET_DELAY_MS = 500

/// Below this part of `ejectFailureShare` a back end counts as recovered, and its next ejection is short
/// again.
const RECOVERED_SHARE = 0.5

/// Work that waits at a back end; read whenever its silence is checked.
interface WaitingWork {
  /// When the oldest unanswered attempt was sent; Infinity when there is none. Monotonic milliseconds.
  getOldestSentAt(): number
  /// Prompt tokens of all daemons that still have to be computed there.
  getPromptTokens(): number
}

/// The health of one back end. Times are monotonic milliseconds.
export class BackendHealth {
  private failureShare = 0
  private fleetFailureShare = 0
  /// Outcomes that have not been published to peers yet.
  private unsentSuccesses = 0
  private unsentFailures = 0
  private ejectedUntil = -Infinity
  private ejections = 0
  private lastContactAt = -Infinity
  private lostContact = false
  private lostAt = -Infinity

  constructor(
    private readonly settings: BackendHealthSettings,
    private readonly waitingWork: WaitingWork
  ) {}

  /// Whether nothing should be sent there while another back end can take it.
  isEjected(now: number): boolean {
    return this.lostContact || now < this.ejectedUntil || this.isSilent(now)
  }

  /// Whether the back end gets no requests until it answers a probe.
  needsProbe(now: number): boolean {
    return this.lostContact || this.isSilent(now)
  }

  /// Whether it has answered nothing for too long while requests wait there.
  isSilent(now: number): boolean {
    const {silenceMs, silenceMsPerToken} = this.settings
    const allowedMs = silenceMs + this.waitingWork.getPromptTokens() * silenceMsPerToken
    return now - Math.max(this.waitingWork.getOldestSentAt(), this.lastContactAt) > allowedMs
  }

  /// Whether this daemon has lost contact to it and has not regained it.
  hasLostContact(): boolean {
    return this.lostContact
  }

  /// When this daemon last lost contact to it, and when it last received something from it. -Infinity for
  /// never.
  getContactTimes(): {lostAt: number; lastContactAt: number} {
    return {lostAt: this.lostAt, lastContactAt: this.lastContactAt}
  }

  /// The back end has begun to answer an attempt.
  onAnswering(now: number): void {
    this.lastContactAt = now
  }

  /// The back end answered successfully.
  addSuccess(now: number): void {
    const {ejectFailureShare, failureMemory} = this.settings
    this.lastContactAt = now
    this.lostContact = false
    this.unsentSuccesses += 1
    this.failureShare -= this.failureShare / failureMemory
    if (this.failureShare < ejectFailureShare * RECOVERED_SHARE) this.ejections = 0
  }

  /// The back end failed a request or broke off its answer.
  addFailure(now: number): void {
    this.unsentFailures += 1
    this.addRejection(now)
  }

  /// The back end rejected a request though it should have capacity: it works, but not for this daemon now.
  /// Not reported to other daemons.
  addRejection(now: number): void {
    this.lastContactAt = now
    this.countFailure(now)
  }

  /// An attempt there was given up without any answer.
  addUnanswered(now: number): void {
    this.unsentFailures += 1
    this.countFailure(now)
  }

  /// No connection could be made, or it stayed silent: counts a failure besides the lost contact.
  onUnreachable(now: number): void {
    this.onContactLost(now)
    this.unsentFailures += 1
    this.eject(now)
  }

  /// Contact to it was lost, for example because its process crashed: it gets no more requests until it
  /// answers a probe.
  onContactLost(now: number): void {
    this.lostContact = true
    this.lostAt = now
  }

  /// Contact was lost for a reason that isn't the back end's.
  forgetLoss(now: number): void {
    this.lostContact = false
    this.ejectedUntil = Math.min(this.ejectedUntil, now)
  }

  /// A probe succeeded.
  onProbeAnswered(now: number): void {
    this.lastContactAt = now
    this.lostContact = false
    this.ejectedUntil = Math.min(this.ejectedUntil, now)
  }

  /// This process was paused until now and could not receive answers.
  onProcessResumed(now: number): void {
    this.lastContactAt = Math.max(this.lastContactAt, now)
  }

  /// Applies recent outcomes of the attempts of all daemons; there is at least one. A back end that answers
  /// other daemons is not silent.
  applyFleetOutcomes(succeeded: number, failed: number, now: number): void {
    const {fleetFailureMemory, ejectFailureShare} = this.settings
    if (succeeded > 0) this.lastContactAt = Math.max(this.lastContactAt, now - FLEET_DELAY_MS)
    const outcomes = succeeded + failed
    const keptShare = (1 - 1 / fleetFailureMemory) ** outcomes
    this.fleetFailureShare = this.fleetFailureShare * keptShare + (failed / outcomes) * (1 - keptShare)
    if (failed > 0 && this.fleetFailureShare >= ejectFailureShare) this.eject(now)
  }

  /// Outcomes of attempts since the last call. Resets the counts.
  takeOutcomes(): {succeeded: number; failed: number} {
    const outcomes = {succeeded: this.unsentSuccesses, failed: this.unsentFailures}
    this.unsentSuccesses = 0
    this.unsentFailures = 0
    return outcomes
  }

  private countFailure(now: number): void {
    this.failureShare += (1 - this.failureShare) / this.settings.failureMemory
    if (this.failureShare >= this.settings.ejectFailureShare) this.eject(now)
  }

  private eject(now: number): void {
    if (now < this.ejectedUntil) return
    const {ejectionMs, maximumEjectionMs} = this.settings
    this.ejectedUntil = now + Math.min(maximumEjectionMs, ejectionMs * 2 ** this.ejections)
    this.ejections += 1
  }
}
