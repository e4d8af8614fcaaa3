/** The router's view of a completion request. Owns no state. */

/** A prompt. The text is forwarded to the engine; the router uses only its length and its prefix. */
export interface Prompt {
  readonly text: string;
  readonly tokens: number;
  readonly prefixKey: string;
}

/** A caller's completion request. */
export interface CompletionRequest {
  readonly requestId: string;
  readonly service: string;
  readonly prompt: Prompt;
  readonly maximumTokens: number;
  /** Monotonic milliseconds. */
  readonly receivedAt: number;
  /** Time limit set by the caller; undefined means the deadline of the service's row. Milliseconds. */
  readonly timeoutMs: number | undefined;
  /** Identical for all retries that a caller makes of the same request; undefined when unknown. */
  readonly key?: string | undefined;
}

/** Approximate characters per token. A rule of thumb for English text. */
const CHARACTERS_PER_TOKEN = 4;
/** Length of the prefix key: prompts that begin with the same characters share one. Characters. */
const PREFIX_CHARACTERS = 256;

/** Creates a prompt from its text; the token count is an estimate. */
export function describePrompt(text: string): Prompt {
  const tokens = Math.max(1, Math.ceil(text.length / CHARACTERS_PER_TOKEN));
  return { text, tokens, prefixKey: text.slice(0, PREFIX_CHARACTERS) };
}
