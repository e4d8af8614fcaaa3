/// Messages between daemons about the load of back ends and the records that they know.
import type {BackendLoad} from "../forwarding/backend-directory.js"
import type {PrefixPlacement} from "../forwarding/prefix-index.js"
import type {StoredRecord} from "./record-store.js"

/// Messages of the fleet part.
export type FleetMessage =
  /// A daemon's load on the back ends, and the newest revisions that it knows.
  | {
      readonly kind: "loadDigest"
      readonly configurationRevision: number
      readonly backendsRevision: number
      readonly loads: readonly BackendLoad[]
      /// Prompts that the sender had computed since its last digest.
      readonly placements: readonly PrefixPlacement[]
    }
  /// Asks a peer that knows more for its records.
  | {readonly kind: "recordsPull"; readonly sequence: number}
  /// The records, removals included.
  | {
      readonly kind: "recordsSnapshot"
      readonly sequence: number
      readonly records: readonly StoredRecord[]
    }
