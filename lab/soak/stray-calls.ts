/// Calls that arrive at a stand-in of a soak and aren't meant for it, such as one for a program of another
/// run that had the port before. It owns the list of them; each is answered with an error and ends nothing.
import type {IncomingMessage, ServerResponse} from "node:http"
import type * as z from "zod"

/// The status of a call that a stand-in doesn't know.
export const STATUS_UNKNOWN = 404
/// The status of a call that it knows, with a body that cannot be read.
export const STATUS_MALFORMED = 400

/// One call that was rejected.
interface StrayCall {
  readonly status: number
  readonly text: string
}

/// The calls that one stand-in has rejected.
export class StrayCalls {
  readonly calls: StrayCall[] = []

  /// `owner`: what the stand-in is, for the text.
  constructor(private readonly service: string) {}

  /// Answers the call with this status and notes it, with the program that the port is for.
  reject(status: number, caller: string, request: IncomingMessage, response: ServerResponse): void {
    const text = `${request.method} ${request.url} to the ${this.service} for ${caller}`
    this.calls.push({status, text})
    response.writeHead(status, {"Content-Type": "application/json"})
    response.end("{}")
  }
}

/// The body of a request; undefined when the connection broke off before its end.
export async function readBody(request: IncomingMessage): Promise<string | undefined> {
  const chunks: Buffer[] = []
  try {
    for await (const chunk of request) chunks.push(chunk as Buffer)
  } catch {
    // A soak resets connections: nobody waits for an answer any more.
    return undefined
  }
  return Buffer.concat(chunks).toString("utf8")
}

/// A body of JSON after its schema; undefined when it is something else.
export function parseBody<Schema extends z.ZodType>(
  schema: Schema,
  body: string
): z.infer<Schema> | undefined {
  let value: unknown
  try {
    value = JSON.parse(body)
  } catch {
    return undefined
  }
  return schema.safeParse(value).data
}
