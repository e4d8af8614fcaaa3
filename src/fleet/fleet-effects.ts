/// What a daemon's copy of the configuration and of the back ends asks for and tells.
import type {BackendRecord, RouteConfiguration} from "../forwarding/routes/route.js"
import type {RecordsChanged} from "./fleet-messages.js"
import type {RecordCollection, RecordRead} from "./record-store.js"

/// What the replica asks for and tells.
export type FleetEffect =
  | {readonly kind: "readRecords"; readonly read: RecordRead}
  /// The store had changes, which the peers should hear of.
  | {readonly kind: "tellPeers"; readonly message: RecordsChanged}
  | {
      readonly kind: "configurationChanged"
      readonly configuration: RouteConfiguration
      readonly source: RecordSource
    }
  | {
      readonly kind: "backendChanged"
      readonly record: BackendRecord
      readonly revision: number
      readonly source: RecordSource
    }
  | {
      readonly kind: "backendRemoved"
      readonly id: string
      readonly revision: number
      readonly source: RecordSource
    }
  /// The record is gone after an outage; the back end keeps its work for a while.
  | {
      readonly kind: "backendLapsed"
      readonly id: string
      readonly revision: number
      readonly source: RecordSource
      /// Until when. Monotonic milliseconds.
      readonly holdUntil: number
    }
  | {readonly kind: "storeLost"; readonly collection: RecordCollection; readonly reason: string}
  /// The store answers again; `outageMs` is how long it had not, as far as this daemon knows. Milliseconds.
  | {readonly kind: "storeRegained"; readonly collection: RecordCollection; readonly outageMs: number}

/// Where a record came from: the store, or a peer's id.
export type RecordSource = string

/// The source of records that came from the store itself.
export const STORE_SOURCE = "store"
