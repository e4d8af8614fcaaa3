/// The state of one forwarded request in a daemon.
import type {BackendChoice} from "./choose/backend-choice.js"
import type {KvSource} from "./forward-messages.js"
import type {ForwardRequest} from "./forward-request.js"
import type {ForwardSettings} from "./forward-settings.js"
import {makePartKeys} from "../quarantine/prompt-parts/part-key.js"
import {makeRequestKey} from "../quarantine/request-key.js"
import type {Route, Tenant} from "./routes/route.js"
import {getSoftwareVersion, type StreamOrigin} from "../streams/stream-origin.js"

/// An attempt in progress. Times are monotonic milliseconds.
export interface LiveAttempt {
  readonly attemptId: string
  readonly choice: BackendChoice
  readonly startedAt: number
  /// Address of the back end that it is sent to; its record may name another one later.
  readonly address: string
  /// Start of the back-end incarnation that it is sent to; undefined if the platform does not report it.
  readonly bornMs: number | undefined
  /// Its software version at that time; null if it is not known.
  readonly version: string | null
  lastEventAt: number
  /// When it was sent, if another attempt of the request was in progress; undefined before, and for others.
  sentAt?: number
  /// Whether the session counts it as failed. A stalled attempt is counted while it goes on.
  isCounted?: boolean
  /// Whether a stream has begun to arrive.
  streaming: boolean
  /// Time of the last search for another back end.
  lastSearchAt?: number | undefined
  /// Whether no data arrives on its connection, though its back end answers on others.
  connectionSilent?: boolean
  /// Peer through which its connection is tunnelled; undefined for a direct one.
  readonly via: string | undefined
  /// Tunnels that failed before it for the same send of the request.
  readonly tunnelFailures: number
  /// Whether this daemon's own link, on which it waits, is lost.
  isLinkLost?: boolean
  /// Requests in flight at the back end, from all daemons, before this one.
  readonly inFlightBefore: number
  /// Prompt tokens queued there, from all daemons, before this attempt.
  readonly pendingTokens: number
  /// The held part of which it is a trial; undefined for most attempts.
  triedPart?: string
  /// Arrival of the first events of a stream; undefined before.
  firstEventAt: number | undefined
  /// Arrival of the last events of the stream.
  lastProgressAt: number
  /// Number of arrivals of events after the first; each may bring several events.
  events: number
}

/// The state of one request. Times are monotonic milliseconds.
export interface Session {
  readonly request: ForwardRequest
  readonly route: Route
  /// One of the route's targets; a stream that is taken up keeps the one at which it began.
  service: string
  /// The caller's tenant; undefined where callers need no key.
  readonly tenant: Tenant | undefined
  /// The same for every retry of a request by the same caller; undefined if the content is not known.
  readonly key: string | undefined
  /// Keys of the parts of its prompt that other requests may share.
  readonly parts: readonly string[]
  readonly deadlineAt: number
  /// Back ends that it is not sent to again.
  readonly excluded: Set<string>
  /// Those of the excluded ones that were given up because they were silent. They may have gone on since, so the
  /// request is sent there again where no other back end takes it.
  readonly silent: Set<string>
  attempt: LiveAttempt | undefined
  /// An attempt that made no progress when `attempt`, its successor, was sent. Whichever of them goes on first
  /// supersedes the other.
  stalled: LiveAttempt | undefined
  sends: number
  /// Attempts that arrived at a back end, as the retry budget counts them.
  arrivals: number
  /// Attempts that a back end may have executed.
  executions: number
  /// Separate computations of the prompt that an engine may have started. Each after the first counts as an
  /// execution.
  prefills: number
  /// Whether a back end may have executed the request.
  mayHaveExecuted: boolean
  /// Whether the head of a stream has been passed on.
  relaying: boolean
  /// Whether it has been counted for its tenant.
  countedForTenant: boolean
  lastEventId: string | undefined
  /// Where its stream began, at this daemon or before its caller took it up; undefined before the first event of
  /// a stream, and for other requests.
  origin: StreamOrigin | undefined
  kvSource: KvSource | undefined
  /// Whether it waits until the origin of its stream is found.
  awaitsOrigin: boolean
  /// Whether the caller has disconnected while the attempt goes on; the request is not sent again.
  abandoned: boolean
  /// Its cost in the unit of its tenant's quota; 0 if no quota applies.
  quotaCost: number
  /// "refused": nothing is charged.
  quotaState: "waiting" | "decided" | "refused"
  /// Whether it waits for a permit for a back end that advertises a limit.
  awaitsPermit: boolean
  /// End of the wait for a permit for its next send; undefined if it has not waited for one.
  permitDueAt: number | undefined
  /// Whether an attempt was stopped while its back end may have been executing the request.
  wasStopped: boolean
  /// The held part for whose trial the next attempt is sent; undefined for most requests.
  triedPart: string | undefined
}

/// Creates the session of a request that has just been accepted.
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
    parts: makePartKeys(request.prompt),
    deadlineAt: request.arrivedAt + allowedMs,
    excluded: new Set(),
    silent: new Set(),
    attempt: undefined,
    stalled: undefined,
    sends: 0,
    arrivals: 0,
    executions: 0,
    prefills: 0,
    mayHaveExecuted: false,
    relaying: false,
    countedForTenant: false,
    lastEventId: undefined,
    origin: undefined,
    awaitsOrigin: false,
    kvSource: undefined,
    abandoned: false,
    quotaCost: 0,
    quotaState: "decided",
    awaitsPermit: false,
    permitDueAt: undefined,
    wasStopped: false,
    triedPart: undefined
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

/// The path of an attempt.
export type AttemptPath = Pick<LiveAttempt, "via" | "tunnelFailures">

/// Creates an attempt that starts now. Called before the attempt is added to its back end.
export function createAttempt(
  attemptId: string,
  choice: BackendChoice,
  path: AttemptPath,
  now: number
): LiveAttempt {
  return {
    ...path,
    attemptId,
    choice,
    startedAt: now,
    address: choice.backend.record.address,
    bornMs: choice.backend.record.bornMs,
    version: getSoftwareVersion(choice.backend.record),
    lastEventAt: now,
    streaming: false,
    inFlightBefore: choice.backend.inFlight(),
    pendingTokens: choice.backend.pendingTokens(),
    firstEventAt: undefined,
    lastProgressAt: now,
    events: 0
  }
}

/// Records the arrival of events of a stream.
export function addProgress(attempt: LiveAttempt, now: number): void {
  if (attempt.firstEventAt === undefined) attempt.firstEventAt = now
  else attempt.events += 1
  attempt.lastProgressAt = now
}

/// Records where the stream began, with its first event. Which version wrote it is not known if the record of
/// its back end has changed since the attempt was sent.
export function setOrigin(session: Session, {choice, version}: LiveAttempt): void {
  const {record} = choice.backend
  const isUnchanged = getSoftwareVersion(record) === version
  session.origin = {
    service: session.service,
    backendId: record.id,
    version: isUnchanged ? version : null
  }
}

/// Removes an attempt that is over from its session and its back end.
export function removeAttempt(session: Session, attempt: LiveAttempt): void {
  attempt.choice.backend.removeAttempt(attempt.attemptId)
  if (session.attempt === attempt) session.attempt = undefined
  if (session.stalled === attempt) session.stalled = undefined
}

/// Counts an attempt that ended without a result, or has stalled: its back end may have executed the request,
/// or begun to compute its prompt. A back end that only lost a connection may be sent the request again.
export function addFailedAttempt(session: Session, attempt: LiveAttempt): void {
  const {choice, connectionSilent, isCounted} = attempt
  if (session.attempt === attempt) session.attempt = undefined
  if (isCounted) return
  session.arrivals += 1
  if (choice.prefillOnly) session.prefills += 1
  else {
    session.executions += 1
    session.mayHaveExecuted = true
    session.kvSource = undefined
  }
  if (!connectionSilent) session.excluded.add(choice.backend.record.id)
}

/// Counts the live attempt, which makes no progress, and keeps it beside its successor.
export function setStalled(session: Session, attempt: LiveAttempt): void {
  addFailedAttempt(session, attempt)
  attempt.isCounted = true
  session.stalled = attempt
}

/// Continues with the stalled attempt alone if its successor is over. Returns whether it did.
export function resumeStalled(session: Session): boolean {
  const {attempt, stalled} = session
  if (attempt || !stalled) return false
  stalled.lastSearchAt = undefined
  session.attempt = stalled
  session.stalled = undefined
  return true
}

/// The attempts in progress.
export function getAttempts({attempt, stalled}: Session): LiveAttempt[] {
  return [attempt, stalled].filter(one => one !== undefined)
}

/// The state of the request as it would be if its live attempt had failed now. The session is not changed.
export function makeSessionWithoutAttempt(session: Session, attempt: LiveAttempt): Session {
  const next = {...session, excluded: new Set(session.excluded)}
  addFailedAttempt(next, attempt)
  return next
}

/// Whether the live attempt continues when the caller disconnects. Aborting a non-idempotent request could
/// leave it half done without its caller knowing, so it is finished, within its deadline. Everything else is
/// of no use without its caller.
export function isFinishedWithoutCaller({route, attempt}: Session): boolean {
  return route.kind === "nonIdempotent" && attempt?.choice.prefillOnly === false
}

/// Urgency ranks per priority: one for short prompts, then one for long ones.
const RANKS_PER_PRIORITY = 2

/// Rank of overdue prompts, which yield to all others. Higher than the ranks of the priorities 0 to 3.
const OVERDUE_RANK = 9

/// The priority of the request, 0 the most urgent: its tenant's if set, otherwise the route's.
export function getPriority({route, tenant}: Session): number {
  return tenant?.priority ?? route.priority
}

/// The rank of an attempt in the queue of its engine. Prompts are computed one after another, so a long one
/// would delay many short ones.
export function getUrgency(session: Session, choice: BackendChoice, settings: ForwardSettings): number {
  if (choice.overdue) return OVERDUE_RANK
  const long = choice.prefillOnly && choice.promptTokens > settings.longPromptTokens
  return getPriority(session) * RANKS_PER_PRIORITY + (long ? 1 : 0)
}
