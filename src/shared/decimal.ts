/** Decimal numbers in headers. */

/** A number of 0 or more, written as digits with at most one point; undefined for any other text. */
export function parseDecimal(text: string): number | undefined {
  return /^\s*\d+(\.\d+)?\s*$/.test(text) ? Number(text) : undefined;
}
