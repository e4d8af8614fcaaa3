/// This daemon's share of a retry budget that all daemons keep without communicating: within any window, a
/// service may get at most `ratio` retries per request plus `slack`, over all daemons and all their restarts.
/// A daemon counts its own requests and uses an equal share of the slack.
///
/// A process loses its counts when it exits, and its successor cannot learn them. So each process starts with
/// an empty allowance: it retries only what requests have earned since its start, and uses no slack for a
/// whole window. It also accumulates only little of what requests earn, so that what is spent just before an
/// exit and what the next process earns stay within the budget together.

import {BUCKET_MS, WindowCount} from "../backends/window-count.js"

/// The limits of the budget.
export interface RetryAllowanceSettings {
  /// Retries per request.
  readonly ratio: number
  /// Retries beyond the ratio in one window, over all daemons.
  readonly slack: number
  /// Length of the sliding window. Milliseconds.
  readonly windowMs: number
  /// Whether the whole fleet starts for the first time: no daemon can have retried anything before.
  readonly firstStart: boolean
}

/// How a daemon has used its share of one service's budget, for the log.
interface RetryUsage {
  readonly service: string
  /// Retries granted, and refused, since the last such record.
  readonly taken: number
  readonly refused: number
  /// Requests and retries in the window that ends now.
  readonly requests: number
  readonly repeats: number
  /// Retries left now.
  readonly left: number
  /// Daemons that share the slack.
  readonly daemons: number
}

/// Maximum number of services in one log record; those with the most retries come first.
const MAXIMUM_SERVICES_LOGGED = 10

/// Share of the budget that is used. The rest covers requests and retries on either side of a window's edge,
/// and callers that move from a daemon that exits to others.
const SAFE_SHARE = 0.8
/// Share of what a window of requests earns that may accumulate for a burst of failures. Together with
/// `SAFE_SHARE` it makes up the whole budget: 0.8 x (1 + 0.25). With more, a fleet whose daemons are killed
/// after spending all they have exceeds its budget.
const EARNED_SHARE = 0.25
/// A daemon with few requests may still accumulate one retry.
const MINIMUM_EARNED = 1

/// The counts of one service.
class ServiceAccount {
  readonly requests: WindowCount
  readonly retries: WindowCount
  /// Retries charged to the slack.
  readonly slackRetries: WindowCount
  /// Retries that requests have earned and that are not used yet.
  earned = 0
  /// Retries granted, and refused, that are not logged yet.
  taken = 0
  refused = 0

  constructor(windowMs: number) {
    this.requests = new WindowCount(windowMs)
    this.retries = new WindowCount(windowMs + BUCKET_MS)
    this.slackRetries = new WindowCount(windowMs + BUCKET_MS)
  }
}

/// The allowance of one daemon process, by service. Times are monotonic milliseconds.
export class RetryAllowance {
  private readonly accounts = new Map<string, ServiceAccount>()
  /// Time from which this daemon uses its share of the slack.
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
    const account = this.getAccount(service)
    account.requests.add(now)
    const {ratio} = this.settings
    account.earned = Math.min(account.earned + SAFE_SHARE * ratio, this.getMaximumEarned(account, now))
  }

  /// Takes one retry if the allowance has one left and returns whether it had; `daemons` share the slack.
  tryTakeRetry(service: string, daemons: number, now: number): boolean {
    const account = this.getAccount(service)
    const allowed = this.getRetriesLeft(service, daemons, now) >= 1
    if (allowed) takeRetry(account, now)
    else account.refused += 1
    return allowed
  }

  /// Retries left now; `daemons` share the slack.
  getRetriesLeft(service: string, daemons: number, now: number): number {
    const account = this.getAccount(service)
    const slack = this.getSlack(daemons, now)
    const inWindow = SAFE_SHARE * this.settings.ratio * account.requests.count(now) + slack
    const windowLeft = inWindow - account.retries.count(now)
    const slackLeft = slack - account.slackRetries.count(now)
    return Math.min(windowLeft, Math.max(account.earned, slackLeft))
  }

  /// Usage since the last call, by service; empty if no retry was requested.
  takeUsage(daemons: number, now: number): readonly RetryUsage[] {
    const used = [...this.accounts].filter(([, {taken, refused}]) => taken + refused > 0)
    used.sort(([, left], [, right]) => right.taken - left.taken)
    const usages = used
      .slice(0, MAXIMUM_SERVICES_LOGGED)
      .map(([service, {requests, retries, taken, refused}]) => ({
        service,
        taken,
        refused,
        requests: requests.count(now),
        repeats: retries.count(now),
        left: this.getRetriesLeft(service, daemons, now),
        daemons
      }))
    for (const [, account] of used) account.taken = account.refused = 0
    return usages
  }

  private getAccount(service: string): ServiceAccount {
    let account = this.accounts.get(service)
    if (!account) {
      account = new ServiceAccount(this.settings.windowMs)
      this.accounts.set(service, account)
    }
    return account
  }

  /// This daemon's share of the slack. Zero in its first window: the previous process may have used it.
  private getSlack(daemons: number, now: number): number {
    if (now < this.slackFrom) return 0
    return (SAFE_SHARE * this.settings.slack) / Math.max(1, daemons)
  }

  private getMaximumEarned({requests}: ServiceAccount, now: number): number {
    return Math.max(MINIMUM_EARNED, EARNED_SHARE * SAFE_SHARE * this.settings.ratio * requests.count(now))
  }
}

/// Uses what requests have earned before the slack: unused earnings are capped and get lost, the slack is not.
function takeRetry(account: ServiceAccount, now: number): void {
  account.retries.add(now)
  account.taken += 1
  if (account.earned >= 1) account.earned -= 1
  else account.slackRetries.add(now)
}
