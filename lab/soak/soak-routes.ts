/// The routes, services, tenants and quotas of a soak: the operator's configuration and the callers' view of it.

/// The kinds of routes in the operator's configuration.
export type RouteForm = "idempotent" | "non_idempotent" | "streaming"

/// A route from the callers' point of view. Timeouts are milliseconds.
export interface CallerRoute {
  readonly name: string
  readonly host: string
  readonly path: string
  readonly form: RouteForm
  readonly timeoutMs: number
  /// Callers need no key.
  readonly isPublic?: boolean
  /// Tokens of the shared and the unique part of each prompt, and the number of different shared parts; undefined
  /// for plain services.
  readonly prompt?: {readonly shared: number; readonly unique: number; readonly subjects: number}
}

const HOST = "site.example"
const RESUMABLE_NAME = "check"
const MOVING_ROUTE = "moving"
const LOW_PRIORITY_ROUTE = "review"
const TARGET_LATENCY_SHARE = 0.2

/// The attempts that all routes allow, unless the operator changes it.
export const USUAL_ATTEMPTS = 2

/// Names of the services.
export const SOAK_SERVICES = {plain: "application", otherPlain: "application-2", engines: "engines"} as const

/// The tenants and their keys, before any is revoked.
export const SOAK_TENANTS: readonly {readonly name: string; readonly keys: readonly string[]}[] = [
  {name: "anna", keys: ["k3f9x2m7q1w8e5r6t4a1", "k3f9x2m7q1w8e5r6t4a2"]},
  {name: "bert", keys: ["p8d2c5v9b3n7m1k4j6b1", "p8d2c5v9b3n7m1k4j6b2"]},
  {name: "cleo", keys: ["z4y7u1i9o2p5l8h3g6c1"]}
]

/// The tenant whose requests exceed its quota.
export const OVER_QUOTA_TENANT = "cleo"
/// The quotas of the tenants, in tokens; a tenant without an entry has none.
export const SOAK_QUOTAS: Readonly<Record<string, {readonly ratePerSecond: number; readonly burst: number}>> =
  {
    anna: {ratePerSecond: 400_000, burst: 400_000},
    [OVER_QUOTA_TENANT]: {ratePerSecond: 3000, burst: 6000}
  }
/// Tokens counted for a request without token headers.
export const UNCACHED_TOKENS = 50
/// Bounds of the promise on quotas; see `checkQuota` of the record.
export const QUOTA_RULE = {windowS: 8, overage: 0.1, slackTokens: 40_000} as const

/// A key that is in no configuration.
export const UNKNOWN_KEY = "q9w8e7r6t5y4u3i2o1xx"

/// Finds the tenant of a key, revoked or not; undefined for an unknown key.
export function findTenant(key: string | undefined): string | undefined {
  return SOAK_TENANTS.find(({keys}) => key !== undefined && keys.includes(key))?.name
}

/// The routes that callers send requests to.
export const SOAK_ROUTES: readonly CallerRoute[] = [
  {name: "document", host: HOST, path: "/document/x", form: "non_idempotent", timeoutMs: 1500},
  {name: "receipt", host: HOST, path: "/receipt/x", form: "idempotent", timeoutMs: 1500, isPublic: true},
  {name: MOVING_ROUTE, host: HOST, path: "/moving/x", form: "idempotent", timeoutMs: 1500},
  {
    name: RESUMABLE_NAME,
    host: HOST,
    path: "/check/x",
    form: "streaming",
    timeoutMs: 3000,
    prompt: {shared: 90, unique: 150, subjects: 20}
  },
  {
    name: LOW_PRIORITY_ROUTE,
    host: HOST,
    path: "/review/x",
    form: "streaming",
    timeoutMs: 5000,
    prompt: {shared: 9000, unique: 2000, subjects: 12}
  }
]

/// The route whose streams callers may take up.
export const RESUMABLE_ROUTE = SOAK_ROUTES.filter(({name}) => name === RESUMABLE_NAME)[0]

/// The route whose callers need no key.
export const PUBLIC_ROUTE = SOAK_ROUTES.filter(({isPublic}) => isPublic === true)[0]

/// The service that a route leads to while the moving route leads to `movingService`.
export function getService(route: string, toEngines: boolean, movingService: string): string {
  if (toEngines) return SOAK_SERVICES.engines
  return route === MOVING_ROUTE ? movingService : SOAK_SERVICES.plain
}

/// Limits for callers that successive versions of the configuration choose from. Every request is within all of them.
/// Lengths are bytes, times milliseconds.
const CALLER_LIMITS = [
  {max_header_bytes: 16_384, max_body_bytes: 65_536, header_timeout_ms: 3000, idle_timeout_ms: 15_000},
  {max_header_bytes: 8192, max_body_bytes: 4096, header_timeout_ms: 1500, idle_timeout_ms: 2000},
  {max_header_bytes: 8192, max_body_bytes: 16_384, header_timeout_ms: 5000, idle_timeout_ms: 5000}
]

/// Formats the operator's configuration, without the keys in `revokedKeys`; all routes allow `maxAttempts`.
export function formatConfiguration(
  version: number,
  movingService: string,
  revokedKeys: ReadonlySet<string> = new Set(),
  maxAttempts = USUAL_ATTEMPTS
): object {
  const engine = {slots: 16, kv_capacity: 400_000, kv_ttl_s: 5}
  const makeService = (name: string) => ({name, health_path: "/healthz", max_conns: 200})
  return {
    version,
    routes: SOAK_ROUTES.map(route => makeRoute(route, movingService, maxAttempts)),
    services: [
      makeService(SOAK_SERVICES.plain),
      makeService(SOAK_SERVICES.otherPlain),
      {...makeService(SOAK_SERVICES.engines), engine}
    ],
    tenants: SOAK_TENANTS.map(({name, keys}) => ({
      name,
      api_keys: keys.filter(key => !revokedKeys.has(key)),
      ...makeQuota(name)
    })),
    limits: CALLER_LIMITS[version % CALLER_LIMITS.length]
  }
}

function makeQuota(tenant: string): object {
  const quota = SOAK_QUOTAS[tenant]
  if (!quota) return {}
  const {ratePerSecond, burst} = quota
  return {unit: "token_count", rate_per_s: ratePerSecond, burst, uncached_tokens: UNCACHED_TOKENS}
}

function makeRoute(route: CallerRoute, movingService: string, maxAttempts: number): object {
  return {
    name: route.name,
    host: route.host,
    path_prefix: `/${route.name}/`,
    route_kind: route.form,
    timeout_ms: route.timeoutMs,
    target_latency_ms: route.timeoutMs * TARGET_LATENCY_SHARE,
    target_itl_ms: 150,
    priority: route.name === LOW_PRIORITY_ROUTE ? 1 : 0,
    service: getService(route.name, route.prompt !== undefined, movingService),
    max_attempts: maxAttempts,
    resumable: route.name === RESUMABLE_NAME,
    public: route.isPublic ?? false
  }
}
