/// Creates the parts of a forwarding daemon. A new part needs one more line here; parts that the settings do
/// not enable are left out. Owns no state.
import {BackendSignalPart} from "./backend-signal-part.js"
import type {DaemonPart, PartContext} from "./daemon-part.js"
import {DutyPart} from "./duty-part.js"
import {HealthPart} from "./health-part.js"
import {KvPart} from "./kv-part.js"
import {PathPart} from "./path-part.js"
import {PacePart} from "./pace-part.js"
import {QuarantinePart} from "./quarantine-part.js"
import {QuotaPart} from "./quota-part.js"
import {RegionPart} from "./region-part.js"
import {StagePart} from "./stage-part.js"
import {StreamPart} from "./stream-part.js"

/// Creates every part of one daemon, in the order in which they are called.
export function createParts(context: PartContext, now: number): readonly DaemonPart[] {
  const {duties, quotas} = context.settings
  const {regions} = context
  return [
    new HealthPart(context),
    new PathPart(context),
    new BackendSignalPart(context),
    new KvPart(context, now),
    new PacePart(context),
    new StagePart(context),
    new QuarantinePart(context, now),
    new StreamPart(context),
    ...(regions ? [new RegionPart(context, regions)] : []),
    ...(duties ? [new DutyPart(context, duties, now)] : []),
    ...(quotas ? [new QuotaPart(context, quotas)] : [])
  ]
}
