/// Effects of a daemon's replica of the configuration and of the list of back ends: reads of the table store,
/// messages for peers, and changes that the daemon has to apply.
import type {BackendRecord, RouteConfiguration} from "../forwarding/routes/route.js"
import type {RecordsChanged} from "./fleet-messages.js"
import type {RecordCollection, RecordRead} from "./record-store.js"

/// A request or a notification of the replica.
export type FleetEffect =
  | {readonly kind: "readRecords"; readonly read: RecordRead}
  /// Changes that were read from the store and are to be published to the peers.
  | {readonly kind: "tellPeers"; readonly message: RecordsChanged}
  | {
      readonly kind: "configurationChanged"
      readonly configuration: RouteConfiguration
      readonly revision: number
      readonly origin: RecordOrigin
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
  /// The record was missing after an outage of the store; the back end keeps its work until `holdUntil`.
  | {
      readonly kind: "backendLapsed"
      readonly id: string
      readonly revision: number
      readonly source: RecordSource
      /// Monotonic milliseconds.
      readonly holdUntil: number
    }
  | {readonly kind: "storeLost"; readonly collection: RecordCollection; readonly reason: string}
  /// The store answers again; `outageMs` is the length of the outage as far as this daemon knows. Milliseconds.
  | {readonly kind: "storeRegained"; readonly collection: RecordCollection; readonly outageMs: number}

/// Where a record came from: `STORE_SOURCE`, or the id of a peer.
export type RecordSource = string

/// The source of records that were read from the store.
export const STORE_SOURCE = "store"

/// Where a record came from, and how.
export interface RecordOrigin {
  readonly source: RecordSource
  /// Read from the store by this daemon, published by the daemon that read it, or part of a peer's whole copy.
  readonly way: "read" | "published" | "copied"
  /// How long ago, at most, the store gave the record to the daemon that read it; undefined when that is unknown.
  /// Milliseconds.
  readonly readAgoMs?: number | undefined
}
