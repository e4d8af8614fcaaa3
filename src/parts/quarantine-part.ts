/// Keeps requests that crash back ends away from them.
import type {PeerMessage} from "../daemon/peer-messages.js"
import {makePartChange, makeQuarantineChange} from "../daemon/change-log.js"
import {CrashConfirmation} from "../forwarding/paths/crash-confirmation.js"
import type {AnsweredAttempt, BrokenAttempt} from "../forwarding/admit/quarantine-gate.js"
import type {BackendRecord} from "../forwarding/routes/route.js"
import {getIncarnation} from "../quarantine/incarnation.js"
import type {PartHold} from "../quarantine/prompt-parts/part-quarantine.js"
import {QuarantineManager, type QuarantineEffect} from "../quarantine/quarantine-manager.js"
import type {BackendIncarnation} from "../quarantine/crash-detector.js"
import {DaemonPart, type AnswerEvent, type PartFigures, type PartContext} from "./daemon-part.js"

type CheckedEvent = Extract<AnswerEvent, {kind: "backendChecked"}>

/// Peers exchange loads several times in this period. Milliseconds.
const PEER_SILENCE_MS = 1500

/// The part that runs the quarantine.
export class QuarantinePart extends DaemonPart {
  override readonly name = "quarantine"
  private readonly manager: QuarantineManager
  private readonly records = new Map<string, BackendRecord>()
  private readonly confirmation: CrashConfirmation
  private refusedRequests = 0
  private peerMessageAt: number
  private eventAt: number

  constructor(
    private readonly context: PartContext,
    now: number
  ) {
    super()
    this.eventAt = now
    this.peerMessageAt = now
    const {identity, settings, getMembers, isFirstReader, directory, random, paths} = context
    this.confirmation = new CrashConfirmation(paths)
    this.manager = new QuarantineManager(
      settings.quarantine,
      {
        selfId: identity.id,
        hasParts: true,
        getMembers,
        isCleaner: isFirstReader,
        hasOlderAttempt: ({id}, before) => directory.get(id)?.hasAttemptBefore(before) ?? false,
        isCutOff: at => this.isCutOff(at)
      },
      random,
      effect => this.onQuarantineEffect(effect),
      now
    )
  }

  override getQuarantineMs(key: string, now: number): number | undefined {
    const remainingMs = this.manager.getQuarantineMs(key, now)
    if (remainingMs !== undefined) this.refusedRequests += 1
    return remainingMs
  }

  override getIsolatedCaller(key: string, now: number): string | undefined {
    return this.manager.getIsolatedCaller(key, now)
  }

  override findPartHold(parts: readonly string[], now: number): PartHold | undefined {
    const hold = this.manager.findPartHold(parts, now)
    if (hold && !hold.mayTry) this.refusedRequests += 1
    return hold
  }

  override onPartTrial(part: string, now: number): void {
    this.manager.startPartTrial(part, now)
  }

  override onPartTrialFailed(part: string): void {
    this.manager.cancelPartTrial(part)
  }

  override onAttemptBroken({record, ...attempt}: BrokenAttempt, now: number): void {
    this.eventAt = now
    const backend = makeIncarnation(record)
    this.manager.addBrokenAttempt({...attempt, backend}, now)
    const current = this.records.get(record.id)
    if (current && getIncarnation(current) !== backend.incarnation) this.removeIncarnation(record, now)
  }

  override onAttemptAnswered({key, record, ...answer}: AnsweredAttempt, now: number): void {
    this.manager.addPartAnswer({...answer, backend: makeIncarnation(record)}, now)
    this.manager.addAnswer(key, now)
  }

  override receiveClock(wallMs: number): void {
    this.manager.setClock(wallMs)
  }

  override applyBackend(record: BackendRecord, now: number): void {
    this.eventAt = now
    const isNew = !this.records.has(record.id)
    this.records.set(record.id, record)
    if (isNew) this.manager.applyRestart(makeIncarnation(record), now)
  }

  /// A back end that has announced that it is leaving exits as planned: attempts that break off there are no
  /// evidence of a crash.
  override removeBackend(id: string, now: number): void {
    const record = this.records.get(id)
    this.records.delete(id)
    this.eventAt = now
    if (record) this.removeIncarnation(record, now)
  }

  private removeIncarnation(record: BackendRecord, now: number): void {
    const incarnation = getIncarnation(record)
    if (this.context.directory.isLeaving(record)) this.manager.removeLeftBackend(incarnation)
    else this.manager.removeBackend(incarnation, now)
  }

  override receivePeer(_fromId: string, fromAddress: string, message: PeerMessage, now: number): void {
    this.eventAt = now
    this.peerMessageAt = now
    switch (message.kind) {
      case "quarantineNews":
      case "quarantineDigest":
      case "quarantineSync":
      case "partNews":
      case "partDigest":
      case "partSync":
        this.manager.receive(fromAddress, message, now)
        break
      default:
        break
    }
  }

  override receiveAnswer(event: AnswerEvent, now: number): void {
    this.eventAt = now
    if (event.kind === "backendChecked") this.receiveCheck(event, now)
    else if (event.kind === "quarantineTableResult") this.manager.receiveTable(event.result, now)
  }

  /// Has a back end that this daemon does not reach checked through peers before it counts as ended.
  private receiveCheck({backend, check, via}: CheckedEvent, now: number): void {
    const {incarnation} = backend
    const step = this.confirmation.receive({incarnation, check, via}, now)
    if (step?.kind === "settled") this.manager.receiveCheck(backend, step.check, now)
    else for (const peer of step?.peers ?? []) this.context.emit({kind: "checkBackend", backend, via: peer})
  }

  override tick(now: number): void {
    this.eventAt = now
    this.manager.tick(now)
  }

  override getFigures(now: number): PartFigures {
    return {...this.manager.getFigures(now), refused: this.refusedRequests}
  }

  /// Whether most of the fleet is out of reach. Membership takes longer to find that all peers are.
  private isCutOff(now: number): boolean {
    const {members, knownCount} = this.context.getFleet()
    const isSilent = members.length > 1 && now - this.peerMessageAt > PEER_SILENCE_MS
    return isSilent || 2 * members.length <= knownCount
  }

  private onQuarantineEffect(effect: QuarantineEffect): void {
    const {emit} = this.context
    switch (effect.kind) {
      case "sendPeer":
      case "checkBackend":
      case "quarantineTable":
        emit(effect)
        break
      case "partHeld":
      case "partReleased":
      case "partTried":
        emit(makePartChange(effect))
        break
      case "peerFoundEnd":
        this.avoidCrashed(effect.incarnation)
        break
      case "backendEnded":
        this.avoidCrashed(effect.backend.incarnation)
        emit(makeQuarantineChange(effect))
        break
      default:
        emit(makeQuarantineChange(effect))
    }
  }

  /// Sends nothing to a crashed back end until it answers a probe. Otherwise each daemon would detect the
  /// crash by itself, through requests that the back end refuses.
  private avoidCrashed(incarnation: string): void {
    for (const record of this.records.values())
      if (getIncarnation(record) === incarnation)
        this.context.directory.get(record.id)?.health.onContactLost(this.eventAt)
  }
}

function makeIncarnation(record: BackendRecord): BackendIncarnation {
  const {id, address} = record
  return {id, address, incarnation: getIncarnation(record)}
}
