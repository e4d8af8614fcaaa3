/// What daemons tell each other about requests under which back ends have ended.
import * as z from "zod"

const text = z.string().max(512)
const count = z.number().finite()

/// Facts in one message at most; a longer list is told in several; bounds the size of a message.
export const MAXIMUM_FACTS = 512

/// The request, the incarnation of the back end that ended, and how long ago. Milliseconds.
const endSchema = z.tuple([text, text, count])
/// The request, and how long ago it was last answered. Milliseconds.
const answerSchema = z.tuple([text, count])

const facts = {
  ends: z.array(endSchema).max(MAXIMUM_FACTS),
  answers: z.array(answerSchema).max(MAXIMUM_FACTS)
}

/// Facts that the sender has just learned.
const newsSchema = z.object({kind: z.literal("quarantineNews"), ...facts})

/// A digest of what the sender would tell of every request; a receiver with another one answers with its own
/// facts.
const digestSchema = z.object({kind: z.literal("quarantineDigest"), digest: count})

/// Everything that is to be told of every request; `reply` asks for the same.
const syncSchema = z.object({kind: z.literal("quarantineSync"), reply: z.boolean(), ...facts})

/// The forms of all messages of the quarantine.
export const quarantineMessageSchemas = [newsSchema, digestSchema, syncSchema] as const

export type QuarantineMessage =
  z.infer<typeof newsSchema> | z.infer<typeof digestSchema> | z.infer<typeof syncSchema>
export type QuarantineFacts = Pick<z.infer<typeof newsSchema>, "ends" | "answers">
