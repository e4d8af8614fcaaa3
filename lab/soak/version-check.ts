/// Checks streams that their callers take up at other daemons, while back ends of several software versions serve:
/// each holds events of one version, and streams go on as often as new ones begin.
import type {Violation} from "./caller-record.js"
import {isUndisturbed, type Disturbance} from "./disturbance.js"

/// One try of a caller to begin a stream, or to take it up. Monotonic milliseconds.
export interface StreamTry {
  readonly daemon: string
  readonly sentAt: number
  endedAt?: number
  status?: number
  /// Number of events that it brought.
  events: number
  /// Whether the caller broke it off.
  brokenOff: boolean
}

/// A stream with all tries of its caller.
export interface StreamRecord {
  readonly id: string
  /// The version of each event, in the order of arrival.
  readonly versions: string[]
  readonly tries: StreamTry[]
}

/// A period in which an engine of a version served. Monotonic milliseconds.
export interface VersionSpan {
  readonly backend: string
  readonly version: string
  readonly generates: boolean
  readonly from: number
  until: number
}

/// The streams of a soak, and what they held.
export interface VersionOutcome {
  readonly streams: number
  /// Streams with events of two versions, and the first of them with their versions.
  readonly mixed: number
  readonly examples: readonly string[]
  readonly takenUp: number
  readonly wentOn: number
  /// New streams and streams that were taken up, at daemons in touch, while two engines of each stage of their version
  /// served; and how many of them began or went on.
  readonly judgedNew: number
  readonly began: number
  readonly judgedTakenUp: number
  readonly judgedWentOn: number
}

/// So many streams may hold events of two versions, by the users' rule.
const ALLOWED_MIXED = 2
const EXAMPLES = 3
/// From this number of streams on that are taken up, the share that goes on is judged; it is at least this part of the
/// share of new streams that begin.
const FEWEST_TAKEN_UP = 12
const GOES_ON_SHARE = 0.5
/// Number of engines of a version that must serve for a try to be judged.
const SERVING = 2

/// What the check relies on besides the streams.
export interface VersionContext {
  readonly spans: readonly VersionSpan[]
  readonly disturbances: readonly Disturbance[]
  /// Milliseconds.
  readonly contactMs: number
}

/// Counts the streams.
export function findVersionOutcome(
  streams: readonly StreamRecord[],
  context: VersionContext
): VersionOutcome {
  const tries = streams.flatMap(stream => stream.tries.map((tried, i) => ({stream, tried, isFirst: i === 0})))
  const judged = tries.filter(({tried}) => isInTouch(tried, context))
  const newOnes = judged.filter(({isFirst, tried}) => isFirst && tried.endedAt !== undefined)
  const takenUp = tries.filter(({isFirst}) => !isFirst)
  const judgedTakenUp = judged.filter(
    ({isFirst, stream, tried}) => !isFirst && isVersionServing(stream.versions[0], tried, context.spans)
  )
  const mixed = streams.filter(isMixed)
  const goesOn = ({tried}: {tried: StreamTry}) => tried.events > 0 || tried.status === 200
  return {
    streams: streams.length,
    mixed: mixed.length,
    examples: mixed.slice(0, EXAMPLES).map(({id, versions}) => `${id}: ${versions.join(" ")}`),
    takenUp: takenUp.length,
    wentOn: takenUp.filter(goesOn).length,
    judgedNew: newOnes.length,
    began: newOnes.filter(goesOn).length,
    judgedTakenUp: judgedTakenUp.length,
    judgedWentOn: judgedTakenUp.filter(goesOn).length
  }
}

/// Finds broken promises about the streams.
export function findVersionViolations(outcome: VersionOutcome): Violation[] {
  const {mixed, examples, judgedNew, began, judgedTakenUp, judgedWentOn} = outcome
  const violations: Violation[] = []
  if (mixed > ALLOWED_MIXED)
    violations.push({
      promise: "a stream holds events of one version",
      text: `${mixed} streams; ${examples.join("; ")}`
    })
  const isTooFew = judgedWentOn * judgedNew < GOES_ON_SHARE * began * judgedTakenUp
  if (judgedTakenUp >= FEWEST_TAKEN_UP && isTooFew)
    violations.push({
      promise: "streams go on as often as new ones begin",
      text: `${judgedWentOn} of ${judgedTakenUp} went on, ${began} of ${judgedNew} began`
    })
  return violations
}

function isMixed({versions}: StreamRecord): boolean {
  return new Set(versions).size > 1
}

function isInTouch({daemon, sentAt, endedAt}: StreamTry, {disturbances, contactMs}: VersionContext): boolean {
  return isUndisturbed(disturbances, contactMs, {daemon, from: sentAt, until: endedAt ?? Infinity})
}

/// Whether enough engines of the version that generate served during the whole try.
function isVersionServing(
  version: string,
  {sentAt, endedAt = Infinity}: StreamTry,
  spans: readonly VersionSpan[]
): boolean {
  const serving = spans.filter(
    span => span.version === version && span.from <= sentAt && span.until >= endedAt
  )
  return serving.filter(({generates}) => generates).length >= SERVING
}
