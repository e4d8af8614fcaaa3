/// Reads the headers of a request to a back end.
import type {IncomingMessage} from "node:http"

/// The value of a header; undefined if it is absent or repeated.
export function getHeader(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name]
  return typeof value === "string" ? value : undefined
}

/// The sum of the prompt's tokens and the maximum number of generated ones.
export function sumTokens(usage: string | undefined): number | undefined {
  return usage?.split(",").reduce((sum, text) => sum + Number(text), 0)
}
