/** Codec of messages between daemons: devalue text, one message per line, validated on receipt. */
import { stringify, unflatten } from 'devalue';
import * as z from 'zod';
import { serviceRowSchema } from '../configuration/service-row.js';
import type { PeerMessage } from '../daemon/peer-messages.js';
import { PeerProtocolError } from '../errors/index.js';
import { dutyMessageSchemas } from '../duties/duty-messages.js';
import { fleetMessageSchemas } from '../fleet/fleet-messages.js';
import {
  tunnelAnswerSchema,
  tunnelEndRequestSchema,
  tunnelEndSchema,
  tunnelRequestSchema,
  type TunnelAnswer,
  type TunnelEnd,
  type TunnelEndRequest,
  type TunnelRequest,
} from '../forwarding/tunnel-messages.js';
import { partMessageSchemas } from '../quarantine/prompt-parts/part-messages.js';
import { quarantineMessageSchemas } from '../quarantine/quarantine-messages.js';
import { quotaMessageSchemas } from '../quotas/quota-messages.js';
import { peerAddressSchema } from '../shared/address.js';
import { streamMessageSchemas } from '../streams/origin-messages.js';

const text = z.string().max(512);
const count = z.number().finite();
const memberUpdate = z.tuple([
  text,
  peerAddressSchema,
  text,
  text,
  count,
  z.enum(['alive', 'suspect', 'leaving', 'dead']),
]);
const updates = z.array(memberUpdate);
const held = z.array(z.tuple([text, count]));
const phase = z.enum(['active', 'draining', 'changing', 'leaving']);
const assignment = z.object({
  role: z.enum(['prefill', 'decode', 'mixed']),
  model: text,
  version: count,
  adapters: z.array(text),
});
const capability = z.object({
  prefillRate: count,
  decodeRate: count,
  mixedPrefillRate: count,
  mixedPromptOnlyRate: count,
  mixedDecodeRate: count,
  mixedOutputOnlyRate: count,
  roleChangeMs: count,
});

/** Schema of an engine's report; the HTTP engine client uses it too. */
export const engineReportSchema = z.object({
  assignment,
  phase,
  streams: count,
  maximumStreams: count,
  waitingPrefillTokens: count,
  cachedShare: count,
  capability,
  clockMs: count,
  epoch: count,
  sequence: count,
});

/** Schema of every message between daemons. */
export const peerMessageSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('ping'),
    sequence: count,
    target: text,
    updates,
    wallMs: count.optional(),
    tunnels: z.boolean().optional(),
  }),
  z.object({
    kind: z.literal('ack'),
    sequence: count,
    updates,
    wallMs: count.optional(),
    tunnels: z.boolean().optional(),
  }),
  z.object({ kind: z.literal('pingRequest'), sequence: count, target: text }),
  z.object({ kind: z.literal('syncDigest'), digest: count }),
  z.object({ kind: z.literal('sync'), reply: z.boolean(), members: updates }),
  z.object({ kind: z.literal('configurationPull'), sequence: count, revision: count }),
  z.object({
    kind: z.literal('configurationRows'),
    sequence: count,
    revision: count,
    ageMs: count,
    tableDown: z.boolean(),
    rows: z.array(z.tuple([text, count, serviceRowSchema.nullable()])),
  }),
  z.object({ kind: z.literal('slotRequest'), service: text, token: count }),
  z.object({ kind: z.literal('slotGrant'), service: text, token: count }),
  z.object({ kind: z.literal('slotRefuse'), service: text, token: count, retryAfterMs: count }),
  z.object({ kind: z.literal('slotCancel'), service: text, token: count }),
  z.object({ kind: z.literal('slotRelease'), held }),
  z.object({ kind: z.literal('slotRenew'), held }),
  z.object({ kind: z.literal('slotHandover'), service: text, holders: held }),
  z.object({
    kind: z.literal('cellDigest'),
    cell: text,
    sequence: count,
    coordinator: text,
    relayTo: z.array(text),
    loads: z.array(z.tuple([text, phase, count, count, count])),
    descriptions: z.array(
      z.object({ id: text, address: peerAddressSchema, zone: text, report: engineReportSchema }),
    ),
  }),
  z.object({
    kind: z.literal('demandReport'),
    cell: text,
    demands: z.array(z.tuple([text, count, count, count])),
  }),
  ...fleetMessageSchemas,
  ...dutyMessageSchemas,
  ...quotaMessageSchemas,
  ...quarantineMessageSchemas,
  ...partMessageSchemas,
  ...streamMessageSchemas,
]);

const helloSchema = z.object({ kind: z.literal('hello'), id: text, address: peerAddressSchema });

const announcementSchema = z.object({ kind: z.literal('announcement'), reads: z.array(text) });

/** The first line that the receiver of messages sends back; an older daemon sends an empty one. */
export type PeerAnnouncementLine = z.infer<typeof announcementSchema>;

/** The first line on a connection for messages, which identifies the sender. */
export type PeerHello = z.infer<typeof helloSchema>;

const firstLineSchema = z.discriminatedUnion('kind', [
  helloSchema,
  tunnelRequestSchema,
  tunnelEndRequestSchema,
]);

/** Encodes a message as a line, without the line break. devalue escapes line breaks inside strings. */
export function encodePeerMessage(message: PeerMessage | PeerHello | PeerAnnouncementLine): string {
  return stringify(message);
}

/**
 * Decodes a line.
 * @throws PeerProtocolError when it is not devalue text or not a known message.
 */
export function decodePeerMessage(line: string): PeerMessage {
  return decode(line, peerMessageSchema) as PeerMessage;
}

/**
 * Decodes the first line of a connection.
 * @throws PeerProtocolError when it is neither a hello nor a request about a tunnel.
 */
export function decodeFirstLine(line: string): PeerHello | TunnelRequest | TunnelEndRequest {
  return decode(line, firstLineSchema);
}

/** Decodes the kinds that a peer announces: none if the line is no announcement, as that of an older daemon. */
export function decodeAnnouncement(line: string): readonly string[] {
  try {
    return decode(line, announcementSchema).reads;
  } catch (error) {
    if (error instanceof PeerProtocolError) return [];
    throw error;
  }
}

/** Encodes a request for a tunnel, or for its end, as a line, without the line break. */
export function encodeTunnelRequest(request: TunnelRequest | TunnelEndRequest): string {
  return stringify(request);
}

/** Encodes the answer to such a request as a line, without the line break. */
export function encodeTunnelAnswer(answer: TunnelAnswer | TunnelEnd): string {
  return stringify(answer);
}

/**
 * Decodes the answer to a request for a tunnel.
 * @throws PeerProtocolError when it is none.
 */
export function decodeTunnelAnswer(line: string): TunnelAnswer {
  return decode(line, tunnelAnswerSchema);
}

/**
 * Decodes the answer to a request for the end of a tunnel.
 * @throws PeerProtocolError when it is none.
 */
export function decodeTunnelEnd(line: string): TunnelEnd {
  return decode(line, tunnelEndSchema);
}

/** What devalue writes as the first item of a sparse array, whose length is not bounded by that of the line. */
const SPARSE = -7;

/**
 * Parses devalue text of plain values. Messages hold no others, and some of them cost far more than their text: a
 * sparse array of four thousand million items, or a number of a million digits.
 */
function parsePlain(line: string): unknown {
  const items: unknown = JSON.parse(line);
  if (!Array.isArray(items)) throw new PeerProtocolError('not a list of values');
  const isOther = (item: unknown): boolean =>
    Array.isArray(item) && (typeof item[0] === 'string' || item[0] === SPARSE);
  if (items.some(isOther)) throw new PeerProtocolError('a value that is not plain');
  return unflatten(items);
}

function decode<Output>(line: string, schema: z.ZodType<Output>): Output {
  let value: unknown;
  try {
    value = parsePlain(line);
  } catch (error) {
    throw new PeerProtocolError((error as Error).message);
  }
  const result = schema.safeParse(value);
  if (result.success) return result.data;
  const issue = result.error.issues[0];
  throw new PeerProtocolError(`${issue.path.join('.')}: ${issue.message}`);
}
