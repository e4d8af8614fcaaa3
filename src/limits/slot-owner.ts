/**
 * The owner's side of a service's limits: grants slots with expiry and keeps the queue of waiting requests.
 * A daemon that has just become owner waits one slot lease before it grants, so that the renewals of slots
 * granted by its predecessor reach it first; a handover from a leaving owner spares the wait.
 */
import { getSlotQueueRetryAfterMs, MAXIMUM_SLOT_QUEUE_RETRY_AFTER_MS } from '../routing/retry-after.js';
import type { EffectSink } from '../shared/effect-sink.js';
import type { HeldSlots, LimitMessage, LimitSettings } from './limit-messages.js';

/** Limits of a service. */
interface ServiceLimits {
  /** Slots in the whole fleet. */
  readonly maximumConcurrency: number;
  /** Requests that may wait for one. */
  readonly maximumWaiting: number;
}

/** What the owner asks its runner to do. */
interface OwnerEffect {
  readonly kind: 'sendLimit';
  readonly daemonId: string;
  readonly message: LimitMessage;
}

interface Holding {
  count: number;
  expiresAt: number;
}

interface Waiting {
  readonly daemonId: string;
  readonly token: number;
}

interface OwnedService {
  readonly holders: Map<string, Holding>;
  readonly queue: Waiting[];
  /** No grants before this time. */
  grantsFrom: number;
  completedSince: number;
  completed: number;
}

/** The owner state machine of one daemon, for all services that it owns. */
export class SlotOwner {
  private readonly services = new Map<string, OwnedService>();

  constructor(
    private readonly settings: LimitSettings,
    private readonly limitsOf: (service: string) => ServiceLimits | undefined,
    private readonly emit: EffectSink<OwnerEffect>,
    /**
     * When this daemon started to take part; services first seen within a lease of it may have had another
     * owner.
     */
    private ownershipChangedAt: number,
  ) {}

  /** Services with state here, and slots in use, for status pages. */
  getUsage(): { service: string; held: number; waiting: number }[] {
    return [...this.services].map(([service, owned]) => ({
      service,
      held: heldCount(owned),
      waiting: owned.queue.length,
    }));
  }

  /**
   * A daemon joined or went: services that are new here from now on may come with slots granted elsewhere.
   */
  onMembershipChanged(now: number): void {
    this.ownershipChangedAt = now;
  }

  /** Takes a message from a holder or a predecessor. */
  receive(fromId: string, message: LimitMessage, now: number): void {
    switch (message.kind) {
      case 'slotRequest':
        this.request(fromId, message.service, message.token, now);
        break;
      case 'slotCancel':
        this.cancel(fromId, message.service, message.token);
        break;
      case 'slotRelease':
        for (const [service, count] of message.held) this.release(fromId, service, count, now);
        break;
      case 'slotRenew':
        this.renew(fromId, message.held, now);
        break;
      case 'slotHandover':
        this.takeOver(message.service, message.holders, now);
        break;
      case 'slotGrant':
      case 'slotRefuse':
        break;
    }
  }

  /** Frees expired slots and grants to those that wait. */
  tick(now: number): void {
    for (const [service, owned] of this.services) {
      for (const [daemonId, holding] of owned.holders) {
        if (holding.count === 0 || now > holding.expiresAt) owned.holders.delete(daemonId);
      }
      this.grantWaiting(service, owned, now);
      const idle = owned.holders.size === 0 && owned.queue.length === 0;
      if (idle && now > owned.grantsFrom + this.settings.slotLeaseMs) this.services.delete(service);
    }
  }

  /** Drops what a dead daemon waited for; its slots run to their expiry, since its requests may still run. */
  removeWaitingOf(daemonId: string): void {
    for (const owned of this.services.values()) {
      for (let index = owned.queue.length - 1; index >= 0; index -= 1) {
        if (owned.queue[index].daemonId === daemonId) owned.queue.splice(index, 1);
      }
    }
  }

  /** Hands every service to its next owner. */
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

  private owned(service: string, now: number): OwnedService {
    const known = this.services.get(service);
    if (known) return known;
    const grantsFrom = Math.min(now, this.ownershipChangedAt) + this.settings.slotLeaseMs;
    const owned: OwnedService = {
      holders: new Map(),
      queue: [],
      grantsFrom,
      completedSince: now,
      completed: 0,
    };
    this.services.set(service, owned);
    return owned;
  }

  private request(daemonId: string, service: string, token: number, now: number): void {
    const limits = this.limitsOf(service);
    const owned = this.owned(service, now);
    if (!limits) {
      this.refuse(daemonId, service, token, MAXIMUM_SLOT_QUEUE_RETRY_AFTER_MS);
      return;
    }
    if (owned.queue.length === 0 && this.mayGrant(owned, limits, now)) {
      this.grant(daemonId, service, token, owned, now);
      return;
    }
    if (owned.queue.length >= limits.maximumWaiting) {
      const elapsedMs = now - owned.completedSince;
      const retryAfterMs = getSlotQueueRetryAfterMs(owned.queue.length, owned.completed, elapsedMs);
      this.refuse(daemonId, service, token, retryAfterMs);
      return;
    }
    owned.queue.push({ daemonId, token });
  }

  private mayGrant(owned: OwnedService, limits: ServiceLimits, now: number): boolean {
    return now >= owned.grantsFrom && heldCount(owned) < limits.maximumConcurrency;
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

  private cancel(daemonId: string, service: string, token: number): void {
    const queue = this.services.get(service)?.queue;
    const index =
      queue?.findIndex((waiting) => waiting.daemonId === daemonId && waiting.token === token) ?? -1;
    if (index >= 0) queue?.splice(index, 1);
  }

  private release(daemonId: string, service: string, count: number, now: number): void {
    const owned = this.services.get(service);
    const holding = owned?.holders.get(daemonId);
    if (!owned || !holding) return;
    holding.count = Math.max(0, holding.count - count);
    owned.completed += count;
    this.grantWaiting(service, owned, now);
  }

  private grantWaiting(service: string, owned: OwnedService, now: number): void {
    const limits = this.limitsOf(service);
    while (limits && owned.queue.length > 0 && this.mayGrant(owned, limits, now)) {
      const next = owned.queue.shift() as Waiting;
      this.grant(next.daemonId, service, next.token, owned, now);
    }
  }

  /** A renewal is believed even over the limit: the requests do run. */
  private renew(daemonId: string, held: readonly HeldSlots[], now: number): void {
    for (const [service, count] of held) {
      const owned = this.owned(service, now);
      const holding = owned.holders.get(daemonId) ?? { count: 0, expiresAt: 0 };
      holding.count = Math.max(holding.count, count);
      holding.expiresAt = now + this.settings.slotLeaseMs;
      owned.holders.set(daemonId, holding);
    }
  }

  private takeOver(service: string, holders: readonly (readonly [string, number])[], now: number): void {
    const owned = this.owned(service, now);
    for (const [daemonId, count] of holders) {
      const known = owned.holders.get(daemonId)?.count ?? 0;
      owned.holders.set(daemonId, {
        count: Math.max(known, count),
        expiresAt: now + this.settings.slotLeaseMs,
      });
    }
    owned.grantsFrom = now;
  }
}

function heldCount(owned: OwnedService): number {
  let total = 0;
  for (const holding of owned.holders.values()) total += holding.count;
  return total;
}
