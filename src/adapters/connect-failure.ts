/**
 * Distinguishes a connection that was never established from one that failed later: only the first proves that
 * nothing was executed.
 */

const CONNECT_FAILURE_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Whether an error of undici means that no connection was established. */
export function isConnectFailure(error: unknown): boolean {
  const { code, cause } = error as { code?: string; cause?: { code?: string } };
  return CONNECT_FAILURE_CODES.has(code ?? '') || CONNECT_FAILURE_CODES.has(cause?.code ?? '');
}
