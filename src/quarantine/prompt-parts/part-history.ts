/// The crashes of back ends that this daemon knows, by the shared parts of the prompts that they were beginning to
/// answer, and the parts that are held because of them. Owns crashes, trials and recent answers; relies on its caller
/// for what this daemon detects and what peers report.
///
/// All of these are facts that only add up, so each daemon arrives at the same verdict, whatever it received twice or
/// in another order. A part that crashes back ends is never answered, so an answer discards all crashes before it.
import type {CrashesBySubject, CrashTimes} from "../crash-history.js"
import type {QuarantineSettings} from "../quarantine-settings.js"
import {RecentTimes} from "./recent-times.js"
import {findHeldParts, isSameMoment} from "./part-verdicts.js"

/// A back end that crashed while it was beginning to answer a request with the part. Monotonic milliseconds.
export interface PartCrash {
  readonly part: string
  /// The incarnation that crashed; see `getIncarnation`.
  readonly incarnation: string
  readonly at: number
}

/// The trials of a held part. Monotonic milliseconds.
export interface PartTrials {
  readonly part: string
  /// Number of trials that have reached a back end.
  readonly count: number
  /// Number of trials that were begun.
  readonly begun: number
  /// When the last one began.
  readonly at: number
}

/// A part that is held, and why. Monotonic milliseconds.
export interface HeldPart {
  readonly part: string
  /// The incarnations that crashed.
  readonly incarnations: readonly string[]
  /// When the last of them crashed.
  readonly crashedAt: number
  /// When the oldest crash that is needed for the verdict expires.
  readonly until: number
  readonly trials: number
  /// When the last trial that counts began; -Infinity without any.
  readonly triedAt: number
  /// Number of trials that were begun, whether they count or not, and when the last one was.
  readonly begunTrials: number
  readonly trialBegunAt: number
}

/// Maximum number of crashes kept for a part: more would change no verdict.
const MAXIMUM_CRASHES_KEPT = 24
/// From this number on only crashes at other moments are kept, as these alone count for a part that was answered.
const MAXIMUM_ADJACENT_CRASHES = 16
/// Number of crashes from which on those of a part are archived.
const NOTABLE_CRASHES = 2
/// A peer dates a crash later than it was, by the delay of a message. Milliseconds.
const PEER_DELAY_MS = 100

interface Suspect {
  readonly crashes: Map<string, number>
  trials: number
  triedAt: number
  begunTrials: number
  trialBegunAt: number
}

/// The history of one daemon. Times are monotonic milliseconds.
export class PartHistory {
  private readonly suspects = new Map<string, Suspect>()
  private readonly answers: RecentTimes
  /// Undefined after a change, until the parts to hold are found again.
  private held: ReadonlyMap<string, HeldPart> | undefined = new Map()
  private explained: ReadonlySet<string> = new Set()

  constructor(
    private readonly settings: QuarantineSettings,
    /// The crashes of requests that have enough of them for quarantine.
    private readonly getRequestCrashes: (now: number) => CrashesBySubject = () => new Map()
  ) {
    this.answers = new RecentTimes(settings.answerMemoryMs, settings.maximumAnswers)
  }

  /// Adds a crash. Returns whether it is new and counts.
  addCrash({part, incarnation, at}: PartCrash, now: number): boolean {
    if (now - at > this.settings.crashMemoryMs || this.isDiscarded(part, at)) return false
    const suspect = this.suspects.get(part) ?? this.addSuspect(part)
    const knownAt = suspect.crashes.get(incarnation)
    if (knownAt !== undefined) {
      // Daemons detect one crash at different times; the latest counts.
      suspect.crashes.set(incarnation, Math.max(knownAt, at))
      return false
    }
    if (!mayChangeVerdict(suspect.crashes, at)) return false
    suspect.crashes.set(incarnation, at)
    this.held = undefined
    return true
  }

  /// Adds an answer to a request with the part: it caused no crash before that. Returns the crashes that this
  /// discarded.
  addAnswer(part: string, at: number, now: number): PartCrash[] {
    this.answers.add(part, at, now)
    const suspect = this.suspects.get(part)
    if (!suspect) return []
    const discarded: PartCrash[] = []
    for (const [incarnation, crashedAt] of suspect.crashes)
      if (crashedAt <= at + PEER_DELAY_MS) {
        suspect.crashes.delete(incarnation)
        discarded.push({part, incarnation, at: crashedAt})
      }
    if (suspect.crashes.size === 0) this.suspects.delete(part)
    if (discarded.length > 0) this.held = undefined
    return discarded
  }

  /// Adds trials of a part. Returns whether any is new; that does not depend on times, which differ where daemons
  /// relay them.
  addTrials({part, count, begun, at}: PartTrials): boolean {
    const suspect = this.suspects.get(part)
    if (!suspect || this.isDiscarded(part, at)) return false
    const isCounted = count > suspect.trials
    const isBegun = begun > suspect.begunTrials
    if (isCounted) {
      suspect.trials = count
      suspect.triedAt = Math.max(suspect.triedAt, at)
    }
    if (isBegun) {
      suspect.begunTrials = begun
      suspect.trialBegunAt = Math.max(suspect.trialBegunAt, at)
    }
    if (isCounted || isBegun) this.held = undefined
    return isCounted || isBegun
  }

  /// When a request with the part was last answered; -Infinity when that is not known.
  getAnsweredAt(part: string): number {
    return this.answers.get(part)
  }

  /// Whether a crash at that time was followed by an answer, or preceded by so little that it may have been.
  isDiscarded(part: string, at: number): boolean {
    return at <= this.getAnsweredAt(part) + PEER_DELAY_MS
  }

  /// The part if it is held; undefined otherwise.
  getHeld(part: string, now: number): HeldPart | undefined {
    return this.suspects.size === 0 ? undefined : this.findHeld(now).get(part)
  }

  /// All parts that are held.
  getAllHeld(now: number): readonly HeldPart[] {
    return [...this.findHeld(now).values()]
  }

  /// Whether a held part explains the crash of an incarnation.
  isExplained(incarnation: string, now: number): boolean {
    this.findHeld(now)
    return this.explained.has(incarnation)
  }

  /// Up to `maximum` crashes to compare with peers: those of parts with one crash give way first, and those of held
  /// parts last.
  getSharedCrashes(maximum: number, now: number): PartCrash[] {
    const held = this.findHeld(now)
    const getRank = (part: string) => (held.has(part) ? 0 : this.isNotable(part) ? 1 : 2)
    return [...this.suspects.keys()]
      .sort((left, right) => getRank(left) - getRank(right))
      .flatMap(part => this.getCrashes(part))
      .slice(0, maximum)
  }

  /// Whether a part has several crashes and is not held.
  isUndecided(now: number): boolean {
    const held = this.findHeld(now)
    return [...this.suspects.keys()].some(part => this.isNotable(part) && !held.has(part))
  }

  /// Whether the crashes of the part are to be archived. A single one is common for sound parts.
  isNotable(part: string): boolean {
    return (this.suspects.get(part)?.crashes.size ?? 0) >= NOTABLE_CRASHES
  }

  /// Crashes of one part.
  getCrashes(part: string): PartCrash[] {
    const crashes = this.suspects.get(part)?.crashes ?? []
    return [...crashes].map(([incarnation, at]) => ({part, incarnation, at}))
  }

  /// The trials of all parts.
  getTrials(): PartTrials[] {
    return [...this.suspects]
      .filter(([, {begunTrials}]) => begunTrials > 0)
      .map(([part, {trials, begunTrials, trialBegunAt}]) => ({
        part,
        count: trials,
        begun: begunTrials,
        at: trialBegunAt
      }))
  }

  /// Number of parts with crashes.
  getSuspectCount(): number {
    return this.suspects.size
  }

  /// The crashes of requests have changed.
  onRequestsChanged(): void {
    this.held = undefined
  }

  /// Removes expired crashes, and finds the parts to hold again, as that depends on the age of answers.
  removeOld(now: number): void {
    for (const [part, {crashes}] of this.suspects) {
      for (const [incarnation, at] of crashes)
        if (now - at > this.settings.crashMemoryMs) crashes.delete(incarnation)
      if (crashes.size === 0) this.suspects.delete(part)
    }
    this.held = undefined
  }

  private findHeld(now: number): ReadonlyMap<string, HeldPart> {
    if (this.held) return this.held
    const {maximumCrashes, maximumCrashesPerAnsweredPart, answerMemoryMs} = this.settings
    const accused = [...this.suspects].map(([part, {crashes}]) => ({
      part,
      crashes,
      isAnswered: now - this.getAnsweredAt(part) < answerMemoryMs
    }))
    const limits = {maximumCrashes, maximumCrashesIfAnswered: maximumCrashesPerAnsweredPart}
    const {parts, explained} = findHeldParts(accused, this.getRequestCrashes(now), limits)
    this.held = new Map([...parts].map(part => [part, this.makeHeld(part)]))
    this.explained = explained
    return this.held
  }

  private makeHeld(part: string): HeldPart {
    const suspect = this.suspects.get(part) ?? createSuspect()
    const {crashes, trials, triedAt, begunTrials, trialBegunAt} = suspect
    const times = [...crashes.values()].sort((left, right) => right - left)
    const {maximumCrashes, crashMemoryMs} = this.settings
    const until = times[Math.min(maximumCrashes, times.length) - 1] + crashMemoryMs
    const incarnations = [...crashes.keys()]
    return {part, incarnations, crashedAt: times[0], until, trials, triedAt, begunTrials, trialBegunAt}
  }

  private addSuspect(part: string): Suspect {
    if (this.suspects.size >= this.settings.maximumSuspects) this.removeOneSuspect()
    const suspect = createSuspect()
    this.suspects.set(part, suspect)
    return suspect
  }

  /// Removes the part with the fewest crashes, the oldest of them: invented parts are in few requests each.
  private removeOneSuspect(): void {
    let fewest: string | undefined
    let count = Infinity
    for (const [part, {crashes}] of this.suspects) {
      if (crashes.size >= count) continue
      fewest = part
      count = crashes.size
      if (count <= 1) break
    }
    if (fewest !== undefined) this.suspects.delete(fewest)
  }
}

/// Whether a further crash may change the verdict on a part.
function mayChangeVerdict(crashes: CrashTimes, at: number): boolean {
  if (crashes.size < MAXIMUM_ADJACENT_CRASHES) return true
  return crashes.size < MAXIMUM_CRASHES_KEPT && ![...crashes.values()].some(time => isSameMoment(time, at))
}

function createSuspect(): Suspect {
  return {crashes: new Map(), trials: 0, triedAt: -Infinity, begunTrials: 0, trialBegunAt: -Infinity}
}
