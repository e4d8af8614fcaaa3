/** Parsing of JSON from untrusted sources. */

/** The result of parsing a text as JSON. */
interface ParsedJson {
  /** Undefined when the text is not valid JSON; no JSON text has this value. */
  readonly value: unknown;
  /** Why the text is not valid JSON; undefined when it is. */
  readonly reason: string | undefined;
}

/** Parses JSON. Never throws; the reason of a failure does not quote the text, which may contain keys. */
export function parseJson(text: string): ParsedJson {
  try {
    return { value: JSON.parse(text) as unknown, reason: undefined };
  } catch (error) {
    return { value: undefined, reason: getSyntaxReason(error as SyntaxError) };
  }
}

/** The JavaScript engine's message quotes a part of the text; only the kind and the position are kept. */
function getSyntaxReason({ message }: SyntaxError): string {
  if (/end of JSON input/.test(message)) return 'the JSON ends too early';
  const position = /at position (\d+)/.exec(message)?.[1];
  return position === undefined ? 'it is not JSON' : `it is not JSON at position ${position}`;
}
