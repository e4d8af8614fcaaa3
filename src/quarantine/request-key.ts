/// Identifies a request across retries and daemons by its content and its caller. A retry of a caller has
/// another id and may use another connection, so neither counts. A caller without an API key is identified
/// by its address alone, which may differ at the next retry. Owns the form of the keys, which daemons
/// exchange.
import {createHash, hash} from "node:crypto"

/// Domain separation: the same bytes hashed for another purpose give another digest.
const DOMAIN = "pulleyledge request"
/// Characters of base64 kept: 96 bits, so that no two requests in a fleet's lifetime share a digest.
const CONTENT_LENGTH = 16
/// The same for the caller: 48 bits, since only requests with the same content must be distinguished by
/// it.
const CALLER_LENGTH = 8
/// Separates the two digests; it is not in the base64url alphabet.
const SEPARATOR = "/"

/// The parts of a request that a retry of its caller repeats.
interface RequestContent {
  readonly method: string
  readonly host: string
  /// Includes the query.
  readonly path: string
  readonly body: Uint8Array | string
}

/// A digest of the content of a request. Its cost grows with the body: some 0.05 ms for 20 kB.
export function digestContent({method, host, path, body}: RequestContent): string {
  const digest = createHash("sha256").update(`${DOMAIN}\n${method}\n${host}\n${path}\n`).update(body)
  return digest.digest("base64url").slice(0, CONTENT_LENGTH)
}

/// The key of a request: the same for all retries of one content by one caller. `caller` is the tenant
/// that the caller's API key belongs to, or the address of a caller that needs no API key.
export function makeRequestKey(contentDigest: string, caller: string): string {
  return contentDigest + SEPARATOR + hash("sha256", DOMAIN + caller, "base64url").slice(0, CALLER_LENGTH)
}

/// The part of a key that all requests with the same content share, whoever their caller is.
export function getContentOfKey(key: string): string {
  return key.split(SEPARATOR, 1)[0]
}

/// The part of a key that all requests of one caller share.
export function getCallerOfKey(key: string): string {
  return key.slice(key.indexOf(SEPARATOR) + 1)
}
