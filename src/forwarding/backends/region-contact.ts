/// Finds the other regions that this daemon cannot reach, from the outcomes of its attempts and probes.
/// Without it, each engine of such a region would have to be found lost by an attempt of its own, and each of
/// these would cost a request a connection time-out.
import type {BackendDistance} from "../choose/backend-distance.js"
import type {BackendView} from "./backend-view.js"

/// A region counts as cut off after contact to this number of its back ends was lost, with no contact to any
/// of its back ends since. A single lost back end has more likely crashed.
const MINIMUM_LOST = 2

/// A lost contact counts for this time: after it, the back end may have been removed for good, which says
/// nothing about its region. Milliseconds.
const LOSS_EXPIRY_MS = 4000

/// The regions, other than this daemon's, that it cannot reach.
export function findCutOffRegions(
  views: Iterable<BackendView>,
  distance: BackendDistance,
  now: number
): Set<string> {
  const byRegion = new Map<string, BackendView[]>()
  for (const view of views) {
    const region = distance.getOtherRegion(view)
    if (region === undefined) continue
    const regionViews = byRegion.get(region)
    if (regionViews) regionViews.push(view)
    else byRegion.set(region, [view])
  }
  return new Set(
    [...byRegion].filter(([, regionViews]) => isCutOff(regionViews, now)).map(([region]) => region)
  )
}

/// Whether contact to enough back ends was lost since the last contact to any back end of the region. The
/// lost ones are probed, and the first successful probe ends the state.
function isCutOff(views: readonly BackendView[], now: number): boolean {
  let lastContactAt = now - LOSS_EXPIRY_MS
  for (const view of views)
    lastContactAt = Math.max(lastContactAt, view.health.getContactTimes().lastContactAt)
  const lost = views.filter(
    view => view.health.hasLostContact() && view.health.getContactTimes().lostAt > lastContactAt
  )
  return lost.length >= Math.min(MINIMUM_LOST, views.length)
}
