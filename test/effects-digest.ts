/**
 * Digests of all effects of a state machine, except log lines. The kind of an effect is replaced by one of
 * the labels below, and its fields are reduced to a sorted list of values, so that internal names may change
 * while the effects may not. Messages between daemons are compared byte for byte.
 */
import { createHash } from 'node:crypto';
import { appendFileSync } from 'node:fs';
import { encodePeerMessage } from '../src/adapters/peer-codec.js';
import type { CompletionDaemonEffect } from '../src/daemon/completion-messages.js';
import type { PeerMessage } from '../src/daemon/peer-messages.js';
import type { ForwardingEffect } from '../src/daemon/forwarding-messages.js';
import { PulleyledgeError } from '../src/errors/index.js';

/**
 * The label of each kind of effect; undefined for effects that only report a decision, which are left out.
 */
type Labels<Kind extends string> = Readonly<Record<Kind, string | undefined>>;

/** Labels of the forwarding daemon's effects. */
export const FORWARDING_LABELS: Labels<ForwardingEffect['kind']> = {
  abandonAttempt: 'abandonAttempt',
  abortAttempt: 'abortAttempt',
  askEngine: 'askEngine',
  backendGone: 'backendGone',
  change: undefined,
  callDuty: 'callDuty',
  checkBackend: 'checkBackend',
  closeTunnels: 'closeTunnels',
  configurationInForce: 'configurationInForce',
  decision: undefined,
  freeKv: 'freeKv',
  leaseTable: 'leaseTable',
  orderEngine: 'orderEngine',
  probeBackend: 'probeBackend',
  quarantineTable: 'quarantineTable',
  readKvChanges: 'readKvChanges',
  readRecords: 'readRecords',
  replyBroken: 'replyBroken',
  replyFailure: 'replyFailure',
  replyWhole: 'replyWhole',
  sendPeer: 'sendPeer',
  startAttempt: 'startAttempt',
  usageTable: 'usageTable',
};

/** Labels of the effects of the daemon that serves completions. */
export const COMPLETION_LABELS: Labels<CompletionDaemonEffect['kind']> = {
  cancelAttempt: 'cancelAttempt',
  cancelApplicationCall: 'cancelApplicationCall',
  checkBackend: 'checkBackend',
  editAccepted: 'editAccepted',
  editFailed: 'editFailed',
  engineControl: 'engineControl',
  listMachines: 'listMachines',
  log: undefined,
  replyApplication: 'replyApplication',
  replyEnd: 'replyEnd',
  replyFailed: 'replyFailed',
  replyTokens: 'replyTokens',
  sendPeer: 'sendPeer',
  startApplicationCall: 'startApplicationCall',
  startAttempt: 'startAttempt',
  tableRequest: 'tableRequest',
};

type Effect = { readonly kind: string };

/**
 * The effects of one run. Set `EFFECTS_LOG` to a file name to write them there and find the first difference.
 */
export class EffectsDigest {
  /** Number of effects in the digest. */
  count = 0;
  /** The first messages of each kind, as encoded for sending. */
  readonly messages = new Map<string, string[]>();
  private readonly hash = createHash('sha256');

  constructor(private readonly labels: Labels<string>) {}

  /** Adds the effects of one event. */
  add(effects: readonly Effect[], now: number): void {
    for (const effect of effects) {
      const label = this.labels[effect.kind];
      if (label === undefined) continue;
      const line = `${now} ${label} ${this.describe(effect)}\n`;
      this.count += 1;
      this.hash.update(line);
      if (process.env.EFFECTS_LOG) appendFileSync(process.env.EFFECTS_LOG, line);
    }
  }

  /** The digest of all added effects. */
  finish(): string {
    return this.hash.digest('hex').slice(0, 16);
  }

  private describe(effect: Effect): string {
    if ('message' in effect && 'address' in effect) {
      const { address, message } = effect as unknown as { address: string; message: PeerMessage };
      const text = encodePeerMessage(message);
      const kept = this.messages.get(message.kind) ?? [];
      if (
        kept.length < MAXIMUM_MESSAGES_PER_KIND &&
        text.length < MAXIMUM_MESSAGE_LENGTH &&
        !kept.includes(text)
      )
        this.messages.set(message.kind, [...kept, text]);
      return `${address} ${text}`;
    }
    const fields = Object.entries(effect).filter(([name]) => name !== 'kind');
    return listValues(fields.map(([, value]) => value))
      .sort()
      .join(' ');
  }
}

const MAXIMUM_MESSAGES_PER_KIND = 2;
const MAXIMUM_MESSAGE_LENGTH = 1500;

/** The values of a structure, without its field names. */
function listValues(value: unknown): string[] {
  if (value === undefined || typeof value === 'function') return [];
  if (value instanceof PulleyledgeError)
    return [`${value.code}/${value.status}/${value.retryAfterMs}/${value.notRun}`];
  if (value instanceof Error) return [value.message];
  if (value === null || typeof value !== 'object') return [JSON.stringify(value) ?? String(value)];
  if (value instanceof Map) return listValues([...value.entries()]);
  if (value instanceof Set) return listValues([...value]);
  return Object.values(value).flatMap((entry) => listValues(entry));
}
