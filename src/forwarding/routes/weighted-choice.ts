/// Divides the requests of a route among its targets by weight. Smooth weighted round-robin: after each full
/// round every target has received exactly its share, and shares stay close to the weights in between.
import type {Route, RouteTarget} from "./route.js"

/// The round-robin state of one route.
interface RouteCredits {
  readonly byService: Map<string, number>
  /// Sum of the weights to which the credits belong.
  total: number
}

/// The round-robin state of all routes of one daemon.
export class WeightedChoice {
  private readonly credits = new Map<string, RouteCredits>()

  /// Picks the service for the next request of `route`; undefined if no target has a weight above 0.
  pickService(route: Route): string | undefined {
    const targets = scaleWeights(route.targets.filter(target => target.weight > 0))
    if (targets.length <= 1) return targets[0]?.service
    const total = targets.reduce((sum, target) => sum + target.weight, 0)
    const credits = this.getCredits(route.name, targets, total)
    let best = targets[0]
    for (const target of targets) {
      credits.set(target.service, (credits.get(target.service) ?? 0) + target.weight)
      if ((credits.get(target.service) ?? 0) > (credits.get(best.service) ?? 0)) best = target
    }
    credits.set(best.service, (credits.get(best.service) ?? 0) - total)
    return best.service
  }

  /// Removes the state of routes whose names are not among `names`.
  retain(names: ReadonlySet<string>): void {
    for (const name of this.credits.keys()) if (!names.has(name)) this.credits.delete(name)
  }

  private getCredits(name: string, targets: readonly RouteTarget[], total: number): Map<string, number> {
    const known = this.credits.get(name)
    // A split may name a service several times.
    const same = known?.byService.size === new Set(targets.map(target => target.service)).size
    if (known && same && targets.every(target => known.byService.has(target.service))) {
      rescale(known, total)
      return known.byService
    }
    const byService = new Map(targets.map(target => [target.service, 0]))
    this.credits.set(name, {byService, total})
    return byService
  }
}

/// Adapts the credits to new weights. Credits of larger weights would give all requests to one target until they are
/// used up, which takes for ever with weights that differ enough.
function rescale(credits: RouteCredits, total: number): void {
  if (credits.total === total) return
  for (const [service, credit] of credits.byService)
    credits.byService.set(service, (credit / credits.total) * total)
  credits.total = total
}

/// Divides weights by the largest one where their sum could overflow.
function scaleWeights(targets: readonly RouteTarget[]): readonly RouteTarget[] {
  const largest = targets.reduce((maximum, target) => Math.max(maximum, target.weight), 0)
  if (largest <= Number.MAX_SAFE_INTEGER) return targets
  return targets.map(({service, weight}) => ({service, weight: weight / largest}))
}
