/// Decides which parts of prompts crash back ends. Owns no state.
///
/// A crash accuses every shared part of each request that was beginning there, and the requests themselves, so sound
/// parts are accused beside what caused it. What explains the crashes is found greedily among parts and repeated
/// requests: the one with the most crashes comes first, its crashes no longer count for the others, and so on. A request
/// comes before its parts where they have the same crashes: other requests with these parts may be sound. Parts that no
/// crash distinguishes are held together; a trial tells them apart.
import type {CrashesBySubject, CrashTimes} from "../crash-history.js"

/// A part that is accused of crashes.
export interface AccusedPart {
  readonly part: string
  /// The crashes since the last answer to a request with the part.
  readonly crashes: CrashTimes
  /// Whether a request with the part was answered recently.
  readonly isAnswered: boolean
}

/// How many crashes put a part on hold.
export interface PartLimits {
  /// For a part with which no request was answered recently.
  readonly maximumCrashes: number
  /// For the others; crashes at the same moment count once.
  readonly maximumCrashesIfAnswered: number
}

/// Crashes within this time of each other count once for a part that was answered recently: a fault of several back
/// ends takes a popular part with it at all of them. Milliseconds.
const SAME_MOMENT_MS = 500
/// So many times the usual limit of crashes, and no answer between them, hold an answered part after fewer moments.
const MANY_CRASHES_FACTOR = 2
const MINIMUM_MOMENTS = 3

/// What may explain crashes: a part, or a request.
interface Candidate {
  readonly subject: string
  readonly isPart: boolean
  readonly isAnswered: boolean
  /// The crashes that no earlier candidate explains.
  readonly unexplained: Map<string, number>
}

/// The parts to hold, and the incarnations whose crashes they explain.
export interface PartVerdicts {
  readonly parts: ReadonlySet<string>
  readonly explained: ReadonlySet<string>
}

/// Finds the parts to hold. `requests` are the crashes of those that have enough of them for quarantine.
export function findHeldParts(
  accused: Iterable<AccusedPart>,
  requests: CrashesBySubject,
  limits: PartLimits
): PartVerdicts {
  let candidates = [...makePartCandidates(accused), ...makeRequestCandidates(requests)].filter(
    ({unexplained}) => unexplained.size >= limits.maximumCrashes
  )
  const parts = new Set<string>()
  const explained = new Set<string>()
  for (;;) {
    candidates = candidates.filter(candidate => reachesLimit(candidate, limits))
    const [worst] = candidates.sort(compareCandidates)
    if (!worst) return {parts, explained}
    const crashes = [...worst.unexplained.keys()]
    if (worst.isPart) {
      const alike = candidates.filter(candidate => candidate.isPart && isAccusedAlike(candidate, worst))
      for (const {subject} of alike) parts.add(subject)
      for (const crash of crashes) explained.add(crash)
    }
    for (const {unexplained} of candidates) for (const crash of crashes) unexplained.delete(crash)
  }
}

function makePartCandidates(accused: Iterable<AccusedPart>): Candidate[] {
  return [...accused].map(({part, crashes, isAnswered}) => ({
    subject: part,
    isPart: true,
    isAnswered,
    unexplained: new Map(crashes)
  }))
}

function makeRequestCandidates(requests: CrashesBySubject): Candidate[] {
  return [...requests].map(([subject, crashes]) => ({
    subject,
    isPart: false,
    isAnswered: false,
    unexplained: new Map(crashes)
  }))
}

function reachesLimit({unexplained, isAnswered}: Candidate, limits: PartLimits): boolean {
  if (!isAnswered) return unexplained.size >= limits.maximumCrashes
  const {maximumCrashesIfAnswered} = limits
  const moments = countMoments([...unexplained.values()])
  const areMany = unexplained.size >= MANY_CRASHES_FACTOR * maximumCrashesIfAnswered
  return moments >= (areMany ? MINIMUM_MOMENTS : maximumCrashesIfAnswered)
}

/// Whether crashes at two times count once for a part that was answered recently.
export function isSameMoment(one: number, other: number): boolean {
  return Math.abs(one - other) < SAME_MOMENT_MS
}

function countMoments(times: number[]): number {
  let count = 0
  let momentAt = -Infinity
  for (const at of times.sort((left, right) => left - right)) {
    if (isSameMoment(momentAt, at)) continue
    count += 1
    momentAt = at
  }
  return count
}

/// Candidates without recent answers come first, then those with more crashes, then requests. The order of the others
/// only has to be the same at every daemon.
function compareCandidates(left: Candidate, right: Candidate): number {
  if (left.isAnswered !== right.isAnswered) return left.isAnswered ? 1 : -1
  const bySize = right.unexplained.size - left.unexplained.size
  if (bySize !== 0) return bySize
  if (left.isPart !== right.isPart) return left.isPart ? 1 : -1
  return left.subject < right.subject ? -1 : 1
}

function isAccusedAlike(one: Candidate, other: Candidate): boolean {
  if (one.isAnswered !== other.isAnswered || one.unexplained.size !== other.unexplained.size) return false
  return [...one.unexplained.keys()].every(crash => other.unexplained.has(crash))
}
