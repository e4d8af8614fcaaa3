/// Keeps requests that crash back ends away from them, in the whole fleet. A daemon whose attempts break
/// determines whether the back end crashed (crash-detector.ts). Crashes are counted by request
/// (crash-history.ts), sent to the peers at once, periodically compared with one of them, and kept in the
/// table store (quarantine-archive.ts). So the evidence of one daemon reaches those that were partitioned,
/// and survives daemons that stop. Crashes are also counted by the parts of prompts that requests share
/// (prompt-parts/part-quarantine.ts). Owns the quarantine of one daemon; relies on its caller for attempts,
/// records and messages.
import type {EffectSink} from "../shared/effect-sink.js"
import type {RandomSource} from "../shared/random.js"
import {hashText} from "../shared/rendezvous-hash.js"
import type {TableResult} from "../contracts/table-service.js"
import {
  CrashDetector,
  type BackendCheck,
  type CheckBackend,
  type BackendIncarnation,
  type DetectedCrash
} from "./crash-detector.js"
import {CrashHistory, type BackendCrash} from "./crash-history.js"
import {QuarantineArchive, type CountedCrash, type QuarantineTable} from "./quarantine-archive.js"
import {PartQuarantine, type PartEffect, type PartHold} from "./prompt-parts/part-quarantine.js"
import type {PartAnswer} from "./prompt-parts/unconfirmed-answers.js"
import type {PartMessage} from "./prompt-parts/part-messages.js"
import {
  MAXIMUM_FACTS,
  makeCrashFact,
  pickNewest,
  type QuarantineFacts,
  type QuarantineMessage
} from "./quarantine-messages.js"
import {QuarantinePeers, type PeerContext} from "./quarantine-peers.js"
import {getCallerOfKey} from "./request-key.js"
import type {QuarantineSettings} from "./quarantine-settings.js"

/// Calls, messages and changes that the quarantine emits.
export type QuarantineEffect =
  | CheckBackend
  | QuarantineTable
  | PartEffect
  | {readonly kind: "sendPeer"; readonly address: string; readonly message: QuarantineMessage}
  /// A back end crashed while it executed this number of attempts of this daemon.
  | {readonly kind: "backendEnded"; readonly backend: BackendIncarnation; readonly runs: number}
  /// A peer found that an incarnation of a back end has crashed.
  | {readonly kind: "peerFoundEnd"; readonly incarnation: string}
  /// The request is refused from now on, or no longer.
  | {readonly kind: "requestQuarantined"; readonly key: string; readonly ends: number}
  | {readonly kind: "requestReleased"; readonly key: string}

/// The quarantine's view of its daemon and fleet.
export interface QuarantineManagerContext extends PeerContext {
  /// Whether requests name the parts of their prompts.
  readonly hasParts: boolean
  /// Whether this daemon is the one that removes old rows from the store for the fleet.
  isCleaner(): boolean
  /// Whether an attempt that started before the given time is in flight at a back end.
  hasOlderAttempt(backend: BackendIncarnation, before: number): boolean
  /// Whether most of the fleet is out of this daemon's reach.
  isCutOff(now: number): boolean
}

/// An attempt whose connection closed before its answer was complete. Monotonic milliseconds.
export interface BrokenAttemptReport {
  readonly key: string
  /// The shared parts of its prompt.
  readonly parts: readonly string[]
  readonly backend: BackendIncarnation
  readonly startedAt: number
  /// When its answer began; undefined if it had not.
  readonly answeringSince: number | undefined
}

/// The answer to a request with shared parts. Monotonic milliseconds.
export type PartAnswerReport = Pick<BrokenAttemptReport, "parts" | "backend" | "answeringSince">

/// Interval in milliseconds, and number, of the comparisons by which a daemon that has just started learns
/// crashes from its peers. Together they take some 2 s.
const EARLY_COMPARE_INTERVAL_MS = 150
const EARLY_COMPARISONS = 12
/// A peer's report of an older crash says nothing about the process that listens at the address now.
/// Milliseconds.
const FRESH_CRASH_MS = 1000
/// Interval at which old crashes are removed. Milliseconds.
const CLEAN_INTERVAL_MS = 1000
/// A part crashes a back end that begins to answer. An answer that has lasted this long has outlived that. Milliseconds;
/// several times what back ends take, as events arrive late at a busy daemon.
const ANSWER_BEGINNING_MS = 1000
/// Interval at which crashes that others detected are read in the table store while they may not reach this daemon
/// otherwise. Milliseconds.
const ARCHIVE_READ_INTERVAL_MS = 1000
/// How long after a crash that this daemon detected itself, while it leaves parts undecided. Milliseconds; longer than
/// membership takes to find that peers are out of reach.
const UNDECIDED_READ_MS = 6000

/// The quarantine of one daemon. Times are monotonic milliseconds; `wallMs` is wall-clock milliseconds.
export class QuarantineManager {
  private readonly history: CrashHistory
  private readonly detector: CrashDetector
  private readonly archive: QuarantineArchive
  private readonly peers: QuarantinePeers
  private readonly parts: PartQuarantine
  private wallMs = 0
  private archiveReadAt = -Infinity
  private crashDetectedAt = -Infinity
  private comparedAt = -Infinity
  private earlyComparisons = 0
  private cleanedAt = -Infinity
  /// Requests whose quarantine was emitted as an effect, so that it is emitted once.
  private readonly quarantined = new Set<string>()

  constructor(
    private readonly settings: QuarantineSettings,
    private readonly context: QuarantineManagerContext,
    random: RandomSource,
    private readonly emit: EffectSink<QuarantineEffect>,
    now: number
  ) {
    this.peers = new QuarantinePeers(settings, context, random)
    const hasOlderAttempt = (backend: BackendIncarnation, before: number) =>
      context.hasOlderAttempt(backend, before)
    this.parts = new PartQuarantine({
      settings,
      context,
      peers: this.peers,
      isCutOff: at => context.isCutOff(at),
      getRequestCrashes: at => this.history.getRepeatedCrashes(at),
      archive: {
        add: (crash, at) => this.archive.add(crash, this.wallMs, at),
        remove: crash => this.archive.remove(crash)
      },
      emit
    })
    const isExplained = (incarnation: string, at: number) => this.parts.isExplained(incarnation, at)
    this.history = new CrashHistory(settings, now, isExplained)
    this.detector = new CrashDetector(hasOlderAttempt, emit)
    this.archive = new QuarantineArchive(context.selfId, settings.crashMemoryMs, emit, now)
  }

  /// For how much longer the request is to be refused; undefined when it may be sent. Milliseconds.
  getQuarantineMs(key: string, now: number): number | undefined {
    const remainingMs = this.history.getQuarantineMs(key, now)
    if (remainingMs === undefined && this.quarantined.delete(key)) this.emit({kind: "requestReleased", key})
    return remainingMs
  }

  /// The caller of the request if it is isolated: its requests may be executed at one back end only,
  /// the same one for all of them. Undefined for most requests.
  getIsolatedCaller(key: string, now: number): string | undefined {
    return this.history.isIsolated(key, now) ? getCallerOfKey(key) : undefined
  }

  /// Finds the part of a prompt for which a request with these parts is refused; undefined if none is held.
  findPartHold(parts: readonly string[], now: number): PartHold | undefined {
    return parts.length === 0 ? undefined : this.parts.findHold(parts, now)
  }

  /// A request with a held part is sent to one back end.
  startPartTrial(part: string, now: number): void {
    this.parts.startTrial(part, now)
  }

  /// That request found no back end.
  cancelPartTrial(part: string): void {
    this.parts.cancelTrial(part)
  }

  /// The connection of an attempt closed before its answer was complete. Only an answer that was beginning accuses the
  /// parts of its prompt; one that had lasted clears them.
  addBrokenAttempt(report: BrokenAttemptReport, now: number): void {
    const {key, backend, startedAt, answeringSince} = report
    const isBeginning = now - (answeringSince ?? now) < ANSWER_BEGINNING_MS
    if (!isBeginning) this.parts.addAnswer(makePartAnswer(report, now), now)
    const parts = isBeginning ? report.parts : []
    const attempt = {key, parts, startedAt, answeringSince, at: now}
    this.applyLocalCrashes(this.detector.addBrokenAttempt(backend, attempt), now)
  }

  /// A back end gave a complete and successful answer to a request with shared parts.
  addPartAnswer(report: PartAnswerReport, now: number): void {
    if (report.parts.length > 0) this.parts.addAnswer(makePartAnswer(report, now), now)
  }

  /// A back end gave a complete answer to the request, successful or not: it survived the attempt.
  addAnswer(key: string, now: number): void {
    if (this.applyAnswer(key, now, now)) this.sendToPeers({ends: [], answers: [[key, 0]]})
  }

  /// Receives the outcome of a check.
  receiveCheck(backend: BackendIncarnation, check: BackendCheck, now: number): void {
    const crashes = this.detector.receiveCheck(backend, check, now)
    if (crashes.length > 0) this.emit({kind: "backendEnded", backend, runs: crashes.length})
    this.applyLocalCrashes(crashes, now)
  }

  /// The record of a back end disappeared although the back end had not announced that it leaves, or was
  /// written by a later start.
  removeBackend(incarnation: string, now: number): void {
    this.applyLocalCrashes(this.detector.onBackendGone(incarnation, now), now)
  }

  /// The record of a back end that had announced that it leaves disappeared.
  removeLeftBackend(incarnation: string): void {
    this.detector.onBackendLeft(incarnation)
  }

  /// A back end has a record that was written by a later start.
  applyRestart(backend: BackendIncarnation, now: number): void {
    this.applyLocalCrashes(this.detector.onBackendRestarted(backend, now), now)
  }

  /// Receives a message from a peer.
  receive(fromAddress: string, message: QuarantineMessage | PartMessage, now: number): void {
    switch (message.kind) {
      case "partNews":
      case "partDigest":
      case "partSync":
        this.parts.receive(fromAddress, message, now)
        break
      case "quarantineNews":
        this.receiveNewFacts(message, now)
        break
      case "quarantineDigest":
        if (message.digest !== this.getDigest(now)) this.sendSync(fromAddress, true, [], now)
        break
      case "quarantineSync":
        this.applyFacts(message, now)
        this.replyToSync(fromAddress, message, now)
        break
    }
  }

  /// Receives the result of a call to the table store.
  receiveTable(result: TableResult, now: number): void {
    for (const crash of this.archive.receive(result, this.wallMs, now)) this.applyArchivedCrash(crash, now)
  }

  /// Sets the wall-clock time. Milliseconds.
  setClock(wallMs: number): void {
    this.wallMs = wallMs
  }

  /// Advances timers.
  tick(now: number): void {
    this.detector.tick(now)
    if (now - this.cleanedAt >= CLEAN_INTERVAL_MS) {
      this.cleanedAt = now
      this.history.removeOld(now)
    }
    this.readArchiveIfNeeded(now)
    this.archive.tick(this.context.isCleaner(), now)
    this.parts.tick(now)
    this.sendDigestsIfDue(now)
  }

  /// Figures for operators.
  getFigures(now: number): Readonly<Record<string, number>> {
    return {...this.history.getFigures(now), ...this.parts.getFigures(now)}
  }

  private applyLocalCrashes(crashes: readonly DetectedCrash[], now: number): void {
    if (crashes.length === 0) return
    this.crashDetectedAt = now
    this.parts.addCrashes(
      crashes.flatMap(({parts, incarnation, at}) => parts.map(part => ({part, incarnation, at}))),
      now
    )
    for (const {incarnation, at} of crashes) this.parts.onBackendCrashed(incarnation, at, now)
    const added = crashes.filter(crash => this.addCrash(crash, now))
    if (added.length === 0) return
    this.sendToPeers({ends: added.map(crash => makeCrashFact(crash, now)), answers: []})
    for (const {key} of added) this.archiveCrashes(key, now)
  }

  /// Writes all known crashes of the request, not only the one detected here: the daemon that detected the
  /// first may be gone.
  private archiveCrashes(key: string, now: number): void {
    if (!this.history.isNotable(key, now)) return
    for (const crash of this.history.getCrashes(key)) this.archive.add(crash, this.wallMs, now)
  }

  private applyArchivedCrash(crash: CountedCrash, now: number): void {
    if ("part" in crash) this.parts.addArchivedCrashes([crash], now)
    else this.addCrash(crash, now)
  }

  /// Peers that cannot be reached write their crashes to the table store.
  private readArchiveIfNeeded(now: number): void {
    if (now - this.archiveReadAt < ARCHIVE_READ_INTERVAL_MS) return
    const isUndecided = now - this.crashDetectedAt < UNDECIDED_READ_MS && this.parts.isUndecided(now)
    if (!isUndecided && !this.context.isCutOff(now)) return
    this.archiveReadAt = now
    this.archive.readAgain()
  }

  private addCrash(crash: BackendCrash, now: number): boolean {
    if (!this.history.addCrash(crash, now)) return false
    this.parts.onRequestsChanged()
    const {key} = crash
    if (!this.quarantined.has(key) && this.history.getQuarantineMs(key, now) !== undefined) {
      this.quarantined.add(key)
      const [oldest] = this.quarantined
      if (this.quarantined.size > this.settings.maximumSuspects) this.quarantined.delete(oldest)
      this.emit({kind: "requestQuarantined", key, ends: this.history.countCrashes(key)})
    }
    return true
  }

  /// Returns whether the answer discarded a crash.
  private applyAnswer(key: string, at: number, now: number): boolean {
    const known = this.history.isNotable(key, now) ? this.history.getCrashes(key) : []
    if (!this.history.addAnswer(key, at, now)) return false
    this.parts.onRequestsChanged()
    const remaining = new Set(this.history.getCrashes(key).map(({incarnation}) => incarnation))
    for (const crash of known) if (!remaining.has(crash.incarnation)) this.archive.remove(crash)
    if (this.history.getQuarantineMs(key, now) === undefined && this.quarantined.delete(key))
      this.emit({kind: "requestReleased", key})
    return true
  }

  /// Applies facts and returns those that are new.
  private applyFacts({ends, answers}: QuarantineFacts, now: number): QuarantineFacts {
    const newAnswers = answers.filter(([key, ageMs]) => this.applyAnswer(key, now - ageMs, now))
    const newCrashes = ends.filter(([key, incarnation, ageMs]) =>
      this.addCrash({key, incarnation, at: now - ageMs}, now)
    )
    return {ends: newCrashes, answers: newAnswers}
  }

  private receiveNewFacts(facts: QuarantineFacts, now: number): void {
    const added = this.applyFacts(facts, now)
    for (const [, incarnation, ageMs] of added.ends)
      if (ageMs < FRESH_CRASH_MS) {
        this.emit({kind: "peerFoundEnd", incarnation})
        this.parts.onBackendCrashed(incarnation, now - ageMs, now)
      }
    const answers = this.getAnswersFor(facts, now)
    if (answers.length > 0) this.sendToPeers({ends: [], answers})
    if (this.peers.isRelayed() && added.ends.length + added.answers.length > 0) this.sendToPeers(added)
  }

  /// Recent answers to the requests in a peer's facts, which clear them: only the daemon that delivered an
  /// answer knows of it.
  private getAnswersFor({ends}: QuarantineFacts, now: number): QuarantineFacts["answers"] {
    const keys = new Set(ends.map(([key]) => key))
    return [...keys].flatMap((key): QuarantineFacts["answers"] => {
      const ageMs = now - this.history.getAnsweredAt(key)
      return ageMs < this.settings.answerMemoryMs ? [[key, Math.round(ageMs)]] : []
    })
  }

  private sendToPeers(facts: QuarantineFacts): void {
    for (const address of this.peers.pickReceivers()) this.sendNews(address, facts)
  }

  private sendNews(address: string, facts: QuarantineFacts): void {
    this.emit({kind: "sendPeer", address, message: {kind: "quarantineNews", ...pickNewest(facts)}})
  }

  /// Sends digests of the crashes to one peer. A daemon that has just started sends them too, to ask for the
  /// crashes of its peer.
  private sendDigestsIfDue(now: number): void {
    const isEarly = this.earlyComparisons < EARLY_COMPARISONS
    const intervalMs = isEarly ? EARLY_COMPARE_INTERVAL_MS : this.settings.compareIntervalMs
    if (now - this.comparedAt < intervalMs) return
    const digest = this.getDigest(now)
    const partDigest = this.parts.getDigest(now)
    const [address] = this.peers.pick(1)
    if (address === undefined || (digest === 0 && partDigest === 0 && !isEarly)) return
    this.comparedAt = now
    this.earlyComparisons += 1
    if (digest !== 0 || isEarly)
      this.emit({kind: "sendPeer", address, message: {kind: "quarantineDigest", digest}})
    if (this.context.hasParts && (partDigest !== 0 || isEarly))
      this.emit({kind: "sendPeer", address, message: {kind: "partDigest", digest: partDigest}})
  }

  private replyToSync(address: string, facts: QuarantineFacts & {reply: boolean}, now: number): void {
    const answers = this.getAnswersFor(facts, now)
    if (facts.reply) this.sendSync(address, false, answers, now)
    else if (answers.length > 0) this.sendNews(address, {ends: [], answers})
  }

  private sendSync(address: string, reply: boolean, answers: QuarantineFacts["answers"], now: number): void {
    const ends = this.history.getSharedCrashes(MAXIMUM_FACTS, now).map(crash => makeCrashFact(crash, now))
    const message: QuarantineMessage = {kind: "quarantineSync", reply, ...pickNewest({ends, answers})}
    this.emit({kind: "sendPeer", address, message})
  }

  /// Does not depend on the order in which crashes were learned; 0 without any.
  private getDigest(now: number): number {
    const crashes = this.history.getSharedCrashes(MAXIMUM_FACTS, now)
    return crashes.reduce((sum, {key, incarnation}) => (sum + hashText(`${key}/${incarnation}`)) >>> 0, 0)
  }
}

function makePartAnswer(report: PartAnswerReport, now: number): PartAnswer {
  const {parts, backend, answeringSince = now} = report
  return {parts, incarnation: backend.incarnation, beganAt: answeringSince, endedAt: now}
}
