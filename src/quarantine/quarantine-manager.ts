/// Keeps requests that crash back ends away from them, in the whole fleet. A daemon whose attempts break
/// determines whether the back end crashed (crash-detector.ts). Crashes are counted by request
/// (crash-history.ts), sent to the peers at once, periodically compared with one of them, and kept in the
/// table store (quarantine-archive.ts). So the evidence of one daemon reaches those that were partitioned,
/// and survives daemons that stop. Owns the quarantine of one daemon; relies on its caller for attempts,
/// records and messages.
import type {EffectSink} from "../shared/effect-sink.js"
import type {RandomSource} from "../shared/random.js"
import {hashText} from "../shared/rendezvous-hash.js"
import type {Member} from "../membership/membership-messages.js"
import type {TableResult} from "../contracts/table-service.js"
import {
  CrashDetector,
  type BackendCheck,
  type CheckBackend,
  type BackendIncarnation
} from "./crash-detector.js"
import {CrashHistory, type BackendCrash} from "./crash-history.js"
import {QuarantineArchive, type QuarantineTable} from "./quarantine-archive.js"
import {MAXIMUM_FACTS, type QuarantineFacts, type QuarantineMessage} from "./quarantine-messages.js"
import {getCallerOfKey} from "./request-key.js"
import type {QuarantineSettings} from "./quarantine-settings.js"

/// Calls, messages and changes that the quarantine emits.
export type QuarantineEffect =
  | CheckBackend
  | QuarantineTable
  | {readonly kind: "sendPeer"; readonly address: string; readonly message: QuarantineMessage}
  /// A back end crashed while it executed this number of attempts of this daemon.
  | {readonly kind: "backendEnded"; readonly backend: BackendIncarnation; readonly runs: number}
  /// A peer found that an incarnation of a back end has crashed.
  | {readonly kind: "peerFoundEnd"; readonly incarnation: string}
  /// The request is refused from now on, or no longer.
  | {readonly kind: "requestQuarantined"; readonly key: string; readonly ends: number}
  | {readonly kind: "requestReleased"; readonly key: string}

/// The quarantine's view of its daemon and fleet.
export interface QuarantineManagerContext {
  readonly selfId: string
  /// Active members, this daemon included.
  getMembers(): readonly Member[]
  /// Whether this daemon is the one that removes old rows from the store for the fleet.
  isCleaner(): boolean
  /// Whether an attempt that started before the given time is in flight at a back end.
  hasOlderAttempt(backend: BackendIncarnation, before: number): boolean
}

/// Interval in milliseconds, and number, of the comparisons by which a daemon that has just started learns
/// crashes from its peers. Together they take some 2 s.
const EARLY_COMPARE_INTERVAL_MS = 150
const EARLY_COMPARISONS = 12
/// A peer's report of an older crash says nothing about the process that listens at the address now.
/// Milliseconds.
const FRESH_CRASH_MS = 1000
/// Interval at which old crashes are removed. Milliseconds.
const CLEAN_INTERVAL_MS = 1000

/// The quarantine of one daemon. Times are monotonic milliseconds; `wallMs` is wall-clock milliseconds.
export class QuarantineManager {
  private readonly history: CrashHistory
  private readonly detector: CrashDetector
  private readonly archive: QuarantineArchive
  private wallMs = 0
  private comparedAt = -Infinity
  private earlyComparisons = 0
  private cleanedAt = -Infinity
  /// Requests whose quarantine was emitted as an effect, so that it is emitted once.
  private readonly quarantined = new Set<string>()

  constructor(
    private readonly settings: QuarantineSettings,
    private readonly context: QuarantineManagerContext,
    private readonly random: RandomSource,
    private readonly emit: EffectSink<QuarantineEffect>,
    now: number
  ) {
    const hasOlderAttempt = (backend: BackendIncarnation, before: number) =>
      context.hasOlderAttempt(backend, before)
    this.history = new CrashHistory(settings, now)
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

  /// The connection of an attempt closed before its answer was complete.
  addBrokenAttempt(key: string, backend: BackendIncarnation, startedAt: number, now: number): void {
    this.applyLocalCrashes(this.detector.addBrokenAttempt(backend, {key, startedAt, at: now}), now)
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
    this.applyLocalCrashes(this.detector.onBackendGone(incarnation), now)
  }

  /// Receives a message from a peer.
  receive(fromAddress: string, message: QuarantineMessage, now: number): void {
    switch (message.kind) {
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
    for (const crash of this.archive.receive(result, this.wallMs, now)) this.addCrash(crash, now)
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
    this.archive.tick(this.context.isCleaner(), now)
    this.sendDigestIfDue(now)
  }

  /// Figures for operators.
  getFigures(now: number): Readonly<Record<string, number>> {
    return {...this.history.getFigures(now)}
  }

  private applyLocalCrashes(crashes: readonly BackendCrash[], now: number): void {
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

  private addCrash(crash: BackendCrash, now: number): boolean {
    if (!this.history.addCrash(crash, now)) return false
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
      if (ageMs < FRESH_CRASH_MS) this.emit({kind: "peerFoundEnd", incarnation})
    const answers = this.getAnswersFor(facts, now)
    if (answers.length > 0) this.sendToPeers({ends: [], answers})
    if (this.isRelayed() && added.ends.length + added.answers.length > 0) this.sendToPeers(added)
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
    const addresses = this.isRelayed() ? this.pickPeers(this.settings.relayFanout) : this.getPeers()
    const message: QuarantineMessage = {kind: "quarantineNews", ...pickNewest(facts)}
    for (const address of addresses) this.emit({kind: "sendPeer", address, message})
  }

  /// Sends a digest of the notable crashes to one peer. A daemon that has just started sends one too, to
  /// ask for the crashes of its peer.
  private sendDigestIfDue(now: number): void {
    const isEarly = this.earlyComparisons < EARLY_COMPARISONS
    const intervalMs = isEarly ? EARLY_COMPARE_INTERVAL_MS : this.settings.compareIntervalMs
    if (now - this.comparedAt < intervalMs) return
    const digest = this.getDigest(now)
    const [address] = this.pickPeers(1)
    if (address === undefined || (digest === 0 && !isEarly)) return
    this.comparedAt = now
    this.earlyComparisons += 1
    this.emit({kind: "sendPeer", address, message: {kind: "quarantineDigest", digest}})
  }

  private replyToSync(address: string, facts: QuarantineFacts & {reply: boolean}, now: number): void {
    const answers = this.getAnswersFor(facts, now)
    if (facts.reply) this.sendSync(address, false, answers, now)
    else if (answers.length > 0)
      this.emit({
        kind: "sendPeer",
        address,
        message: {kind: "quarantineNews", ...pickNewest({ends: [], answers})}
      })
  }

  private sendSync(address: string, reply: boolean, answers: QuarantineFacts["answers"], now: number): void {
    const ends = this.history.getNotableCrashes(now).map(crash => makeCrashFact(crash, now))
    const message: QuarantineMessage = {kind: "quarantineSync", reply, ...pickNewest({ends, answers})}
    this.emit({kind: "sendPeer", address, message})
  }

  /// Does not depend on the order in which crashes were learned; 0 without any.
  private getDigest(now: number): number {
    const crashes = this.history.getNotableCrashes(now)
    return crashes.reduce((sum, {key, incarnation}) => (sum + hashText(`${key}/${incarnation}`)) >>> 0, 0)
  }

  private isRelayed(): boolean {
    return this.context.getMembers().length - 1 > this.settings.maximumDirectPeers
  }

  private getPeers(): string[] {
    const {selfId} = this.context
    const others = this.context.getMembers().filter(({id}) => id !== selfId)
    return others.map(({address}) => address)
  }

  private pickPeers(count: number): string[] {
    const peers = this.getPeers()
    const picked = new Set<string>()
    for (let i = 0; i < count && peers.length > 0; i += 1) picked.add(peers[this.random.below(peers.length)])
    return [...picked]
  }
}

function makeCrashFact({key, incarnation, at}: BackendCrash, now: number): [string, string, number] {
  return [key, incarnation, Math.round(now - at)]
}

/// The newest facts, up to the maximum number in a message.
function pickNewest({ends, answers}: QuarantineFacts): QuarantineFacts {
  return {ends: ends.slice(-MAXIMUM_FACTS), answers: answers.slice(-MAXIMUM_FACTS)}
}
