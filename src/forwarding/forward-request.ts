/// A request to be forwarded: the properties on which decisions depend. The gateway keeps its bytes.

/// One part of a prompt. Parts with the same id at the same position hold the same tokens.
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/// The description of a prompt that a request carries.
export interface PromptOutline {
  readonly model: string
  readonly parts: readonly PromptPart[]
  readonly promptTokens: number
  readonly maximumOutputTokens: number
}

/// A stream that the caller takes up again after its connection broke.
export interface StreamResumption {
  /// The caller's id of the attempt that brought the first event; undefined if the caller does not name it.
  readonly firstAttemptId: string | undefined
  /// Id of the last event that the caller has; undefined if it names none.
  readonly lastEventId: string | undefined
}

/// One request of a caller. Times are monotonic milliseconds.
export interface ForwardRequest {
  /// Unique within the daemon's process.
  readonly id: string
  /// The caller's id of the request, for logs.
  readonly callerId: string
  readonly host: string
  readonly path: string
  /// When the head of the request arrived.
  readonly arrivedAt: number
  /// How long the caller waits after that; undefined if it did not say. Milliseconds.
  readonly callerDeadlineMs: number | undefined
  readonly prompt: PromptOutline | undefined
  /// Size of its body in bytes; undefined counts as 0.
  readonly bodyBytes?: number | undefined
  /// Prompt tokens plus the maximum of generated tokens, as stated by the caller.
  readonly usageTokens?: number | undefined
  /// Digest of the key that the caller sent; undefined if it sent none.
  readonly keyDigest?: string | undefined
  /// Digest of method, host, path and body. Undefined from users of the machine that have no request bytes,
  /// such as simulations.
  readonly contentDigest?: string | undefined
  /// IP address of the caller's connection.
  readonly callerAddress?: string | undefined
  /// Undefined unless the caller takes up a stream that an earlier attempt began.
  readonly resumption?: StreamResumption | undefined
}

/// Number of tokens in the parts that other requests may share: all but the last, which is specific to the
/// request.
export function getSharedTokens(prompt: PromptOutline): number {
  return prompt.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0)
}

/// A key that is equal for requests with the same shared parts; empty if there are none.
export function getSharedKey(prompt: PromptOutline): string {
  return prompt.parts
    .slice(0, -1)
    .map(part => part.id)
    .join(",")
}
