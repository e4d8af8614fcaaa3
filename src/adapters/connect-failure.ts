/** Tells a connection that was never made from one that broke: only the first proves that nothing ran. */

const CONNECT_FAILURE_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Whether an error of undici says that no connection was made. */
export function isConnectFailure(error: unknown): boolean {
  const { code, cause } = error as { code?: string; cause?: { code?: string } };
  return CONNECT_FAILURE_CODES.has(code ?? '') || CONNECT_FAILURE_CODES.has(cause?.code ?? '');
}
