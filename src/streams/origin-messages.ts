/// The messages that daemons exchange about where streams began. Sent only to daemons that have announced that
/// they read them, as older ones close a connection on which an unknown message arrives.
import * as z from "zod"
import type {StreamOrigin} from "./stream-origin.js"

const text = z.string().max(512)

/// Service, id of the back end, and its version; null if that is not known.
const originSchema = z.tuple([text, text, text.nullable()])

/// A stream has begun; `attemptId` is its caller's id of the attempt that brought the first event.
const streamBeganSchema = z.object({kind: z.literal("streamBegan"), attemptId: text, origin: originSchema})

/// Asks where a stream began.
const streamAskSchema = z.object({kind: z.literal("streamAsk"), attemptId: text})

/// The answer; without `origin` the sender does not know.
const streamAnswerSchema = z.object({
  kind: z.literal("streamAnswer"),
  attemptId: text,
  origin: originSchema.optional()
})

/// The schemas of all messages of this folder.
export const streamMessageSchemas = [streamBeganSchema, streamAskSchema, streamAnswerSchema] as const

/// Any message of this folder.
export type StreamMessage =
  z.infer<typeof streamBeganSchema> | z.infer<typeof streamAskSchema> | z.infer<typeof streamAnswerSchema>

/// The kinds of these messages.
export const STREAM_MESSAGE_KINDS: readonly StreamMessage["kind"][] = [
  "streamBegan",
  "streamAsk",
  "streamAnswer"
]

/// Encodes an origin for a message.
export function encodeOrigin({service, backendId = "", version}: StreamOrigin): z.infer<typeof originSchema> {
  return [service, backendId, version]
}

/// Decodes an origin from a message.
export function decodeOrigin([service, backendId, version]: z.infer<typeof originSchema>): StreamOrigin {
  return {service, backendId, version}
}
