/// The parts of a forwarding daemon. A new one is one more line here; one that the settings do not ask for is
/// left out.
import {BackendSignalPart} from "./backend-signal-part.js"
import type {DaemonPart, PartContext} from "./daemon-part.js"
import {DutyPart} from "./duty-part.js"
import {HealthPart} from "./health-part.js"
import {KvPart} from "./kv-part.js"
import {PacePart} from "./pace-part.js"
import {QuarantinePart} from "./quarantine-part.js"
import {QuotaPart} from "./quota-part.js"
import {RegionPart} from "./region-part.js"
import {StagePart} from "./stage-part.js"

/// Every part of one daemon, in the order in which they hear of things.
export function createParts(surroundings: PartContext, now: number): readonly DaemonPart[] {
  const {duties, quotas} = surroundings.settings
  const {regions} = surroundings
  return [
    new HealthPart(surroundings),
    new BackendSignalPart(surroundings),
    new KvPart(surroundings, now),
    new PacePart(surroundings),
    new StagePart(surroundings),
    new QuarantinePart(surroundings, now),
    ...(regions ? [new RegionPart(surroundings, regions)] : []),
    ...(duties ? [new DutyPart(surroundings, duties, now)] : []),
    ...(quotas ? [new QuotaPart(surroundings, quotas)] : [])
  ]
}
