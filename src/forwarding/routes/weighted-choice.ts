/// Divides the requests of a route among its targets by weight. Smooth weighted round-robin: after each whole
/// round every target has had exactly its share, and shares stay close to the weights in between.
import type {Route, RouteTarget} from "./route.js"

/// The running counts of all routes of one daemon.
export class WeightedChoice {
  private readonly credits = new Map<string, Map<string, number>>()

  /// The service for the next request of `route`; undefined when the route has no target with a weight.
  pickService(route: Route): string | undefined {
    const targets = route.targets.filter(target => target.weight > 0)
    if (targets.length <= 1) return targets[0]?.service
    const credits = this.creditsOf(route.name, targets)
    const total = targets.reduce((sum, target) => sum + target.weight, 0)
    let best = targets[0]
    for (const target of targets) {
      credits.set(target.service, (credits.get(target.service) ?? 0) + target.weight)
      if ((credits.get(target.service) ?? 0) > (credits.get(best.service) ?? 0)) best = target
    }
    credits.set(best.service, (credits.get(best.service) ?? 0) - total)
    return best.service
  }

  /// Forgets routes that are no longer configured.
  retain(names: ReadonlySet<string>): void {
    for (const name of this.credits.keys()) if (!names.has(name)) this.credits.delete(name)
  }

  private creditsOf(name: string, targets: readonly RouteTarget[]): Map<string, number> {
    const known = this.credits.get(name)
    const same = known?.size === targets.length && targets.every(target => known.has(target.service))
    if (known && same) return known
    const fresh = new Map(targets.map(target => [target.service, 0]))
    this.credits.set(name, fresh)
    return fresh
  }
}
