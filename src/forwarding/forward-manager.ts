/// Forwards requests byte for byte: takes them on, has them sent to back ends (attempt-sender.ts), has the
/// outcome of each attempt judged (attempt-outcomes.ts), and sees that every request has exactly one answer
/// (request-finisher.ts). One session per request, at most one live attempt per session. A request that may
/// not be repeated runs at most once, and is refused as "not run" only when no back end can have seen it.
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
import {createSession, getPriority, type Session} from "./forward-session.js"
import type {ForwardSettings} from "./forward-settings.js"
import type {PermitManager} from "./permits/permit-manager.js"
import type {KvIndex} from "./kv-cache/kv-index.js"
import {QuarantineGate, type QuarantineContext} from "./admit/quarantine-gate.js"
import {QuotaGate, type QuotaContext} from "./admit/quota-gate.js"
import type {QuotaDecision} from "./admit/tenant-quota.js"
import {RequestAdmission, type AdmissionContext, type Admitted} from "./admit/request-admission.js"
import {RetryAfter} from "./admit/retry-after.js"
import {RequestFinisher} from "./finish/request-finisher.js"
import type {RetryAllowance} from "./retry/retry-allowance.js"
import {RetryPolicy} from "./retry/retry-policy.js"

/// What the machine asks its daemon, and what it reports to it.
export interface ForwardContext extends AdmissionContext, QuotaContext, QuarantineContext {
  /// Told once for each request of a tenant that a back end has begun to run, and when. Monotonic
  /// milliseconds.
  onRequestBegan(tenant: string, at: number): void
  /// Permits to send to back ends that name a limit.
  readonly permits: PermitManager
  /// Told of each answer of a back end.
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
  private readonly quotaGate: QuotaGate
  private readonly retryPolicy: RetryPolicy
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
    const finisher = new RequestFinisher(retryAfter, this.sessions, answers, quotaGate, emit)
    const retryPolicy = new RetryPolicy({settings, allowance, getDaemons: () => context.getDaemonCount()})
    const shared = {retryPolicy, picker, limits, answers, finisher, quarantineGate, emit}
    const sender = new AttemptSender({...shared, settings, quotaGate, retryAfter, permits: context.permits})
    this.quotaGate = quotaGate
    this.answers = answers
    this.finisher = finisher
    this.sender = sender
    this.retryPolicy = retryPolicy
    this.outcomes = new AttemptOutcomes({
      ...shared,
      sender,
      kvIndex,
      onRequestBegan: (tenant, at) => context.onRequestBegan(tenant, at),
      onSignals: (view, report, at) => context.onSignals(view, report, at)
    })
    this.admission = new RequestAdmission(context, retryAfter)
  }

  /// Requests in hand.
  getActiveCount(): number {
    return this.sessions.size
  }

  /// From now on new requests are refused: the process has no time left to finish them.
  closeForNew(): void {
    this.admission.close()
  }

  /// Takes a whole request from a caller.
  receiveRequest(request: ForwardRequest, now: number): void {
    const admission = this.admission.admit(request, now)
    switch (admission.kind) {
      case "refused":
        this.answers.sendRefusal(request, admission.failure, admission.retryAfterMs, now)
        break
      case "denied":
        this.answers.sendFailure(request, admission.status, admission.failure, undefined, now)
        break
      case "admitted":
        this.beginAdmitted(request, admission, now)
        break
    }
  }

  /// The quota of the tenant of a request that waits for it has been decided.
  applyQuota(requestId: string, decision: QuotaDecision, now: number): void {
    const session = this.sessions.get(requestId)
    if (session?.quotaState === "waiting") this.onQuotaDecided(session, decision, now)
  }

  /// Permits of back ends of the service were granted or refused: the most urgent requests that wait for one
  /// come first, then the oldest.
  sendWaiting(service: string, now: number): void {
    const waiting = [...this.sessions.values()].filter(
      session => session.awaitsPermit && session.service === service
    )
    waiting.sort((one, other) => getPriority(one) - getPriority(other))
    for (const session of waiting) this.sender.send(session, now)
  }

  /// The caller went away: the work is cancelled.
  cancel(requestId: string, now: number): void {
    const session = this.sessions.get(requestId)
    if (session) this.finisher.finishCancelled(session, now)
  }

  /// Takes what became of an attempt. Events of attempts that are no longer live are dropped.
  receiveAttemptEvent(requestId: string, attemptId: string, event: ForwardAttemptEvent, now: number): void {
    const session = this.sessions.get(requestId)
    const attempt = session?.attempt
    if (!session || attempt?.attemptId !== attemptId) return
    attempt.lastEventAt = now
    this.outcomes.receive(session, attempt, event, now)
  }

  /// This process stood still until now. Its timers run before what waits in its sockets is read, so silence
  /// until now is nobody's.
  onProcessResumed(now: number): void {
    this.resumedAt = now
    this.picker.onProcessResumed(now)
  }

  /// Advances timers.
  tick(now: number): void {
    for (const session of [...this.sessions.values()]) {
      if (now >= session.deadlineAt) this.finisher.finishAtDeadline(session, now)
      else if (session.awaitsPermit && now >= (session.permitDueAt ?? now)) this.sender.send(session, now)
      else if (session.attempt && this.retryPolicy.isStalled(session, session.attempt, now, this.resumedAt))
        this.outcomes.onStalled(session, session.attempt, now)
    }
  }

  private beginAdmitted(request: ForwardRequest, admitted: Admitted, now: number): void {
    const {route, service, tenant, configurationVersion} = admitted
    const session = createSession(request, route, service, tenant)
    this.sessions.set(request.id, session)
    this.allowance.addRequest(service, now)
    this.answers.logDecision("request.accepted", session, {
      route: route.name,
      tenant: tenant?.name,
      configuration: configurationVersion
    })
    const answer = this.quotaGate.checkQuota(session, now)
    if (answer.kind !== "waiting") this.onQuotaDecided(session, answer, now)
  }

  private onQuotaDecided(session: Session, decision: QuotaDecision, now: number): void {
    session.quotaState = "decided"
    if (decision.kind === "granted") this.sender.send(session, now)
    else this.finisher.finishOverQuota(session, decision, now)
  }
}
