/**
 * Derives a daemon's contact with its peers for the rule on stale configurations. Owns no state.
 */
import type { PeerContact } from '../configuration/configuration-replica.js';
import type { Membership } from '../membership/membership.js';

/** The contact at `now` (monotonic milliseconds). A daemon that knows no peers counts as in contact. */
export function getPeerContact(membership: Membership, now: number): PeerContact {
  const { alive, known } = membership.getContact();
  return { alive, known, lastContactAt: known <= 1 ? now : membership.getLastContactAt() };
}
