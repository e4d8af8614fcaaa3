/// Keeps parts of prompts that crash back ends away from them, in the whole fleet. The crashes that this daemon detects
/// are counted for the parts of the requests that were beginning there (part-history.ts), sent to the peers at once and
/// periodically compared with one of them. Answers are sent only where they discard a crash that a peer reports. Owns
/// the held parts of one daemon; relies on its caller for crashes, answers and messages.
import type {EffectSink} from "../../shared/effect-sink.js"
import {getRendezvousRank, hashText} from "../../shared/rendezvous-hash.js"
import type {CrashesBySubject} from "../crash-history.js"
import {MAXIMUM_FACTS} from "../quarantine-messages.js"
import type {PeerContext, QuarantinePeers} from "../quarantine-peers.js"
import type {QuarantineSettings} from "../quarantine-settings.js"
import {PartHistory, type HeldPart, type PartCrash, type PartTrials} from "./part-history.js"
import type {PartFacts, PartMessage} from "./part-messages.js"
import {RecentTimes} from "./recent-times.js"
import {CONNECTION_MS, getTrialDelayMs} from "./part-trials.js"
import {isUnconfirmed, UnconfirmedAnswers, type PartAnswer} from "./unconfirmed-answers.js"

/// Messages and changes that the machine emits.
export type PartEffect =
  | {readonly kind: "sendPeer"; readonly address: string; readonly message: PartMessage}
  /// Requests with the part are refused from now on, or no longer.
  | {readonly kind: "partHeld"; readonly held: HeldPart}
  | {readonly kind: "partReleased"; readonly part: string}
  /// A request with a held part is sent to one back end.
  | {readonly kind: "partTried"; readonly part: string; readonly trial: number}

/// What the machine relies on.
interface PartQuarantineDependencies {
  readonly settings: QuarantineSettings
  readonly context: PeerContext
  readonly peers: QuarantinePeers
  /// Whether most of the fleet is out of reach: it learns crashes from the table store only, and begins no trials.
  readonly isCutOff: (now: number) => boolean
  /// The crashes of requests that have enough of them for quarantine: they say nothing about the parts.
  readonly getRequestCrashes: (now: number) => CrashesBySubject
  /// Writes crashes to the table store, or removes those that an answer has discarded.
  readonly archive: {add(crash: PartCrash, now: number): void; remove(crash: PartCrash): void}
  readonly emit: EffectSink<PartEffect>
}

/// Why a request is refused, or sent as a trial.
export interface PartHold {
  readonly part: string
  /// Number of back ends that crashed under it.
  readonly ends: number
  /// Whether the request may be sent as a trial.
  readonly mayTry: boolean
  /// When a request with the part may be sent at the earliest. Milliseconds from now.
  readonly retryAfterMs: number
}

/// Interval at which expired crashes are removed and changes are reported. Milliseconds.
const CLEAN_INTERVAL_MS = 1000

const NO_FACTS: PartFacts = {crashes: [], answers: [], trials: []}

/// The held parts of one daemon. Times are monotonic milliseconds.
export class PartQuarantine {
  private readonly history: PartHistory
  /// The last answers that peers know of.
  private readonly announced: RecentTimes
  private readonly unconfirmed = new UnconfirmedAnswers()
  private readonly reported = new Set<string>()
  /// Trials of this daemon that do not count yet, by part, and when each began.
  private readonly connecting = new Map<string, number>()
  private cleanedAt = -Infinity

  constructor(private readonly dependencies: PartQuarantineDependencies) {
    const {settings} = dependencies
    this.history = new PartHistory(settings, dependencies.getRequestCrashes)
    this.announced = new RecentTimes(settings.answerMemoryMs, settings.maximumAnswers)
  }

  /// Finds the part for which a request with these parts is refused; undefined if none is held. A request with one held
  /// part may be tried.
  findHold(parts: readonly string[], now: number): PartHold | undefined {
    const held = parts.flatMap(part => this.history.getHeld(part, now) ?? [])
    if (held.length === 0) return undefined
    const holds = held.map(entry => this.makeHold(entry, now))
    const [latest] = holds.sort((left, right) => right.retryAfterMs - left.retryAfterMs)
    return {...latest, mayTry: holds.length === 1 && latest.mayTry}
  }

  /// A request is sent as a trial of a held part. It counts once its connection has not been refused for a while.
  startTrial(part: string, now: number): void {
    const held = this.history.getHeld(part, now)
    if (!held) return
    this.connecting.set(part, now)
    this.addTrials({part, count: held.trials, begun: held.begunTrials + 1, at: now}, now)
  }

  /// The trial that this daemon has started found no back end.
  cancelTrial(part: string): void {
    this.connecting.delete(part)
  }

  /// Whether a held part explains the crash of an incarnation.
  isExplained(incarnation: string, now: number): boolean {
    return this.history.isExplained(incarnation, now)
  }

  /// The crashes of requests have changed.
  onRequestsChanged(): void {
    this.history.onRequestsChanged()
  }

  /// Whether a part has several crashes and is not held.
  isUndecided(now: number): boolean {
    return this.history.isUndecided(now)
  }

  /// Adds crashes that this daemon has detected.
  addCrashes(crashes: readonly PartCrash[], now: number): void {
    const added = crashes.filter(crash => this.history.addCrash(crash, now))
    for (let from = 0; from < added.length; from += MAXIMUM_FACTS) {
      const sent = added.slice(from, from + MAXIMUM_FACTS)
      this.sendToPeers({...NO_FACTS, crashes: sent.map(crash => makeCrashFact(crash, now))})
    }
    const isCutOff = this.dependencies.isCutOff(now)
    for (const {part} of added)
      if (isCutOff || this.history.isNotable(part))
        for (const crash of this.history.getCrashes(part)) this.dependencies.archive.add(crash, now)
  }

  /// Adds crashes from the table store.
  addArchivedCrashes(crashes: readonly PartCrash[], now: number): void {
    for (const crash of crashes) this.history.addCrash(crash, now)
  }

  /// A back end has answered a request with shared parts, or outlived the beginning of its answer. If it still may
  /// crash because of it, the answer counts later.
  addAnswer(answer: PartAnswer, now: number): void {
    if (!isUnconfirmed(answer, now)) this.applyConfirmed([answer], now)
    else if (this.unconfirmed.hasCrashed(answer.incarnation, now)) this.addCrashesOf([answer], now, now)
    else this.unconfirmed.add(answer)
  }

  /// A back end has crashed: it may have done so because of the answers that it had just given.
  onBackendCrashed(incarnation: string, at: number, now: number): void {
    this.addCrashesOf(this.unconfirmed.takeCrashed(incarnation, now), at, now)
  }

  /// Receives a message from a peer.
  receive(fromAddress: string, message: PartMessage, now: number): void {
    switch (message.kind) {
      case "partNews":
        this.receiveNews(message, now)
        break
      case "partDigest":
        if (message.digest !== this.getDigest(now)) this.sendSync(fromAddress, true, now)
        break
      case "partSync":
        this.applyFacts(message, now)
        this.sendAnswers(this.findUnknownAnswers(message, now), now)
        if (message.reply) this.sendSync(fromAddress, false, now)
        break
    }
  }

  /// Does not depend on the order in which facts were learned; 0 without any.
  getDigest(now: number): number {
    const crashes = this.history.getSharedCrashes(MAXIMUM_FACTS, now)
    const texts = [
      ...crashes.map(({part, incarnation}) => `${part}/${incarnation}`),
      ...this.history.getTrials().map(({part, count, begun}) => `${part}/${count}/${begun}`)
    ]
    return texts.reduce((sum, text) => (sum + hashText(text)) >>> 0, 0)
  }

  /// Advances timers.
  tick(now: number): void {
    this.applyConfirmed(this.unconfirmed.takeConfirmed(now), now)
    if (now - this.cleanedAt >= CLEAN_INTERVAL_MS) {
      this.cleanedAt = now
      this.history.removeOld(now)
    }
    this.countConnectedTrials(now)
    this.reportChanges(now)
  }

  /// Figures for operators.
  getFigures(now: number): Readonly<Record<"suspectParts" | "heldParts", number>> {
    return {
      suspectParts: this.history.getSuspectCount(),
      heldParts: this.history.getAllHeld(now).length
    }
  }

  private makeHold(held: HeldPart, now: number): PartHold {
    const {context} = this.dependencies
    const ids = context.getMembers().map(({id}) => id)
    const rank = getRendezvousRank(held.part, ids, context.selfId)
    const ownDelayMs = getTrialDelayMs(held, rank, now)
    const firstDelayMs = getTrialDelayMs(held, 0, now) ?? held.until - now
    return {
      part: held.part,
      ends: held.incarnations.length,
      mayTry: ownDelayMs !== undefined && ownDelayMs <= 0 && !this.dependencies.isCutOff(now),
      retryAfterMs: Math.max(0, firstDelayMs)
    }
  }

  private countConnectedTrials(now: number): void {
    for (const [part, at] of this.connecting) {
      if (now - at < CONNECTION_MS) continue
      this.connecting.delete(part)
      const held = this.history.getHeld(part, now)
      if (!held) continue
      const count = held.trials + 1
      this.addTrials({part, count, begun: held.begunTrials, at}, now)
      this.dependencies.emit({kind: "partTried", part, trial: count})
    }
  }

  private addTrials(trials: PartTrials, now: number): void {
    if (this.history.addTrials(trials)) this.sendToPeers({...NO_FACTS, trials: [makeTrialsFact(trials, now)]})
  }

  private reportChanges(now: number): void {
    const held = this.history.getAllHeld(now)
    const parts = new Set(held.map(({part}) => part))
    for (const part of this.reported)
      if (!parts.has(part)) {
        this.reported.delete(part)
        this.dependencies.emit({kind: "partReleased", part})
      }
    for (const entry of held) {
      if (this.reported.has(entry.part)) continue
      this.reported.add(entry.part)
      this.dependencies.emit({kind: "partHeld", held: entry})
    }
  }

  private addCrashesOf(answers: readonly PartAnswer[], at: number, now: number): void {
    const crashes = answers.flatMap(({parts, incarnation, endedAt}) =>
      parts.map(part => ({part, incarnation, at: Math.max(at, endedAt)}))
    )
    if (crashes.length > 0) this.addCrashes(crashes, now)
  }

  private applyConfirmed(answers: readonly PartAnswer[], now: number): void {
    const discarded = new Set<string>()
    for (const {parts, endedAt} of answers)
      for (const part of parts) if (this.applyAnswer(part, endedAt, now)) discarded.add(part)
    this.sendAnswers([...discarded], now)
  }

  /// Returns whether the answer discarded a crash.
  private applyAnswer(part: string, at: number, now: number): boolean {
    const discarded = this.history.addAnswer(part, at, now)
    for (const crash of discarded) this.dependencies.archive.remove(crash)
    return discarded.length > 0
  }

  /// Applies facts and returns those that are new.
  private applyFacts({crashes, answers, trials}: PartFacts, now: number): PartFacts {
    for (const [part, ageMs] of answers) this.announced.add(part, now - ageMs, now)
    return {
      answers: answers.filter(([part, ageMs]) => this.applyAnswer(part, now - ageMs, now)),
      crashes: crashes.filter(([part, incarnation, ageMs]) =>
        this.history.addCrash({part, incarnation, at: now - ageMs}, now)
      ),
      trials: trials.filter(([part, count, begun, ageMs]) =>
        this.history.addTrials({part, count, begun, at: now - ageMs})
      )
    }
  }

  private receiveNews(facts: PartFacts, now: number): void {
    const added = this.applyFacts(facts, now)
    this.sendAnswers(this.findUnknownAnswers(facts, now), now)
    const hasNew = added.crashes.length + added.answers.length + added.trials.length > 0
    if (hasNew && this.dependencies.peers.isRelayed()) this.sendToPeers(added)
  }

  /// Finds the accused parts of which this daemon knows an answer that clears them and that peers do not know.
  private findUnknownAnswers({crashes}: PartFacts, now: number): string[] {
    const isUnknown = ([part, , ageMs]: PartFacts["crashes"][number]): boolean => {
      const answeredAt = this.history.getAnsweredAt(part)
      const announcedAt = this.announced.get(part)
      if (answeredAt <= announcedAt) return false
      const {answerMemoryMs} = this.dependencies.settings
      const discardsMore = this.history.isDiscarded(part, now - ageMs) && announcedAt < now - ageMs
      return discardsMore || now - announcedAt > answerMemoryMs / 2
    }
    return [...new Set(crashes.filter(isUnknown).map(([part]) => part))]
  }

  private sendAnswers(parts: readonly string[], now: number): void {
    if (parts.length === 0) return
    const answers = parts.map((part): [string, number] => {
      const at = this.history.getAnsweredAt(part)
      this.announced.add(part, at, now)
      return [part, Math.round(now - at)]
    })
    this.sendToPeers({...NO_FACTS, answers})
  }

  private sendToPeers(facts: PartFacts): void {
    const message: PartMessage = {kind: "partNews", ...pickNewest(facts)}
    const {peers, emit} = this.dependencies
    for (const address of peers.pickReceivers()) emit({kind: "sendPeer", address, message})
  }

  private sendSync(address: string, reply: boolean, now: number): void {
    const shared = this.history.getSharedCrashes(MAXIMUM_FACTS, now)
    const crashes = shared.map(crash => makeCrashFact(crash, now))
    const answers = this.getAnswersOf(new Set(shared.map(({part}) => part)), now)
    const trials = this.history.getTrials().map(entry => makeTrialsFact(entry, now))
    const message: PartMessage = {kind: "partSync", reply, ...pickNewest({crashes, answers, trials})}
    this.dependencies.emit({kind: "sendPeer", address, message})
  }

  /// The recent answers to requests with these parts: a daemon that has just started knows none.
  private getAnswersOf(parts: ReadonlySet<string>, now: number): PartFacts["answers"] {
    const {answerMemoryMs} = this.dependencies.settings
    return [...parts]
      .map((part): [string, number] => [part, Math.round(now - this.history.getAnsweredAt(part))])
      .filter(([, ageMs]) => ageMs < answerMemoryMs)
  }
}

function makeCrashFact({part, incarnation, at}: PartCrash, now: number): [string, string, number] {
  return [part, incarnation, Math.round(now - at)]
}

function makeTrialsFact({part, count, begun, at}: PartTrials, now: number): [string, number, number, number] {
  return [part, count, begun, Math.round(now - at)]
}

/// The newest facts, up to the maximum number of each kind in a message.
function pickNewest({crashes, answers, trials}: PartFacts): PartFacts {
  return {
    crashes: crashes.slice(-MAXIMUM_FACTS),
    answers: answers.slice(-MAXIMUM_FACTS),
    trials: trials.slice(-MAXIMUM_FACTS)
  }
}
