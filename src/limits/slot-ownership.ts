/**
 * Decides which daemon owns the limits of a service: the first of the active members by rendezvous hash.
 * Relies on the membership.
 */
import type { Membership } from '../membership/membership.js';
import { pickByRendezvous, rankByRendezvous } from '../shared/rendezvous-hash.js';

/** Slot ownership according to one daemon's membership view. */
export class SlotOwnership {
  constructor(
    private readonly selfId: string,
    private readonly membership: Membership,
  ) {}

  /** The id of the daemon that owns a service's limits. */
  getOwner(service: string): string | undefined {
    return pickByRendezvous(service, this.memberIds());
  }

  /** The id of the daemon that will own a service's limits after this daemon has left. */
  getSuccessor(service: string): string | undefined {
    return rankByRendezvous(service, this.memberIds(), 2).find((id) => id !== this.selfId);
  }

  /** Whether the membership considers an owner alive. */
  isAlive(id: string): boolean {
    return id === this.selfId || this.membership.get(id)?.state === 'alive';
  }

  private memberIds(): string[] {
    return this.membership.getActive().map((member) => member.id);
  }
}
