/// A request to be forwarded, as its decisions need it; bytes stay with the gateway.

/// One part of a prompt. Parts with one id hold the same tokens wherever they stand at the same place.
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/// What a request says of its prompt.
export interface PromptOutline {
  readonly model: string
  readonly parts: readonly PromptPart[]
  readonly promptTokens: number
  readonly maximumOutputTokens: number
}

/// One request of a caller. Times are monotonic milliseconds.
export interface ForwardRequest {
  /// Unique within the daemon's process.
  readonly id: string
  /// The caller's own id of the request, for logs.
  readonly callerId: string
  readonly host: string
  readonly path: string
  /// When the head of the request arrived.
  readonly arrivedAt: number
  /// How long the caller waits from then on; undefined when it did not say. Milliseconds.
  readonly callerDeadlineMs: number | undefined
  readonly prompt: PromptOutline | undefined
  /// Bytes of its body; undefined counts as none.
  readonly bodyBytes?: number | undefined
  /// Tokens of the prompt and the most that may be generated, together, as the caller says.
  readonly usageTokens?: number | undefined
  /// Digest of the key that the caller showed; undefined when it showed none.
  readonly keyDigest?: string | undefined
  /// Digest of what is asked: method, host, path and body. Undefined from callers of the machine that keep no
  /// bytes.
  readonly contentDigest?: string | undefined
  /// Where the caller's connection comes from, without its port.
  readonly callerAddress?: string | undefined
}

/// Tokens of the parts that other requests may share: all but the last, which is the request's own.
export function getSharedTokens(prompt: PromptOutline): number {
  return prompt.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0)
}

/// A key that requests with the same shared parts have in common; empty when nothing is shared.
export function getSharedKey(prompt: PromptOutline): string {
  return prompt.parts
    .slice(0, -1)
    .map(part => part.id)
    .join(",")
}
