/// The messages that daemons exchange about the buckets that limit tenants and back ends.
import * as z from "zod"

const text = z.string().max(512)
const count = z.number().finite()
/// What the bucket limits: a back end, or a tenant where the field is missing, as it is in messages of
/// older daemons.
const scope = z.literal("backend").optional()

/// Maximum number of needs in one ask; the rest is sent with the next one.
export const MAXIMUM_NEEDS = 32

/// A daemon asks the owner of a bucket for tokens. Without needs it only reports what was spent, or probes
/// whether the receiver is reachable.
const quotaAskSchema = z.object({
  kind: z.literal("quotaAsk"),
  scope,
  sequence: count,
  /// Name of the bucket.
  tenant: text,
  /// Tokens of each request that waits, oldest first.
  needs: z.array(count).max(MAXIMUM_NEEDS),
  /// Priority of the needs, 0 the most urgent; omitted where all are equal.
  priority: count.optional(),
  /// Tokens spent without asking since the last ask; negative when more were returned.
  spent: count
})

/// The owner's answer to an ask.
const quotaAnswerSchema = z.object({
  kind: z.literal("quotaAnswer"),
  scope,
  sequence: count,
  tenant: text,
  /// The needs that are granted, by their index in the ask.
  granted: z.array(count).max(MAXIMUM_NEEDS),
  /// Requests of at least `blockedTokens` tokens would be refused for this time. Milliseconds.
  blockedMs: count,
  blockedTokens: count,
  /// Time after which refused callers should retry. Milliseconds.
  retryAfterMs: count,
  /// Tokens that may be spent without an answer if the owner stops answering.
  reserve: count,
  /// The sender does not own the bucket, and will not for `unfitMs` milliseconds, so nothing is decided.
  /// `owner` is the id and address of the daemon that does.
  notOwner: z.boolean(),
  unfitMs: count,
  owner: z.tuple([text, text]).nullable()
})

/// The owner of a bucket hands it over to the next owner, with its level in tokens.
const quotaHandoverSchema = z.object({
  kind: z.literal("quotaHandover"),
  scope,
  tenant: text,
  level: count
})

/// The schemas of all messages of quotas.
export const quotaMessageSchemas = [quotaAskSchema, quotaAnswerSchema, quotaHandoverSchema] as const

/// A daemon's ask to the owner of a bucket.
export type QuotaAsk = z.infer<typeof quotaAskSchema>
/// The owner's answer to an ask, which carries the same sequence.
export type QuotaAnswer = z.infer<typeof quotaAnswerSchema>
/// A bucket for its next owner.
export type QuotaHandover = z.infer<typeof quotaHandoverSchema>
/// Any message of quotas.
export type QuotaMessage = QuotaAsk | QuotaAnswer | QuotaHandover
