/**
 * All messages between daemons, both forwarding daemons and daemons that serve completions. Each ignores the
 * kinds that only the other uses. Owns only the union: each message is defined next to the machine that sends
 * it.
 */
import type { ConfigurationMessage } from '../configuration/configuration-replica.js';
import type { UsageCounts } from '../duties/duty-messages.js';
import type { FleetMessage } from '../fleet/fleet-messages.js';
import type { LimitMessage } from '../limits/limit-messages.js';
import type { MembershipMessage } from '../membership/membership-messages.js';
import type { PartMessage } from '../quarantine/prompt-parts/part-messages.js';
import type { QuarantineMessage } from '../quarantine/quarantine-messages.js';
import type { QuotaMessage } from '../quotas/quota-messages.js';
import type { StreamMessage } from '../streams/origin-messages.js';
import type { CellMessage } from './cell-messages.js';

/** A message between daemons. */
export type PeerMessage =
  | MembershipMessage
  | ConfigurationMessage
  | LimitMessage
  | CellMessage
  | FleetMessage
  | UsageCounts
  | QuotaMessage
  | QuarantineMessage
  | PartMessage
  | StreamMessage;
