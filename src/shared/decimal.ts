/** Parsing of decimal numbers in headers. */

/** Parses a non-negative number of digits and at most one decimal point; undefined for any other text. */
export function parseDecimal(text: string): number | undefined {
  return /^\s*\d+(\.\d+)?\s*$/.test(text) ? Number(text) : undefined;
}
