/// Which other regions this daemon has no way to, as far as its attempts and probes tell. To find each engine
/// of such a region lost by an attempt of its own would cost a request the time-out of a connection each.
import type {BackendDistance} from "../choose/backend-distance.js"
import type {BackendView} from "./backend-view.js"

/// Back ends lost one after the other, with none heard from since, that make a region count as cut off. One
/// alone has more likely crashed itself.
const LOST_TOGETHER = 2

/// A loss says nothing of its region after this: those that were lost may be gone for good. Milliseconds.
const BELIEVED_MS = 4000

/// The other regions that are cut off from this daemon.
export function findCutOffRegions(
  views: Iterable<BackendView>,
  distance: BackendDistance,
  now: number
): Set<string> {
  const byRegion = new Map<string, BackendView[]>()
  for (const view of views) {
    const region = distance.getOtherRegion(view)
    if (region === undefined) continue
    const there = byRegion.get(region)
    if (there) there.push(view)
    else byRegion.set(region, [view])
  }
  return new Set([...byRegion].filter(([, there]) => isCutOff(there, now)).map(([region]) => region))
}

/// Whether enough back ends were lost since any of the region was last heard from. They are probed, and the
/// first that answers ends it.
function isCutOff(views: readonly BackendView[], now: number): boolean {
  let heardAt = now - BELIEVED_MS
  for (const view of views) heardAt = Math.max(heardAt, view.health.getContactTimes().heardAt)
  const lost = views.filter(
    view => view.health.hasLostContact() && view.health.getContactTimes().lostAt > heardAt
  )
  return lost.length >= Math.min(LOST_TOGETHER, views.length)
}
