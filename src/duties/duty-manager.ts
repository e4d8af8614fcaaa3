/// The duties towards the platform, which one daemon of the fleet performs: usage reports and orders of
/// servers. A few daemons, the first by rendezvous hashing, collect the request counts of all others; one of
/// these collectors holds the lease and makes the calls. A holder keeps the lease until it stops or is no longer
/// a collector, so that the duties rarely move. No two holders ever make calls at the same time, and a
/// former holder makes no further call before the lease of the holder that followed it has expired.
import {CapacityDemand, type CapacityDemandSettings} from "../capacity/capacity-demand.js"
import {
  CapacityManager,
  type CapacityEffect,
  type CapacityManagerSettings
} from "../capacity/capacity-manager.js"
import type {BackendView} from "../forwarding/backends/backend-view.js"
import type {BackendService} from "../forwarding/routes/route.js"
import {CellLease, type LeaseEffect, type LeaseSettings} from "../lease/cell-lease.js"
import type {Member} from "../membership/membership-messages.js"
import type {TableResult} from "../contracts/table-service.js"
import type {EffectSink} from "../shared/effect-sink.js"
import {rankByRendezvous} from "../shared/rendezvous-hash.js"
import type {DutyAuthority, DutyCall, DutyResult, UsageCounts} from "./duty-messages.js"
import {FleetClock} from "./fleet-clock.js"
import {UsageCollector} from "./usage-collector.js"
import {UsageCounter} from "./usage-counter.js"
import {UsageReporter, type UsageEffect, type UsageReporterSettings} from "./usage-reporter.js"

/// Settings of the duties.
export interface DutySettings {
  readonly lease: LeaseSettings
  /// No call is made for this duration after the lease was taken over from another daemon. Milliseconds. 0 is
  /// enough if the platform rejects lower fences; otherwise a call of the previous holder must have arrived or
  /// timed out by then.
  readonly takeoverWaitMs: number
  /// Whether usage is reported.
  readonly reportsUsage: boolean
  /// Whether servers are ordered.
  readonly ordersServers: boolean
  readonly usage: UsageReporterSettings
  readonly capacity: CapacityManagerSettings
  readonly demand: CapacityDemandSettings
}

/// The state that the duties read.
interface DutyContext {
  /// Active members; the same array until the members change.
  getMembers(): readonly Member[]
  getServices(): readonly BackendService[]
  getBackends(service: string): readonly BackendView[]
}

/// Effects of the duties: reads and writes of tables, calls to the platform, messages and notifications.
export type DutyEffect =
  | UsageEffect
  | LeaseEffect
  | CapacityEffect
  | {readonly kind: "sendPeer"; readonly address: string; readonly message: UsageCounts}

/// Name of the duties' lease. It contains spaces, so it cannot be the name of a service, which has a lease
/// too.
export const DUTY_CELL = "duties of the fleet"
const COLLECTOR_KEY = "usage-collector"
/// Number of daemons that collect all counts: with one killed and one unreachable, one is still left.
const COLLECTOR_COUNT = 3
/// Share of the send interval of counts for each daemon of the fleet. A daemon that is killed loses the counts
/// of one interval; with more daemons these are a smaller part of the total. Milliseconds.
const SEND_INTERVAL_PER_DAEMON_MS = 16
/// The shortest and the longest send interval. Milliseconds.
const MINIMUM_SEND_INTERVAL_MS = 200
const MAXIMUM_SEND_INTERVAL_MS = 1000
/// A daemon must have been a collector for this duration before it acquires the lease. Milliseconds.
const MINIMUM_COLLECTOR_AGE_MS = 1500
/// A collector that has not collected a complete window leaves a free lease to the others for this duration:
/// the interval of two of their checks. Without the delay, 2 of 6 reports were wrong while 30 daemons were
/// restarted one after the other (virtual time). Milliseconds.
const NEW_COLLECTOR_DELAY_MS = 2500

/// The duties of one daemon. Times are monotonic milliseconds.
export class DutyManager {
  readonly clock: FleetClock
  private readonly lease: CellLease
  private readonly counter: UsageCounter
  private readonly collector = new UsageCollector()
  private readonly capacity: CapacityManager
  private readonly demands = new Map<string, CapacityDemand>()
  private reporter: UsageReporter | undefined
  private rankedMembers: readonly Member[] = []
  /// Since when this daemon is a collector; undefined while it is not one.
  private collectorSince: number | undefined
  private collectors: readonly Member[] = []
  private broadcast = true
  private nextSendAt = -Infinity
  private callsAllowedAt = Infinity
  private tickedAt = 0

  constructor(
    private readonly selfId: string,
    private readonly settings: DutySettings,
    private readonly context: DutyContext,
    private readonly emit: EffectSink<DutyEffect>,
    now: number
  ) {
    this.clock = new FleetClock(selfId)
    this.capacity = new CapacityManager(settings.capacity, emit)
    this.counter = new UsageCounter(settings.usage.windowMs)
    this.lease = new CellLease(DUTY_CELL, selfId, settings.lease, effect => this.onLease(effect), now)
  }

  /// Counts a request that a back end began to execute at `at`, in monotonic milliseconds.
  onRequestStarted(tenant: string, at: number): void {
    const fleetMs = this.clock.getTime(at)
    if (fleetMs !== undefined && this.settings.reportsUsage) this.counter.add(tenant, fleetMs)
  }

  /// Adds the counts that a daemon sent.
  receiveCounts(daemonId: string, counts: UsageCounts): void {
    this.collector.apply(daemonId, counts)
  }

  /// Advances timers. `leaving` when this daemon is about to stop.
  tick(leaving: boolean, now: number): void {
    this.tickedAt = now
    const fleetMs = this.clock.getTime(now)
    if (fleetMs === undefined) return
    this.updateCollectors(this.context.getMembers(), now)
    this.sendCounts(leaving, fleetMs, now)
    this.tickLease(leaving, now)
    const held = this.lease.getHeldLease(now)
    this.reporter ??= this.createReporter(fleetMs)
    if (this.collectorSince === undefined) return
    this.updateDemand(now)
    if (!held || now < this.callsAllowedAt) return
    const authority = {holder: this.selfId, fence: held.epoch}
    if (this.settings.reportsUsage) this.reporter.tick(authority, fleetMs, now)
    if (this.settings.ordersServers) this.orderCapacity(authority, now)
  }

  /// The machine was suspended for an unknown time that the monotonic clock did not count.
  onMachineSuspended(): void {
    this.lease.onMachineSuspended()
  }

  /// Applies the answer to a `leaseTable` effect.
  receiveLeaseResult(result: TableResult, now: number): void {
    this.lease.receiveTableResult(result, now)
  }

  /// Applies the answer to a `usageTable` effect.
  receiveUsageResult(window: number, result: TableResult, now: number): void {
    this.reporter?.receiveTableResult(window, result, now)
  }

  /// Applies the result of a `callDuty` effect.
  receiveDutyResult(call: DutyCall, result: DutyResult, now: number): void {
    if (result.kind === "superseded") this.lease.onSuperseded()
    if (call.kind === "orderServers") this.capacity.receiveResult(call, result, now)
    else this.reporter?.receiveResult(call.window, result, this.clock.getTime(now) ?? 0, now)
  }

  /// Updates the demand of each scaled service. Every collector does so, so that it has the history when it
  /// becomes the holder.
  private updateDemand(now: number): void {
    for (const {name, scaling} of this.context.getServices()) {
      if (!scaling) continue
      let demand = this.demands.get(name)
      if (!demand) this.demands.set(name, (demand = new CapacityDemand(this.settings.demand)))
      demand.update(this.context.getBackends(name), scaling.spotPrice !== undefined, now)
    }
  }

  private orderCapacity(authority: DutyAuthority, now: number): void {
    for (const service of this.context.getServices()) {
      const wanted = this.demands.get(service.name)?.getWanted(service.scaling, now)
      if (wanted !== undefined)
        this.capacity.tick(service, this.context.getBackends(service.name), wanted, authority, now)
    }
  }

  /// A collector that has collected a complete window acquires a free lease first: one that began later lacks
  /// the counts of daemons that have stopped since.
  private tickLease(leaving: boolean, now: number): void {
    const {usage} = this.settings
    const collectedMs = this.collectorSince === undefined ? 0 : now - this.collectorSince
    const hasCompleteWindow = collectedMs >= usage.windowMs + usage.settleMs
    const wanted = this.collectorSince !== undefined && !leaving && collectedMs >= MINIMUM_COLLECTOR_AGE_MS
    this.lease.tick(now, wanted, hasCompleteWindow ? 0 : NEW_COLLECTOR_DELAY_MS)
    if (this.collectorSince === undefined || leaving) this.release(now)
  }

  private createReporter(fleetMs: number): UsageReporter {
    const {usage} = this.settings
    const firstCompleteWindow = Math.ceil(fleetMs / usage.windowMs)
    return new UsageReporter(usage, this.collector, firstCompleteWindow, this.emit)
  }

  /// A released lease may be acquired immediately by the previous holder. It is therefore kept for the duration
  /// of a lease, after which the previous holder has made no calls for that duration.
  private release(now: number): void {
    if (now - this.callsAllowedAt >= this.settings.lease.durationMs) this.lease.release(now)
  }

  private updateCollectors(members: readonly Member[], now: number): void {
    if (members === this.rankedMembers) return
    this.rankedMembers = members
    const byId = new Map(members.map(member => [member.id, member]))
    const ids = rankByRendezvous(COLLECTOR_KEY, [...byId.keys()], COLLECTOR_COUNT)
    const before = this.collectors.map(({id}) => id)
    if (ids.length === before.length && ids.every((id, i) => id === before[i])) return
    this.collectors = ids.flatMap(id => byId.get(id) ?? [])
    const isCollector = ids.includes(this.selfId)
    this.collectorSince = isCollector ? (this.collectorSince ?? now) : undefined
    this.broadcast = true
  }

  private sendCounts(leaving: boolean, fleetMs: number, now: number): void {
    if (now < this.nextSendAt) return
    this.nextSendAt = now + (leaving ? MINIMUM_SEND_INTERVAL_MS : this.getSendIntervalMs())
    const message = this.counter.takeUnsent(fleetMs, this.broadcast)
    this.broadcast = false
    if (!message) return
    for (const {id, address} of this.collectors) {
      if (id === this.selfId) this.collector.apply(id, message)
      else this.emit({kind: "sendPeer", address, message})
    }
  }

  private getSendIntervalMs(): number {
    const ms = this.rankedMembers.length * SEND_INTERVAL_PER_DAEMON_MS
    return Math.min(MAXIMUM_SEND_INTERVAL_MS, Math.max(MINIMUM_SEND_INTERVAL_MS, ms))
  }

  private onLease(effect: LeaseEffect): void {
    if (effect.kind === "leaseAcquired")
      this.callsAllowedAt = this.tickedAt + (effect.epoch > 1 ? this.settings.takeoverWaitMs : 0)
    this.emit(effect)
  }
}
