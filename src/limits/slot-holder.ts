/**
 * The side of a service's limits that runs requests: asks the owner for slots, renews and releases them. Owns
 * the slots held here and the requests that wait for one; relies on the owner's side in slot-owner.ts.
 */
import type { EffectSink } from '../shared/effect-sink.js';
import type { HeldSlots, LimitMessage, LimitSettings } from './limit-messages.js';

/** What the holder asks its runner to do. */
export type HolderEffect =
  | { readonly kind: 'sendLimit'; readonly daemonId: string; readonly message: LimitMessage }
  /** The request has its slot. */
  | { readonly kind: 'slotGranted'; readonly requestId: string }
  /** The waiting limit is reached. */
  | { readonly kind: 'slotRefused'; readonly requestId: string; readonly retryAfterMs: number }
  /** The owner did not answer in time. */
  | { readonly kind: 'slotTimedOut'; readonly requestId: string };

interface Pending {
  readonly requestId: string;
  readonly service: string;
  readonly token: number;
  owner: string;
  sentAt: number;
  /** When the owner was last known to be there: by a message, or by the start of the wait. */
  heardAt: number;
}

/** The holder state machine of one daemon. Times are monotonic milliseconds. */
export class SlotHolder {
  private readonly pending = new Map<number, Pending>();
  private readonly held = new Map<string, number>();
  private readonly releases = new Map<string, number>();
  private nextToken = 0;
  private nextRenewAt = 0;

  constructor(
    private readonly settings: LimitSettings,
    private readonly ownerOf: (service: string) => string | undefined,
    private readonly emit: EffectSink<HolderEffect>,
  ) {}

  /** Slots held, by service, for status pages. */
  getHeldSlots(): HeldSlots[] {
    return [...this.held];
  }

  /** Requests that wait for a slot. */
  countWaiting(): number {
    return this.pending.size;
  }

  /** Asks for a slot; the answer comes as an effect. */
  acquire(requestId: string, service: string, now: number): void {
    const owner = this.ownerOf(service);
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
      heardAt: now,
    });
    this.emit({
      kind: 'sendLimit',
      daemonId: owner,
      message: { kind: 'slotRequest', service, token: this.nextToken },
    });
  }

  /** The request no longer waits for its slot. */
  cancel(requestId: string): void {
    for (const pending of this.pending.values()) {
      if (pending.requestId !== requestId) continue;
      this.pending.delete(pending.token);
      const message: LimitMessage = { kind: 'slotCancel', service: pending.service, token: pending.token };
      this.emit({ kind: 'sendLimit', daemonId: pending.owner, message });
    }
  }

  /** Gives a slot back. Releases of one tick go out together. */
  release(service: string): void {
    const count = this.held.get(service) ?? 0;
    if (count <= 1) this.held.delete(service);
    else this.held.set(service, count - 1);
    this.releases.set(service, (this.releases.get(service) ?? 0) + 1);
  }

  /** Takes a grant or refusal from an owner. */
  receive(fromId: string, message: LimitMessage): void {
    if (message.kind !== 'slotGrant' && message.kind !== 'slotRefuse') return;
    const pending = this.pending.get(message.token);
    if (!pending || pending.owner !== fromId) {
      // A late grant to a request that has gone: the slot is not needed.
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

  /** Sends releases and renewals, moves waiting requests to new owners, and ends the wait for silent ones. */
  tick(now: number, ownerIsUp: (daemonId: string) => boolean): void {
    this.flushReleases();
    if (now >= this.nextRenewAt) {
      this.nextRenewAt = now + this.settings.renewIntervalMs;
      this.renew();
    }
    for (const pending of [...this.pending.values()]) this.checkPending(pending, now, ownerIsUp);
  }

  private checkPending(pending: Pending, now: number, ownerIsUp: (daemonId: string) => boolean): void {
    const owner = this.ownerOf(pending.service);
    if (owner !== undefined && owner !== pending.owner) {
      pending.owner = owner;
      pending.heardAt = now;
      const message: LimitMessage = { kind: 'slotRequest', service: pending.service, token: pending.token };
      this.emit({ kind: 'sendLimit', daemonId: owner, message });
      return;
    }
    if (ownerIsUp(pending.owner)) pending.heardAt = now;
    if (now - pending.heardAt <= this.settings.ownerTimeoutMs) return;
    this.pending.delete(pending.token);
    this.emit({ kind: 'slotTimedOut', requestId: pending.requestId });
  }

  private flushReleases(): void {
    this.sendByOwner([...this.releases], 'slotRelease');
    this.releases.clear();
  }

  private renew(): void {
    this.sendByOwner([...this.held], 'slotRenew');
  }

  private sendByOwner(slots: readonly HeldSlots[], kind: 'slotRelease' | 'slotRenew'): void {
    const byOwner = new Map<string, HeldSlots[]>();
    for (const slot of slots) {
      const owner = this.ownerOf(slot[0]);
      if (owner === undefined) continue;
      const list = byOwner.get(owner);
      if (list) list.push(slot);
      else byOwner.set(owner, [slot]);
    }
    for (const [daemonId, held] of byOwner)
      this.emit({ kind: 'sendLimit', daemonId, message: { kind, held } });
  }
}
