/// What the course of an attempt says of its back end's speed.
import type {LiveAttempt} from "../forward-session.js"
import type {PaceMeasure} from "./pace-book.js"
import type {BackendChoice} from "../choose/backend-choice.js"
import type {BackendRecord} from "../routes/route.js"

/// Back ends that are measured against each other: those of a service and, for engines, a stage.
export function getPaceGroup({service, stage}: BackendRecord, measure: PaceMeasure): string {
  return `${service}/${stage ?? ""}/${measure}`
}

/// A prompt was computed apart, so long after it was sent. Overdue prompts wait for an unknown number of
/// others, and copies for links.
export function addPromptSample({backend, queuedTokens, overdue, copyFrom}: BackendChoice, ms: number): void {
  if (overdue || copyFrom) return
  backend.pace.addSample(getPaceGroup(backend.record, "prompt"), queuedTokens, ms)
}

/// The first event of a stream, unless its prompt was computed at another engine.
export function addFirstEventSample({choice, startedAt}: LiveAttempt, moved: boolean, now: number): void {
  const {backend, queuedTokens} = choice
  if (moved || backend.record.stage === undefined) return
  backend.pace.addSample(getPaceGroup(backend.record, "first"), queuedTokens, now - startedAt)
}

/// The stream, or the answer of a plain back end, is whole.
export function addCompletedSample(attempt: LiveAttempt, now: number): void {
  const {choice, startedAt, firstEventAt, events, inFlightBefore: load} = attempt
  const {record, pace} = choice.backend
  if (record.stage === undefined) {
    pace.addSample(getPaceGroup(record, "answer"), getExcess(load, record.slots), now - startedAt)
    return
  }
  if (firstEventAt === undefined || events === 0) return
  pace.addSample(getPaceGroup(record, "pause"), load, (attempt.lastProgressAt - firstEventAt) / events)
}

/// The attempt is aborted without an answer.
export function addUnansweredSample(
  {choice, startedAt, streaming: answering, inFlightBefore: load}: LiveAttempt,
  now: number
): void {
  const {record, pace} = choice.backend
  if (answering || choice.overdue || choice.copyFrom) return
  const ms = now - startedAt
  if (record.stage === undefined) {
    pace.addUnanswered(getPaceGroup(record, "answer"), getExcess(load, record.slots), ms)
  } else if (choice.prefillOnly) pace.addUnanswered(getPaceGroup(record, "prompt"), choice.queuedTokens, ms)
}

/// Requests in front beyond the slots, as a share of these.
function getExcess(load: number, slots: number): number {
  return Math.max(0, load - slots) / Math.max(1, slots)
}
