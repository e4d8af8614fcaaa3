/// Who may retry. Every rule by which a request is sent to one more back end stands here; the budget that
/// daemons share is counted in retry-allowance.ts. The policy owns no state: it reads the session and takes
/// retries out of the allowance.
///
/// What became of the attempt decides:
///
/// - Unreachable: no back end has seen a byte, so any request is sent again, without a retry of the budget.
/// - Rejected, or the separate computation of its prompt failed: the request has not run, so any request is
///   sent again, for one retry of the budget.
/// - Failed after it may have run (a server error, a broken answer): only a request of a repeatable route
///   that has run at fewer back ends than the route's `maximumAttempts`, for one retry of the budget.
/// - Stalled: as a failed run, and only when another back end would take the request now (attempt-sender.ts).
///
/// None is sent again after `maximumSends`, after its deadline, or when its caller has left.
import type {LiveAttempt, Session} from "../forward-session.js"
import type {ForwardSettings} from "../forward-settings.js"
import type {Route} from "../routes/route.js"
import type {RetryAllowance} from "./retry-allowance.js"

/// What the policy relies on.
interface RetryPolicyDependencies {
  readonly settings: ForwardSettings
  readonly allowance: RetryAllowance
  /// Daemons that share the retry budget, this one included.
  readonly getDaemons: () => number
}

/// The retry policy of one daemon. Times are monotonic milliseconds.
export class RetryPolicy {
  constructor(private readonly dependencies: RetryPolicyDependencies) {}

  /// Whether a request that no back end has seen is sent again. Takes nothing from the budget.
  mayRetryUnreachable(session: Session, now: number): boolean {
    return !this.isExhausted(session, now)
  }

  /// Takes one retry of the budget for a request that has not run. Returns whether it is sent again.
  tryRetryNotExecuted(session: Session, now: number): boolean {
    return !this.isExhausted(session, now) && this.tryTakeRetry(session, now)
  }

  /// Takes one retry of the budget for a request that may have run. Returns whether it is sent again.
  tryRetryExecuted(session: Session, now: number): boolean {
    return mayExecuteAgain(session) && this.tryRetryNotExecuted(session, now)
  }

  /// Whether the budget has a retry left for the request. Takes nothing.
  hasRetryLeft({service}: Session, now: number): boolean {
    const {allowance, getDaemons} = this.dependencies
    return allowance.getRetriesLeft(service, getDaemons(), now) >= 1
  }

  /// Whether the prompt may be computed at an engine of its own, apart from the run. Computed once more it is
  /// one arrival beside that of the run after it: both come out of the budget.
  mayComputeSeparately(session: Session, now: number): boolean {
    if (!hasAttemptsForPrefill(session)) return false
    return !isComputedAgain(session) || this.hasRetryLeft(session, now)
  }

  /// Counts a separate computation of a prompt that is sent now: one after the first takes a retry of the
  /// budget.
  addPrefill(session: Session, now: number): void {
    if (isComputedAgain(session)) this.tryTakeRetry(session, now)
  }

  /// Whether the attempt makes no progress and may be moved to another back end. A stream that has begun is
  /// judged by its pauses alone. Before that the back end must answer nobody else either, or answer them on
  /// newer connections (plain back ends only: an engine may answer short prompts first). Nothing could be
  /// heard while this process stood still, until `resumedAt`.
  isStalled(session: Session, attempt: LiveAttempt, now: number, resumedAt: number): boolean {
    const {minimumStallMs, stallGaps, stallTargetShare} = this.dependencies.settings
    const {targetGapMs, targetLatencyMs} = session.route
    const {backend, prefillOnly} = attempt.choice
    if (!prefillOnly && !mayExecuteAgain(session)) return false
    const quietMs = now - Math.max(attempt.lastEventAt, resumedAt)
    if (attempt.streaming) return quietMs > targetGapMs * stallGaps
    if (attempt.connectionSilent && backend.record.stage === undefined) return true
    const limitMs = Math.max(minimumStallMs, targetLatencyMs * stallTargetShare)
    return quietMs > limitMs && backend.health.isSilent(now)
  }

  /// Whether the request is sent no more, whatever became of its attempt.
  private isExhausted({sends, deadlineAt, abandoned}: Session, now: number): boolean {
    return abandoned || sends >= this.dependencies.settings.maximumSends || now >= deadlineAt
  }

  private tryTakeRetry({service}: Session, now: number): boolean {
    const {allowance, getDaemons} = this.dependencies
    return allowance.tryTakeRetry(service, getDaemons(), now)
  }
}

/// Whether requests of the route may run more than once.
export function isRepeatable({kind, resumable}: Route): boolean {
  return kind === "idempotent" || (kind === "stream" && resumable)
}

/// Whether the request may run at one more back end.
function mayExecuteAgain(session: Session): boolean {
  const {route} = session
  return isRepeatable(route) && countAttempts(session) < route.maximumAttempts
}

/// Back ends that count against the attempts of the route. The first separate computation of the prompt is
/// free.
function countAttempts({executions: runs, prefills}: Pick<Session, "runs" | "prefills">): number {
  return runs + Math.max(0, prefills - 1)
}

/// Whether the separate computation of the prompt and the run after it are both within the route's attempts.
function hasAttemptsForPrefill({route, prefills, executions: runs}: Session): boolean {
  if (prefills === 0) return true
  return countAttempts({prefills: prefills + 1, executions: runs + 1}) <= route.maximumAttempts
}

/// Whether an engine has taken up the prompt before, and what it computed cannot be used any more.
function isComputedAgain({prefills, kvSource}: Session): boolean {
  return prefills > 0 && kvSource === undefined
}
