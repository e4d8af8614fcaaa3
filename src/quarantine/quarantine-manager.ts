/// Keeps requests that end back ends away from them, over the whole fleet. A daemon whose runs break off
/// finds out whether the back end ended (break-watch.ts); ends are counted by request (end-record.ts), told
/// to the other daemons at once, compared with one of them now and then, and kept in the store
/// (quarantine-archive.ts). So one daemon's evidence reaches those that were cut off, and outlasts those that
/// end.
import type {EffectSink} from "../shared/effect-sink.js"
import type {RandomSource} from "../shared/random.js"
import {hashText} from "../shared/rendezvous-hash.js"
import type {Member} from "../membership/membership-messages.js"
import type {TableResult} from "../contracts/table-service.js"
import {CrashDetector, type BackendCheck, type CheckBackend, type BackendIncarnation} from "./break-watch.js"
import {CrashHistory, type BackendCrash} from "./end-record.js"
import {QuarantineArchive, type QuarantineTable} from "./quarantine-archive.js"
import {MAXIMUM_FACTS, type QuarantineFacts, type QuarantineMessage} from "./quarantine-messages.js"
import {getCallerOfKey} from "./request-key.js"
import type {QuarantineSettings} from "./quarantine-settings.js"

/// What the quarantine asks for and tells.
export type QuarantineEffect =
  | CheckBackend
  | QuarantineTable
  | {readonly kind: "sendPeer"; readonly address: string; readonly message: QuarantineMessage}
  /// A back end ended while so many runs of this daemon were there.
  | {readonly kind: "backendEnded"; readonly backend: BackendIncarnation; readonly runs: number}
  /// Another daemon found that an incarnation of a back end has ended.
  | {readonly kind: "peerFoundEnd"; readonly incarnation: string}
  /// The request is refused from now on, or not any more.
  | {readonly kind: "requestQuarantined"; readonly key: string; readonly ends: number}
  | {readonly kind: "requestReleased"; readonly key: string}

/// What the quarantine depends on.
export interface QuarantineContext {
  readonly selfId: string
  /// Active members, this daemon included.
  members(): readonly Member[]
  /// Whether this daemon is the one that looks after what all share in the store.
  isFirst(): boolean
  /// Whether a run that began before a moment still goes on at a back end.
  hasOlderAttempt(backend: BackendIncarnation, before: number): boolean
}

/// A daemon that starts asks others for what they know in these intervals, and so often. Milliseconds.
/// Together some 2 s.
const EARLY_COMPARE_MS = 150
const EARLY_COMPARES = 12
/// A peer's word on an end this old says nothing of what listens at the address now. Milliseconds.
const FRESH_END_MS = 1000
/// Interval in which old ends are forgotten. Milliseconds.
const CLEAN_INTERVAL_MS = 1000

/// The quarantine of one daemon. Times are monotonic milliseconds; `wallMs` is the time of day.
export class QuarantineManager {
  private readonly record: CrashHistory
  private readonly watch: CrashDetector
  private readonly archive: QuarantineArchive
  private wallMs = 0
  private comparedAt = -Infinity
  private earlyCompares = 0
  private cleanedAt = -Infinity
  /// Requests that were told to be in quarantine, so that each is told once.
  private readonly quarantined = new Set<string>()

  constructor(
    private readonly settings: QuarantineSettings,
    private readonly context: QuarantineContext,
    private readonly random: RandomSource,
    private readonly emit: EffectSink<QuarantineEffect>,
    now: number
  ) {
    const hasOlderRun = (backend: BackendIncarnation, before: number) =>
      context.hasOlderAttempt(backend, before)
    this.record = new CrashHistory(settings, now)
    this.watch = new CrashDetector(hasOlderRun, emit)
    this.archive = new QuarantineArchive(context.selfId, settings.crashMemoryMs, emit, now)
  }

  /// How long the request is still to be refused; undefined when it may run. Milliseconds.
  getQuarantineMs(key: string, now: number): number | undefined {
    const leftMs = this.record.getQuarantineMs(key, now)
    if (leftMs === undefined && this.quarantined.delete(key)) this.emit({kind: "requestReleased", key})
    return leftMs
  }

  /// The caller for whom the request may run at one back end only, the same one for all of that caller's;
  /// undefined for most requests.
  getIsolatedCaller(key: string, now: number): string | undefined {
    return this.record.isIsolated(key, now) ? getCallerOfKey(key) : undefined
  }

  /// The connection of a run ended before its answer was whole.
  addBrokenAttempt(key: string, backend: BackendIncarnation, startedAt: number, now: number): void {
    this.applyOwnEnds(this.watch.addBrokenAttempt(backend, {key, startedAt, at: now}), now)
  }

  /// A back end gave a whole answer to the request, good or not: it outlived the run.
  addAnswer(key: string, now: number): void {
    if (this.applyAnswer(key, now, now)) this.tell({ends: [], answers: [[key, 0]]})
  }

  /// Takes the outcome of a check.
  receiveCheck(backend: BackendIncarnation, check: BackendCheck, now: number): void {
    const ends = this.watch.receiveCheck(backend, check, now)
    if (ends.length > 0) this.emit({kind: "backendEnded", backend, runs: ends.length})
    this.applyOwnEnds(ends, now)
  }

  /// The record of a back end went without its leave, or was written by a later start.
  removeBackend(incarnation: string, now: number): void {
    this.applyOwnEnds(this.watch.onBackendGone(incarnation), now)
  }

  /// Takes a peer's message.
  receive(fromAddress: string, message: QuarantineMessage, now: number): void {
    switch (message.kind) {
      case "quarantineNews":
        this.receiveNews(message, now)
        break
      case "quarantineDigest":
        if (message.digest !== this.getDigest(now)) this.sendSync(fromAddress, true, [], now)
        break
      case "quarantineSync":
        this.applyFacts(message, now)
        this.answerSync(fromAddress, message, now)
        break
    }
  }

  /// Takes the store's answer.
  receiveTable(result: TableResult, now: number): void {
    for (const end of this.archive.receive(result, this.wallMs, now)) this.addEnd(end, now)
  }

  /// Hears the time of day.
  setClock(wallMs: number): void {
    this.wallMs = wallMs
  }

  /// Advances timers.
  tick(now: number): void {
    this.watch.tick(now)
    if (now - this.cleanedAt >= CLEAN_INTERVAL_MS) {
      this.cleanedAt = now
      this.record.removeOld(now)
    }
    this.archive.tick(this.context.isFirst(), now)
    this.compare(now)
  }

  /// Figures for operators.
  getFigures(now: number): Readonly<Record<string, number>> {
    return {...this.record.getFigures(now)}
  }

  private applyOwnEnds(ends: readonly BackendCrash[], now: number): void {
    const news = ends.filter(end => this.addEnd(end, now))
    if (news.length === 0) return
    this.tell({ends: news.map(end => toEndFact(end, now)), answers: []})
    for (const {key} of news) this.keep(key, now)
  }

  /// The daemon that learns of one end more of a suspect writes all of them: the one that saw the first may
  /// be gone.
  private keep(key: string, now: number): void {
    if (!this.record.isNotable(key, now)) return
    for (const end of this.record.getCrashes(key)) this.archive.add(end, this.wallMs, now)
  }

  private addEnd(end: BackendCrash, now: number): boolean {
    if (!this.record.addCrash(end, now)) return false
    const {key} = end
    if (!this.quarantined.has(key) && this.record.getQuarantineMs(key, now) !== undefined) {
      this.quarantined.add(key)
      const [oldest] = this.quarantined
      if (this.quarantined.size > this.settings.maximumSuspects) this.quarantined.delete(oldest)
      this.emit({kind: "requestQuarantined", key, ends: this.record.countCrashes(key)})
    }
    return true
  }

  /// Returns whether the answer struck out an end.
  private applyAnswer(key: string, at: number, now: number): boolean {
    const known = this.record.isNotable(key, now) ? this.record.getCrashes(key) : []
    if (!this.record.addAnswer(key, at, now)) return false
    const left = new Set(this.record.getCrashes(key).map(({incarnation}) => incarnation))
    for (const end of known) if (!left.has(end.incarnation)) this.archive.remove(end)
    if (this.record.getQuarantineMs(key, now) === undefined && this.quarantined.delete(key))
      this.emit({kind: "requestReleased", key})
    return true
  }

  /// Takes facts and returns those that were not known.
  private applyFacts({ends, answers}: QuarantineFacts, now: number): QuarantineFacts {
    const newAnswers = answers.filter(([key, ageMs]) => this.applyAnswer(key, now - ageMs, now))
    const newEnds = ends.filter(([key, incarnation, ageMs]) =>
      this.addEnd({key, incarnation, at: now - ageMs}, now)
    )
    return {ends: newEnds, answers: newAnswers}
  }

  private receiveNews(news: QuarantineFacts, now: number): void {
    const fresh = this.applyFacts(news, now)
    for (const [, incarnation, ageMs] of fresh.ends)
      if (ageMs < FRESH_END_MS) this.emit({kind: "peerFoundEnd", incarnation})
    const answers = this.getAnswersTo(news, now)
    if (answers.length > 0) this.tell({ends: [], answers})
    if (this.isRelayed() && fresh.ends.length + fresh.answers.length > 0) this.tell(fresh)
  }

  /// Answers that speak for the requests of a peer's news: only the daemon that passed them on knows of them.
  private getAnswersTo({ends}: QuarantineFacts, now: number): QuarantineFacts["answers"] {
    const keys = new Set(ends.map(([key]) => key))
    return [...keys].flatMap((key): QuarantineFacts["answers"] => {
      const ageMs = now - this.record.getAnsweredAt(key)
      return ageMs < this.settings.answerMemoryMs ? [[key, Math.round(ageMs)]] : []
    })
  }

  private tell(facts: QuarantineFacts): void {
    const addresses = this.isRelayed() ? this.pickPeers(this.settings.relayFanout) : this.getPeers()
    const message: QuarantineMessage = {kind: "quarantineNews", ...cut(facts)}
    for (const address of addresses) this.emit({kind: "sendPeer", address, message})
  }

  /// Tells one other daemon a digest of what is known here; one that knows nothing yet asks so too.
  private compare(now: number): void {
    const isEarly = this.earlyCompares < EARLY_COMPARES
    const intervalMs = isEarly ? EARLY_COMPARE_MS : this.settings.compareIntervalMs
    if (now - this.comparedAt < intervalMs) return
    const digest = this.getDigest(now)
    const [address] = this.pickPeers(1)
    if (address === undefined || (digest === 0 && !isEarly)) return
    this.comparedAt = now
    this.earlyCompares += 1
    this.emit({kind: "sendPeer", address, message: {kind: "quarantineDigest", digest}})
  }

  private answerSync(address: string, facts: QuarantineFacts & {reply: boolean}, now: number): void {
    const answers = this.getAnswersTo(facts, now)
    if (facts.reply) this.sendSync(address, false, answers, now)
    else if (answers.length > 0)
      this.emit({
        kind: "sendPeer",
        address,
        message: {kind: "quarantineNews", ...cut({ends: [], answers})}
      })
  }

  private sendSync(address: string, reply: boolean, answers: QuarantineFacts["answers"], now: number): void {
    const ends = this.record.getNotableCrashes(now).map(end => toEndFact(end, now))
    const message: QuarantineMessage = {kind: "quarantineSync", reply, ...cut({ends, answers})}
    this.emit({kind: "sendPeer", address, message})
  }

  /// The same in whichever order the ends were learned; 0 without any.
  private getDigest(now: number): number {
    const ends = this.record.getNotableCrashes(now)
    return ends.reduce((sum, {key, incarnation}) => (sum + hashText(`${key}/${incarnation}`)) >>> 0, 0)
  }

  private isRelayed(): boolean {
    return this.context.members().length - 1 > this.settings.maximumDirectPeers
  }

  private getPeers(): string[] {
    const {selfId} = this.context
    const others = this.context.members().filter(({id}) => id !== selfId)
    return others.map(({address}) => address)
  }

  private pickPeers(count: number): string[] {
    const peers = this.getPeers()
    const picked = new Set<string>()
    for (let i = 0; i < count && peers.length > 0; i += 1) picked.add(peers[this.random.below(peers.length)])
    return [...picked]
  }
}

function toEndFact({key, incarnation, at}: BackendCrash, now: number): [string, string, number] {
  return [key, incarnation, Math.round(now - at)]
}

/// The newest facts, as many as a message may hold.
function cut({ends, answers}: QuarantineFacts): QuarantineFacts {
  return {ends: ends.slice(-MAXIMUM_FACTS), answers: answers.slice(-MAXIMUM_FACTS)}
}
