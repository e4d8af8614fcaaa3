/** Helpers for header lists in which names and values stand in turn. */
import type { RawHeaders } from './backend-dialect.js';

const CONNECTION_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** The first value of a header; `name` in lower case. */
export function getHeaderValue(headers: RawHeaders, name: string): string | undefined {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index].toLowerCase() === name) return headers[index + 1];
  }
  return undefined;
}

/** The value of a header that stands once; undefined when it is missing or stands several times. */
export function getSingleHeaderValue(headers: RawHeaders, name: string): string | undefined {
  let value: string | undefined;
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index].toLowerCase() !== name) continue;
    if (value !== undefined) return undefined;
    value = headers[index + 1];
  }
  return value;
}

/** The headers that are not for one connection only, without those named in `dropped` (lower case). */
export function pickEndToEndHeaders(headers: RawHeaders, dropped: ReadonlySet<string>): string[] {
  const named = new Set(
    (getHeaderValue(headers, 'connection') ?? '').split(',').map((token) => token.trim().toLowerCase()),
  );
  const kept: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index].toLowerCase();
    if (CONNECTION_HEADERS.has(name) || named.has(name) || dropped.has(name)) continue;
    kept.push(headers[index], headers[index + 1]);
  }
  return kept;
}
