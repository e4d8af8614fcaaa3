/**
 * The owner's side of a service's limits: grants slots as leases and keeps the queue of waiting requests.
 * A daemon that has just become owner waits one slot lease before it grants, so that the renewals of slots
 * granted by its predecessor reach it first. After a handover from a leaving owner it need not wait.
 */
import { getSlotQueueRetryAfterMs, MAXIMUM_SLOT_QUEUE_RETRY_AFTER_MS } from '../routing/retry-after.js';
import type { EffectSink } from '../shared/effect-sink.js';
import type { HeldSlots, LimitMessage, LimitSettings } from './limit-messages.js';

/** Limits of a service. */
interface ServiceLimits {
  /** Slots in the whole fleet. */
  readonly maximumConcurrency: number;
  /** Requests that may wait for a slot. */
  readonly maximumWaiting: number;
}

/** Effects of the owner, for the caller to perform. */
interface OwnerEffect {
  readonly kind: 'sendLimit';
  readonly daemonId: string;
  readonly message: LimitMessage;
}

interface HeldCount {
  count: number;
  expiresAt: number;
}

interface QueuedRequest {
  readonly daemonId: string;
  readonly token: number;
}

interface OwnedService {
  readonly holders: Map<string, HeldCount>;
  readonly queue: QueuedRequest[];
  /** No slot is granted before this time. */
  grantsStartAt: number;
  completedCountedSince: number;
  completed: number;
}

/** The owner state machine of one daemon, for all services that it owns. Times are monotonic milliseconds. */
export class SlotOwner {
  private readonly services = new Map<string, OwnedService>();

  constructor(
    private readonly settings: LimitSettings,
    private readonly getLimits: (service: string) => ServiceLimits | undefined,
    private readonly emit: EffectSink<OwnerEffect>,
    /**
     * When the set of owners last changed, at first when this daemon joined. A service whose first request
     * comes within one slot lease of that time may have had another owner.
     */
    private ownershipChangedAt: number,
  ) {}

  /** Slots in use and requests waiting, for each service with state here; for the status document. */
  getUsage(): { service: string; held: number; waiting: number }[] {
    return [...this.services].map(([service, owned]) => ({
      service,
      held: countHeldSlots(owned),
      waiting: owned.queue.length,
    }));
  }

  /**
   * A daemon joined or left: services that this daemon begins to own from now on may have slots that another
   * owner granted.
   */
  onMembershipChanged(now: number): void {
    this.ownershipChangedAt = now;
  }

  /** Handles a message from a holder or from the previous owner. */
  receive(fromId: string, message: LimitMessage, now: number): void {
    switch (message.kind) {
      case 'slotRequest':
        this.receiveRequest(fromId, message.service, message.token, now);
        break;
      case 'slotCancel':
        this.removeRequest(fromId, message.service, message.token);
        break;
      case 'slotRelease':
        for (const [service, count] of message.held) this.applyRelease(fromId, service, count, now);
        break;
      case 'slotRenew':
        this.applyRenewal(fromId, message.held, now);
        break;
      case 'slotHandover':
        this.applyHandover(message.service, message.holders, now);
        break;
      case 'slotGrant':
      case 'slotRefuse':
        break;
    }
  }

  /** Frees expired slots, grants free slots to waiting requests, and drops the state of idle services. */
  tick(now: number): void {
    for (const [service, owned] of this.services) {
      for (const [daemonId, holding] of owned.holders) {
        if (holding.count === 0 || now > holding.expiresAt) owned.holders.delete(daemonId);
      }
      this.grantWaiting(service, owned, now);
      const idle = owned.holders.size === 0 && owned.queue.length === 0;
      if (idle && now > owned.grantsStartAt + this.settings.slotLeaseMs) this.services.delete(service);
    }
  }

  /**
   * Removes the waiting requests of a dead daemon. Its slots are kept until they expire, since its requests
   * may still be executing.
   */
  removeWaitingOf(daemonId: string): void {
    for (const owned of this.services.values()) {
      for (let index = owned.queue.length - 1; index >= 0; index -= 1) {
        if (owned.queue[index].daemonId === daemonId) owned.queue.splice(index, 1);
      }
    }
  }

  /** Hands every service over to its next owner. */
  handOver(successorOf: (service: string) => string | undefined): void {
    for (const [service, owned] of this.services) {
      const successor = successorOf(service);
      if (successor === undefined) continue;
      const holders = [...owned.holders].map(([daemonId, holding]) => [daemonId, holding.count] as const);
      this.emit({
        kind: 'sendLimit',
        daemonId: successor,
        message: { kind: 'slotHandover', service, holders },
      });
    }
    this.services.clear();
  }

  private getService(service: string, now: number): OwnedService {
    const known = this.services.get(service);
    if (known) return known;
    const grantsStartAt = Math.min(now, this.ownershipChangedAt) + this.settings.slotLeaseMs;
    const owned: OwnedService = {
      holders: new Map(),
      queue: [],
      grantsStartAt,
      completedCountedSince: now,
      completed: 0,
    };
    this.services.set(service, owned);
    return owned;
  }

  private receiveRequest(daemonId: string, service: string, token: number, now: number): void {
    const limits = this.getLimits(service);
    const owned = this.getService(service, now);
    if (!limits) {
      this.refuse(daemonId, service, token, MAXIMUM_SLOT_QUEUE_RETRY_AFTER_MS);
      return;
    }
    if (owned.queue.length === 0 && this.mayGrant(owned, limits, now)) {
      this.grant(daemonId, service, token, owned, now);
      return;
    }
    if (owned.queue.length >= limits.maximumWaiting) {
      const elapsedMs = now - owned.completedCountedSince;
      const retryAfterMs = getSlotQueueRetryAfterMs(owned.queue.length, owned.completed, elapsedMs);
      this.refuse(daemonId, service, token, retryAfterMs);
      return;
    }
    owned.queue.push({ daemonId, token });
  }

  private mayGrant(owned: OwnedService, limits: ServiceLimits, now: number): boolean {
    return now >= owned.grantsStartAt && countHeldSlots(owned) < limits.maximumConcurrency;
  }

  private grant(daemonId: string, service: string, token: number, owned: OwnedService, now: number): void {
    const holding = owned.holders.get(daemonId) ?? { count: 0, expiresAt: 0 };
    holding.count += 1;
    holding.expiresAt = now + this.settings.slotLeaseMs;
    owned.holders.set(daemonId, holding);
    this.emit({ kind: 'sendLimit', daemonId, message: { kind: 'slotGrant', service, token } });
  }

  private refuse(daemonId: string, service: string, token: number, retryAfterMs: number): void {
    this.emit({ kind: 'sendLimit', daemonId, message: { kind: 'slotRefuse', service, token, retryAfterMs } });
  }

  private removeRequest(daemonId: string, service: string, token: number): void {
    const queue = this.services.get(service)?.queue;
    const index =
      queue?.findIndex((waiting) => waiting.daemonId === daemonId && waiting.token === token) ?? -1;
    if (index >= 0) queue?.splice(index, 1);
  }

  private applyRelease(daemonId: string, service: string, count: number, now: number): void {
    const owned = this.services.get(service);
    const holding = owned?.holders.get(daemonId);
    if (!owned || !holding) return;
    holding.count = Math.max(0, holding.count - count);
    owned.completed += count;
    this.grantWaiting(service, owned, now);
  }

  private grantWaiting(service: string, owned: OwnedService, now: number): void {
    const limits = this.getLimits(service);
    while (limits && owned.queue.length > 0 && this.mayGrant(owned, limits, now)) {
      const next = owned.queue.shift() as QueuedRequest;
      this.grant(next.daemonId, service, next.token, owned, now);
    }
  }

  /** Accepts a renewal even beyond the limit, since the requests are already executing. */
  private applyRenewal(daemonId: string, held: readonly HeldSlots[], now: number): void {
    for (const [service, count] of held) {
      const owned = this.getService(service, now);
      const holding = owned.holders.get(daemonId) ?? { count: 0, expiresAt: 0 };
      holding.count = Math.max(holding.count, count);
      holding.expiresAt = now + this.settings.slotLeaseMs;
      owned.holders.set(daemonId, holding);
    }
  }

  private applyHandover(service: string, holders: readonly (readonly [string, number])[], now: number): void {
    const owned = this.getService(service, now);
    for (const [daemonId, count] of holders) {
      const known = owned.holders.get(daemonId)?.count ?? 0;
      owned.holders.set(daemonId, {
        count: Math.max(known, count),
        expiresAt: now + this.settings.slotLeaseMs,
      });
    }
    owned.grantsStartAt = now;
  }
}

function countHeldSlots(owned: OwnedService): number {
  let total = 0;
  for (const holding of owned.holders.values()) total += holding.count;
  return total;
}
