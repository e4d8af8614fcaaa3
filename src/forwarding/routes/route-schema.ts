/// Validates a route configuration from a peer. It takes every configuration that is read from the store: a peer that
/// rejected one would reject the whole message, with all records of back ends in it.
import * as z from "zod"
import type {RouteConfiguration} from "./route.js"

const name = z.string()
const milliseconds = z.number().finite().min(0)
const target = z.object({service: name, weight: z.number().finite().min(0)})

const route = z.object({
  name,
  host: name,
  pathPrefix: z.string(),
  kind: z.enum(["idempotent", "nonIdempotent", "stream"]),
  resumable: z.boolean(),
  timeoutMs: milliseconds,
  targetLatencyMs: milliseconds,
  targetGapMs: milliseconds,
  priority: z.number().int().min(0),
  maximumAttempts: z.number().int().min(1),
  targets: z.array(target),
  isPublic: z.boolean()
})

const engine = z.object({
  slots: z.number().min(1),
  kvCapacityTokens: z.number().min(0),
  kvHandleLifetimeMs: milliseconds,
  stageChangeMs: milliseconds.optional(),
  tokenBytes: z.number().positive().optional(),
  linkMbps: z.number().positive().optional(),
  canMove: z.boolean().optional(),
  canReplicate: z.boolean().optional()
})

const scaling = z.object({
  min: z.number().int().min(0),
  max: z.number().int().min(0),
  bootMs: milliseconds,
  spotPrice: z.number().min(0).optional(),
  zonePrices: z.record(name, z.number().min(0))
})

const service = z.object({
  name,
  healthPath: z.string(),
  maximumConnections: z.number().int().min(1),
  engine: engine.optional(),
  scaling: scaling.optional()
})

const limits = z.object({
  maximumHeaderBytes: z.number().int().min(1),
  maximumBodyBytes: z.number().int().min(0),
  headerTimeoutMs: milliseconds,
  idleTimeoutMs: milliseconds
})

const quota = z.object({
  ratePerSecond: z.number().finite().positive(),
  burst: z.number().finite().min(0),
  countsTokens: z.boolean(),
  plainCost: z.number().finite().min(0)
})

const tenant = z.object({
  name,
  keyDigests: z.array(name),
  priority: z.number().int().min(0).optional(),
  quota: quota.optional()
})

/// Schema of a route configuration; each issue names the invalid field.
export const routeConfigurationSchema: z.ZodType<RouteConfiguration> = z.object({
  version: z.number().finite(),
  routes: z.array(route),
  services: z.array(service),
  limits,
  tenants: z.array(tenant).nullable()
}) as unknown as z.ZodType<RouteConfiguration>
