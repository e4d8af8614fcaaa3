/// The routes and services of a soak, as the operator writes them and as callers use them.
import type {CallerRoute} from "./caller-load.js"

const HOST = "site.example"
const RESUMABLE = "check"
const MOVING = "moving"
const MINOR = "review"
const TARGET_SHARE = 0.2

/// Names of the services.
export const SOAK_SERVICES = {plain: "application", otherPlain: "application-2", engines: "engines"} as const

/// The routes that callers use.
export const SOAK_ROUTES: readonly CallerRoute[] = [
  {name: "document", host: HOST, path: "/document/x", form: "non_idempotent", timeoutMs: 1500},
  {name: "receipt", host: HOST, path: "/receipt/x", form: "idempotent", timeoutMs: 1500},
  {name: MOVING, host: HOST, path: "/moving/x", form: "idempotent", timeoutMs: 1500},
  {
    name: RESUMABLE,
    host: HOST,
    path: "/check/x",
    form: "streaming",
    timeoutMs: 3000,
    prompt: {shared: 90, own: 150, subjects: 20}
  },
  {
    name: MINOR,
    host: HOST,
    path: "/review/x",
    form: "streaming",
    timeoutMs: 5000,
    prompt: {shared: 9000, own: 2000, subjects: 12}
  }
]

/// The service that a route leads to while the moving route leads to `movingService`.
export function getService(route: string, toEngines: boolean, movingService: string): string {
  if (toEngines) return SOAK_SERVICES.engines
  return route === MOVING ? movingService : SOAK_SERVICES.plain
}

/// The operator's configuration.
export function formatConfiguration(version: number, movingService: string): object {
  const engine = {slots: 16, kv_capacity: 400_000, kv_ttl_s: 5}
  const makeService = (name: string) => ({name, health_path: "/healthz", max_conns: 200})
  return {
    version,
    routes: SOAK_ROUTES.map(route => makeRoute(route, movingService)),
    services: [
      makeService(SOAK_SERVICES.plain),
      makeService(SOAK_SERVICES.otherPlain),
      {...makeService(SOAK_SERVICES.engines), engine}
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 65_536,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000
    }
  }
}

function makeRoute(route: CallerRoute, movingService: string): object {
  return {
    name: route.name,
    host: route.host,
    path_prefix: `/${route.name}/`,
    route_kind: route.form,
    timeout_ms: route.timeoutMs,
    target_latency_ms: route.timeoutMs * TARGET_SHARE,
    target_itl_ms: 150,
    priority: route.name === MINOR ? 1 : 0,
    service: getService(route.name, route.prompt !== undefined, movingService),
    max_attempts: 2,
    resumable: route.name === RESUMABLE
  }
}
