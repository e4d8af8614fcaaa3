/// Messages between daemons about the load of back ends and the records that they know. The schemas are the
/// one place that says their form; the types are inferred.
import * as z from "zod"
import {routeConfigurationSchema} from "../forwarding/routes/route-schema.js"
import type {BackendRecord} from "../forwarding/routes/route.js"

const text = z.string().max(512)
const count = z.number().finite()

const backendSchema = z.object({
  id: text,
  service: text,
  address: text,
  zone: text,
  slots: count,
  state: z.enum(["ready", "draining"]),
  stage: z.enum(["prefill", "decode"]).optional(),
  isSpot: z.boolean().optional(),
  /// Not told by older daemons.
  bornMs: count.optional()
}) as unknown as z.ZodType<BackendRecord>

const configurationRecordSchema = z.object({
  collection: z.literal("configuration"),
  revision: count,
  value: routeConfigurationSchema.optional()
})

const backendRecordSchema = z.object({
  collection: z.literal("backends"),
  id: text,
  revision: count,
  value: backendSchema.optional()
})

/// One record. The value is undefined when the record was removed or cannot be read.
const storedRecordSchema = z.discriminatedUnion("collection", [
  configurationRecordSchema,
  backendRecordSchema
])

/// How much of a collection a daemon knows.
const knowledgeSchema = z.object({
  /// Every change up to this revision is known; -1 when none is.
  complete: count,
  /// Revision of the newest change known.
  changed: count,
  /// How long ago the store was last known to have nothing newer. Milliseconds.
  ageMs: count,
  /// The store's clock at the answer that said so. Word of one answer reaches a daemon many times, each time
  /// a little late; only the first counts. Not told by older daemons, whose word so counts for nothing.
  /// Milliseconds.
  storeMs: count.optional(),
  /// What was removed up to this revision the sender may never have heard of: its copy began there with what
  /// was left. Not told by older daemons, nor for a collection without removals.
  since: count.optional()
})

/// The same for both collections.
const fleetKnowledgeSchema = z.object({configuration: knowledgeSchema, backends: knowledgeSchema})

/// Loads on the back ends, and how much the sender knows of the store's records.
const loadDigestSchema = z.object({
  kind: z.literal("loadDigest"),
  /// Whose loads: the sender's own, those of its zone, of its region, or of the whole fleet. Not told by
  /// older daemons: their own.
  scope: z.enum(["own", "zone", "region", "fleet"]).optional(),
  /// Which region, where the loads are those of one.
  region: text.optional(),
  /// The receiver tells the other relays of its region.
  passOn: z.boolean().optional(),
  knowledge: fleetKnowledgeSchema,
  /// Back end, requests, prompt tokens to compute, distrust; then, not told by older daemons, tokens of late
  /// prompts and attempts that succeeded and failed since the last digest.
  loads: z.array(z.tuple([text, count, count, count, count.optional(), count.optional(), count.optional()])),
  /// Prompt parts that the sender had computed since its last digest: engine, hash of the part, tokens.
  placements: z.array(z.tuple([text, count, count])),
  /// Limits that back ends name: id, start of the incarnation (0 where not told), requests a second (-1 for a
  /// limit that has ended), and for how long so. Milliseconds. Not told by older daemons.
  limits: z.array(z.tuple([text, count, count, count])).optional(),
  /// Back ends that have said that they leave: id, start of the incarnation (0 where not told). Not told by
  /// older daemons.
  leaving: z.array(z.tuple([text, count])).optional()
})

/// Asks a peer that knows more for its records.
const recordsPullSchema = z.object({kind: z.literal("recordsPull"), sequence: count})

/// The records, removals included.
const recordsSnapshotSchema = z.object({
  kind: z.literal("recordsSnapshot"),
  sequence: count,
  knowledge: fleetKnowledgeSchema,
  records: z.array(storedRecordSchema)
})

/// Changes that the sender has just read from the store: all between two revisions. Large ones are told by
/// their revision alone, and every daemon reads them for itself.
const recordsChangedSchema = z.object({
  kind: z.literal("recordsChanged"),
  collection: z.enum(["configuration", "backends"]),
  from: count,
  to: count,
  changed: count,
  records: z.array(storedRecordSchema),
  /// The store has just come back: back ends that are missing may have lapsed only. Not told by older
  /// daemons.
  lapsed: z.boolean().optional(),
  /// A relay passes it on to its zone. Not told by older daemons, which tell everybody themselves.
  passOn: z.boolean().optional()
})

/// The forms of all messages of the fleet part.
export const fleetMessageSchemas = [
  loadDigestSchema,
  recordsPullSchema,
  recordsSnapshotSchema,
  recordsChangedSchema
] as const

export type StoredRecord = z.infer<typeof storedRecordSchema>
export type RecordKnowledge = z.infer<typeof knowledgeSchema>
export type FleetKnowledge = z.infer<typeof fleetKnowledgeSchema>
export type RecordsChanged = z.infer<typeof recordsChangedSchema>
export type FleetMessage =
  | z.infer<typeof loadDigestSchema>
  | z.infer<typeof recordsPullSchema>
  | z.infer<typeof recordsSnapshotSchema>
  | RecordsChanged
