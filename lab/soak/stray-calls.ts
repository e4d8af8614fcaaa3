/// Calls that arrive at a stand-in of a soak but aren't meant for it, for example because a program of another
/// run had the port before. Owns the list of these calls. Each is answered with an error status and doesn't stop
/// the soak.
import type {IncomingMessage, ServerResponse} from "node:http"
import type * as z from "zod"

/// The status of a call to an unknown path.
export const STATUS_UNKNOWN = 404
/// The status of a call to a known path with an invalid body.
export const STATUS_MALFORMED = 400

/// One call that was rejected.
interface StrayCall {
  readonly status: number
  readonly text: string
}

/// The calls that one stand-in has rejected.
export class StrayCalls {
  readonly calls: StrayCall[] = []

  /// `service` names the stand-in in the text.
  constructor(private readonly service: string) {}

  /// Answers the call with this status and records it, with the program that the port was opened for.
  reject(status: number, caller: string, request: IncomingMessage, response: ServerResponse): void {
    const text = `${request.method} ${request.url} to the ${this.service} for ${caller}`
    this.calls.push({status, text})
    response.writeHead(status, {"Content-Type": "application/json"})
    response.end("{}")
  }
}

/// Reads the body of a request; undefined when the connection broke before its end.
export async function readBody(request: IncomingMessage): Promise<string | undefined> {
  const chunks: Buffer[] = []
  try {
    for await (const chunk of request) chunks.push(chunk as Buffer)
  } catch {
    // A soak resets connections; there is no caller left to answer.
    return undefined
  }
  return Buffer.concat(chunks).toString("utf8")
}

/// Parses a JSON body and validates it by a schema; undefined when it is invalid.
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
