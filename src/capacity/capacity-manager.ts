/// Orders back ends according to the plan while this daemon holds the duties. Owns the state of the orders.
/// It compares the plan with the back ends in service rather than with earlier orders: an order that was
/// lost, or executed late after a newer one, shows in the counts and is sent again. Back ends are removed only
/// once their replacements are in service and have had the time to change to the wanted stage: without that
/// time 18 of 33 prefill engines were left, and the first two seconds of traffic earned 0.55 of the
/// achievable value; with it, 0.63 (one run each).
import type {DutyAuthority, DutyCall, DutyResult} from "../duties/duty-messages.js"
import type {BackendView} from "../forwarding/backends/backend-view.js"
import type {BackendService, ScalingRules} from "../forwarding/routes/route.js"
import type {EffectSink} from "../shared/effect-sink.js"
import {planCapacity, type CapacityPlannerSettings, type ZoneCounts} from "./capacity-planner.js"

/// Settings of the orders.
export interface CapacityManagerSettings {
  readonly planner: CapacityPlannerSettings
  /// Time beyond the boot time of a back end before an order is sent again because the counts still differ from
  /// it. Milliseconds. Default 4000, since a leaving back end stays in service for a while.
  readonly orderGraceMs: number
  /// Minimum interval between orders of one kind in one zone, so that counts that change one back end at a
  /// time result in a single order. Milliseconds. Default 500.
  readonly pauseMs: number
  /// Pause after an order that failed, or that the platform has no capacity for. Milliseconds. Default 2000.
  readonly retryMs: number
}

/// Default settings.
export const DEFAULT_CAPACITY_MANAGER_SETTINGS: Omit<CapacityManagerSettings, "planner"> = {
  orderGraceMs: 4000,
  pauseMs: 500,
  retryMs: 2000
}

/// Time until a new engine is ordered to change its stage. Milliseconds; covers two checks of the engines
/// and one answer.
const STAGE_ORDER_MS = 500

/// An order for one service, zone and kind.
export type ServerOrder = Extract<DutyCall, {kind: "orderServers"}>

/// Effects that the manager emits.
export type CapacityEffect = {
  readonly kind: "callDuty"
  readonly call: ServerOrder
  readonly authority: DutyAuthority
}

/// The last order for one service, zone and kind.
interface OrderState {
  /// Number of back ends ordered; undefined without an order or after a failed one.
  ordered: number | undefined
  inFlight: boolean
  pausedUntil: number
  /// When the counts must match the order. Monotonic milliseconds.
  dueAt: number
}

/// The orders of one daemon. Times are monotonic milliseconds.
export class CapacityManager {
  private readonly orderStates = new Map<string, OrderState>()
  /// When each back end was first seen. Monotonic milliseconds.
  private firstSeenAt = new Map<string, number>()

  constructor(
    private readonly settings: CapacityManagerSettings,
    private readonly emit: EffectSink<CapacityEffect>
  ) {}

  /// Orders more or fewer back ends of one service. `total` is the number of back ends that it should have.
  tick(
    {name, scaling, engine}: BackendService,
    views: readonly BackendView[],
    total: number,
    authority: DutyAuthority,
    now: number
  ): void {
    if (!scaling) return
    this.updateFirstSeen(views, now)
    const readyMs = (engine?.stageChangeMs ?? 0) + STAGE_ORDER_MS
    const isReady = (id: string) => now - (this.firstSeenAt.get(id) ?? now) >= readyMs
    const present = countByZone(views, scaling, () => true)
    const ready = countByZone(views, scaling, isReady)
    for (const planned of planCapacity(this.settings.planner, scaling, total)) {
      const {zone} = planned
      const counts = present.get(zone) ?? {zone, ordinary: 0, spot: 0}
      const spotReady = ready.get(zone)?.spot ?? 0
      this.order(name, scaling, planned, counts, spotReady, authority, now)
    }
  }

  /// Handles the outcome of an order.
  receiveResult(call: ServerOrder, result: DutyResult, now: number): void {
    const state = this.orderStates.get(getKey(call))
    if (!state) return
    state.inFlight = false
    if (result.kind === "accepted") return
    state.ordered = undefined
    state.pausedUntil = now + this.settings.retryMs
  }

  private updateFirstSeen(views: readonly BackendView[], now: number): void {
    const previous = this.firstSeenAt
    this.firstSeenAt = new Map(views.map(({record: {id}}) => [id, previous.get(id) ?? now]))
  }

  private order(
    service: string,
    scaling: ScalingRules,
    planned: ZoneCounts,
    present: ZoneCounts,
    spotReady: number,
    authority: DutyAuthority,
    now: number
  ): void {
    const {zone} = planned
    if (scaling.spotPrice !== undefined)
      this.orderKind(
        {kind: "orderServers", service, zone, desired: planned.spot, spot: true},
        present.spot,
        scaling,
        authority,
        now
      )
    // One ordinary back end is kept for each spot one that is not ready yet, but none is added for this
    // purpose. Where both together would exceed the zone's maximum, the ordinary ones are removed first.
    const notReady = Math.max(0, planned.spot - spotReady)
    const kept = Math.min(present.ordinary, planned.ordinary + notReady, scaling.max - planned.spot)
    const desired = Math.max(planned.ordinary, kept)
    this.orderKind(
      {kind: "orderServers", service, zone, desired, spot: false},
      present.ordinary,
      scaling,
      authority,
      now
    )
  }

  private orderKind(
    call: ServerOrder,
    present: number,
    scaling: ScalingRules,
    authority: DutyAuthority,
    now: number
  ): void {
    const state = this.getOrderState(call)
    if (state.inFlight || now < state.pausedUntil) return
    const changed = (state.ordered ?? present) !== call.desired
    const overdue = present !== call.desired && now >= state.dueAt
    if (!changed && !overdue) return
    state.ordered = call.desired
    state.inFlight = true
    state.pausedUntil = now + this.settings.pauseMs
    state.dueAt = now + scaling.bootMs + this.settings.orderGraceMs
    this.emit({kind: "callDuty", call, authority})
  }

  private getOrderState(call: ServerOrder): OrderState {
    const key = getKey(call)
    let state = this.orderStates.get(key)
    if (!state) {
      state = {ordered: undefined, inFlight: false, pausedUntil: -Infinity, dueAt: -Infinity}
      this.orderStates.set(key, state)
    }
    return state
  }
}

function getKey({service, zone, spot}: ServerOrder): string {
  return `${service} ${zone} ${spot ? "spot" : "ordinary"}`
}

/// Counts the back ends in service by zone and kind.
function countByZone(
  views: readonly BackendView[],
  {zonePrices}: ScalingRules,
  isCounted: (id: string) => boolean
): Map<string, ZoneCounts> {
  const counts = new Map(Object.keys(zonePrices).map(zone => [zone, {zone, ordinary: 0, spot: 0}]))
  for (const view of views) {
    const {record} = view
    const zone = counts.get(record.zone)
    if (!zone || !view.takesWork() || !isCounted(record.id)) continue
    if (record.isSpot) zone.spot += 1
    else zone.ordinary += 1
  }
  return counts
}
