/// Checks what callers of daemons that are cut off from all back ends get.
import {isUndisturbed, type Disturbance} from "./disturbance.js"
import type {CallerRecord, Violation} from "./caller-record.js"

/// A period in which daemons were cut off from all back ends. Monotonic milliseconds.
export interface CutSpan {
  readonly daemons: readonly string[]
  /// Number of all daemons.
  readonly daemonCount: number
  readonly kind: string
  readonly from: number
  until: number
}

/// The first tries during a cut, later than the contact time after its start, at daemons with no other disturbance.
export interface CutOutcome {
  readonly kind: string
  readonly cutDaemons: number
  readonly daemonCount: number
  readonly cutTries: number
  readonly cutServed: number
  /// Those of them whose answer ended after the cut, so that it may have come by the daemon's own path.
  readonly servedAfterCut: number
  readonly otherTries: number
  readonly otherServed: number
  /// Unserved tries that ended later than a refusal may.
  readonly held: number
}

/// A refusal may take this long where no daemon reaches a back end. Milliseconds.
const REFUSAL_MS = 250
/// The tries at cut daemons are served at least this share as often as those at the others.
const SERVED_SHARE = 2 / 3
/// This many failures, and this share of all tries, are allowed in any case.
const ALLOWED_FAILURES = 10
const ALLOWED_SHARE = 1 / 50
const STATUS_OVER_QUOTA = 429
/// Prefix of the kinds of disturbances that are cuts.
export const CUT = "cut"

/// What the check relies on besides the cuts and the requests.
export interface CutContext {
  readonly disturbances: readonly Disturbance[]
  /// Milliseconds.
  readonly contactMs: number
  /// Whether the key of a caller was valid whenever its request may have been checked, or none was needed.
  readonly isAllowed: (request: CallerRecord) => boolean
}

/// Counts the first tries of each cut.
export function findCutOutcomes(
  cuts: readonly CutSpan[],
  requests: readonly CallerRecord[],
  context: CutContext
): CutOutcome[] {
  return cuts.map(cut => {
    const tries = requests.filter(request => isCounted(request, cut, context))
    const atCut = tries.filter(({daemon}) => cut.daemons.includes(daemon))
    const atOthers = tries.filter(({daemon}) => !cut.daemons.includes(daemon))
    return {
      kind: cut.kind,
      cutDaemons: cut.daemons.length,
      daemonCount: cut.daemonCount,
      cutTries: atCut.length,
      cutServed: atCut.filter(isServed).length,
      servedAfterCut: atCut.filter(request => isServed(request) && (request.endedAt ?? 0) > cut.until).length,
      otherTries: atOthers.length,
      otherServed: atOthers.filter(isServed).length,
      held: atCut.filter(isHeld).length
    }
  })
}

/// Finds the cuts whose callers were served too rarely or, where all daemons were cut, refused too late.
export function findCutViolations(outcomes: readonly CutOutcome[]): Violation[] {
  return outcomes.flatMap(outcome => {
    const {kind, cutDaemons, daemonCount, cutTries, cutServed, otherTries, otherServed, held} = outcome
    const allowed = ALLOWED_FAILURES + ALLOWED_SHARE * (cutTries + otherTries)
    const cut = `${cutDaemons} of ${daemonCount} daemons, ${kind}`
    if (cutDaemons === daemonCount) {
      const text = `${cut}: ${held} of ${cutTries - cutServed} unserved requests ended after ${REFUSAL_MS} ms`
      return held > allowed ? [{promise: "a request that no daemon can serve is refused at once", text}] : []
    }
    const isServedEnough = cutServed * otherTries >= SERVED_SHARE * otherServed * cutTries
    if (otherTries === 0 || isServedEnough || cutTries - cutServed <= allowed) return []
    const text = `${cut}: served ${cutServed} of ${cutTries}, the others ${otherServed} of ${otherTries}`
    return [{promise: "callers of a daemon without a path to back ends are served", text}]
  })
}

function isCounted(request: CallerRecord, cut: CutSpan, context: CutContext): boolean {
  const {daemon, sentAt, endedAt, crashingBody, status} = request
  const {disturbances, contactMs, isAllowed} = context
  if (sentAt < cut.from + contactMs || sentAt >= cut.until) return false
  if (endedAt === undefined || endedAt === sentAt || crashingBody !== undefined) return false
  if (status === STATUS_OVER_QUOTA || !isAllowed(request)) return false
  const others = disturbances.filter(({kind}) => !kind.startsWith(CUT))
  return isUndisturbed(others, contactMs, {daemon, from: sentAt, until: endedAt})
}

function isServed({status, complete}: CallerRecord): boolean {
  return status === 200 && complete === true
}

function isHeld(request: CallerRecord): boolean {
  return !isServed(request) && (request.endedAt ?? Infinity) - request.sentAt > REFUSAL_MS
}
