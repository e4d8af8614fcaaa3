/// The rules by which a request is retried at another back end. The budget that all daemons share is counted
/// in retry-allowance.ts. The policy owns no state: it reads the session and takes retries from the
/// allowance.
///
/// By the outcome of the attempt:
///
/// - Unreachable: the back end has received no byte, so any request is retried, without charge to the budget.
/// - Rejected, or the separate computation of the prompt failed: the request has not been executed, so any
///   request is retried, for one retry of the budget.
/// - Failed after it may have been executed (a server error, a broken answer): only a request of a repeatable
///   route that may have been executed at fewer back ends than the route's `maximumAttempts` is retried, for
///   one retry of the budget.
/// - Stalled: as a failed execution or computation of the prompt, and only if another back end would take the
///   request now (attempt-sender.ts). The stalled attempt goes on beside its successor: its back end may still
///   answer, and the successor may be rejected.
///
/// A request is never retried after `maximumSends`, after its deadline, or when its caller has disconnected.
import type {LiveAttempt, Session} from "../forward-session.js"
import type {ForwardSettings} from "../forward-settings.js"
import {isResumable, type Route} from "../routes/route.js"
import type {RetryAllowance} from "./retry-allowance.js"

/// What the policy relies on.
interface RetryPolicyDependencies {
  readonly settings: ForwardSettings
  readonly allowance: RetryAllowance
  /// Number of daemons that share the retry budget, this one included.
  readonly getDaemonCount: () => number
}

/// The retry policy of one daemon. Times are monotonic milliseconds.
export class RetryPolicy {
  constructor(private readonly dependencies: RetryPolicyDependencies) {}

  /// Whether a request that no back end has received is retried. Takes nothing from the budget.
  mayRetryUnreachable(session: Session, now: number): boolean {
    return !this.isExhausted(session, now)
  }

  /// Takes one retry of the budget for a request that has not been executed. Returns whether it is retried.
  tryRetryNotExecuted(session: Session, now: number): boolean {
    return !this.isExhausted(session, now) && this.tryTakeRetry(session, now)
  }

  /// Takes one retry of the budget for a request that may have been executed. Returns whether it is retried.
  tryRetryExecuted(session: Session, now: number): boolean {
    return mayExecuteAgain(session) && this.tryRetryNotExecuted(session, now)
  }

  /// Whether a request may be sent again without its stalled attempt, which `session` counts as failed. Takes
  /// nothing from the budget.
  mayRetryStalled(session: Session, {choice}: LiveAttempt, now: number): boolean {
    const mayRun = choice.prefillOnly || mayExecuteAgain(session)
    return mayRun && !this.isExhausted(session, now) && this.hasRetryLeft(session, now)
  }

  /// Takes the retry of the budget that `mayRetryStalled` found.
  addRetry(session: Session, now: number): void {
    this.tryTakeRetry(session, now)
  }

  /// Whether the prompt may be computed at a prefill engine, separately from the generation. If it has been
  /// computed before, the prefill and the generation after it are two arrivals, and each takes a retry of the
  /// budget. `reserved` retries of the budget are kept for the send itself.
  mayComputeSeparately(session: Session, now: number, reserved = 0): boolean {
    if (!hasAttemptsForPrefill(session)) return false
    return !isComputedAgain(session) || this.hasRetryLeft(session, now, reserved)
  }

  /// Counts a separate computation of a prompt that is sent now: each after the first takes a retry of the
  /// budget.
  addPrefill(session: Session, now: number): void {
    if (isComputedAgain(session)) this.tryTakeRetry(session, now)
  }

  /// Whether the attempt makes no progress. Once a stream has started, only the gaps between its events count.
  /// Before that, the back end must have stopped answering all requests, or answer only on newer connections
  /// (for plain back ends only: an engine may answer short prompts first), or this daemon's own link to it must
  /// be lost. Silence before `resumedAt` does not count, as the process was paused until then.
  isStalled(session: Session, attempt: LiveAttempt, now: number, resumedAt: number): boolean {
    const {minimumStallMs, stallGaps, stallTargetShare} = this.dependencies.settings
    const {targetGapMs, targetLatencyMs} = session.route
    const {backend} = attempt.choice
    const quietMs = now - Math.max(attempt.lastEventAt, resumedAt)
    if (attempt.streaming) return quietMs > targetGapMs * stallGaps
    if (attempt.isLinkLost) return true
    if (attempt.connectionSilent && backend.record.stage === undefined) return true
    const limitMs = Math.max(minimumStallMs, targetLatencyMs * stallTargetShare)
    return quietMs > limitMs && backend.health.isSilent(now)
  }

  /// Whether the request is not retried, whatever the outcome of its attempt.
  private isExhausted({sends, deadlineAt, abandoned}: Session, now: number): boolean {
    return abandoned || sends >= this.dependencies.settings.maximumSends || now >= deadlineAt
  }

  private hasRetryLeft({service}: Session, now: number, reserved = 0): boolean {
    const {allowance, getDaemonCount} = this.dependencies
    return allowance.getRetriesLeft(service, getDaemonCount(), now) >= 1 + reserved
  }

  private tryTakeRetry({service}: Session, now: number): boolean {
    const {allowance, getDaemonCount} = this.dependencies
    return allowance.tryTakeRetry(service, getDaemonCount(), now)
  }
}

/// Whether requests of the route may be executed more than once.
export function isRepeatable(route: Route): boolean {
  return route.kind === "idempotent" || isResumable(route)
}

/// Whether the request may be executed at one more back end.
function mayExecuteAgain(session: Session): boolean {
  const {route} = session
  return isRepeatable(route) && countAttempts(session) < route.maximumAttempts
}

/// Attempts that count towards the maximum of the route. The first separate computation of the prompt does
/// not count.
function countAttempts({executions, prefills}: Pick<Session, "executions" | "prefills">): number {
  return executions + Math.max(0, prefills - 1)
}

/// Whether a separate computation of the prompt and the generation after it are both within the route's
/// maximum of attempts.
function hasAttemptsForPrefill({route, prefills, executions}: Session): boolean {
  if (prefills === 0) return true
  return countAttempts({prefills: prefills + 1, executions: executions + 1}) <= route.maximumAttempts
}

/// Whether an engine has started on the prompt before, and its result is no longer usable.
function isComputedAgain({prefills, kvSource}: Session): boolean {
  return prefills > 0 && kvSource === undefined
}
