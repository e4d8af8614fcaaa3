/// The state of one forwarded request in a daemon.
import type {BackendChoice} from "./choose/backend-choice.js"
import type {KvSource} from "./forward-messages.js"
import type {ForwardRequest} from "./forward-request.js"
import type {ForwardSettings} from "./forward-settings.js"
import {makeRequestKey} from "../quarantine/request-key.js"
import type {Route, Tenant} from "./routes/route.js"

/// The attempt that is under way. Times are monotonic milliseconds.
export interface LiveAttempt {
  readonly attemptId: string
  readonly choice: BackendChoice
  readonly startedAt: number
  /// Start of the back end's incarnation that it is sent to; undefined where the platform does not tell.
  readonly bornMs: number | undefined
  lastEventAt: number
  /// A stream has begun to arrive.
  streaming: boolean
  /// When another back end was last looked for.
  lastSearchAt?: number
  /// Its connection passes nothing, though its back end answers on others.
  connectionSilent?: boolean
  /// Requests of all daemons at the back end before this one.
  readonly inFlightBefore: number
  /// Prompt tokens of all daemons that were to be computed there before this one's.
  readonly pendingTokens: number
  /// When the first events of a stream came; undefined before.
  firstEventAt: number | undefined
  /// When the last events of the stream came.
  lastProgressAt: number
  /// Times at which events came after the first.
  events: number
}

/// One request. Times are monotonic milliseconds.
export interface Session {
  readonly request: ForwardRequest
  readonly route: Route
  readonly service: string
  /// For whom the caller acts; undefined where callers need no key.
  readonly tenant: Tenant | undefined
  /// The same for each try of one caller for one thing; undefined where what is asked is not known.
  readonly key: string | undefined
  readonly deadlineAt: number
  /// Back ends that it has been sent to.
  readonly excluded: Set<string>
  attempt: LiveAttempt | undefined
  sends: number
  /// Arrivals at back ends, as the retry budget counts them.
  arrivals: number
  executions: number
  /// Calls that had the prompt computed apart and that an engine may have taken up. Each after the first
  /// counts as a run.
  prefills: number
  mayHaveExecuted: boolean
  /// The head of a stream has been passed on.
  relaying: boolean
  /// It has been counted for its tenant.
  countedForTenant: boolean
  lastEventId: string | undefined
  kvSource: KvSource | undefined
  /// The caller has left; a back end may finish what it has begun, and nothing is sent again.
  abandoned: boolean
  /// What it counts for its tenant's quota; 0 where none is held.
  quotaCost: number
  /// "refused": it counts nothing.
  quotaState: "waiting" | "decided" | "refused"
  /// It waits for a permit of a back end that names a limit.
  awaitsPermit: boolean
  /// It waits no longer than this for its next send; undefined before it has waited. Monotonic milliseconds.
  permitDueAt: number | undefined
  /// An attempt was stopped while its back end may have been running the request.
  wasStopped: boolean
}

/// A request that has just been taken on.
export function createSession(
  request: ForwardRequest,
  route: Route,
  service: string,
  tenant: Tenant | undefined
): Session {
  const allowedMs = Math.min(route.timeoutMs, request.callerDeadlineMs ?? Infinity)
  return {
    request,
    route,
    service,
    tenant,
    key: makeKey(request, tenant),
    deadlineAt: request.arrivedAt + allowedMs,
    excluded: new Set(),
    attempt: undefined,
    sends: 0,
    arrivals: 0,
    executions: 0,
    prefills: 0,
    mayHaveExecuted: false,
    relaying: false,
    countedForTenant: false,
    lastEventId: undefined,
    kvSource: undefined,
    abandoned: false,
    quotaCost: 0,
    quotaState: "decided",
    awaitsPermit: false,
    permitDueAt: undefined,
    wasStopped: false
  }
}

function makeKey(
  {contentDigest, callerAddress = ""}: ForwardRequest,
  tenant: Tenant | undefined
): string | undefined {
  return contentDigest === undefined
    ? undefined
    : makeRequestKey(contentDigest, tenant?.name ?? callerAddress)
}

/// An attempt that begins now, before its back end counts it.
export function createAttempt(attemptId: string, choice: BackendChoice, now: number): LiveAttempt {
  return {
    attemptId,
    choice,
    startedAt: now,
    bornMs: choice.backend.record.bornMs,
    lastEventAt: now,
    streaming: false,
    inFlightBefore: choice.backend.inFlight(),
    pendingTokens: choice.backend.pendingTokens(),
    firstEventAt: undefined,
    lastProgressAt: now,
    events: 0
  }
}

/// Events of the stream have come.
export function addProgress(attempt: LiveAttempt, now: number): void {
  if (attempt.firstEventAt === undefined) attempt.firstEventAt = now
  else attempt.events += 1
  attempt.lastProgressAt = now
}

/// The attempt is over for its request and its back end.
export function removeAttempt(session: Session, attempt: LiveAttempt): void {
  attempt.choice.backend.removeAttempt(attempt.attemptId)
  session.attempt = undefined
}

/// Whether the live attempt goes on when the caller leaves. An order that a back end has begun would be left
/// half done, and its caller could not know; it is run to its end, within its time. Everything else is of no
/// use without its caller.
export function isFinishedWithoutCaller({route, attempt}: Session): boolean {
  return route.kind === "nonIdempotent" && attempt?.choice.prefillOnly === false
}

/// Ranks of one route's priority: short prompts, then long ones.
const RANKS_PER_PRIORITY = 2

/// Rank of prompts that cannot be in time: they give way to all others. Higher than the rank of any priority
/// from 0 to 3.
const OVERDUE_RANK = 9

/// The priority of the request, 0 the most urgent: its tenant's, or the route's.
export function getPriority({route, tenant}: Session): number {
  return tenant?.priority ?? route.priority
}

/// How urgent an attempt is for its engine. Prompts are computed in turn, so a long one would hold up many
/// short ones.
export function getUrgency(session: Session, choice: BackendChoice, settings: ForwardSettings): number {
  if (choice.overdue) return OVERDUE_RANK
  const long = choice.prefillOnly && choice.promptTokens > settings.longPromptTokens
  return getPriority(session) * RANKS_PER_PRIORITY + (long ? 1 : 0)
}
