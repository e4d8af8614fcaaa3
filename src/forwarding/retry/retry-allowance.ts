/// This daemon's part of a retry budget that all daemons share without talking: within any window, a service
/// may get at most `ratio` repeats per request and `slack` more, over all daemons and all their restarts. A
/// daemon counts its own requests and takes an equal part of the slack.
///
/// A process forgets what it has repeated when it ends, and nobody can tell its successor. So each begins
/// with nothing: it repeats what requests have earned since its start, and takes no slack for a whole window.
/// And it saves little of what is earned, so that what is spent just before an end and what the next process
/// earns stay within the budget together.

import {BUCKET_MS, WindowCount} from "../backends/window-count.js"

/// Figures of the budget.
export interface RetryAllowanceSettings {
  /// Repeats per request.
  readonly ratio: number
  /// Repeats beyond the ratio in one window, over all daemons.
  readonly slack: number
  /// Length of the sliding window. Milliseconds.
  readonly windowMs: number
  /// Whether the whole fleet starts for the first time: nobody can have repeated anything before.
  readonly firstStart: boolean
}

/// What a daemon has done with its part of one service's budget, for the log.
interface RetryUse {
  readonly service: string
  /// Repeats taken, and refused, since the last such record.
  readonly taken: number
  readonly refused: number
  /// Counts of the window that ends now.
  readonly requests: number
  readonly repeats: number
  /// Repeats left now.
  readonly left: number
  /// Daemons among which the slack was divided.
  readonly daemons: number
}

/// Services in one record; those with the most repeats come first.
const MAXIMUM_SERVICES_LOGGED = 10

/// Part of the budget that is used; the rest covers counts that lie on both sides of a window's edge, and
/// callers that move from a daemon that ends to others.
const SAFE_SHARE = 0.8
/// Part of what a window of requests earns that is saved for a burst of failures. With the part that is used,
/// 0.8, it makes up the whole: 0.8 x (1 + 0.25). More breaks the budget of a fleet whose daemons spend all
/// they have and are killed.
const SAVED_SHARE = 0.25
/// A daemon with few requests saves one repeat all the same.
const MINIMUM_SAVED = 1

/// The account of one service.
class ServiceAccount {
  readonly requests: WindowCount
  readonly repeats: WindowCount
  /// Repeats that were taken out of the slack.
  readonly slackRepeats: WindowCount
  /// Repeats that requests have earned and that were not taken yet.
  earned = 0
  /// Repeats taken, and refused, that the log does not know yet.
  taken = 0
  refused = 0

  constructor(windowMs: number) {
    this.requests = new WindowCount(windowMs)
    this.repeats = new WindowCount(windowMs + BUCKET_MS)
    this.slackRepeats = new WindowCount(windowMs + BUCKET_MS)
  }
}

/// The allowance of one incarnation of a daemon, by service. Times are monotonic milliseconds.
export class RetryAllowance {
  private readonly accounts = new Map<string, ServiceAccount>()
  /// From when on this daemon takes its part of the slack.
  private readonly slackFrom: number

  /// @param startedAt when this process started
  constructor(
    private readonly settings: RetryAllowanceSettings,
    startedAt: number
  ) {
    this.slackFrom = settings.firstStart ? startedAt : startedAt + settings.windowMs
  }

  /// Counts a request for `service`.
  addRequest(service: string, now: number): void {
    const account = this.accountOf(service)
    account.requests.add(now)
    const {ratio} = this.settings
    account.earned = Math.min(account.earned + SAFE_SHARE * ratio, this.getMostSaved(account, now))
  }

  /// Takes one repeat if the allowance has one; `daemons` share the slack.
  tryTakeRetry(service: string, daemons: number, now: number): boolean {
    const account = this.accountOf(service)
    const allowed = this.getRetriesLeft(service, daemons, now) >= 1
    if (allowed) takeRepeat(account, now)
    else account.refused += 1
    return allowed
  }

  /// Repeats left now.
  getRetriesLeft(service: string, daemons: number, now: number): number {
    const account = this.accountOf(service)
    const slack = this.getSlack(daemons, now)
    const inWindow = SAFE_SHARE * this.settings.ratio * account.requests.count(now) + slack
    const windowLeft = inWindow - account.repeats.count(now)
    const slackLeft = slack - account.slackRepeats.count(now)
    return Math.min(windowLeft, Math.max(account.earned, slackLeft))
  }

  /// What was done since the last call, by service; empty when no repeat was asked for.
  takeUsage(daemons: number, now: number): readonly RetryUse[] {
    const used = [...this.accounts].filter(([, {taken, refused}]) => taken + refused > 0)
    used.sort(([, left], [, right]) => right.taken - left.taken)
    const told = used
      .slice(0, MAXIMUM_SERVICES_LOGGED)
      .map(([service, {requests, repeats, taken, refused}]) => ({
        service,
        taken,
        refused,
        requests: requests.count(now),
        repeats: repeats.count(now),
        left: this.getRetriesLeft(service, daemons, now),
        daemons
      }))
    for (const [, account] of used) account.taken = account.refused = 0
    return told
  }

  private accountOf(service: string): ServiceAccount {
    let account = this.accounts.get(service)
    if (!account) {
      account = new ServiceAccount(this.settings.windowMs)
      this.accounts.set(service, account)
    }
    return account
  }

  /// This daemon's part of the slack. None in its first window: the process before it may have taken that.
  private getSlack(daemons: number, now: number): number {
    if (now < this.slackFrom) return 0
    return (SAFE_SHARE * this.settings.slack) / Math.max(1, daemons)
  }

  private getMostSaved({requests}: ServiceAccount, now: number): number {
    return Math.max(MINIMUM_SAVED, SAVED_SHARE * SAFE_SHARE * this.settings.ratio * requests.count(now))
  }
}

/// Takes what requests have earned first: it is lost when it is not used, and the slack is not.
function takeRepeat(account: ServiceAccount, now: number): void {
  account.repeats.add(now)
  account.taken += 1
  if (account.earned >= 1) account.earned -= 1
  else account.slackRepeats.add(now)
}
