/// The messages that daemons exchange about requests during whose execution back ends crashed.
import * as z from "zod"
import type {BackendCrash} from "./crash-history.js"

const text = z.string().max(512)
const count = z.number().finite()

/// Maximum number of facts of each kind in one message, which bounds its size; only the newest are sent.
export const MAXIMUM_FACTS = 512

/// A crash: the request, the incarnation of the back end that crashed, and the age. Milliseconds.
const crashSchema = z.tuple([text, text, count])
/// An answer: the request, and the age of its last answer. Milliseconds.
const answerSchema = z.tuple([text, count])

const facts = {
  ends: z.array(crashSchema).max(MAXIMUM_FACTS),
  answers: z.array(answerSchema).max(MAXIMUM_FACTS)
}

/// Facts that are new to the sender.
const newsSchema = z.object({kind: z.literal("quarantineNews"), ...facts})

/// A digest of the sender's crashes; a receiver with another digest replies with its own crashes.
const digestSchema = z.object({kind: z.literal("quarantineDigest"), digest: count})

/// All crashes of the sender; `reply` asks the receiver for its own.
const syncSchema = z.object({kind: z.literal("quarantineSync"), reply: z.boolean(), ...facts})

/// The schemas of all messages of the quarantine.
export const quarantineMessageSchemas = [newsSchema, digestSchema, syncSchema] as const

/// Any message of the quarantine.
export type QuarantineMessage =
  z.infer<typeof newsSchema> | z.infer<typeof digestSchema> | z.infer<typeof syncSchema>
/// Crashes (`ends`) and answers in a message; their ages are milliseconds at the time of sending.
export type QuarantineFacts = Pick<z.infer<typeof newsSchema>, "ends" | "answers">

/// The newest facts, up to the maximum number in a message.
export function pickNewest({ends, answers}: QuarantineFacts): QuarantineFacts {
  return {ends: ends.slice(-MAXIMUM_FACTS), answers: answers.slice(-MAXIMUM_FACTS)}
}

/// A crash as it is sent.
export function makeCrashFact({key, incarnation, at}: BackendCrash, now: number): [string, string, number] {
  return [key, incarnation, Math.round(now - at)]
}
