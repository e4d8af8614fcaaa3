/// Which back end is avoided: the health of one incarnation of a back end as this daemon sees it.
///
/// A back end is ejected, that is nothing is sent there while another one can take the work, for any of these
/// reasons:
///
/// - Its failure share, over this daemon's attempts or those of the whole fleet, has reached
///   `ejectFailureShare`. It is ejected for `ejectionMs`, doubled at each further ejection up to
///   `maximumEjectionMs`; the doubling is forgotten when the share of this daemon's attempts falls below half
///   of the limit.
/// - Contact is lost: no connection came up, or its process was found to have ended. It lasts until the back
///   end answers a probe (health-prober.ts) or a request.
/// - It is silent: work waits there, and it has answered nothing for `silenceMs` and `silenceMsPerToken` for
///   each prompt token that waits. It lasts until it answers anything.
///
/// Where other daemons eject it, see peer-loads.ts; a region without contact, see region-contact.ts.
///
/// Owns these counts and times. The caller says what happened; nothing here reads a clock.

/// How a back end's failures are judged.
export interface BackendHealthSettings {
  /// A back end whose failure share rises to this is ejected. Default 0.3.
  readonly ejectFailureShare: number
  /// Outcomes that one failure share looks back on, about. Default 6.
  readonly failureMemory: number
  /// The same for the outcomes of all daemons of a large fleet. Default 8: three failures in a row without a
  /// success between them.
  readonly fleetFailureMemory: number
  /// How long a back end is ejected at first; doubled while it goes on failing. Milliseconds. Default 1000.
  readonly ejectionMs: number
  /// The longest such time. Milliseconds. Default 4000.
  readonly maximumEjectionMs: number
  /// A back end that has answered nothing for so long while work waits there is ejected. Milliseconds.
  /// Default 800.
  readonly silenceMs: number
  /// So much longer for each prompt token that waits there. Milliseconds. Default 0.05.
  readonly silenceMsPerToken: number
}

/// Default settings. Chosen; silence was compared with an allowance by expected time (350 ms and three times
/// that time, together with another share of stalls): worse on four of five days, one run each
/// (docs/DECISIONS.md).
export const DEFAULT_BACKEND_HEALTH_SETTINGS: BackendHealthSettings = {
  ejectFailureShare: 0.3,
  failureMemory: 6,
  fleetFailureMemory: 8,
  ejectionMs: 1000,
  maximumEjectionMs: 4000,
  silenceMs: 800,
  silenceMsPerToken: 0.05
}

/// Outcomes of the fleet are about so old when they arrive. Milliseconds; two intervals of the relays.
const FLEET_DELAY_MS = 500

/// Below this part of `ejectFailureShare` a back end counts as recovered, and its next ejection is a first
/// one.
const RECOVERED_SHARE = 0.5

/// Work that waits at a back end, asked for whenever its silence is judged.
interface WaitingWork {
  /// When the oldest attempt was sent that has no answer yet; Infinity when there is none. Monotonic
  /// milliseconds.
  getOldestSentAt(): number
  /// Prompt tokens of all daemons that are still to be computed there.
  getPromptTokens(): number
}

/// The health of one back end. Times are monotonic milliseconds.
export class BackendHealth {
  private failureShare = 0
  private fleetFailureShare = 0
  /// Outcomes that the other daemons have not been sent yet.
  private unsentSuccesses = 0
  private unsentFailures = 0
  private ejectedUntil = -Infinity
  private ejections = 0
  private lastHeardAt = -Infinity
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

  /// Whether only a probe can tell that the back end works again.
  needsProbe(now: number): boolean {
    return this.lostContact || this.isSilent(now)
  }

  /// Whether it has answered nothing for too long while work waits there.
  isSilent(now: number): boolean {
    const {silenceMs, silenceMsPerToken} = this.settings
    const allowedMs = silenceMs + this.waitingWork.getPromptTokens() * silenceMsPerToken
    return now - Math.max(this.waitingWork.getOldestSentAt(), this.lastHeardAt) > allowedMs
  }

  /// Whether this daemon has no contact to it, as far as it knows.
  hasLostContact(): boolean {
    return this.lostContact
  }

  /// When this daemon last lost contact to it, and last heard from it. -Infinity for never.
  getContactTimes(): {lostAt: number; heardAt: number} {
    return {lostAt: this.lostAt, heardAt: this.lastHeardAt}
  }

  /// The back end has begun to answer an attempt.
  onAnswering(now: number): void {
    this.lastHeardAt = now
  }

  /// The back end answered as it should.
  addSuccess(now: number): void {
    const {ejectFailureShare, failureMemory} = this.settings
    this.lastHeardAt = now
    this.lostContact = false
    this.unsentSuccesses += 1
    this.failureShare -= this.failureShare / failureMemory
    if (this.failureShare < ejectFailureShare * RECOVERED_SHARE) this.ejections = 0
  }

  /// The back end failed a request or broke off.
  addFailure(now: number): void {
    this.unsentFailures += 1
    this.addRejection(now)
  }

  /// The back end rejected a request though it should have room: it works, but not for this daemon now. Other
  /// daemons are not told.
  addRejection(now: number): void {
    this.lastHeardAt = now
    this.countFailure(now)
  }

  /// An attempt there was given up without a word from it.
  addUnanswered(now: number): void {
    this.unsentFailures += 1
    this.countFailure(now)
  }

  /// No connection could be made, or it stayed silent: nothing more is sent there until it answers a probe.
  onUnreachable(now: number): void {
    this.onContactLost(now)
    this.unsentFailures += 1
    this.eject(now)
  }

  /// Its process was found to have ended: nothing more is sent there until it answers a probe.
  onContactLost(now: number): void {
    this.lostContact = true
    this.lostAt = now
  }

  /// A probe was answered well.
  onProbeAnswered(now: number): void {
    this.lastHeardAt = now
    this.lostContact = false
    this.ejectedUntil = Math.min(this.ejectedUntil, now)
  }

  /// This process stood still until now and could not hear an answer.
  onProcessResumed(now: number): void {
    this.lastHeardAt = Math.max(this.lastHeardAt, now)
  }

  /// What became of the attempts of all daemons within the last moments, at least one of them. A back end
  /// that answers others is not silent.
  applyFleetOutcomes(succeeded: number, failed: number, now: number): void {
    const {fleetFailureMemory, ejectFailureShare} = this.settings
    if (succeeded > 0) this.lastHeardAt = Math.max(this.lastHeardAt, now - FLEET_DELAY_MS)
    const outcomes = succeeded + failed
    const keptShare = (1 - 1 / fleetFailureMemory) ** outcomes
    this.fleetFailureShare = this.fleetFailureShare * keptShare + (failed / outcomes) * (1 - keptShare)
    if (failed > 0 && this.fleetFailureShare >= ejectFailureShare) this.eject(now)
  }

  /// What became of attempts since the last call.
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
