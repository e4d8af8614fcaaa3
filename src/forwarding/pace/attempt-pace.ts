/// Pace samples from the course of an attempt. Owns no state; adds to the pace of the attempt's back end.
import type {LiveAttempt} from "../forward-session.js"
import type {PaceMeasure} from "./pace-tracker.js"
import type {BackendChoice} from "../choose/backend-choice.js"
import type {BackendRecord} from "../routes/route.js"

/// Key of the group of back ends that a back end is compared with: those of its service and, for engines, its
/// stage, by one measure.
export function getPaceGroup({service, stage}: BackendRecord, measure: PaceMeasure): string {
  return `${service}/${stage ?? ""}/${measure}`
}

/// Adds a sample for a prompt that a prefill engine computed `ms` after it was sent. Skips overdue prompts,
/// which wait for an unknown number of others, and copies, which wait for links.
export function addPromptSample({backend, queuedTokens, overdue, copyFrom}: BackendChoice, ms: number): void {
  if (overdue || copyFrom) return
  backend.pace.addSample(getPaceGroup(backend.record, "prompt"), queuedTokens, ms)
}

/// Adds a sample for the first event of a stream, unless its prompt was computed at another engine.
export function addFirstEventSample(
  {choice, startedAt}: LiveAttempt,
  prefilledElsewhere: boolean,
  now: number
): void {
  const {backend, queuedTokens} = choice
  if (prefilledElsewhere || backend.record.stage === undefined) return
  backend.pace.addSample(getPaceGroup(backend.record, "first"), queuedTokens, now - startedAt)
}

/// Adds a sample for a complete stream, or for a complete answer of a plain back end.
export function addCompletedSample(attempt: LiveAttempt, now: number): void {
  const {choice, startedAt, firstEventAt, events, inFlightBefore} = attempt
  const {record, pace} = choice.backend
  if (record.stage === undefined) {
    pace.addSample(getPaceGroup(record, "answer"), getExcess(inFlightBefore, record.slots), now - startedAt)
    return
  }
  if (firstEventAt === undefined || events === 0) return
  pace.addSample(
    getPaceGroup(record, "gap"),
    inFlightBefore,
    (attempt.lastProgressAt - firstEventAt) / events
  )
}

/// Adds a sample for an attempt that is aborted without an answer.
export function addUnansweredSample(
  {choice, startedAt, streaming, inFlightBefore}: LiveAttempt,
  now: number
): void {
  const {record, pace} = choice.backend
  if (streaming || choice.overdue || choice.copyFrom) return
  const ms = now - startedAt
  if (record.stage === undefined) {
    pace.addUnanswered(getPaceGroup(record, "answer"), getExcess(inFlightBefore, record.slots), ms)
  } else if (choice.prefillOnly) pace.addUnanswered(getPaceGroup(record, "prompt"), choice.queuedTokens, ms)
}

/// Requests in flight in excess of the slots, as a share of the slots.
function getExcess(inFlight: number, slots: number): number {
  return Math.max(0, inFlight - slots) / Math.max(1, slots)
}
