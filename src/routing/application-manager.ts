/**
 * Calls to application servers, from the granted slot to the answer. Owns the calls in progress;
 * application-servers.ts picks the server, retry-rule.ts decides whether a broken call is retried. A call
 * that must not be executed twice is claimed in the ledger first and executed by one server at most; it is
 * sent to another server only when the first was unreachable or rejected it before it started processing.
 */
import {
  AlreadyClaimedError,
  AttemptBrokenError,
  CallerCancelledError,
  DeadlineExceededError,
  LedgerUnavailableError,
  NoBackendError,
  QuarantinedError,
  type NotRun,
  type PulleyledgeError,
} from '../errors/index.js';
import type { ServiceRow } from '../configuration/service-row.js';
import type { AtMostOnceLedger, RecordedOutcome } from '../ledger/at-most-once-ledger.js';
import type { EffectSink } from '../shared/effect-sink.js';
import type { RandomSource } from '../shared/random.js';
import type { ApplicationCall, ApplicationEffect, ApplicationEvent } from './application-messages.js';
import { ApplicationServers, type ApplicationServer } from './application-servers.js';
import { NO_SERVER_RETRY_AFTER_MS } from './retry-after.js';
import { RetryRule, type RetryRuleSettings } from './retry-rule.js';
import { NoAttemptListener, type AttemptListener } from './attempt-listener.js';

interface CallSession {
  readonly call: ApplicationCall;
  readonly row: ServiceRow;
  readonly deadlineAt: number;
  stage: 'claiming' | 'sending';
  attempt: { attemptId: string; server: ApplicationServer; startedAt: number } | undefined;
  attemptCount: number;
  brokenAttempts: number;
  mayHaveExecuted: boolean;
  readonly excluded: Set<string>;
}

/**
 * Limits on the attempts of a call that may have been executed, and on retries per call averaged over time;
 * the same values as the defaults for completions.
 */
const RETRY_SETTINGS: RetryRuleSettings = { maximumAttempts: 3, retryRatio: 0.2 };
/**
 * Longest response body that is recorded for a caller that retries with the same idempotency key. Bytes; the
 * limit keeps table rows small. A longer response is passed on but not recorded, and a retry fails as already
 * claimed.
 */
const MAXIMUM_RECORDED_BODY_BYTES = 64 * 1024;

/** The application-call state machine of one daemon. Times are monotonic milliseconds. */
export class ApplicationManager {
  private readonly sessions = new Map<string, CallSession>();
  private readonly servers: ApplicationServers;
  private readonly retries = new RetryRule(RETRY_SETTINGS);

  constructor(
    private readonly ledger: AtMostOnceLedger,
    random: RandomSource,
    private readonly emit: EffectSink<ApplicationEffect>,
    private readonly attemptListener: AttemptListener = new NoAttemptListener(),
  ) {
    this.servers = new ApplicationServers(random);
  }

  /** Number of calls in progress. */
  active(): number {
    return this.sessions.size;
  }

  /** Updates the servers from the machine list. A server that reported that it is leaving stays leaving. */
  setServers(list: readonly { id: string; address: string; leaving: boolean }[]): void {
    this.servers.setServers(list);
  }

  /** Starts a call whose slot has been granted. */
  begin(call: ApplicationCall, row: ServiceRow, now: number): void {
    this.retries.addRequest();
    const session: CallSession = {
      call,
      row,
      deadlineAt: call.receivedAt + (call.timeoutMs ?? row.deadlineMs),
      stage: row.repeatable ? 'sending' : 'claiming',
      attempt: undefined,
      attemptCount: 0,
      brokenAttempts: 0,
      mayHaveExecuted: false,
      excluded: new Set(),
    };
    this.sessions.set(call.requestId, session);
    if (row.repeatable) this.send(session, now);
    else this.ledger.claim(call.requestId, `${call.service}/${call.idempotencyKey}`, now);
  }

  /** The ledger has recorded the claim: sends the call. */
  onClaimGranted(requestId: string, now: number): void {
    const session = this.sessions.get(requestId);
    if (!session) {
      // The caller disconnected before the call was sent: it was not executed, so the key may be used again.
      this.ledger.releaseClaim(requestId, now);
      return;
    }
    session.stage = 'sending';
    this.send(session, now);
  }

  /** The key is already claimed: replies with the recorded outcome, if any, or an error. */
  onClaimTaken(requestId: string, outcome: RecordedOutcome | undefined): void {
    const session = this.sessions.get(requestId);
    if (!session) return;
    if (!outcome) {
      this.fail(session, new AlreadyClaimedError(session.call.service, session.call.idempotencyKey));
      return;
    }
    const body = Buffer.from(outcome.body, 'base64');
    this.emit({
      kind: 'replyApplication',
      requestId,
      status: outcome.status,
      contentType: outcome.contentType,
      body,
    });
    this.finish(session);
  }

  /** The ledger could not confirm the claim; the call was not sent. */
  onClaimUnavailable(requestId: string, retryAfterMs: number): void {
    const session = this.sessions.get(requestId);
    if (session) this.fail(session, new LedgerUnavailableError(session.call.service, retryAfterMs));
  }

  /** The caller disconnected: cancels the call. */
  cancel(requestId: string, now: number): void {
    const session = this.sessions.get(requestId);
    if (!session) return;
    this.settleClaim(session, now);
    this.fail(session, new CallerCancelledError(requestId, getNotRun(session)));
  }

  /** Applies an event of a call that was sent. Events of earlier attempts are ignored. */
  onCallEvent(requestId: string, attemptId: string, event: ApplicationEvent, now: number): void {
    const session = this.sessions.get(requestId);
    const attempt = session?.attempt;
    if (!session || attempt?.attemptId !== attemptId) return;
    attempt.server.inFlight -= 1;
    session.attempt = undefined;
    if ('retryAfterMs' in event && event.retryAfterMs !== undefined)
      this.servers.addBackOff(attempt.server, event.retryAfterMs, now);
    switch (event.kind) {
      case 'unreachable':
        this.servers.addFailure(attempt.server, now);
        this.sendElsewhere(session, attempt.server, now);
        break;
      case 'refused':
        attempt.server.leaving ||= event.leaving;
        this.sendElsewhere(session, attempt.server, now);
        break;
      case 'response':
        attempt.server.leaving ||= event.leaving;
        this.onResponse(session, event, now);
        break;
      case 'broken':
        this.onBroken(session, attempt.server, attempt.startedAt, now);
        break;
    }
  }

  /** Whether a call that was sent to the server before `before` is still in flight. */
  hasOlderAttempt(serverId: string, before: number): boolean {
    for (const { attempt } of this.sessions.values())
      if (attempt?.server.id === serverId && attempt.startedAt < before) return true;
    return false;
  }

  /** Fails calls whose deadline has passed. */
  tick(now: number): void {
    for (const session of [...this.sessions.values()]) {
      if (now >= session.deadlineAt) {
        this.settleClaim(session, now);
        this.fail(session, new DeadlineExceededError(session.call.requestId, getNotRun(session)));
      }
    }
  }

  private send(session: CallSession, now: number): void {
    const quarantineMs = this.attemptListener.getQuarantineMs(session.call.key, now);
    if (quarantineMs !== undefined) {
      this.settleClaim(session, now);
      this.fail(session, new QuarantinedError(session.call.service, quarantineMs, getNotRun(session)));
      return;
    }
    const server = this.servers.pick(session.excluded, now);
    if (!server) {
      this.settleClaim(session, now);
      this.fail(
        session,
        new NoBackendError(
          session.call.service,
          getNotRun(session),
          this.servers.findBackOffMs(now) ?? NO_SERVER_RETRY_AFTER_MS,
        ),
      );
      return;
    }
    session.attemptCount += 1;
    const attemptId = `${session.call.requestId}/${session.attemptCount}`;
    session.attempt = { attemptId, server, startedAt: now };
    server.inFlight += 1;
    this.emit({
      kind: 'startApplicationCall',
      attemptId,
      requestId: session.call.requestId,
      service: session.call.service,
      address: server.address,
      remainingMs: session.deadlineAt - now,
    });
  }

  private sendElsewhere(session: CallSession, server: ApplicationServer, now: number): void {
    session.excluded.add(server.id);
    this.send(session, now);
  }

  private onResponse(
    session: CallSession,
    event: Extract<ApplicationEvent, { kind: 'response' }>,
    now: number,
  ): void {
    const { requestId } = session.call;
    const { status, contentType, body } = event;
    this.attemptListener.addAnswer(session.call.key, now);
    if (!session.row.repeatable) this.recordOutcome(requestId, status, contentType, body, now);
    this.emit({ kind: 'replyApplication', requestId, status, contentType, body });
    this.finish(session);
  }

  private recordOutcome(
    requestId: string,
    status: number,
    contentType: string,
    body: Uint8Array,
    now: number,
  ): void {
    if (body.byteLength > MAXIMUM_RECORDED_BODY_BYTES) this.ledger.abandonClaim(requestId);
    else
      this.ledger.recordOutcome(
        requestId,
        { status, contentType, body: Buffer.from(body).toString('base64') },
        now,
      );
  }

  private onBroken(session: CallSession, server: ApplicationServer, startedAt: number, now: number): void {
    session.mayHaveExecuted = true;
    session.brokenAttempts += 1;
    this.attemptListener.addBrokenAttempt(session.call.key, server, startedAt, now);
    this.servers.addFailure(server, now);
    const { row, brokenAttempts } = session;
    if (this.retries.takeRetry({ repeatable: row.repeatable, brokenAttempts })) {
      this.sendElsewhere(session, server, now);
      return;
    }
    this.settleClaim(session, now);
    this.fail(session, new AttemptBrokenError(session.call.requestId, brokenAttempts, 'unknown'));
  }

  /**
   * Settles the claim of a call that is about to fail: releases the key if the call was certainly not
   * executed, and keeps it claimed without an outcome otherwise.
   */
  private settleClaim(session: CallSession, now: number): void {
    if (session.row.repeatable || session.stage === 'claiming') return;
    if (getNotRun(session) === 'true') this.ledger.releaseClaim(session.call.requestId, now);
    else this.ledger.abandonClaim(session.call.requestId);
  }

  private fail(session: CallSession, error: PulleyledgeError): void {
    const { attempt } = session;
    if (attempt) {
      attempt.server.inFlight -= 1;
      session.attempt = undefined;
      this.emit({ kind: 'cancelApplicationCall', attemptId: attempt.attemptId });
    }
    this.emit({ kind: 'replyFailed', requestId: session.call.requestId, error, tokensSent: 0 });
    this.finish(session);
  }

  private finish(session: CallSession): void {
    this.sessions.delete(session.call.requestId);
    this.emit({ kind: 'applicationOver', requestId: session.call.requestId, service: session.call.service });
  }
}

function getNotRun(session: CallSession): NotRun {
  return session.mayHaveExecuted || session.attempt ? 'unknown' : 'true';
}
