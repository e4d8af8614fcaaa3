/// The duties towards the platform: counts the requests that started, agrees with peers on the wall-clock
/// time, and performs the duties while this daemon holds their lease.
import {makeDutyChange} from "../daemon/change-log.js"
import type {PeerMessage} from "../daemon/peer-messages.js"
import {DUTY_CELL, DutyManager, type DutyEffect, type DutySettings} from "../duties/duty-manager.js"
import type {MembershipMessage} from "../membership/membership-messages.js"
import {DaemonPart, type AnswerEvent, type PartContext} from "./daemon-part.js"

/// The part that performs the duties.
export class DutyPart extends DaemonPart {
  override readonly name = "duties"
  private readonly manager: DutyManager

  constructor(
    private readonly context: PartContext,
    settings: DutySettings,
    now: number
  ) {
    super()
    const {identity, getMembers: members, directory, getRoutes: routes} = context
    this.manager = new DutyManager(
      identity.id,
      settings,
      {
        getMembers: members,
        getServices: () => routes()?.configuration.services ?? [],
        getBackends: service => directory.ofService(service)
      },
      effect => this.onDutyEffect(effect),
      now
    )
  }

  override receiveClock(wallMs: number, now: number): void {
    this.manager.clock.setLocalTime(wallMs, now)
  }

  /// Adds the wall-clock time to probes and their answers, by which daemons agree on it.
  override addToMembership(message: MembershipMessage, now: number): MembershipMessage {
    if (message.kind !== "ping" && message.kind !== "ack") return message
    const wallMs = this.manager.clock.getLocalTime(now)
    return wallMs === undefined ? message : {...message, wallMs}
  }

  override onExecutionStarted(tenant: string, at: number): void {
    this.manager.onRequestStarted(tenant, at)
  }

  override onMachineSuspended(): void {
    this.manager.onMachineSuspended()
  }

  override receivePeer(fromId: string, _fromAddress: string, message: PeerMessage, now: number): void {
    if (message.kind === "usageCounts") this.manager.receiveCounts(fromId, message)
    const carriesTime = message.kind === "ping" || message.kind === "ack"
    if (carriesTime && message.wallMs !== undefined) this.manager.clock.addSample(fromId, message.wallMs, now)
  }

  override receiveAnswer(event: AnswerEvent, now: number): void {
    switch (event.kind) {
      case "leaseTableResult":
        if (event.cell === DUTY_CELL) this.manager.receiveLeaseResult(event.result, now)
        break
      case "usageTableResult":
        this.manager.receiveUsageResult(event.window, event.result, now)
        break
      case "dutyResult":
        if (event.result.kind !== "accepted")
          this.context.logChange("duty.failed", {duty: event.call.kind, ...event.result})
        this.manager.receiveDutyResult(event.call, event.result, now)
        break
      default:
        break
    }
  }

  override scan(draining: boolean, now: number): void {
    this.manager.tick(draining, now)
  }

  private onDutyEffect(effect: DutyEffect): void {
    const {emit, logChange} = this.context
    switch (effect.kind) {
      case "callDuty":
        if (effect.call.kind === "orderServers") logChange("servers.ordered", {...effect.call})
        emit(effect)
        break
      case "leaseTable":
      case "usageTable":
      case "sendPeer":
        emit(effect)
        break
      default:
        emit(makeDutyChange(effect))
    }
  }
}
