/// The messages that daemons exchange about parts of prompts under which back ends crashed. Sent only to daemons that
/// have announced that they read them, as older ones close a connection on which an unknown message arrives.
import * as z from "zod"
import {MAXIMUM_FACTS} from "../quarantine-messages.js"

const text = z.string().max(512)
const count = z.number().finite()

/// A crash: the part, the incarnation of the back end that crashed, and the age. Milliseconds.
const crashSchema = z.tuple([text, text, count])
/// An answer: the part, and the age of the last answer to a request with it. Milliseconds.
const answerSchema = z.tuple([text, count])
/// The trials of a held part: how many have reached a back end, how many were begun, and the age of the last one.
/// Milliseconds.
const trialsSchema = z.tuple([text, count, count, count])

const facts = {
  crashes: z.array(crashSchema).max(MAXIMUM_FACTS),
  answers: z.array(answerSchema).max(MAXIMUM_FACTS),
  trials: z.array(trialsSchema).max(MAXIMUM_FACTS)
}

/// Facts that are new to the sender.
const newsSchema = z.object({kind: z.literal("partNews"), ...facts})

/// A digest of the sender's notable facts; a receiver with another digest replies with its own facts.
const digestSchema = z.object({kind: z.literal("partDigest"), digest: count})

/// All notable facts of the sender; `reply` asks the receiver for its own.
const syncSchema = z.object({kind: z.literal("partSync"), reply: z.boolean(), ...facts})

/// The schemas of all messages of this folder.
export const partMessageSchemas = [newsSchema, digestSchema, syncSchema] as const

/// Any message of this folder.
export type PartMessage =
  z.infer<typeof newsSchema> | z.infer<typeof digestSchema> | z.infer<typeof syncSchema>
/// The facts in a message; their ages are milliseconds at the time of sending.
export type PartFacts = Pick<z.infer<typeof newsSchema>, "crashes" | "answers" | "trials">
