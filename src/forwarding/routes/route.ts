/// Routes, back-end services and back ends in the form that the daemon uses, independent of the format in
/// which an operator writes them.

/// How a request may be handled: whether it may be executed again, and whether its answer is a stream of
/// events.
export type RequestKind = "idempotent" | "nonIdempotent" | "stream"

/// A service that receives part of a route's traffic.
export interface RouteTarget {
  readonly service: string
  /// Share of the traffic, relative to the other targets of the route.
  readonly weight: number
}

/// Which requests go to which service, and how long they may take.
export interface Route {
  readonly name: string
  readonly host: string
  /// Begins and ends with a slash; the longest matching prefix wins.
  readonly pathPrefix: string
  readonly kind: RequestKind
  /// Whether a stream may be resumed at another back end after its last event.
  readonly resumable: boolean
  /// Maximum time until the answer to a request is complete. Milliseconds.
  readonly timeoutMs: number
  /// Target time to the answer, or to the first event of a stream. Milliseconds.
  readonly targetLatencyMs: number
  /// Target for the longest gap between two events of a stream. Milliseconds.
  readonly targetGapMs: number
  /// 0 is the most urgent.
  readonly priority: number
  /// Maximum number of back ends at which one request may be executed.
  readonly maximumAttempts: number
  /// Callers need no key, and what they claim about their identity is ignored.
  readonly isPublic: boolean
  readonly targets: readonly RouteTarget[]
}

/// Whether a stream of the route may be continued after its last event, by the daemon or its caller.
export function isResumable({kind, resumable}: Route): boolean {
  return kind === "stream" && resumable
}

/// Configuration of a service and its back ends.
export interface BackendService {
  readonly name: string
  readonly healthPath: string
  /// Connections that one back end accepts from all daemons together.
  readonly maximumConnections: number
  /// Present when the back ends are model engines.
  readonly engine: EngineTraits | undefined
  /// Undefined where the number of back ends is fixed.
  readonly scaling?: ScalingRules | undefined
}

/// Limits on the back ends that daemons may order, and their prices.
export interface ScalingRules {
  /// Minimum and maximum number of back ends in a zone, spot and others together.
  readonly min: number
  readonly max: number
  /// Time from the order until a back end serves requests. Milliseconds.
  readonly bootMs: number
  /// Price of a spot back end relative to that of others; undefined where there are no spot back ends.
  readonly spotPrice: number | undefined
  /// Price of a back end for each zone in which the service runs.
  readonly zonePrices: Readonly<Record<string, number>>
}

/// Properties that all model engines of a service share.
export interface EngineTraits {
  /// Requests that an engine executes concurrently.
  readonly slots: number
  /// Tokens that fit into the KV cache.
  readonly kvCapacityTokens: number
  /// How long an exported KV cache is kept for the engine that imports it. Milliseconds.
  readonly kvHandleLifetimeMs: number
  /// How long an engine is unavailable while it changes its stage. Milliseconds; not sent by older
  /// daemons.
  readonly stageChangeMs?: number | undefined
  /// Size of a token in the KV cache, in bytes, and speed of the link over which engines copy it, in megabits
  /// per second; not sent by older daemons.
  readonly tokenBytes?: number | undefined
  readonly linkMbps?: number | undefined
  /// Whether the KV cache of a running request can be copied to another engine, and whether it can be copied
  /// continuously while it grows.
  readonly canMove?: boolean | undefined
  readonly canReplicate?: boolean | undefined
}

/// A customer of the operator. The key of a caller shows for which tenant it acts.
export interface Tenant {
  readonly name: string
  /// Digests of the valid keys. Only the platform's adapter knows the keys themselves.
  readonly keyDigests: readonly string[]
  /// Priority of its requests in place of the route's, 0 the most urgent; undefined for the route's.
  readonly priority?: number | undefined
  /// Limit on its requests over all daemons; undefined for no limit.
  readonly quota?: TenantQuota | undefined
}

/// A limit on a tenant's requests, in tokens or in requests.
export interface TenantQuota {
  readonly ratePerSecond: number
  /// What may be used beyond the rate in a burst.
  readonly burst: number
  /// Whether the unit is tokens: a request costs its prompt tokens plus its maximum of generated ones.
  readonly countsTokens: boolean
  /// Cost of a request that does not state its tokens, or of any request if the unit is requests.
  readonly plainCost: number
}

/// Limits on what callers send.
export interface CallerLimits {
  readonly maximumHeaderBytes: number
  readonly maximumBodyBytes: number
  /// Time within which the whole request head must arrive. Milliseconds.
  readonly headerTimeoutMs: number
  /// How long a connection may be idle between requests. Milliseconds.
  readonly idleTimeoutMs: number
}

/// One version of the operator's configuration. Version numbers increase.
export interface RouteConfiguration {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly BackendService[]
  readonly limits: CallerLimits
  /// Null if callers need no keys. A configuration without the field is rejected: read as one without keys,
  /// it would open every route to anybody.
  readonly tenants: readonly Tenant[] | null
}

/// Stage of a model engine: it computes prompts for other engines, or generates tokens.
export type EngineStage = "prefill" | "decode"

/// One incarnation of a back end.
export interface BackendRecord {
  /// A back end may keep it when it restarts.
  readonly id: string
  readonly service: string
  /// `ip:port`.
  readonly address: string
  readonly zone: string
  /// Requests that it executes concurrently.
  readonly slots: number
  readonly state: "ready" | "draining"
  /// Undefined for back ends that are not model engines.
  readonly stage: EngineStage | undefined
  /// Version of its software; empty or undefined if the platform reports none, null if the record came from a
  /// daemon that does not pass versions on.
  readonly version?: string | null | undefined
  /// A spot back end: it may be reclaimed at any time, together with all others of its zone, and costs less.
  readonly isSpot?: boolean | undefined
  /// Wall-clock time of its start, which distinguishes incarnations with the same id. Milliseconds; undefined
  /// if the platform does not report it.
  readonly bornMs?: number | undefined
}
