/// What a soak knows of a request from its caller, and what a check reports.
import type {RouteForm} from "./soak-routes.js"

/// One request of a caller. Times are monotonic milliseconds.
export interface CallerRecord {
  readonly id: string
  readonly daemon: string
  readonly route: string
  readonly form: RouteForm
  readonly sentAt: number
  readonly timeoutMs: number
  /// The API key that the caller sent.
  readonly key?: string | undefined
  /// Whether the route requires a key.
  readonly needsKey?: boolean
  endedAt?: number
  /// Undefined when the connection ended before the answer was complete.
  status?: number
  signature?: string
  /// Whether the answer announces a limit of its back end.
  signalsLimit?: boolean
  /// Whether the answer announces that its back end is leaving.
  signalsLeaving?: boolean
  body?: string
  /// Whether the answer ended as complete, by its HTTP framing.
  complete?: boolean
  /// The body of a request that crashes the back ends that execute it; undefined for the others.
  readonly crashingBody?: string
}

/// A violated promise, with the request, back end or daemon in question.
export interface Violation {
  readonly promise: string
  readonly text: string
}
