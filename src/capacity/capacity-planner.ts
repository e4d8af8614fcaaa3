/// Plans how many back ends of each kind a service should have in each zone. Pure functions. Spot back ends
/// cost a fraction of the price of ordinary ones, but all of a zone may be withdrawn within seconds. They are
/// therefore distributed evenly over the zones, and a few ordinary ones are kept in reserve. With spot ones
/// at 0.22 of the ordinary price, server time for up to 100 engines cost 0.10 of the achievable value of a
/// day with faults, compared with 0.16 for 50 ordinary ones (one run each).
import type {ScalingRules} from "../forwarding/routes/route.js"

/// Settings of the plan.
export interface CapacityPlannerSettings {
  /// Share of ordinary back ends where spot ones are used too. Default 0.05: when one zone of four loses all
  /// its spot back ends, three quarters of the back ends remain until replacements start.
  readonly reserveShare: number
}

/// Default settings.
export const DEFAULT_CAPACITY_PLANNER_SETTINGS: CapacityPlannerSettings = {reserveShare: 0.05}

/// Numbers of back ends in one zone, by kind.
export interface ZoneCounts {
  readonly zone: string
  readonly ordinary: number
  readonly spot: number
}

/// Plans `total` back ends; zones are sorted by name.
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

/// Sorts zones by price, cheapest first; the first ones get the remainder of an even distribution.
function rankByPrice(zones: readonly string[], {zonePrices}: ScalingRules): string[] {
  return [...zones].sort((left, right) => zonePrices[left] - zonePrices[right] || (left < right ? -1 : 1))
}

/// Distributes `count` back ends evenly over the zones, within the limits of each.
function distribute(count: number, zones: readonly string[], {min, max}: ScalingRules): Map<string, number> {
  const even = Math.floor(count / zones.length)
  const remainder = count - even * zones.length
  return new Map(zones.map((zone, i) => [zone, Math.min(max, Math.max(min, even + (i < remainder ? 1 : 0)))]))
}
