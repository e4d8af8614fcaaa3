/// The duties that one daemon of the fleet has before the platform. Few daemons, the first by rendezvous
/// hashing, hear what all others count; one of these holds the lease and acts. A holder stays until it ends
/// or no longer hears the others, so that duties move seldom; no two holders ever act at once, and none acts
/// again before the lease of the one between has run out.
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
  /// No call is made so long after the lease was taken over from another daemon. Milliseconds. Where the
  /// platform rejects lower fences 0 is enough; elsewhere a call of the holder before must have arrived or
  /// timed out.
  readonly takeoverWaitMs: number
  /// Which duties there are.
  readonly reportsUsage: boolean
  readonly ordersServers: boolean
  readonly usage: UsageReporterSettings
  readonly capacity: CapacityManagerSettings
  readonly demand: CapacityDemandSettings
}

/// What the duties look at.
interface DutyContext {
  /// Active members; the same array as long as they are the same.
  getMembers(): readonly Member[]
  getServices(): readonly BackendService[]
  getBackends(service: string): readonly BackendView[]
}

/// What the duties ask for and tell.
export type DutyEffect =
  | UsageEffect
  | LeaseEffect
  | CapacityEffect
  | {readonly kind: "sendPeer"; readonly address: string; readonly message: UsageCounts}

/// The lease of the duties among those of services, whose names have no space.
export const DUTY_CELL = "duties of the fleet"
const COLLECTOR_KEY = "usage-collector"
/// Daemons that hear all counts: with one killed and one cut off there is still one that knows them.
const COLLECTORS = 3
/// Interval between tellings of counts, for each daemon of the fleet: a daemon that is killed loses so much
/// of its counts, which are the smaller a part the more daemons there are. Milliseconds.
const TELL_INTERVAL_PER_DAEMON_MS = 16
/// The shortest and the longest such interval. Milliseconds.
const SHORTEST_TELL_INTERVAL_MS = 200
const LONGEST_TELL_INTERVAL_MS = 1000
/// A daemon must have been among the collectors for so long before it takes the lease. Milliseconds.
const SETTLED_MS = 1500
/// A collector that has not heard a whole window leaves a free lease to the others for so long: two of their
/// looks at it. Milliseconds. Without it 2 reports of 6 were wrong while 30 daemons were restarted one after
/// the other (virtual time).
const NEWCOMER_PATIENCE_MS = 2500

/// The duties of one daemon. Times are monotonic milliseconds.
export class DutyManager {
  readonly clock: FleetClock
  private readonly lease: CellLease
  private readonly counter: UsageCounter
  private readonly collector = new UsageCollector()
  private readonly capacity: CapacityManager
  private readonly demands = new Map<string, CapacityDemand>()
  private reporter: UsageReporter | undefined
  private ranked: readonly Member[] = []
  /// Since when this daemon hears all counts; undefined while it does not.
  private collectsSince: number | undefined
  private collectors: readonly Member[] = []
  private broadcast = true
  private nextTellAt = -Infinity
  private actFrom = Infinity
  private tickedAt = 0

  constructor(
    private readonly selfId: string,
    private readonly settings: DutySettings,
    private readonly surroundings: DutyContext,
    private readonly emit: EffectSink<DutyEffect>,
    now: number
  ) {
    this.clock = new FleetClock(selfId)
    this.capacity = new CapacityManager(settings.capacity, emit)
    this.counter = new UsageCounter(settings.usage.windowMs)
    this.lease = new CellLease(DUTY_CELL, selfId, settings.lease, effect => this.onLease(effect), now)
  }

  /// Counts a request that began to run at `at`.
  onRequestStarted(tenant: string, at: number): void {
    const fleetMs = this.clock.getTime(at)
    if (fleetMs !== undefined && this.settings.reportsUsage) this.counter.add(tenant, fleetMs)
  }

  /// Takes what a daemon has counted.
  receiveCounts(daemonId: string, counts: UsageCounts): void {
    this.collector.apply(daemonId, counts)
  }

  /// Advances everything. `leaving` says that this daemon is about to end.
  tick(leaving: boolean, now: number): void {
    this.tickedAt = now
    const fleetMs = this.clock.getTime(now)
    if (fleetMs === undefined) return
    this.rank(this.surroundings.getMembers(), now)
    this.tell(leaving, fleetMs, now)
    this.tickLease(leaving, now)
    const held = this.lease.getHeldLease(now)
    this.reporter ??= this.createReporter(fleetMs)
    if (this.collectsSince === undefined) return
    this.followDemand(now)
    if (!held || now < this.actFrom) return
    const authority = {holder: this.selfId, fence: held.epoch}
    if (this.settings.reportsUsage) this.reporter.tick(authority, fleetMs, now)
    if (this.settings.ordersServers) this.orderCapacity(authority, now)
  }

  /// This process's clock stood still for a time that nobody here has counted.
  onMachineSuspended(): void {
    this.lease.onMachineSuspended()
  }

  /// Takes the answer to a `leaseTable` effect.
  receiveLeaseResult(result: TableResult, now: number): void {
    this.lease.receiveTableResult(result, now)
  }

  /// Takes the answer to a `usageTable` effect.
  receiveUsageResult(window: number, result: TableResult, now: number): void {
    this.reporter?.receiveTableResult(window, result, now)
  }

  /// Takes the outcome of a `callDuty` effect.
  receiveDutyResult(call: DutyCall, result: DutyResult, now: number): void {
    if (result.kind === "superseded") this.lease.onSuperseded()
    if (call.kind === "orderServers") this.capacity.receiveResult(call, result, now)
    else this.reporter?.receiveResult(call.window, result, this.clock.getTime(now) ?? 0, now)
  }

  /// Every daemon that may come to hold the duties follows the demand, so that it knows the past.
  private followDemand(now: number): void {
    for (const {name, scaling} of this.surroundings.getServices()) {
      if (!scaling) continue
      let demand = this.demands.get(name)
      if (!demand) this.demands.set(name, (demand = new CapacityDemand(this.settings.demand)))
      demand.update(this.surroundings.getBackends(name), scaling.spotPrice !== undefined, now)
    }
  }

  private orderCapacity(authority: DutyAuthority, now: number): void {
    for (const service of this.surroundings.getServices()) {
      const wanted = this.demands.get(service.name)?.getWanted(service.scaling, now)
      if (wanted !== undefined)
        this.capacity.tick(service, this.surroundings.getBackends(service.name), wanted, authority, now)
    }
  }

  /// Whoever has heard a whole window takes a free lease first: a daemon that began to hear later lacks what
  /// daemons that have ended since had counted.
  private tickLease(leaving: boolean, now: number): void {
    const {usage} = this.settings
    const heardMs = this.collectsSince === undefined ? 0 : now - this.collectsSince
    const knowsPast = heardMs >= usage.windowMs + usage.settleMs
    const wanted = this.collectsSince !== undefined && !leaving && heardMs >= SETTLED_MS
    this.lease.tick(now, wanted, knowsPast ? 0 : NEWCOMER_PATIENCE_MS)
    if (this.collectsSince === undefined || leaving) this.release(now)
  }

  private createReporter(fleetMs: number): UsageReporter {
    const {usage} = this.settings
    const firstWhole = Math.ceil(fleetMs / usage.windowMs)
    return new UsageReporter(usage, this.collector, firstWhole, this.emit)
  }

  /// A lease that is given back may be taken at once by the daemon that acted before. So it is kept for as
  /// long as one lasts; after that the daemon before has not acted for so long.
  private release(now: number): void {
    if (now - this.actFrom >= this.settings.lease.durationMs) this.lease.release(now)
  }

  private rank(members: readonly Member[], now: number): void {
    if (members === this.ranked) return
    this.ranked = members
    const byId = new Map(members.map(member => [member.id, member]))
    const ids = rankByRendezvous(COLLECTOR_KEY, [...byId.keys()], COLLECTORS)
    const before = this.collectors.map(({id}) => id)
    if (ids.length === before.length && ids.every((id, i) => id === before[i])) return
    this.collectors = ids.flatMap(id => byId.get(id) ?? [])
    const collects = ids.includes(this.selfId)
    this.collectsSince = collects ? (this.collectsSince ?? now) : undefined
    this.broadcast = true
  }

  private tell(leaving: boolean, fleetMs: number, now: number): void {
    if (now < this.nextTellAt) return
    this.nextTellAt = now + (leaving ? SHORTEST_TELL_INTERVAL_MS : this.getTellIntervalMs())
    const message = this.counter.takeUntold(fleetMs, this.broadcast)
    this.broadcast = false
    if (!message) return
    for (const {id, address} of this.collectors) {
      if (id === this.selfId) this.collector.apply(id, message)
      else this.emit({kind: "sendPeer", address, message})
    }
  }

  private getTellIntervalMs(): number {
    const ms = this.ranked.length * TELL_INTERVAL_PER_DAEMON_MS
    return Math.min(LONGEST_TELL_INTERVAL_MS, Math.max(SHORTEST_TELL_INTERVAL_MS, ms))
  }

  private onLease(effect: LeaseEffect): void {
    if (effect.kind === "leaseAcquired")
      this.actFrom = this.tickedAt + (effect.epoch > 1 ? this.settings.takeoverWaitMs : 0)
    this.emit(effect)
  }
}
