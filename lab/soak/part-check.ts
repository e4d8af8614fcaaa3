/// Checks the bounds on parts of prompts that crash engines, counted at the engines, and that sound requests with the
/// same first part are served beside them.
import type {Violation} from "./caller-record.js"
import type {ArrivalRecord} from "./retry-check.js"

/// Parts with this prefix crash each engine that begins to answer a request with them.
export const CRASHING_PART = "bad"

/// One request whose prompt has parts. Monotonic milliseconds.
export interface PartRequest {
  readonly id: string
  readonly daemon: string
  /// The shared parts.
  readonly parts: readonly string[]
  readonly sentAt: number
  endedAt?: number
  status?: number
  /// Number of pieces of its answer that arrived.
  events: number
}

/// A crash of an engine that began to answer a request with the part. Monotonic milliseconds.
export interface PartCrashRecord {
  readonly part: string
  readonly at: number
}

/// What became of the requests with one bad part.
export interface PartOutcome {
  readonly part: string
  readonly sent: number
  readonly ends: number
  /// Arrivals at engines, of prompts alone and rejected ones too, later than the contact time after the fifth end, sent
  /// by daemons in touch.
  readonly lateArrivals: number
}

/// The outcome of all of them, and of the sound requests with the same first part.
export interface PartsOutcome {
  readonly parts: readonly PartOutcome[]
  /// Sound requests before the first bad one, and those that began.
  readonly soundBefore: number
  readonly beganBefore: number
  /// The same from twice the contact time after the fifth end of the last bad part on.
  readonly sound: number
  readonly began: number
}

const ALLOWED_LATE_ARRIVALS = 3
const THRESHOLD = 5
/// From this number of sound requests on, their share is judged; it is at least this part of the share before.
const FEWEST_SOUND = 20
const SOUND_SHARE = 0.5

/// What the check relies on besides the requests.
export interface PartContext {
  readonly crashes: readonly PartCrashRecord[]
  readonly arrivals: readonly ArrivalRecord[]
  /// Whether a daemon was in touch in a period.
  readonly isInTouch: (daemon: string, from: number, until: number) => boolean
  /// Milliseconds; the margin for a busy machine included.
  readonly contactMs: number
}

/// Counts the requests.
export function findPartsOutcome(requests: readonly PartRequest[], context: PartContext): PartsOutcome {
  const {crashes, contactMs, isInTouch} = context
  const bad = requests.filter(isBad)
  const badParts = [...new Set(crashes.map(({part}) => part))]
  const ends = badParts.map(part => getEndTimes(part, crashes).slice(0, THRESHOLD).at(-1) ?? Infinity)
  const judgedFrom = Math.max(-Infinity, ...ends) + 2 * contactMs
  const firstBadAt = Math.min(Infinity, ...bad.map(({sentAt}) => sentAt))
  const lastBadAt = Math.max(-Infinity, ...bad.map(({sentAt}) => sentAt))
  const sound = requests.filter(
    request => !isBad(request) && isInTouch(request.daemon, request.sentAt, request.endedAt ?? Infinity)
  )
  const before = sound.filter(({endedAt = Infinity}) => endedAt < firstBadAt)
  const judged = sound.filter(({sentAt}) => sentAt >= judgedFrom && sentAt <= lastBadAt)
  return {
    parts: badParts.map(part => makeOutcome(part, bad, context)),
    soundBefore: before.length,
    beganBefore: before.filter(hasBegun).length,
    sound: judged.length,
    began: judged.filter(hasBegun).length
  }
}

/// Finds broken promises about the parts.
export function findPartViolations({
  parts,
  soundBefore,
  beganBefore,
  sound,
  began
}: PartsOutcome): Violation[] {
  const violations = parts
    .filter(({lateArrivals}) => lateArrivals > ALLOWED_LATE_ARRIVALS)
    .map(({part, ends, lateArrivals}) => ({
      promise: "a part of prompts that ended five back ends is kept away from others",
      text: `${part}: ${lateArrivals} arrivals more, ${ends} ended`
    }))
  const isTooFew = began * soundBefore < SOUND_SHARE * beganBefore * sound
  if (sound >= FEWEST_SOUND && isTooFew)
    violations.push({
      promise: "sound requests are served beside a part that ends back ends",
      text: `${began} of ${sound} began, ${beganBefore} of ${soundBefore} before`
    })
  return violations
}

/// The shared part that crashes engines in a prompt, as its header lists the parts; undefined for most prompts.
export function findCrashingPart(header = ""): string | undefined {
  const parts = header.split(",").slice(0, -1)
  return parts.map(part => part.split(":", 1)[0]).find(id => id.startsWith(CRASHING_PART))
}

/// Whether a request has a part that crashes engines.
export function isBad({parts}: Pick<PartRequest, "parts">): boolean {
  return parts.some(part => part.startsWith(CRASHING_PART))
}

function makeOutcome(part: string, bad: readonly PartRequest[], context: PartContext): PartOutcome {
  const {crashes, arrivals, contactMs, isInTouch} = context
  const daemons = new Map(bad.filter(({parts}) => parts.includes(part)).map(({id, daemon}) => [id, daemon]))
  const times = getEndTimes(part, crashes)
  const countedFrom = (times.at(THRESHOLD - 1) ?? Infinity) + contactMs
  const late = arrivals.filter(({requestId, at}) => {
    const daemon = daemons.get(requestId)
    return daemon !== undefined && at > countedFrom && isInTouch(daemon, at, at)
  })
  return {part, sent: daemons.size, ends: times.length, lateArrivals: late.length}
}

function getEndTimes(part: string, crashes: readonly PartCrashRecord[]): number[] {
  const times = crashes.filter(crash => crash.part === part).map(({at}) => at)
  return times.sort((left, right) => left - right)
}

function hasBegun({status, events}: PartRequest): boolean {
  return status === 200 && events > 0
}
