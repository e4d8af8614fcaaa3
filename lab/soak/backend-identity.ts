/// What stays the same over the life of a stand-in of a back end.
import type {Stage} from "./stage-orders.js"

/// Identity of one incarnation.
export interface BackendIdentity {
  readonly id: string
  readonly service: string
  readonly zone: string
  readonly stage: Stage | undefined
  /// Its software version; undefined for a record without one.
  readonly version?: string | undefined
}
