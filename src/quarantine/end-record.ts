/// Under which requests back ends have ended, as far as this daemon knows, and which of them are in
/// quarantine.
///
/// An end is a fact that never changes: a request, an incarnation of a back end, a time. Daemons exchange
/// ends and not verdicts, so each comes to the same count whatever it has heard twice or in another order. A
/// request that ends back ends never gets an answer; one that is only beside gets many. So an answer strikes
/// out every end before it, and one of the last seconds raises the limit.
///
/// Ends and answers count twice: for the request of one caller, and for what is asked, whoever asks. The
/// first holds where what ends a back end for one caller is answered to others; the second where a caller
/// comes back from another address.
import type {QuarantineSettings} from "./quarantine-settings.js"
import {RecentAnswers} from "./recent-answers.js"
import {getCallerOfKey, getContentOfKey} from "./request-key.js"

/// A back end that ended while it ran a request. Monotonic milliseconds.
export interface BackendCrash {
  readonly key: string
  /// The incarnation that ended; see `getIncarnation`.
  readonly incarnation: string
  readonly at: number
}

/// Ends kept of one request, or of one caller: more say nothing new.
const MAXIMUM_ENDS_KEPT = 8
/// An end of a request is worth more than one message from the second on. A single one beside a request is
/// common.
const NOTABLE_ENDS = 2

/// Another daemon takes an end for later than it was by the time of a message. An answer strikes out ends
/// that seem to have come so little after it. Milliseconds; some times the way between two regions.
const TOLD_LATE_MS = 100

/// When each incarnation ended.
type Ends = Map<string, number>

/// What ends and answers are counted for: a request's key, or its content alone.
type Subject = string

/// The record of one daemon. Times are monotonic milliseconds.
export class CrashHistory {
  private readonly suspects = new Map<string, Ends>()
  private readonly subjectsByIncarnation = new Map<string, Set<string>>()
  private readonly endsByCaller = new Map<string, Ends>()
  private readonly answers: RecentAnswers

  constructor(
    private readonly settings: QuarantineSettings,
    /// When this process started: it does not know what was answered before.
    private readonly startedAt: number
  ) {
    this.answers = new RecentAnswers(settings.answerMemoryMs, settings.maximumAnswers)
  }

  /// Adds an end. Returns whether it was not known and counts.
  addCrash({key, incarnation, at}: BackendCrash, now: number): boolean {
    if (now - at > this.settings.crashMemoryMs) return false
    this.addEndOf(getContentOfKey(key), incarnation, at)
    if (!this.addEndOf(key, incarnation, at)) return false
    this.addEndOfCaller(getCallerOfKey(key), incarnation, at)
    return true
  }

  /// The request was answered: no end before that was its doing. Returns whether any had been counted.
  addAnswer(key: string, at: number, now: number): boolean {
    this.answers.add(key, at, now)
    const ofContent = this.removeEndsUntil(getContentOfKey(key), at)
    return this.removeEndsUntil(key, at) || ofContent
  }

  /// When the request was last answered; -Infinity when that is not known.
  getAnsweredAt(key: string): number {
    return this.answers.getAnsweredAt(key)
  }

  /// Ends that are known of a request, or of what it asks for.
  countCrashes(key: string): number {
    return Math.max(this.count(key), this.count(getContentOfKey(key)))
  }

  /// How long the request stays in quarantine; undefined when it is in none. Milliseconds.
  getQuarantineMs(key: string, now: number): number | undefined {
    const ownMs = this.getSubjectMs(key, this.getLimit(key, now), now)
    if (ownMs !== undefined || this.wasAnsweredLately(key, now)) return ownMs
    const content = getContentOfKey(key)
    const {maximumCrashes: maximumEnds, maximumCrashesIfAnswered: maximumEndsOfAnswered} = this.settings
    const limit = this.wasAnsweredLately(content, now) ? maximumEndsOfAnswered : maximumEnds
    return this.getSubjectMs(content, limit, now)
  }

  /// Whether the request may run at one back end only: back ends end under its caller's requests, whichever
  /// they are, more often than these are answered, and this one was not answered lately.
  isIsolated(key: string, now: number): boolean {
    return !this.wasAnsweredLately(key, now) && this.hasManyEnds(getCallerOfKey(key), now)
  }

  /// Whether an end of the request is worth comparing and keeping.
  isNotable(key: string, now: number): boolean {
    return this.countCrashes(key) >= NOTABLE_ENDS || this.hasManyEnds(getCallerOfKey(key), now)
  }

  /// Ends of every request of which they are notable.
  getNotableCrashes(now: number): BackendCrash[] {
    return this.getKeys()
      .filter(key => this.isNotable(key, now))
      .flatMap(key => this.getCrashes(key))
  }

  /// Ends of one request.
  getCrashes(key: string): BackendCrash[] {
    return [...(this.suspects.get(key) ?? [])].map(([incarnation, at]) => ({key, incarnation, at}))
  }

  /// Requests under which a back end has ended, and those in quarantine.
  getFigures(now: number): {suspects: number; quarantined: number} {
    const keys = this.getKeys()
    const quarantined = keys.filter(key => this.getQuarantineMs(key, now) !== undefined)
    return {suspects: keys.length, quarantined: quarantined.length}
  }

  /// Forgets ends that count no more.
  removeOld(now: number): void {
    const {crashMemoryMs: memoryMs, callerMemoryMs} = this.settings
    for (const [key, ends] of this.suspects)
      for (const [incarnation, at] of ends) if (now - at >= memoryMs) this.removeEnd(key, ends, incarnation)
    for (const [caller, ends] of this.endsByCaller) {
      for (const [incarnation, at] of ends) if (now - at >= callerMemoryMs) ends.delete(incarnation)
      if (ends.size === 0) this.endsByCaller.delete(caller)
    }
  }

  private count(subject: Subject): number {
    return this.suspects.get(subject)?.size ?? 0
  }

  private getKeys(): string[] {
    return [...this.suspects.keys()].filter(subject => getContentOfKey(subject) !== subject)
  }

  private wasAnsweredLately(subject: Subject, now: number): boolean {
    return now - this.answers.getAnsweredAt(subject) < this.settings.answerMemoryMs
  }

  /// How long the ends of a subject reach the limit. Milliseconds.
  private getSubjectMs(subject: Subject, limit: number, now: number): number | undefined {
    const ends = this.suspects.get(subject)
    if (!ends) return undefined
    const {crashMemoryMs: memoryMs, crashMemoryIfAnsweredMs: memoryOfAnsweredMs} = this.settings
    const countsFor = this.wasAnsweredLately(subject, now) ? memoryOfAnsweredMs : memoryMs
    const counting = [...ends]
      .filter(([incarnation, at]) => now - at < countsFor && !this.isExplained(subject, ends, incarnation))
      .map(([, at]) => at)
      .sort((left, right) => right - left)
    return counting.length < limit ? undefined : counting[limit - 1] + countsFor - now
  }

  private getLimit(key: string, now: number): number {
    const {maximumCrashes: maximumEnds, maximumCrashesIfAnswered: maximumEndsOfAnswered} = this.settings
    if (this.wasAnsweredLately(key, now)) return maximumEndsOfAnswered
    return this.hasManyEnds(getCallerOfKey(key), now) ? 1 : maximumEnds
  }

  /// Whether back ends end under a caller's requests, whichever they are. Under those of a large caller many
  /// end by chance, beside many answers.
  private hasManyEnds(caller: string, now: number): boolean {
    const {maximumCrashesPerCaller: maximumEndsOfCaller, callerMemoryMs} = this.settings
    const ends = this.endsByCaller.get(caller)
    if (!ends || ends.size < maximumEndsOfCaller || now - this.startedAt < callerMemoryMs) return false
    const recent = [...ends.values()].filter(at => now - at < callerMemoryMs).length
    return recent >= maximumEndsOfCaller && recent > this.answers.countAnswers(caller)
  }

  /// Whether the back end ended under another request, beside this one: one that has more ends, and as many
  /// as put it in quarantine.
  private isExplained(subject: Subject, ends: Ends, incarnation: string): boolean {
    const content = getContentOfKey(subject)
    for (const other of this.subjectsByIncarnation.get(incarnation) ?? []) {
      if (getContentOfKey(other) === content) continue
      const otherEnds = this.count(other)
      if (otherEnds > ends.size && otherEnds >= this.settings.maximumCrashes) return true
    }
    return false
  }

  /// Returns whether the end was not known and counts.
  private addEndOf(subject: Subject, incarnation: string, at: number): boolean {
    if (at <= this.answers.getAnsweredAt(subject) + TOLD_LATE_MS) return false
    const ends = this.suspects.get(subject) ?? this.addSuspect(subject)
    const knownAt = ends?.get(incarnation)
    // Daemons notice one end at different moments; the latest counts, whichever was heard first.
    if (knownAt !== undefined) ends?.set(incarnation, Math.max(knownAt, at))
    if (!ends || knownAt !== undefined || ends.size >= MAXIMUM_ENDS_KEPT) return false
    ends.set(incarnation, at)
    const subjects = this.subjectsByIncarnation.get(incarnation) ?? new Set()
    this.subjectsByIncarnation.set(incarnation, subjects.add(subject))
    return true
  }

  /// Returns whether there were any.
  private removeEndsUntil(subject: Subject, at: number): boolean {
    const ends = this.suspects.get(subject)
    if (!ends) return false
    const known = ends.size
    for (const [incarnation, endedAt] of ends)
      if (endedAt <= at + TOLD_LATE_MS) this.removeEnd(subject, ends, incarnation)
    return ends.size < known
  }

  private addEndOfCaller(caller: string, incarnation: string, at: number): void {
    const ends = this.endsByCaller.get(caller) ?? new Map<string, number>()
    this.endsByCaller.set(caller, ends.set(incarnation, at))
    const [oldest] = ends.keys()
    if (ends.size > MAXIMUM_ENDS_KEPT) ends.delete(oldest)
  }

  private addSuspect(subject: Subject): Ends | undefined {
    if (this.suspects.size >= this.settings.maximumSuspects && !this.makeRoom()) return undefined
    const ends: Ends = new Map()
    this.suspects.set(subject, ends)
    return ends
  }

  /// Many requests with one end each displace each other, and none that has more; many of one caller with
  /// more displace each other, and none of another's.
  private makeRoom(): boolean {
    const key = this.findOldestSingle() ?? this.findOldestOfBusiestCaller()
    const ends = key === undefined ? undefined : this.suspects.get(key)
    if (key === undefined || !ends) return false
    for (const incarnation of [...ends.keys()]) this.removeEnd(key, ends, incarnation)
    return true
  }

  private findOldestSingle(): string | undefined {
    for (const [key, {size}] of this.suspects) if (size < NOTABLE_ENDS) return key
    return undefined
  }

  private findOldestOfBusiestCaller(): string | undefined {
    const counts = new Map<string, number>()
    for (const key of this.suspects.keys()) {
      const caller = getCallerOfKey(key)
      counts.set(caller, (counts.get(caller) ?? 0) + 1)
    }
    const [busiest] = [...counts].sort(([, left], [, right]) => right - left).map(([caller]) => caller)
    return [...this.suspects.keys()].find(key => getCallerOfKey(key) === busiest)
  }

  private removeEnd(subject: Subject, ends: Ends, incarnation: string): void {
    ends.delete(incarnation)
    const subjects = this.subjectsByIncarnation.get(incarnation)
    subjects?.delete(subject)
    if (subjects?.size === 0) this.subjectsByIncarnation.delete(incarnation)
    if (ends.size === 0) this.suspects.delete(subject)
  }
}
