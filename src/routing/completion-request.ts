/** A completion as the router sees it. Owns no state. */

/** A prompt. The text travels to the engine; the router needs only its length and its prefix. */
export interface Prompt {
  readonly text: string;
  readonly tokens: number;
  readonly prefixKey: string;
}

/** A completion asked for by a caller. */
export interface CompletionRequest {
  readonly requestId: string;
  readonly service: string;
  readonly prompt: Prompt;
  readonly maximumTokens: number;
  /** Monotonic milliseconds. */
  readonly receivedAt: number;
  /** Time allowed, from the caller or the service's row. Milliseconds. */
  readonly timeoutMs: number | undefined;
  /** The same for each try of one caller for one thing; undefined where that is not known. */
  readonly key?: string | undefined;
}

/** Characters of a prompt that make about a token. A rule of thumb for English text. */
const CHARACTERS_PER_TOKEN = 4;
/** Prompts that begin with the same characters share a prefix key. */
const PREFIX_CHARACTERS = 256;

/** Describes a prompt text; the token count is an estimate. */
export function describePrompt(text: string): Prompt {
  const tokens = Math.max(1, Math.ceil(text.length / CHARACTERS_PER_TOKEN));
  return { text, tokens, prefixKey: text.slice(0, PREFIX_CHARACTERS) };
}
