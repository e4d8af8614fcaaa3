/**
 * The client side of a service's limits: asks the owner for slots, renews and releases them. Owns the slots
 * that this daemon holds and the requests that wait for one; relies on the owner's side in slot-owner.ts.
 */
import type { EffectSink } from '../shared/effect-sink.js';
import type { HeldSlots, LimitMessage, LimitSettings } from './limit-messages.js';

/** Effects of the holder, for the caller to perform. */
export type HolderEffect =
  | { readonly kind: 'sendLimit'; readonly daemonId: string; readonly message: LimitMessage }
  /** The owner granted a slot to the request. */
  | { readonly kind: 'slotGranted'; readonly requestId: string }
  /** The owner refused: the service's waiting limit is reached. */
  | { readonly kind: 'slotRefused'; readonly requestId: string; readonly retryAfterMs: number }
  /** The owner has been unreachable for `ownerTimeoutMs`, or there is no owner. */
  | { readonly kind: 'slotTimedOut'; readonly requestId: string };

interface PendingRequest {
  readonly requestId: string;
  readonly service: string;
  readonly token: number;
  owner: string;
  sentAt: number;
  /** When the owner was last seen alive by the membership, or when the request was sent to it. */
  lastContactAt: number;
}

/** The holder state machine of one daemon. Times are monotonic milliseconds. */
export class SlotHolder {
  private readonly pending = new Map<number, PendingRequest>();
  private readonly held = new Map<string, number>();
  private readonly releases = new Map<string, number>();
  private nextToken = 0;
  private nextRenewAt = 0;

  constructor(
    private readonly settings: LimitSettings,
    private readonly getOwner: (service: string) => string | undefined,
    private readonly emit: EffectSink<HolderEffect>,
  ) {}

  /** Asks for a slot; the answer comes as an effect. */
  acquire(requestId: string, service: string, now: number): void {
    const owner = this.getOwner(service);
    if (owner === undefined) {
      this.emit({ kind: 'slotTimedOut', requestId });
      return;
    }
    this.nextToken += 1;
    this.pending.set(this.nextToken, {
      requestId,
      service,
      token: this.nextToken,
      owner,
      sentAt: now,
      lastContactAt: now,
    });
    this.emit({
      kind: 'sendLimit',
      daemonId: owner,
      message: { kind: 'slotRequest', service, token: this.nextToken },
    });
  }

  /** Cancels the slot request of a request that no longer needs it. */
  cancel(requestId: string): void {
    for (const pending of this.pending.values()) {
      if (pending.requestId !== requestId) continue;
      this.pending.delete(pending.token);
      const message: LimitMessage = { kind: 'slotCancel', service: pending.service, token: pending.token };
      this.emit({ kind: 'sendLimit', daemonId: pending.owner, message });
    }
  }

  /** Returns a slot. Releases between two ticks are sent together. */
  release(service: string): void {
    const count = this.held.get(service) ?? 0;
    if (count <= 1) this.held.delete(service);
    else this.held.set(service, count - 1);
    this.releases.set(service, (this.releases.get(service) ?? 0) + 1);
  }

  /** Handles a grant or refusal from an owner. */
  receive(fromId: string, message: LimitMessage): void {
    if (message.kind !== 'slotGrant' && message.kind !== 'slotRefuse') return;
    const pending = this.pending.get(message.token);
    if (!pending || pending.owner !== fromId) {
      // A grant for a request that no longer waits for this owner: return the slot.
      if (message.kind === 'slotGrant') {
        this.emit({
          kind: 'sendLimit',
          daemonId: fromId,
          message: { kind: 'slotRelease', held: [[message.service, 1]] },
        });
      }
      return;
    }
    this.pending.delete(message.token);
    if (message.kind === 'slotRefuse') {
      this.emit({ kind: 'slotRefused', requestId: pending.requestId, retryAfterMs: message.retryAfterMs });
      return;
    }
    this.held.set(message.service, (this.held.get(message.service) ?? 0) + 1);
    this.emit({ kind: 'slotGranted', requestId: pending.requestId });
  }

  /** Sends releases and renewals, resends waiting requests to a new owner, and times out unreachable owners. */
  tick(now: number, isOwnerAlive: (daemonId: string) => boolean): void {
    this.sendReleases();
    if (now >= this.nextRenewAt) {
      this.nextRenewAt = now + this.settings.renewIntervalMs;
      this.sendRenewals();
    }
    for (const pending of [...this.pending.values()]) this.checkPending(pending, now, isOwnerAlive);
  }

  private checkPending(
    pending: PendingRequest,
    now: number,
    isOwnerAlive: (daemonId: string) => boolean,
  ): void {
    const owner = this.getOwner(pending.service);
    if (owner !== undefined && owner !== pending.owner) {
      pending.owner = owner;
      pending.lastContactAt = now;
      const message: LimitMessage = { kind: 'slotRequest', service: pending.service, token: pending.token };
      this.emit({ kind: 'sendLimit', daemonId: owner, message });
      return;
    }
    if (isOwnerAlive(pending.owner)) pending.lastContactAt = now;
    if (now - pending.lastContactAt <= this.settings.ownerTimeoutMs) return;
    this.pending.delete(pending.token);
    this.emit({ kind: 'slotTimedOut', requestId: pending.requestId });
  }

  private sendReleases(): void {
    this.sendByOwner([...this.releases], 'slotRelease');
    this.releases.clear();
  }

  private sendRenewals(): void {
    this.sendByOwner([...this.held], 'slotRenew');
  }

  private sendByOwner(slots: readonly HeldSlots[], kind: 'slotRelease' | 'slotRenew'): void {
    const byOwner = new Map<string, HeldSlots[]>();
    for (const slot of slots) {
      const owner = this.getOwner(slot[0]);
      if (owner === undefined) continue;
      const list = byOwner.get(owner);
      if (list) list.push(slot);
      else byOwner.set(owner, [slot]);
    }
    for (const [daemonId, held] of byOwner)
      this.emit({ kind: 'sendLimit', daemonId, message: { kind, held } });
  }
}
