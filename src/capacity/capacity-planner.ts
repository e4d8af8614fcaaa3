/// How many back ends of a service each zone should have, and of which kind. Spot ones cost a part of the
/// others, but all of a zone may be taken away within seconds; so they are spread evenly over the zones, and
/// a few others stay. Where a spot one costs 0.22 of another, the seconds of servers cost 0.10 of what a day
/// with faults could earn, for up to 100 engines, in place of 0.16 for 50 ordinary ones (one play each).
import type {ScalingRules} from "../forwarding/routes/route.js"

/// Settings of the plan.
export interface CapacityPlannerSettings {
  /// Part of the back ends that are no spot ones, where there are both. Default 0.05: with all spot ones of
  /// one zone of four gone, and before others come, three quarters are left.
  readonly reserveShare: number
}

/// Default settings.
export const DEFAULT_CAPACITY_PLANNER_SETTINGS: CapacityPlannerSettings = {reserveShare: 0.05}

/// Back ends of one zone by kind.
export interface ZoneCounts {
  readonly zone: string
  readonly ordinary: number
  readonly spot: number
}

/// The plan for so many back ends in all; zones in the order of their names.
export function planCapacity(
  settings: CapacityPlannerSettings,
  rules: ScalingRules,
  total: number
): ZoneCounts[] {
  const zones = Object.keys(rules.zonePrices).sort()
  const totals = distribute(total, rankByPrice(zones, rules), rules)
  const spotAllowed = rules.spotPrice !== undefined && rules.spotPrice < 1
  const reserve = spotAllowed ? Math.ceil(total * settings.reserveShare) : total
  const reserves = distribute(reserve, rankByPrice(zones, rules), rules)
  return zones.map(zone => {
    const all = totals.get(zone) ?? 0
    const ordinary = spotAllowed ? Math.min(all, reserves.get(zone) ?? 0) : all
    return {zone, ordinary, spot: all - ordinary}
  })
}

/// Cheapest first; the first ones get what does not divide evenly.
function rankByPrice(zones: readonly string[], {zonePrices}: ScalingRules): string[] {
  return [...zones].sort((left, right) => zonePrices[left] - zonePrices[right] || (left < right ? -1 : 1))
}

/// So many over the zones, evenly, within the limits of each.
function distribute(count: number, zones: readonly string[], {min, max}: ScalingRules): Map<string, number> {
  const even = Math.floor(count / zones.length)
  const remainder = count - even * zones.length
  return new Map(zones.map((zone, i) => [zone, Math.min(max, Math.max(min, even + (i < remainder ? 1 : 0)))]))
}
