/// Answers that the daemon generates itself, and the log of decisions about requests.
import type {EffectSink} from "../../shared/effect-sink.js"
import {
  STATUS_BAD_GATEWAY,
  STATUS_GATEWAY_TIMEOUT,
  STATUS_NOT_FOUND,
  STATUS_TOO_MANY_REQUESTS,
  STATUS_UNAUTHORIZED,
  STATUS_UNAVAILABLE
} from "../../shared/http-status.js"
import type {ForwardDecision, ForwardEffect, ForwardFailure} from "../forward-messages.js"
import type {ForwardRequest} from "../forward-request.js"
import type {Session} from "../forward-session.js"

/// The tenant has exhausted its quota; the request has not been executed and will not be.
export const STATUS_OVER_QUOTA = STATUS_TOO_MANY_REQUESTS
/// The request failed and may have been executed.
export const STATUS_BROKEN = STATUS_BAD_GATEWAY
/// The deadline has passed; the request may have been executed.
export const STATUS_DEADLINE = STATUS_GATEWAY_TIMEOUT

/// Statuses of requests that no back end has executed or will execute: 401 for a missing or unknown key, 404
/// for no route, 429 and 503 with a Retry-After.
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([
  STATUS_UNAUTHORIZED,
  STATUS_NOT_FOUND,
  STATUS_OVER_QUOTA,
  STATUS_UNAVAILABLE
])

/// Values on which a decision is based, for the log.
export type DecisionFields = Readonly<Record<string, unknown>>

/// Why a request is not accepted.
export interface NotAccepted {
  readonly status: number
  readonly failure: ForwardFailure
  /// When the caller should retry; undefined if a retry is of no use. Milliseconds.
  readonly retryAfterMs: number | undefined
  readonly reasons: DecisionFields
}

/// Sends the answers that one daemon generates. Times are monotonic milliseconds.
export class ForwardAnswers {
  constructor(private readonly emit: EffectSink<ForwardEffect>) {}

  /// Answers with a failure. `retryAfterMs` is when the caller should retry, if the request has not been
  /// executed.
  sendFailure(
    request: ForwardRequest,
    status: number,
    failure: ForwardFailure,
    retryAfterMs: number | undefined,
    now: number,
    session?: Session,
    reasons: DecisionFields = {}
  ): void {
    this.emit({kind: "replyFailure", requestId: request.id, status, failure, retryAfterMs})
    const refused = REFUSAL_STATUSES.has(status)
    const fields = {status, failure, retryAfterMs, ...(session && getProgress(session, now)), ...reasons}
    this.emit({
      kind: "decision",
      event: refused ? "request.refused" : "request.failed",
      callerId: request.callerId,
      fields
    })
  }

  /// Answers a request that is not accepted: it has not been executed and will not be.
  sendNotAccepted(
    request: ForwardRequest,
    {status, failure, retryAfterMs, reasons}: NotAccepted,
    now: number
  ): void {
    this.sendFailure(request, status, failure, retryAfterMs, now, undefined, reasons)
  }

  /// Breaks off an answer that has begun, so that it does not look complete.
  sendBroken(session: Session, failure: ForwardFailure, now: number): void {
    this.emit({kind: "replyBroken", requestId: session.request.id})
    this.logDecision("request.failed", session, {failure, ...getProgress(session, now)})
  }

  /// Logs a decision about a request.
  logDecision(event: ForwardDecision, {request, service, key}: Session, fields: DecisionFields): void {
    this.emit({kind: "decision", event, callerId: request.callerId, fields: {service, key, ...fields}})
  }
}

function getProgress({service, key, sends, request}: Session, now: number): DecisionFields {
  return {service, key, sends, afterMs: Math.round(now - request.arrivedAt)}
}
