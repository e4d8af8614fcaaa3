/// Forwards requests byte for byte: accepts them, has them sent to back ends (attempt-sender.ts), has the
/// events of each attempt handled (attempt-outcomes.ts), and ensures that every request gets exactly one
/// answer (request-finisher.ts). One session per request, at most one live attempt per session, and beside it the
/// stalled one that it follows. A request
/// that may not be repeated is executed at most once, and a request is refused as not executed only if no
/// back end can have executed it.
import type {EffectSink} from "../shared/effect-sink.js"
import type {SignalReport} from "./backends/backend-signals.js"
import type {BackendView} from "./backends/backend-view.js"
import {AttemptOutcomes} from "./retry/attempt-outcomes.js"
import {AttemptSender} from "./retry/attempt-sender.js"
import type {BackendPicker} from "./choose/backend-picker.js"
import {ForwardAnswers} from "./finish/forward-answers.js"
import {ForwardLimits} from "./admit/forward-limits.js"
import type {ForwardAttemptEvent, ForwardEffect} from "./forward-messages.js"
import type {ForwardRequest} from "./forward-request.js"
import {createSession, getAttempts, getPriority, type LiveAttempt, type Session} from "./forward-session.js"
import type {ForwardSettings} from "./forward-settings.js"
import type {BackendPaths} from "./paths/backend-paths.js"
import type {PermitManager} from "./permits/permit-manager.js"
import type {KvIndex} from "./kv-cache/kv-index.js"
import {QuarantineGate, type QuarantineContext} from "./admit/quarantine-gate.js"
import {QuotaGate, type QuotaContext} from "./admit/quota-gate.js"
import type {QuotaDecision} from "./admit/tenant-quota.js"
import {RequestAdmission, type AdmissionContext, type Admitted} from "./admit/request-admission.js"
import {ResumptionGate, type StreamContext} from "./admit/resumption-gate.js"
import {RetryAfter} from "./admit/retry-after.js"
import {RequestFinisher} from "./finish/request-finisher.js"
import type {RetryAllowance} from "./retry/retry-allowance.js"
import {RetryPolicy} from "./retry/retry-policy.js"
import {StalledAttempts} from "./retry/stalled-attempts.js"
import type {OriginOutcome} from "../streams/origin-manager.js"
import type {StreamOrigin} from "../streams/stream-origin.js"

/// What the machine gets from its daemon and reports to it.
export interface ForwardContext extends AdmissionContext, QuotaContext, QuarantineContext, StreamContext {
  /// Called once for each request of a tenant when a back end has begun to execute it, with the time at
  /// which it began. Monotonic milliseconds.
  onExecutionStarted(tenant: string, at: number): void
  /// Permits to send to back ends that advertise a limit.
  readonly permits: PermitManager
  /// The paths to back ends.
  readonly paths: BackendPaths
  /// Called with the signals that a back end sent in an answer.
  onSignals(view: BackendView, report: SignalReport, now: number): void
}

/// The forwarding machine of one daemon. Times are monotonic milliseconds.
export class ForwardManager {
  private readonly sessions = new Map<string, Session>()
  private readonly admission: RequestAdmission
  private readonly answers: ForwardAnswers
  private readonly finisher: RequestFinisher
  private readonly sender: AttemptSender
  private readonly outcomes: AttemptOutcomes
  private readonly stalledAttempts: StalledAttempts
  private readonly quotaGate: QuotaGate
  private readonly resumptionGate: ResumptionGate
  private readonly retryPolicy: RetryPolicy
  private readonly paths: BackendPaths
  /// End of the last process pause.
  private resumedAt = -Infinity

  constructor(
    settings: ForwardSettings,
    context: ForwardContext,
    private readonly picker: BackendPicker,
    kvIndex: KvIndex,
    private readonly allowance: RetryAllowance,
    emit: EffectSink<ForwardEffect>
  ) {
    const retryAfter = new RetryAfter(settings, now => context.getOutageMs(now))
    const limits = new ForwardLimits(settings, context)
    const answers = new ForwardAnswers(emit)
    const quotaGate = new QuotaGate(context)
    const quarantineGate = new QuarantineGate(context)
    const resumptionGate = new ResumptionGate(context)
    const finisher = new RequestFinisher(retryAfter, this.sessions, answers, quotaGate, emit)
    const retryPolicy = new RetryPolicy({settings, allowance, getDaemonCount: () => context.getDaemonCount()})
    const {paths} = context
    const shared = {retryPolicy, paths, picker, limits, answers, finisher, quarantineGate, emit}
    const sender = new AttemptSender({...shared, settings, quotaGate, retryAfter, permits: context.permits})
    this.paths = paths
    this.quotaGate = quotaGate
    this.resumptionGate = resumptionGate
    this.answers = answers
    this.finisher = finisher
    this.sender = sender
    this.retryPolicy = retryPolicy
    this.stalledAttempts = new StalledAttempts({...shared, sender})
    this.outcomes = new AttemptOutcomes({
      ...shared,
      sender,
      stalledAttempts: this.stalledAttempts,
      resumptionGate,
      kvIndex,
      onExecutionStarted: (tenant, at) => context.onExecutionStarted(tenant, at),
      onSignals: (view, report, at) => context.onSignals(view, report, at)
    })
    this.admission = new RequestAdmission(context, retryAfter)
  }

  /// Number of requests that are not finished.
  getActiveCount(): number {
    return this.sessions.size
  }

  /// Refuses all further requests: the process has no time left to finish them.
  closeForNew(): void {
    this.admission.close()
  }

  /// Answers every open request with a failure: the process exits, and a closed connection would tell its caller
  /// less.
  endRequests(now: number): void {
    for (const session of [...this.sessions.values()])
      this.finisher.finishUnanswered(session, "stopping", now)
  }

  /// Handles a request that has arrived completely.
  receiveRequest(request: ForwardRequest, now: number): void {
    const admission = this.admission.admit(request, now)
    if (admission.kind === "admitted") this.startAdmitted(request, admission, now)
    else this.answers.sendNotAccepted(request, admission, now)
  }

  /// Applies the quota decision for which a request waits.
  applyQuota(requestId: string, decision: QuotaDecision, now: number): void {
    const session = this.sessions.get(requestId)
    if (session?.quotaState === "waiting") this.onQuotaDecided(session, decision, now)
  }

  /// Applies what was found out about the stream that a request takes up; `origin` is undefined if nobody knows.
  applyOrigin(requestId: string, origin: StreamOrigin | undefined, now: number): void {
    const session = this.sessions.get(requestId)
    if (session?.awaitsOrigin)
      this.onOriginFound(session, origin ? {kind: "known", origin} : {kind: "unknown"}, now)
  }

  /// Permits for back ends of the service were granted or refused: tries to send the requests that wait for
  /// one, the most urgent first, then the oldest.
  sendWaiting(service: string, now: number): void {
    const waiting = [...this.sessions.values()].filter(
      session => session.awaitsPermit && session.service === service
    )
    waiting.sort((one, other) => getPriority(one) - getPriority(other))
    for (const session of waiting) this.sender.send(session, now)
  }

  /// Cancels a request whose caller has disconnected.
  cancel(requestId: string, now: number): void {
    const session = this.sessions.get(requestId)
    if (session) this.finisher.finishCancelled(session, now)
  }

  /// Ends a request whose handling has failed by an exception.
  endFaulty(requestId: string, now: number): void {
    const session = this.sessions.get(requestId)
    if (session) this.finisher.finishUnanswered(session, "broken", now)
  }

  /// Handles an event of an attempt. Events of attempts that are no longer live are ignored.
  receiveAttemptEvent(requestId: string, attemptId: string, event: ForwardAttemptEvent, now: number): void {
    const session = this.sessions.get(requestId)
    const attempt = session && getAttempts(session).find(live => live.attemptId === attemptId)
    if (!session || !attempt) return
    attempt.lastEventAt = now
    this.outcomes.receive(session, attempt, event, now)
  }

  /// The process was paused until now. Its timers fire before the data that waits in its sockets is read, so
  /// silence until now is not attributed to any back end.
  onProcessResumed(now: number): void {
    this.resumedAt = now
    this.picker.onProcessResumed(now)
  }

  /// Handles requests past their deadline, expired waits for permits, and stalled attempts.
  tick(now: number): void {
    const isServedByPeers = this.paths.isServedByPeers(now)
    for (const session of [...this.sessions.values()]) {
      if (isServedByPeers && session.attempt) setLinkLost(session.attempt)
      if (now >= session.deadlineAt) this.finisher.finishUnanswered(session, "deadline", now)
      else if (session.awaitsPermit && now >= (session.permitDueAt ?? now)) this.sender.send(session, now)
      else if (session.attempt && this.retryPolicy.isStalled(session, session.attempt, now, this.resumedAt))
        this.stalledAttempts.onStalled(session, session.attempt, now)
      this.stalledAttempts.endOverlap(session, now)
    }
  }

  private startAdmitted(request: ForwardRequest, admitted: Admitted, now: number): void {
    const {route, service, tenant, configurationVersion} = admitted
    const session = createSession(request, route, service, tenant)
    this.sessions.set(request.id, session)
    this.answers.logDecision("request.accepted", session, {
      route: route.name,
      tenant: tenant?.name,
      configuration: configurationVersion,
      ...request.resumption
    })
    const origin = this.resumptionGate.findOrigin(session, now)
    if (origin) this.onOriginFound(session, origin, now)
    else this.startSession(session, now)
  }

  /// The origin of the stream that the request takes up is known or is being looked up, or cannot be found.
  private onOriginFound(session: Session, outcome: OriginOutcome, now: number): void {
    session.awaitsOrigin = outcome.kind === "waiting"
    if (outcome.kind === "waiting") return
    if (outcome.kind === "unknown" || outcome.origin.version === null) {
      this.finisher.finishNotServed(session, "unknown-stream", now)
      return
    }
    const {origin} = outcome
    if (!session.route.targets.some(({service}) => service === origin.service)) {
      this.finisher.finishNotServed(session, "no-backend", now, undefined, {began: origin.service})
      return
    }
    session.origin = origin
    session.service = origin.service
    this.startSession(session, now)
  }

  /// The service of the request is settled: counts it there, and sends it once its quota allows.
  private startSession(session: Session, now: number): void {
    this.allowance.addRequest(session.service, now)
    if (this.sender.refuseIfQuarantined(session, now)) return
    const answer = this.quotaGate.checkQuota(session, now)
    if (answer.kind !== "waiting") this.onQuotaDecided(session, answer, now)
  }

  private onQuotaDecided(session: Session, decision: QuotaDecision, now: number): void {
    session.quotaState = "decided"
    if (decision.kind === "granted") this.sender.send(session, now)
    else this.finisher.finishOverQuota(session, decision, now)
  }
}

/// Only peers reach back ends: a direct attempt waits on a connection that is lost, which isn't its back end's fault.
function setLinkLost(attempt: LiveAttempt): void {
  if (attempt.via !== undefined) return
  attempt.isLinkLost = true
  attempt.connectionSilent = true
}
