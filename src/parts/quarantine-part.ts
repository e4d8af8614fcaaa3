/// Keeps requests that end the back ends that run them away from back ends.
import type {PeerMessage} from "../daemon/peer-messages.js"
import {makeQuarantineChange} from "../daemon/change-log.js"
import type {BackendRecord} from "../forwarding/routes/route.js"
import {getIncarnation} from "../quarantine/incarnation.js"
import {QuarantineManager, type QuarantineEffect} from "../quarantine/quarantine-manager.js"
import type {BackendIncarnation} from "../quarantine/break-watch.js"
import {DaemonPart, type AnswerEvent, type PartFigures, type PartContext} from "./daemon-part.js"

/// The quarantine as a part.
export class QuarantinePart extends DaemonPart {
  override readonly name = "quarantine"
  private readonly manager: QuarantineManager
  private readonly records = new Map<string, BackendRecord>()
  private refused = 0
  private handledAt: number

  constructor(
    private readonly surroundings: PartContext,
    now: number
  ) {
    super()
    this.handledAt = now
    const {identity, settings, members, isFirstReader: isFirst, directory, random} = surroundings
    this.manager = new QuarantineManager(
      settings.quarantine,
      {
        selfId: identity.id,
        members,
        isFirst,
        hasOlderAttempt: ({id}, before) => directory.get(id)?.hasAttemptBefore(before) ?? false
      },
      random,
      effect => this.onQuarantine(effect),
      now
    )
  }

  override getQuarantineMs(key: string, now: number): number | undefined {
    const leftMs = this.manager.getQuarantineMs(key, now)
    if (leftMs !== undefined) this.refused += 1
    return leftMs
  }

  override getIsolatedCaller(key: string, now: number): string | undefined {
    return this.manager.getIsolatedCaller(key, now)
  }

  override onAttemptBroken(key: string, record: BackendRecord, startedAt: number, now: number): void {
    this.handledAt = now
    this.manager.addBrokenAttempt(key, toWatched(record), startedAt, now)
  }

  override onAttemptAnswered(key: string, now: number): void {
    this.manager.addAnswer(key, now)
  }

  override receiveClock(wallMs: number): void {
    this.manager.setClock(wallMs)
  }

  override applyBackend(record: BackendRecord): void {
    this.records.set(record.id, record)
  }

  /// A back end that has said that it leaves ends as planned; runs that break off there prove nothing.
  override removeBackend(id: string, now: number): void {
    const record = this.records.get(id)
    this.records.delete(id)
    this.handledAt = now
    if (record && !this.surroundings.directory.isLeaving(record))
      this.manager.removeBackend(getIncarnation(record), now)
  }

  override receivePeer(_fromId: string, fromAddress: string, message: PeerMessage, now: number): void {
    this.handledAt = now
    switch (message.kind) {
      case "quarantineNews":
      case "quarantineDigest":
      case "quarantineSync":
        this.manager.receive(fromAddress, message, now)
        break
      default:
        break
    }
  }

  override receiveAnswer(event: AnswerEvent, now: number): void {
    this.handledAt = now
    if (event.kind === "backendChecked") this.manager.receiveCheck(event.backend, event.check, now)
    else if (event.kind === "quarantineTableResult") this.manager.receiveTable(event.result, now)
  }

  override tick(now: number): void {
    this.handledAt = now
    this.manager.tick(now)
  }

  override getFigures(now: number): PartFigures {
    return {...this.manager.getFigures(now), refused: this.refused}
  }

  private onQuarantine(effect: QuarantineEffect): void {
    const {emit} = this.surroundings
    switch (effect.kind) {
      case "sendPeer":
      case "checkBackend":
      case "quarantineTable":
        emit(effect)
        break
      case "peerFoundEnd":
        this.avoidEnded(effect.incarnation)
        break
      case "backendEnded":
        this.avoidEnded(effect.backend.incarnation)
        emit(makeQuarantineChange(effect))
        break
      default:
        emit(makeQuarantineChange(effect))
    }
  }

  /// Nothing more is sent there until it answers a probe. Otherwise each daemon finds out for itself, by
  /// requests that it refuses.
  private avoidEnded(incarnation: string): void {
    for (const record of this.records.values())
      if (getIncarnation(record) === incarnation)
        this.surroundings.directory.get(record.id)?.health.onContactLost(this.handledAt)
  }
}

function toWatched(record: BackendRecord): BackendIncarnation {
  const {id, address} = record
  return {id, address, incarnation: getIncarnation(record)}
}
