/// What daemons tell each other about the buckets that limit tenants and back ends.
import * as z from "zod"

const text = z.string().max(512)
const count = z.number().finite()
/// What the bucket limits: a back end, or, where that is missing as it is from older daemons, a tenant.
const scope = z.literal("backend").optional()

/// Needs carried by one ask at most; the rest goes with the next one.
export const MAXIMUM_NEEDS = 32

/// A daemon asks the owner of a tenant's bucket. Without needs it only tells what was spent, or finds out
/// whether the receiver runs.
const quotaAskSchema = z.object({
  kind: z.literal("quotaAsk"),
  scope,
  sequence: count,
  /// Name of the bucket.
  tenant: text,
  /// Tokens of each request that waits, oldest first.
  needs: z.array(count).max(MAXIMUM_NEEDS),
  /// Priority of the needs, 0 the most urgent; not told where all count alike.
  priority: count.optional(),
  /// Tokens spent without asking since the last ask; below 0 when more were given back.
  spent: count
})

const quotaAnswerSchema = z.object({
  kind: z.literal("quotaAnswer"),
  scope,
  sequence: count,
  tenant: text,
  /// The needs that are granted, by their place in the ask.
  granted: z.array(count).max(MAXIMUM_NEEDS),
  /// Asking again makes no sense for so long, for as many tokens or more. Milliseconds.
  blockedMs: count,
  blockedTokens: count,
  /// When callers that are refused should come back. Milliseconds.
  retryAfterMs: count,
  /// Tokens that may be spent without an answer if the owner falls silent.
  reserve: count,
  /// Nothing is decided here: this daemon does not own the bucket, and will not for `unfitMs`. `owner` is who
  /// does, by id and address.
  notOwner: z.boolean(),
  unfitMs: count,
  owner: z.tuple([text, text]).nullable()
})

/// The owner of a bucket hands it to the one that takes its place.
const quotaHandoverSchema = z.object({
  kind: z.literal("quotaHandover"),
  scope,
  tenant: text,
  level: count
})

/// The forms of all messages of quotas.
export const quotaMessageSchemas = [quotaAskSchema, quotaAnswerSchema, quotaHandoverSchema] as const

export type QuotaAsk = z.infer<typeof quotaAskSchema>
export type QuotaAnswer = z.infer<typeof quotaAnswerSchema>
export type QuotaHandover = z.infer<typeof quotaHandoverSchema>
export type QuotaMessage = QuotaAsk | QuotaAnswer | QuotaHandover
