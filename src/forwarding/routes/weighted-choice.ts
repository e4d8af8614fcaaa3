/// Divides the requests of a route among its targets by weight. Smooth weighted round-robin: after each full
/// round every target has received exactly its share, and shares stay close to the weights in between.
import type {Route, RouteTarget} from "./route.js"

/// The round-robin state of all routes of one daemon.
export class WeightedChoice {
  private readonly credits = new Map<string, Map<string, number>>()

  /// Picks the service for the next request of `route`; undefined if no target has a weight above 0.
  pickService(route: Route): string | undefined {
    const targets = route.targets.filter(target => target.weight > 0)
    if (targets.length <= 1) return targets[0]?.service
    const credits = this.getCredits(route.name, targets)
    const total = targets.reduce((sum, target) => sum + target.weight, 0)
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

  private getCredits(name: string, targets: readonly RouteTarget[]): Map<string, number> {
    const known = this.credits.get(name)
    const same = known?.size === targets.length && targets.every(target => known.has(target.service))
    if (known && same) return known
    const fresh = new Map(targets.map(target => [target.service, 0]))
    this.credits.set(name, fresh)
    return fresh
  }
}
