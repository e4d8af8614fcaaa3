/// Identifies the parts of a prompt that requests share. Owns the form of the keys, which daemons exchange.
import {hash} from "node:crypto"
import type {PromptOutline} from "../../forwarding/forward-request.js"

/// Longer ids are replaced by a digest, since messages bound their texts. Characters.
const MAXIMUM_ID_LENGTH = 64
/// Parts of one prompt that are considered; it bounds the evidence that a single request adds.
const MAXIMUM_PARTS = 128

/// The keys of all parts but the last, which is specific to the request, each once.
export function makePartKeys(prompt: PromptOutline | undefined): readonly string[] {
  const shared = prompt?.parts.slice(0, -1).slice(0, MAXIMUM_PARTS) ?? []
  return [...new Set(shared.map(({id}) => makePartKey(id)))]
}

function makePartKey(id: string): string {
  return id.length <= MAXIMUM_ID_LENGTH ? id : hash("sha256", id, "base64url")
}
