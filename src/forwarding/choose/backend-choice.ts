/// The query for the back end of an attempt and the choice that answers it. Owns no state.
import type {BackendView} from "../backends/backend-view.js"
import type {PromptOutline} from "../forward-request.js"
import type {BackendRecord, EngineTraits} from "../routes/route.js"
import type {StreamOrigin} from "../../streams/stream-origin.js"

/// Why a back end was chosen: it has the least load (`least-loaded`), it is the home of the prompt's shared
/// parts (`home`), it keeps some of them (`kept`), it copies them from another engine (`copy`), or it is the
/// cheapest although none of these holds (`spill`).
export type ChoiceReason = "least-loaded" | "home" | "kept" | "copy" | "spill"

/// Where an attempt goes.
export interface BackendChoice {
  readonly backend: BackendView
  /// Prompt tokens that are expected to be computed there, including shared parts that are not known to be in
  /// its KV cache.
  readonly promptTokens: number
  /// Engine that keeps more of the prompt and from which that is copied.
  readonly copyFrom: BackendRecord | undefined
  /// Whether the engine only computes the prompt, and another one generates the answer.
  readonly prefillOnly: boolean
  /// Tokens to be computed there until the prompt is complete, its own included.
  readonly queuedTokens: number
  /// Expected time until the prompt is computed; undefined while the engines' pace is not known.
  /// Milliseconds.
  readonly expectedMs: number | undefined
  /// Whether the prompt is not expected to be computed within its target there. It then waits behind prompts
  /// that are.
  readonly overdue: boolean
  /// Whether the prompt is overdue and no engine has capacity for overdue prompts.
  readonly saturated: boolean
  /// Part of the expected time for the network round trip and copies. Milliseconds.
  readonly distanceMs: number
  /// Why this back end was chosen, for the log.
  readonly reason: ChoiceReason
  /// Cost of the choice: waiting time and work there, and the cost of the distance. Not computed in a fleet
  /// of one region. Milliseconds.
  readonly costMs?: number | undefined
  /// Lowest such cost within the daemon's own region; undefined when no back end there is a candidate.
  /// Milliseconds.
  readonly ownRegionMs?: number | undefined
}

/// What an attempt requires of its back end.
export interface BackendQuery {
  readonly service: string
  readonly prompt: PromptOutline | undefined
  /// Isolated caller of the request, which may then run only at the one back end of that caller.
  readonly isolatedCaller?: string | undefined
  /// Where the stream began that the attempt continues: only back ends of the same version are eligible.
  readonly origin?: StreamOrigin | undefined
  /// Whether the KV cache of the prompt exists already, so that only a decode engine is eligible.
  readonly prefilled: boolean
  /// Address of the engine that holds that KV cache.
  readonly prefilledAt?: string | undefined
  /// Size of the request's body. Bytes.
  readonly bodyBytes?: number | undefined
  /// Whether prompt and answer have to be computed at the same back end, as the request may not be sent to a
  /// second one.
  readonly singleBackendOnly: boolean
  /// Traits that the engines of the service share; undefined for services without engines.
  readonly engine: EngineTraits | undefined
  /// Time left until the target for the first event. Milliseconds.
  readonly targetLeftMs: number
  /// Ids of back ends that this request must not be sent to again.
  readonly excluded: ReadonlySet<string>
  /// Requests that this daemon may have in flight at one back end: its share of the connections that a back
  /// end accepts.
  readonly maximumLocalInFlight: number
}

/// Approximate size of a call without the request's body: headers of both directions and a short answer.
/// Bytes.
const CALL_BYTES = 1500

/// Approximate number of bytes that an attempt sends and receives.
export function getCallBytes({bodyBytes = 0}: BackendQuery): number {
  return bodyBytes + CALL_BYTES
}

/// Returns the back ends that may be sent one more request by this daemon.
export function getWithCapacity(views: readonly BackendView[], query: BackendQuery): BackendView[] {
  return views.filter(view => view.localInFlight() < query.maximumLocalInFlight)
}

/// Makes a choice that does not depend on the engines' pace.
export function makeChoice(backend: BackendView, promptTokens: number, reason: ChoiceReason): BackendChoice {
  return {
    backend,
    promptTokens,
    copyFrom: undefined,
    prefillOnly: false,
    queuedTokens: backend.pendingTokens() + promptTokens,
    expectedMs: undefined,
    overdue: false,
    saturated: false,
    distanceMs: 0,
    reason
  }
}
