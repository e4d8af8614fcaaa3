/// Names one start of a back end. A back end that is restarted may keep its id; then only the time of its
/// start distinguishes the two. Owns the form of these names, which daemons exchange.
import type {BackendRecord} from "../forwarding/routes/route.js"

/// The name of the incarnation that a record describes.
export function getIncarnation({id, bornMs}: Pick<BackendRecord, "id" | "bornMs">): string {
  return bornMs === undefined ? id : `${id}@${bornMs}`
}
