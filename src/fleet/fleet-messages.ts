/// Messages between daemons about the load of back ends and about the store's records. The schemas are the
/// only definition of these messages; the types are inferred from them.
import * as z from "zod"
import {routeConfigurationSchema} from "../forwarding/routes/route-schema.js"
import type {BackendRecord} from "../forwarding/routes/route.js"
import {peerAddressSchema} from "../shared/address.js"

const text = z.string().max(512)
const count = z.number().finite()

const backendSchema = z.object({
  id: text,
  service: text,
  address: peerAddressSchema,
  zone: text,
  slots: count,
  state: z.enum(["ready", "draining"]),
  stage: z.enum(["prefill", "decode"]).optional(),
  /// Absent in messages of older daemons, which is not the same as a back end without a version.
  version: text.nullable().default(null),
  isSpot: z.boolean().optional(),
  /// Absent in messages of older daemons.
  bornMs: count.optional()
}) as unknown as z.ZodType<BackendRecord>

const configurationRecordSchema = z.object({
  collection: z.literal("configuration"),
  revision: count,
  value: routeConfigurationSchema.optional(),
  /// There is a value, and this daemon cannot read it. Never sent to peers, which may be able to.
  isUnreadable: z.boolean().optional()
})

const backendRecordSchema = z.object({
  collection: z.literal("backends"),
  id: text,
  revision: count,
  value: backendSchema.optional()
})

/// One record. The value is undefined when the record was removed, or is that of a back end and cannot be read.
const storedRecordSchema = z.discriminatedUnion("collection", [
  configurationRecordSchema,
  backendRecordSchema
])

/// The state of a daemon's copy of a collection.
const knowledgeSchema = z.object({
  /// Every change up to this revision is in the copy; -1 when the copy is not complete up to any revision.
  complete: count,
  /// Revision of the newest change in the copy.
  changed: count,
  /// Time since the copy was last known to be up to date with the store. Milliseconds.
  ageMs: count,
  /// The store's clock at the answer that confirmed this. Reports of one answer reach a daemon several times,
  /// each with a little more delay; only the first one counts. Absent in messages of older daemons, whose
  /// reports therefore do not confirm a copy. Milliseconds.
  storeMs: count.optional(),
  /// The sender may lack removals up to this revision, since its copy began with a snapshot of that revision.
  /// Absent in messages of older daemons, and for a collection without removals.
  since: count.optional()
})

/// The state of a daemon's copies of both collections.
const fleetKnowledgeSchema = z.object({configuration: knowledgeSchema, backends: knowledgeSchema})

/// Loads on the back ends, and the state of the sender's copy of the store's records.
const loadDigestSchema = z.object({
  kind: z.literal("loadDigest"),
  /// What the loads cover: the sender alone, its zone, its region, or the whole fleet. Absent in messages of
  /// older daemons, which send their own loads.
  scope: z.enum(["own", "zone", "region", "fleet"]).optional(),
  /// The region, when the scope is a region.
  region: text.optional(),
  /// The receiver forwards the message to the other relays of its region.
  passOn: z.boolean().optional(),
  knowledge: fleetKnowledgeSchema,
  /// Back end, requests, prompt tokens to compute, distrust; then, absent in messages of older daemons, tokens
  /// of overdue prompts and attempts that succeeded and failed since the last digest.
  loads: z.array(z.tuple([text, count, count, count, count.optional(), count.optional(), count.optional()])),
  /// Prompt parts computed for the sender since its last digest: engine, hash of the part, tokens.
  placements: z.array(z.tuple([text, count, count])),
  /// Limits that back ends advertise: id, start of the incarnation (0 when unknown), requests per second (-1
  /// for a limit that has ended), and age of this value in milliseconds. Absent in messages of older daemons.
  limits: z.array(z.tuple([text, count, count, count])).optional(),
  /// Back ends that announced that they are leaving: id, start of the incarnation (0 when unknown). Absent in
  /// messages of older daemons.
  leaving: z.array(z.tuple([text, count])).optional(),
  /// The sender takes tunnels to back ends. Absent in messages of older daemons, which take none.
  tunnels: z.boolean().optional()
})

/// Asks a peer with a newer copy for its records.
const recordsPullSchema = z.object({kind: z.literal("recordsPull"), sequence: count})

/// All records of the sender's copy, removals included.
const recordsSnapshotSchema = z.object({
  kind: z.literal("recordsSnapshot"),
  sequence: count,
  knowledge: fleetKnowledgeSchema,
  records: z.array(storedRecordSchema)
})

/// All changes between two revisions, which the sender has just read from the store. Large changes are
/// published without their records, and every daemon reads them from the store.
const recordsChangedSchema = z.object({
  kind: z.literal("recordsChanged"),
  collection: z.enum(["configuration", "backends"]),
  from: count,
  to: count,
  changed: count,
  records: z.array(storedRecordSchema),
  /// The store has just recovered from an outage: removed records may only have expired. Absent in messages
  /// of older daemons.
  lapsed: z.boolean().optional(),
  /// The store's clock at the answer with these changes. Absent in messages of older daemons. Milliseconds.
  storeMs: count.optional(),
  /// The receiving relay forwards the message to its zone. Absent in messages of older daemons, which send
  /// it to every peer themselves.
  passOn: z.boolean().optional()
})

/// Schemas of all messages of this folder.
export const fleetMessageSchemas = [
  loadDigestSchema,
  recordsPullSchema,
  recordsSnapshotSchema,
  recordsChangedSchema
] as const

/// A record of the store, or its removal.
export type StoredRecord = z.infer<typeof storedRecordSchema>
/// The state of a daemon's copy of one collection.
export type RecordKnowledge = z.infer<typeof knowledgeSchema>
/// The state of a daemon's copies of both collections.
export type FleetKnowledge = z.infer<typeof fleetKnowledgeSchema>
/// Changes that a peer has read from the store.
export type RecordsChanged = z.infer<typeof recordsChangedSchema>
/// Any message of this folder.
export type FleetMessage =
  | z.infer<typeof loadDigestSchema>
  | z.infer<typeof recordsPullSchema>
  | z.infer<typeof recordsSnapshotSchema>
  | RecordsChanged
