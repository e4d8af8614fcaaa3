/**
 * A daemon's two roles in the limits of services: holder of slots for its local requests, and owner of some
 * services' limits for all daemons. Messages that it sends to itself are handled like those of peers, after
 * the transition that made them. Owns the state machines of both roles.
 */
import type { ConfigurationReplica } from '../configuration/configuration-replica.js';
import type { LimitMessage, LimitSettings } from '../limits/limit-messages.js';
import { SlotHolder, type HolderEffect } from '../limits/slot-holder.js';
import { SlotOwner } from '../limits/slot-owner.js';
import { SlotOwnership } from '../limits/slot-ownership.js';
import type { Membership } from '../membership/membership.js';
import type { DaemonIdentity } from '../membership/membership-messages.js';
import type { Admission } from './admission.js';
import type { CompletionDaemonEffect } from './completion-messages.js';

/** What the manager reads, and where its effects go. */
interface LimitContext {
  readonly membership: Membership;
  readonly configuration: ConfigurationReplica;
  readonly admission: () => Admission;
  readonly emit: (effect: CompletionDaemonEffect) => void;
  /** Runs a step after the transition that created it. */
  readonly defer: (step: (now: number) => void) => void;
}

/** The limit manager of one daemon. Times are monotonic milliseconds. */
export class LimitManager {
  /** Slots for this daemon's local requests. */
  readonly holder: SlotHolder;
  private readonly owner: SlotOwner;
  private readonly ownership: SlotOwnership;

  constructor(
    private readonly identity: DaemonIdentity,
    settings: LimitSettings,
    private readonly context: LimitContext,
    now: number,
  ) {
    const { configuration, membership } = context;
    this.ownership = new SlotOwnership(identity.id, membership);
    this.owner = new SlotOwner(
      settings,
      (service) => configuration.getService(service),
      (effect) => this.send(effect.daemonId, effect.message),
      now,
    );
    this.holder = new SlotHolder(
      settings,
      (service) => this.ownership.getOwner(service),
      (effect) => this.onHolderEffect(effect),
    );
  }

  /** Services whose limits this daemon owns, with their slots in use and waiting requests, for the status. */
  getUsage(): ReturnType<SlotOwner['getUsage']> {
    return this.owner.getUsage();
  }

  /** Advances timers. */
  tick(now: number): void {
    this.owner.tick(now);
    this.holder.tick(now, (id) => this.ownership.isAlive(id));
  }

  /** Receives a message from a peer or from this daemon itself. */
  receive(fromId: string, message: LimitMessage, now: number): void {
    switch (message.kind) {
      case 'slotGrant':
      case 'slotRefuse':
        this.holder.receive(fromId, message);
        break;
      case 'slotRequest':
      case 'slotCancel':
      case 'slotRelease':
      case 'slotRenew':
      case 'slotHandover':
        this.owner.receive(fromId, message, now);
        break;
    }
  }

  /** Applies a change of members; `deadId` is the ID of a daemon that is believed dead. */
  applyMembership(deadId: string | undefined, now: number): void {
    this.owner.onMembershipChanged(now);
    if (deadId !== undefined) this.owner.removeWaitingOf(deadId);
  }

  /** Sends the holders of all slots to the succeeding owners, when this daemon is leaving. */
  handOver(): void {
    this.owner.handOver((service) => this.ownership.getSuccessor(service));
  }

  private send(daemonId: string, message: LimitMessage): void {
    const { membership, defer, emit } = this.context;
    if (daemonId === this.identity.id) {
      defer((now) => this.receive(daemonId, message, now));
      return;
    }
    const member = membership.get(daemonId);
    if (member) emit({ kind: 'sendPeer', address: member.address, message });
  }

  private onHolderEffect(effect: HolderEffect): void {
    const { admission, defer } = this.context;
    switch (effect.kind) {
      case 'sendLimit':
        this.send(effect.daemonId, effect.message);
        break;
      case 'slotGranted':
        defer((now) => admission().onSlotGranted(effect.requestId, now));
        break;
      case 'slotRefused':
        defer(() => admission().onSlotRefused(effect.requestId, effect.retryAfterMs));
        break;
      case 'slotTimedOut':
        defer(() => admission().onSlotTimedOut(effect.requestId));
        break;
    }
  }
}
