/// The crashes of back ends that this daemon knows, by the requests that they executed, and the requests
/// that are in quarantine because of them. Owns crashes and recent answers; relies on its caller for what
/// this daemon detects and what peers report.
///
/// A crash is an immutable fact: a request, an incarnation of a back end, and a time. Daemons exchange
/// crashes and not verdicts, so that each arrives at the same count, whatever it received twice or in
/// another order. A request that crashes back ends never gets an answer; one that was merely in
/// flight at the same back ends gets many. So an answer discards all crashes before it, and a recent one
/// raises the limit.
///
/// Crashes and answers are counted twice: for the request of one caller, and for its content, whoever the
/// caller is. The first is needed where content that crashes back ends for one caller is answered to
/// others; the second where a caller returns from another address.
import type {QuarantineSettings} from "./quarantine-settings.js"
import {RecentAnswers} from "./recent-answers.js"
import {getCallerOfKey, getContentOfKey} from "./request-key.js"

/// A back end that crashed while it executed a request. Monotonic milliseconds.
export interface BackendCrash {
  readonly key: string
  /// The incarnation that crashed; see `getIncarnation`.
  readonly incarnation: string
  readonly at: number
}

/// Maximum number of crashes kept for a request or a caller: more would change no verdict.
const MAXIMUM_CRASHES_KEPT = 8
/// Number of crashes from which on those of a request are archived. A single one is common for harmless requests and
/// not worth a call to the table store.
const NOTABLE_CRASHES = 2

/// A peer dates a crash later than it was, by the delay of a message. An answer also discards crashes that
/// seem to have followed it within this time. Milliseconds; a multiple of the latency between two regions.
const PEER_DELAY_MS = 100

/// When each incarnation crashed. Monotonic milliseconds.
export type CrashTimes = ReadonlyMap<string, number>

/// What crashes and answers are counted for: the key of a request, or its content alone.
type Subject = string

/// The crashes of each request or content.
export type CrashesBySubject = ReadonlyMap<Subject, CrashTimes>

/// The crash history of one daemon. Times are monotonic milliseconds.
export class CrashHistory {
  private readonly suspects = new Map<Subject, Map<string, number>>()
  private readonly subjectsByIncarnation = new Map<string, Set<string>>()
  private readonly crashesByCaller = new Map<string, Map<string, number>>()
  private readonly answers: RecentAnswers

  constructor(
    private readonly settings: QuarantineSettings,
    /// When this process started: earlier answers are not known to it.
    private readonly startedAt: number,
    /// Whether a part of prompts explains the crash of an incarnation: then it says nothing about the requests
    /// that ran there.
    private readonly isExplainedByPart: (incarnation: string, now: number) => boolean = () => false
  ) {
    this.answers = new RecentAnswers(settings.answerMemoryMs, settings.maximumAnswers)
  }

  /// Adds a crash. Returns whether it is new and counts.
  addCrash({key, incarnation, at}: BackendCrash, now: number): boolean {
    if (now - at > this.settings.crashMemoryMs) return false
    this.addCrashOfSubject(getContentOfKey(key), incarnation, at)
    if (!this.addCrashOfSubject(key, incarnation, at)) return false
    this.addCrashOfCaller(getCallerOfKey(key), incarnation, at)
    return true
  }

  /// Adds an answer to the request: it caused no crash before that. Returns whether this discarded any.
  addAnswer(key: string, at: number, now: number): boolean {
    this.answers.add(key, at, now)
    const hasRemovedContentCrashes = this.removeCrashesUntil(getContentOfKey(key), at)
    return this.removeCrashesUntil(key, at) || hasRemovedContentCrashes
  }

  /// When the request was last answered; -Infinity when that is not known.
  getAnsweredAt(key: string): number {
    return this.answers.getAnsweredAt(key)
  }

  /// The crashes of each request or content that has enough of them for quarantine, whatever else may explain them.
  getRepeatedCrashes(now: number): CrashesBySubject {
    const {maximumCrashes} = this.settings
    return new Map(
      [...this.suspects].filter(
        ([subject, {size}]) => size >= maximumCrashes && !this.wasAnsweredRecently(subject, now)
      )
    )
  }

  /// Number of known crashes of a request or of its content, whichever is larger.
  countCrashes(key: string): number {
    return Math.max(this.count(key), this.count(getContentOfKey(key)))
  }

  /// How much longer the request stays in quarantine; undefined when it is not in quarantine.
  /// Milliseconds.
  getQuarantineMs(key: string, now: number): number | undefined {
    const requestMs = this.getSubjectMs(key, this.getLimit(key, now), now)
    if (requestMs !== undefined || this.wasAnsweredRecently(key, now)) return requestMs
    const content = getContentOfKey(key)
    const {maximumCrashes, maximumCrashesIfAnswered} = this.settings
    const limit = this.wasAnsweredRecently(content, now) ? maximumCrashesIfAnswered : maximumCrashes
    return this.getSubjectMs(content, limit, now)
  }

  /// Whether the request may be executed at one back end only: back ends crash while they execute its
  /// caller's requests more often than these are answered, and this request was not answered recently.
  isIsolated(key: string, now: number): boolean {
    return !this.wasAnsweredRecently(key, now) && this.hasManyCrashes(getCallerOfKey(key), now)
  }

  /// Whether the crashes of the request are to be archived.
  isNotable(key: string, now: number): boolean {
    return this.countCrashes(key) >= NOTABLE_CRASHES || this.hasManyCrashes(getCallerOfKey(key), now)
  }

  /// Up to `maximum` crashes to compare with peers: the newest of requests whose crashes are notable, then the newest
  /// of others. A single crash is among them, as the daemons that know it may all be restarted before the next.
  getSharedCrashes(maximum: number, now: number): BackendCrash[] {
    const notable: BackendCrash[] = []
    const others: BackendCrash[] = []
    for (const key of this.getKeys())
      (this.isNotable(key, now) ? notable : others).push(...this.getCrashes(key))
    return [...sortNewestFirst(notable), ...sortNewestFirst(others)].slice(0, maximum)
  }

  /// Crashes of one request.
  getCrashes(key: string): BackendCrash[] {
    return [...(this.suspects.get(key) ?? [])].map(([incarnation, at]) => ({key, incarnation, at}))
  }

  /// Number of requests with crashes, and of those in quarantine.
  getFigures(now: number): {suspects: number; quarantined: number} {
    const keys = this.getKeys()
    const quarantined = keys.filter(key => this.getQuarantineMs(key, now) !== undefined)
    return {suspects: keys.length, quarantined: quarantined.length}
  }

  /// Removes crashes that no longer count.
  removeOld(now: number): void {
    const {crashMemoryMs, callerMemoryMs} = this.settings
    for (const [key, crashes] of this.suspects)
      for (const [incarnation, at] of crashes)
        if (now - at >= crashMemoryMs) this.removeCrash(key, crashes, incarnation)
    for (const [caller, crashes] of this.crashesByCaller) {
      for (const [incarnation, at] of crashes) if (now - at >= callerMemoryMs) crashes.delete(incarnation)
      if (crashes.size === 0) this.crashesByCaller.delete(caller)
    }
  }

  private count(subject: Subject): number {
    return this.suspects.get(subject)?.size ?? 0
  }

  private getKeys(): string[] {
    return [...this.suspects.keys()].filter(subject => getContentOfKey(subject) !== subject)
  }

  private wasAnsweredRecently(subject: Subject, now: number): boolean {
    return now - this.answers.getAnsweredAt(subject) < this.settings.answerMemoryMs
  }

  /// For how much longer the crashes of a subject reach the limit. Milliseconds.
  private getSubjectMs(subject: Subject, limit: number, now: number): number | undefined {
    const crashes = this.suspects.get(subject)
    if (!crashes) return undefined
    const {crashMemoryMs, crashMemoryIfAnsweredMs} = this.settings
    const memoryMs = this.wasAnsweredRecently(subject, now) ? crashMemoryIfAnsweredMs : crashMemoryMs
    const recent = [...crashes].filter(([, at]) => now - at < memoryMs)
    // A crash that no part explains shows that the request crashes back ends whatever its parts are.
    if (recent.every(([incarnation]) => this.isExplainedByPart(incarnation, now))) return undefined
    const counted = recent
      .filter(([incarnation]) => !this.isExplained(subject, crashes, incarnation))
      .map(([, at]) => at)
      .sort((left, right) => right - left)
    return counted.length < limit ? undefined : counted[limit - 1] + memoryMs - now
  }

  private getLimit(key: string, now: number): number {
    const {maximumCrashes, maximumCrashesIfAnswered} = this.settings
    if (this.wasAnsweredRecently(key, now)) return maximumCrashesIfAnswered
    return this.hasManyCrashes(getCallerOfKey(key), now) ? 1 : maximumCrashes
  }

  /// Whether back ends crash while they execute a caller's requests, whichever these are, more often than
  /// they answer them: of a large caller's requests many coincide with a crash by chance, but more are
  /// answered.
  private hasManyCrashes(caller: string, now: number): boolean {
    const {maximumCrashesPerCaller, callerMemoryMs} = this.settings
    const crashes = this.crashesByCaller.get(caller)
    if (!crashes || crashes.size < maximumCrashesPerCaller || now - this.startedAt < callerMemoryMs)
      return false
    const recent = [...crashes].filter(
      ([incarnation, at]) => now - at < callerMemoryMs && !this.isExplainedByPart(incarnation, now)
    ).length
    return recent >= maximumCrashesPerCaller && recent > this.answers.countAnswers(caller)
  }

  /// Whether another request explains the crash: one that was in flight at the same back end and has more crashes,
  /// and enough of them for quarantine.
  private isExplained(subject: Subject, crashes: CrashTimes, incarnation: string): boolean {
    const content = getContentOfKey(subject)
    for (const other of this.subjectsByIncarnation.get(incarnation) ?? []) {
      if (getContentOfKey(other) === content) continue
      const otherCrashes = this.count(other)
      if (otherCrashes > crashes.size && otherCrashes >= this.settings.maximumCrashes) return true
    }
    return false
  }

  /// Returns whether the crash is new and counts.
  private addCrashOfSubject(subject: Subject, incarnation: string, at: number): boolean {
    if (at <= this.answers.getAnsweredAt(subject) + PEER_DELAY_MS) return false
    const crashes = this.suspects.get(subject) ?? this.addSuspect(subject)
    const knownAt = crashes?.get(incarnation)
    // Daemons detect one crash at different times; the latest counts, in whichever order they are received.
    if (knownAt !== undefined) crashes?.set(incarnation, Math.max(knownAt, at))
    if (!crashes || knownAt !== undefined || crashes.size >= MAXIMUM_CRASHES_KEPT) return false
    crashes.set(incarnation, at)
    const subjects = this.subjectsByIncarnation.get(incarnation) ?? new Set()
    this.subjectsByIncarnation.set(incarnation, subjects.add(subject))
    return true
  }

  /// Returns whether any were removed.
  private removeCrashesUntil(subject: Subject, at: number): boolean {
    const crashes = this.suspects.get(subject)
    if (!crashes) return false
    const countBefore = crashes.size
    for (const [incarnation, crashedAt] of crashes)
      if (crashedAt <= at + PEER_DELAY_MS) this.removeCrash(subject, crashes, incarnation)
    return crashes.size < countBefore
  }

  private addCrashOfCaller(caller: string, incarnation: string, at: number): void {
    const crashes = this.crashesByCaller.get(caller) ?? new Map<string, number>()
    this.crashesByCaller.set(caller, crashes.set(incarnation, at))
    const [oldest] = crashes.keys()
    if (crashes.size > MAXIMUM_CRASHES_KEPT) crashes.delete(oldest)
  }

  private addSuspect(subject: Subject): Map<string, number> | undefined {
    if (this.suspects.size >= this.settings.maximumSuspects && !this.removeOneSuspect()) return undefined
    const crashes = new Map<string, number>()
    this.suspects.set(subject, crashes)
    return crashes
  }

  /// Removes one suspect to make room for another. A flood of requests with one crash each evicts only
  /// such requests; a flood of one caller's requests with more crashes evicts only requests of that
  /// caller.
  private removeOneSuspect(): boolean {
    const key = this.findOldestWithOneCrash() ?? this.findOldestOfBusiestCaller()
    const crashes = key === undefined ? undefined : this.suspects.get(key)
    if (key === undefined || !crashes) return false
    for (const incarnation of [...crashes.keys()]) this.removeCrash(key, crashes, incarnation)
    return true
  }

  private findOldestWithOneCrash(): string | undefined {
    for (const [key, {size}] of this.suspects) if (size < NOTABLE_CRASHES) return key
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

  private removeCrash(subject: Subject, crashes: Map<string, number>, incarnation: string): void {
    crashes.delete(incarnation)
    const subjects = this.subjectsByIncarnation.get(incarnation)
    subjects?.delete(subject)
    if (subjects?.size === 0) this.subjectsByIncarnation.delete(incarnation)
    if (crashes.size === 0) this.suspects.delete(subject)
  }
}

function sortNewestFirst(crashes: BackendCrash[]): BackendCrash[] {
  return crashes.sort((left, right) => right.at - left.at)
}
