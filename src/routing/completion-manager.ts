/**
 * The completion state machine: queues requests, sends attempts to engines and assembles the responses. Owns
 * one session per request, with at most one live attempt. Tokens are passed on only at the exact next offset,
 * and a response is complete only at an engine's end marker.
 *
 * The decisions are made in other modules: refusing, holding back and giving up in completion-rules.ts,
 * sending or waiting in completion-dispatch.ts, the engine in engine-picker.ts, retries of broken attempts in
 * retry-rule.ts.
 */
import {
  AttemptBrokenError,
  CallerCancelledError,
  DeadlineExceededError,
  type PulleyledgeError,
} from '../errors/index.js';
import type { ServiceRow } from '../configuration/service-row.js';
import type { AttemptEvent, EngineRefusal, KvHandle } from '../contracts/engine-protocol.js';
import type { EffectSink } from '../shared/effect-sink.js';
import { AdmissionQueue, type QueueItem } from './admission-queue.js';
import type { AttemptStage, CompletionEffect, CompletionSettings } from './completion-effects.js';
import type { CompletionRequest } from './completion-request.js';
import { CompletionDispatch } from './completion-dispatch.js';
import { CompletionRules } from './completion-rules.js';
import {
  addBrokenAttempt,
  createSession,
  getBrokenWork,
  getNotRun,
  makeSessionWithoutAttempt,
  PHASES_BY_REFUSAL,
  type LiveAttempt,
  type Session,
} from './completion-session.js';
import type { DirectorySettings, EngineDirectory, EngineView } from './engine-directory.js';
import type { EngineChoice, EnginePicker } from './engine-picker.js';
import { RetryRule } from './retry-rule.js';
import { NoAttemptListener, type AttemptListener } from './attempt-listener.js';
import { WaitEstimator } from './wait-estimator.js';

/**
 * Minimum cost of a queued request in prompt tokens, so that short prompts also count towards the share of
 * their flow.
 */
const MINIMUM_COST_TOKENS = 32;

/** Dependencies and settings of the manager. */
interface CompletionManagerOptions {
  readonly settings: CompletionSettings;
  readonly directorySettings: DirectorySettings;
  readonly directory: EngineDirectory;
  readonly picker: EnginePicker;
  readonly emit: EffectSink<CompletionEffect>;
  /** Receives the outcomes of attempts; omitted where no request is quarantined. */
  readonly attemptListener?: AttemptListener;
}

/** The completion state machine of one daemon. Times are monotonic milliseconds. */
export class CompletionManager {
  private readonly sessions = new Map<string, Session>();
  private readonly queue = new AdmissionQueue();
  private readonly retries: RetryRule;
  private readonly rules: CompletionRules;
  private readonly waits: WaitEstimator;
  private readonly settings: CompletionSettings;
  private readonly directorySettings: DirectorySettings;
  private readonly dispatcher: CompletionDispatch;
  private readonly emit: EffectSink<CompletionEffect>;
  private readonly attemptListener: AttemptListener;

  constructor(options: CompletionManagerOptions) {
    this.settings = options.settings;
    this.directorySettings = options.directorySettings;
    this.emit = options.emit;
    this.attemptListener = options.attemptListener ?? new NoAttemptListener();
    this.retries = new RetryRule(options.settings);
    this.waits = new WaitEstimator(options.settings, options.directory, this.queue);
    this.rules = new CompletionRules(options.settings, this.waits);
    const { rules, attemptListener } = this;
    this.dispatcher = new CompletionDispatch({ ...options, rules, attemptListener });
  }

  /** Number of requests in progress. */
  active(): number {
    return this.sessions.size;
  }

  /** Number of requests that wait for an engine. */
  waiting(): number {
    return this.queue.length;
  }

  /** The reason to refuse a request before it takes a slot; undefined to accept it. */
  findRefusal(request: CompletionRequest, row: ServiceRow, now: number): PulleyledgeError | undefined {
    return this.rules.findRefusal(request, row, now);
  }

  /** Starts a request whose slot has been granted. */
  begin(request: CompletionRequest, row: ServiceRow, now: number): void {
    this.retries.addRequest();
    const cost = Math.max(MINIMUM_COST_TOKENS, request.prompt.tokens);
    const item: QueueItem = {
      id: request.requestId,
      service: row.name,
      priority: row.priority,
      weight: row.weight,
      cost,
    };
    const session = createSession(request, row, item, now);
    this.sessions.set(request.requestId, session);
    this.queue.push(item);
    this.dispatch(now);
  }

  /** The caller disconnected: cancels the work at the engine. */
  cancel(requestId: string, now: number): void {
    const session = this.sessions.get(requestId);
    if (session) this.fail(session, new CallerCancelledError(requestId, getNotRun(session)), now);
  }

  /** Applies an event of an attempt. Events of attempts that are no longer live are dropped. */
  onAttemptEvent(requestId: string, attemptId: string, event: AttemptEvent, now: number): void {
    const session = this.sessions.get(requestId);
    const attempt = session?.attempt;
    if (!session || attempt?.attemptId !== attemptId) return;
    attempt.lastEventAt = now;
    if ((event.kind === 'refused' || event.kind === 'broken') && event.retryAfterMs !== undefined)
      attempt.engine.addBackOff(now + event.retryAfterMs);
    switch (event.kind) {
      case 'unreachable':
        attempt.engine.addFailure(now, this.directorySettings);
        this.applyRejection(session, attempt, now);
        break;
      case 'refused':
        this.applyPhase(attempt.engine, event.reason, now);
        this.applyRejection(session, attempt, now);
        break;
      case 'prefilled':
        this.onPrefilled(session, attempt, event.kv, now);
        break;
      case 'tokens':
        this.onTokens(session, attempt, event, now);
        break;
      case 'end':
        this.onEnd(session, attempt, event, now);
        break;
      case 'broken':
        if (attempt.stage === 'generate')
          this.attemptListener.addBrokenAttempt(session.request.key, attempt.engine, attempt.startedAt, now);
        this.onBroken(session, attempt, now);
        break;
    }
  }

  /** Whether an attempt that was sent to the engine before `before` is still in flight. */
  hasOlderAttempt(engineId: string, before: number): boolean {
    for (const { attempt } of this.sessions.values())
      if (attempt?.engine.id === engineId && attempt.startedAt < before) return true;
    return false;
  }

  /** Checks deadlines, stalls and waiting times, and sends queued requests. */
  tick(now: number): void {
    for (const session of [...this.sessions.values()]) {
      if (now >= session.deadlineAt) {
        const { requestId } = session.request;
        this.fail(session, new DeadlineExceededError(requestId, getNotRun(session)), now);
      } else if (session.attempt) this.checkStall(session, session.attempt, now);
      else this.checkWait(session, now);
    }
    this.dispatch(now);
  }

  private checkWait(session: Session, now: number): void {
    const error = this.rules.findExpiry(session, now);
    if (error) this.fail(session, error, now);
  }

  /**
   * Moves a request whose engine is silent to another engine, if one takes it now. The attempt goes on otherwise:
   * its engine may still answer.
   */
  private checkStall(session: Session, attempt: LiveAttempt, now: number): void {
    if (now - attempt.lastEventAt < this.settings.attemptStallMs) return;
    const next = makeSessionWithoutAttempt(session, attempt);
    if (!this.retries.mayRetry(getBrokenWork(next))) return;
    const decision = this.dispatcher.decide(next, now);
    if (decision.kind !== 'send') return;
    this.emit({ kind: 'cancelAttempt', attemptId: attempt.attemptId, address: attempt.engine.address });
    this.applyBreak(session, attempt, now);
    this.retries.takeRetry(getBrokenWork(session));
    this.startAttempt(session, decision.choice, now);
  }

  /** Sends queued requests in their order while engines can take them. */
  private dispatch(now: number): void {
    let progress = true;
    while (progress && this.queue.length > 0) {
      progress = false;
      for (const item of this.queue.heads()) {
        const session = this.sessions.get(item.id);
        if (!session || session.attempt || now < session.retryAt) continue;
        if (this.trySend(session, now)) {
          progress = true;
          break;
        }
        if (!this.sessions.has(item.id)) progress = true;
      }
    }
  }

  /** Applies the decision on one waiting request. Returns whether it was sent. */
  private trySend(session: Session, now: number): boolean {
    const decision = this.dispatcher.decide(session, now);
    switch (decision.kind) {
      case 'send':
        this.queue.remove(session.request.requestId);
        this.startAttempt(session, decision.choice, now);
        return true;
      case 'pause':
        session.excluded = new Set();
        this.pause(session, now);
        return false;
      case 'fail':
        this.fail(session, decision.error, now);
        return false;
      case 'wait':
        return false;
    }
  }

  private startAttempt(session: Session, choice: EngineChoice, now: number): void {
    const { request, row } = session;
    const stage: AttemptStage = choice.prefill ? 'prefill' : 'generate';
    const engine = choice.prefill ?? choice.generate;
    session.attemptCount += 1;
    const attemptId = `${request.requestId}/${session.attemptCount}`;
    session.attempt = { attemptId, engine, stage, choice, startedAt: now, lastEventAt: now };
    const promptWork = session.kv ? 0 : request.prompt.tokens + session.produced.length;
    engine.addWork(attemptId, promptWork, now);
    this.waits.addPrompt(row.priority, promptWork, now);
    this.emit({
      kind: 'startAttempt',
      start: {
        attemptId,
        requestId: request.requestId,
        engineId: engine.id,
        address: engine.address,
        stage,
        request,
        row,
        offset: session.produced.length,
        produced: session.produced,
        kv: session.kv,
        remainingMs: session.deadlineAt - now,
      },
    });
  }

  private onPrefilled(session: Session, attempt: LiveAttempt, kv: KvHandle, now: number): void {
    attempt.engine.addSuccess();
    this.endAttempt(session, attempt, now);
    session.kv = kv;
    session.mayHaveExecuted = true;
    this.requeue(session, now);
  }

  /**
   * Passes tokens on at the exact next offset. Tokens that the caller has already are skipped, and a gap
   * breaks the attempt.
   */
  private onTokens(
    session: Session,
    attempt: LiveAttempt,
    { offset, texts }: Extract<AttemptEvent, { kind: 'tokens' }>,
    now: number,
  ): void {
    const expected = session.produced.length;
    if (offset > expected) {
      this.emit({ kind: 'cancelAttempt', attemptId: attempt.attemptId, address: attempt.engine.address });
      this.onBroken(session, attempt, now);
      return;
    }
    const fresh = texts.slice(expected - offset);
    if (fresh.length === 0) return;
    attempt.engine.markFirstToken(attempt.attemptId);
    session.produced.push(...fresh);
    this.emit({ kind: 'replyTokens', requestId: session.request.requestId, offset: expected, texts: fresh });
  }

  /** Ends the response if the engine's token count matches the tokens sent; a mismatch breaks the attempt. */
  private onEnd(
    session: Session,
    attempt: LiveAttempt,
    { tokens, finishReason }: Extract<AttemptEvent, { kind: 'end' }>,
    now: number,
  ): void {
    if (tokens !== session.produced.length) {
      this.onBroken(session, attempt, now);
      return;
    }
    attempt.engine.addSuccess();
    this.attemptListener.addAnswer(session.request.key, now);
    this.waits.addStream(now - attempt.startedAt);
    this.endAttempt(session, attempt, now);
    this.emit({ kind: 'replyEnd', requestId: session.request.requestId, tokens, finishReason });
    this.finish(session, now);
  }

  /** The engine may have executed the attempt: retries only repeatable work, within the budget. */
  private onBroken(session: Session, attempt: LiveAttempt, now: number): void {
    this.applyBreak(session, attempt, now);
    if (this.retries.takeRetry(getBrokenWork(session))) {
      this.requeue(session, now);
      return;
    }
    const { request, brokenAttempts } = session;
    this.fail(session, new AttemptBrokenError(request.requestId, brokenAttempts, getNotRun(session)), now);
  }

  private applyBreak(session: Session, attempt: LiveAttempt, now: number): void {
    attempt.engine.addFailure(now, this.directorySettings);
    this.endAttempt(session, attempt, now);
    addBrokenAttempt(session, attempt);
  }

  /** The engine certainly did not execute the attempt: tries another one, outside the retry budget. */
  private applyRejection(session: Session, attempt: LiveAttempt, now: number): void {
    this.endAttempt(session, attempt, now);
    session.excluded.add(attempt.engine.id);
    if (attempt.stage === 'generate') session.kv = undefined;
    session.rejections += 1;
    if (this.rules.isPauseDue(session.rejections)) this.pause(session, now);
    this.requeue(session, now);
  }

  private pause(session: Session, now: number): void {
    session.retryAt = now + this.rules.getPauseMs(session.rejections);
  }

  private requeue(session: Session, now: number): void {
    session.queuedAt = session.mayHaveExecuted ? now : session.queuedAt;
    this.queue.pushFront(session.item);
    this.dispatch(now);
  }

  private applyPhase(engine: EngineView, reason: EngineRefusal, now: number): void {
    const phase = PHASES_BY_REFUSAL[reason];
    if (phase) engine.markPhase(phase, now);
  }

  private endAttempt(session: Session, attempt: LiveAttempt, now: number): void {
    attempt.engine.removeWork(attempt.attemptId, now);
    session.attempt = undefined;
  }

  private fail(session: Session, error: PulleyledgeError, now: number): void {
    const { attempt } = session;
    if (attempt) {
      this.emit({ kind: 'cancelAttempt', attemptId: attempt.attemptId, address: attempt.engine.address });
      this.endAttempt(session, attempt, now);
    }
    this.queue.remove(session.request.requestId);
    const tokensSent = session.produced.length;
    this.emit({ kind: 'replyFailed', requestId: session.request.requestId, error, tokensSent });
    this.finish(session, now);
  }

  private finish(session: Session, now: number): void {
    const { requestId } = session.request;
    this.sessions.delete(requestId);
    const outputTokens = session.produced.length;
    this.emit({ kind: 'completionOver', requestId, service: session.row.name, outputTokens });
    this.dispatch(now);
  }
}
