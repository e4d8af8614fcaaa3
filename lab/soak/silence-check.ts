/// Checks that the silence of sound back ends ends no answer early. Judged are requests beside such a silence with
/// nothing else wrong: changes of the configuration, reloads and planned stops count as nothing wrong.
import {isBesidePlannedWork, type Disturbance} from "./disturbance.js"
import type {CallerRecord, Violation} from "./caller-record.js"

/// A period in which the sound back end at a place sent and received nothing. Monotonic milliseconds.
export interface SilentSpan {
  readonly place: number
  readonly from: number
  until: number
}

/// Requests that were judged, and the violations among them.
interface SilenceOutcome {
  readonly judged: number
  readonly violations: readonly Violation[]
}

/// From this share of its time on, a request may end without an answer.
const JUDGED_SHARE = 0.7
const STATUS_BUSY = 503
const FIRST_SERVER_ERROR = 500

/// Finds callers whose connection ended without a complete answer, or who got a failure of the daemon itself other
/// than 503, in the first seven tenths of their time.
export function findCallersCutBySilence(
  silences: readonly SilentSpan[],
  requests: Iterable<CallerRecord>,
  disturbances: readonly Disturbance[],
  contactMs: number
): SilenceOutcome {
  let judged = 0
  const violations: Violation[] = []
  for (const request of requests) {
    const {id, daemon, route, sentAt, endedAt, timeoutMs, crashingBody} = request
    const hasGivenUp = endedAt === sentAt
    if (endedAt === undefined || hasGivenUp || crashingBody !== undefined) continue
    if (!silences.some(({from, until}) => from <= endedAt && until + contactMs >= sentAt)) continue
    if (!isBesidePlannedWork(disturbances, contactMs, {daemon, sentAt, endedAt})) continue
    judged += 1
    const problem = findProblem(request)
    if (problem === undefined || endedAt - sentAt >= JUDGED_SHARE * timeoutMs) continue
    const times = `after ${Math.round(endedAt - sentAt)} of ${timeoutMs} ms, sent at ${Math.round(sentAt)}`
    violations.push({
      promise: "a back end's silence ends no answer early",
      text: `${id} (${route} by ${daemon}) ${problem} ${times}`
    })
  }
  return {judged, violations}
}

function findProblem({status, signature, complete}: CallerRecord): string | undefined {
  if (complete !== true) return `was cut (status ${status ?? "none"})`
  const isOwnError = status !== undefined && status >= FIRST_SERVER_ERROR && signature === undefined
  return isOwnError && status !== STATUS_BUSY ? `got ${status}` : undefined
}
