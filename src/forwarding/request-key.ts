/// What makes two requests the same one, at whatever daemon they arrive: what is asked, and who asks. A caller's next try has another
/// id and may come on another connection, so neither counts.
import {createHash} from "node:crypto"
import type {ForwardRequest} from "./forward-request.js"
import type {Tenant} from "./route.js"

/// Keeps these digests apart from those of the same bytes made for other ends.
const DOMAIN = "pulleyledge request"
/// Characters of base64 kept: 96 bits, beyond two requests of a fleet's lifetime with one digest.
const DIGEST_LENGTH = 16

/// What a caller sent, as far as a repetition of the request has it again.
export interface RequestContent {
  readonly method: string
  readonly host: string
  /// With its query.
  readonly path: string
  readonly body: Uint8Array
}

/// A digest of what is asked. Its cost grows with the body: some 0.05 ms for 20 kB.
export function digestContent({method, host, path, body}: RequestContent): string {
  const digest = createHash("sha256").update(`${DOMAIN}\n${method}\n${host}\n${path}\n`).update(body)
  return digest.digest("base64url").slice(0, DIGEST_LENGTH)
}

/// Who asks: the tenant that a key belongs to, or the address of a caller who needs none.
export function getCaller({callerAddress}: ForwardRequest, tenant: Tenant | undefined): string {
  return tenant?.name ?? callerAddress ?? ""
}

/// The key of a request: the same for each try of one caller for one thing. Undefined where what is asked is not known.
export function getRequestKey(request: ForwardRequest, tenant: Tenant | undefined): string | undefined {
  const {contentDigest} = request
  return contentDigest === undefined ? undefined : `${contentDigest} ${getCaller(request, tenant)}`
}
