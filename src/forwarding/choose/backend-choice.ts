/// A question for a back end, and the back end that was chosen.
import type {BackendView} from "../backends/backend-view.js"
import type {PromptOutline} from "../forward-request.js"
import type {BackendRecord, EngineTraits} from "../routes/route.js"

/// Why a back end was chosen: the least loaded, or with regard to the shared parts of the prompt.
export type ChoiceReason = "least-loaded" | "home" | "kept" | "copy" | "spill"

/// Where an attempt goes.
export interface BackendChoice {
  readonly backend: BackendView
  /// Prompt tokens that are expected to be computed there; shared parts count unless they are known to be
  /// kept.
  readonly promptTokens: number
  /// Engine that keeps more of the prompt, to copy it from.
  readonly copyFrom: BackendRecord | undefined
  /// The prompt is only computed there and generated elsewhere.
  readonly prefillOnly: boolean
  /// Tokens that are to be computed there before the prompt is, its own included.
  readonly queuedTokens: number
  /// When the prompt is expected to be computed; undefined while the engines' pace is not known. Milliseconds
  /// from now.
  readonly expectedMs: number | undefined
  /// Its prompt is not expected within its target there; it gives way to prompts that are.
  readonly overdue: boolean
  /// Its prompt is overdue, and the engines have no capacity for prompts that only wait.
  readonly saturated: boolean
  /// Part of the expected time that the way there and copies take. Milliseconds.
  readonly distanceMs: number
  /// Why this back end, for the log.
  readonly reason: ChoiceReason
  /// Waiting and work there, and distance with its price. Not reckoned in a fleet of one region.
  /// Milliseconds.
  readonly costMs?: number | undefined
  /// The least of that in the own region when the choice leaves it; undefined when no back end there would
  /// do.
  readonly ownRegionMs?: number | undefined
}

/// What an attempt needs of its back end.
export interface BackendQuery {
  readonly service: string
  readonly prompt: PromptOutline | undefined
  /// It may run only at the one back end that this caller's requests are confined to.
  readonly isolatedCaller?: string | undefined
  /// The KV cache exists already: only a decode engine will do.
  readonly prefilled: boolean
  /// Address of the engine that holds it.
  readonly prefilledAt?: string | undefined
  /// Bytes of its body.
  readonly bodyBytes?: number | undefined
  /// The prompt may not be computed at an engine of its own: prompt and answer go to one back end, as a
  /// further one would be too many.
  readonly wholeOnly: boolean
  /// What the engines of the service have in common; undefined for services that are no engines.
  readonly engine: EngineTraits | undefined
  /// Time left until the first event should be there. Milliseconds.
  readonly targetLeftMs: number
  /// Back ends that this request has been sent to.
  readonly excluded: ReadonlySet<string>
  /// Requests that this daemon may have on one back end: its part of the connections that a back end takes.
  readonly maximumLocalInFlight: number
}

/// What a call carries beside the request's body, both heads and a short answer. Bytes, about.
const CALL_BYTES = 1500

/// Bytes that an attempt sends and gets back, about.
export function getCallBytes({bodyBytes = 0}: BackendQuery): number {
  return bodyBytes + CALL_BYTES
}

/// Back ends that may have one more request of this daemon.
export function getWithCapacity(views: readonly BackendView[], query: BackendQuery): BackendView[] {
  return views.filter(view => view.localInFlight() < query.maximumLocalInFlight)
}

/// A choice that does not depend on the engines' pace.
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
