/// Where a stream began. What back ends of two software versions write does not fit together, so a stream may
/// only be continued at the version that wrote its first event. Owns no state.
import type {BackendRecord} from "../forwarding/routes/route.js"

/// The back end that wrote the first event of a stream, as far as that is known.
export interface StreamOrigin {
  readonly service: string
  /// Undefined if only the version is known.
  readonly backendId: string | undefined
  /// Its software version at that time; null if it is not known, so that the stream cannot be continued.
  readonly version: string | null
}

/// The software version of a back end: empty if the platform reports none, null if it is not known.
export function getSoftwareVersion({version}: BackendRecord): string | null {
  return version === null ? null : (version ?? "")
}
