/// Orders back ends by the plan, while this daemon holds the duties. What is there counts, not what was
/// ordered: an order that was lost, or carried out late after a newer one, shows in the counts and is given
/// again. Back ends that are to go are ordered away only when those that take their place serve, and have had
/// the time to change to the stage that is wanted of them: without that time 18 prefill engines were left of
/// 33, and the first two seconds of traffic earned 0.55 of what they could, with it 0.63 (one play each).
import type {DutyAuthority, DutyCall, DutyResult} from "../duties/duty-messages.js"
import type {BackendView} from "../forwarding/backends/backend-view.js"
import type {BackendService, ScalingRules} from "../forwarding/routes/route.js"
import type {EffectSink} from "../shared/effect-sink.js"
import {planCapacity, type CapacityPlannerSettings, type ZoneCounts} from "./capacity-planner.js"

/// Settings of the orders.
export interface CapacityManagerSettings {
  readonly planner: CapacityPlannerSettings
  /// Counts that differ from what was ordered are left alone for so long beyond the time in which a back end
  /// starts. Milliseconds. Default 4000: a leaving one serves on for a while.
  readonly orderGraceMs: number
  /// Pause between orders of one kind in one zone: counts that follow each other back end by back end make
  /// one order. Milliseconds. Default 500.
  readonly pauseMs: number
  /// Pause after an order that failed, or for which there are none to be had now. Milliseconds. Default 2000.
  readonly retryMs: number
}

/// Default settings.
export const DEFAULT_CAPACITY_MANAGER_SETTINGS: Omit<CapacityManagerSettings, "planner"> = {
  orderGraceMs: 4000,
  pauseMs: 500,
  retryMs: 2000
}

/// Time until a new engine is ordered to change its stage. Milliseconds; two looks at the engines and an
/// answer.
const STAGE_ORDER_MS = 500

/// An order for one service, zone and kind.
export type ServerOrder = Extract<DutyCall, {kind: "orderServers"}>

/// What the manager asks for.
export type CapacityEffect = {
  readonly kind: "callDuty"
  readonly call: ServerOrder
  readonly authority: DutyAuthority
}

/// What was last ordered for one service, zone and kind.
interface Subject {
  /// Undefined when nothing was, or when an order failed.
  ordered: number | undefined
  inFlight: boolean
  pausedUntil: number
  /// What was ordered must be there by now.
  dueAt: number
}

/// The orders of one daemon. Times are monotonic milliseconds.
export class CapacityManager {
  private readonly subjects = new Map<string, Subject>()
  /// When each back end was first seen to serve.
  private seenAt = new Map<string, number>()

  constructor(
    private readonly settings: CapacityManagerSettings,
    private readonly emit: EffectSink<CapacityEffect>
  ) {}

  /// Orders what one service lacks or has too much of. `total` is how many back ends it should have in all.
  tick(
    {name, scaling, engine}: BackendService,
    views: readonly BackendView[],
    total: number,
    authority: DutyAuthority,
    now: number
  ): void {
    if (!scaling) return
    this.lookAt(views, now)
    const readyMs = (engine?.stageChangeMs ?? 0) + STAGE_ORDER_MS
    const isInPlace = (id: string) => now - (this.seenAt.get(id) ?? now) >= readyMs
    const present = countByZone(views, scaling, () => true)
    const inPlace = countByZone(views, scaling, isInPlace)
    for (const planned of planCapacity(this.settings.planner, scaling, total)) {
      const {zone} = planned
      const counts = present.get(zone) ?? {zone, ordinary: 0, spot: 0}
      const spotInPlace = inPlace.get(zone)?.spot ?? 0
      this.order(name, scaling, planned, counts, spotInPlace, authority, now)
    }
  }

  /// Takes what became of an order.
  receiveResult(call: ServerOrder, result: DutyResult, now: number): void {
    const subject = this.subjects.get(getKey(call))
    if (!subject) return
    subject.inFlight = false
    if (result.kind === "accepted") return
    subject.ordered = undefined
    subject.pausedUntil = now + this.settings.retryMs
  }

  private lookAt(views: readonly BackendView[], now: number): void {
    const before = this.seenAt
    this.seenAt = new Map(views.map(({record: {id}}) => [id, before.get(id) ?? now]))
  }

  private order(
    service: string,
    scaling: ScalingRules,
    planned: ZoneCounts,
    present: ZoneCounts,
    spotInPlace: number,
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
    // As many ordinary ones stay as spot ones are not in place yet, but no new ones are ordered for that.
    // Where both together are more than the zone may have, the ordinary ones go first.
    const missing = Math.max(0, planned.spot - spotInPlace)
    const kept = Math.min(present.ordinary, planned.ordinary + missing, scaling.max - planned.spot)
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
    const subject = this.getSubject(call)
    if (subject.inFlight || now < subject.pausedUntil) return
    const changed = (subject.ordered ?? present) !== call.desired
    const overdue = present !== call.desired && now >= subject.dueAt
    if (!changed && !overdue) return
    subject.ordered = call.desired
    subject.inFlight = true
    subject.pausedUntil = now + this.settings.pauseMs
    subject.dueAt = now + scaling.bootMs + this.settings.orderGraceMs
    this.emit({kind: "callDuty", call, authority})
  }

  private getSubject(call: ServerOrder): Subject {
    const key = getKey(call)
    let subject = this.subjects.get(key)
    if (!subject) {
      subject = {ordered: undefined, inFlight: false, pausedUntil: -Infinity, dueAt: -Infinity}
      this.subjects.set(key, subject)
    }
    return subject
  }
}

function getKey({service, zone, spot}: ServerOrder): string {
  return `${service} ${zone} ${spot ? "spot" : "ordinary"}`
}

/// Back ends that serve, by zone and kind.
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
