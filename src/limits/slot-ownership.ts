/** Which daemon owns the limits of a service: the first of the active members by rendezvous hash. */
import type { Membership } from '../membership/membership.js';
import { pickByRendezvous, rankByRendezvous } from '../shared/rendezvous-hash.js';

/** Ownership as one daemon sees it. */
export class SlotOwnership {
  constructor(
    private readonly selfId: string,
    private readonly membership: Membership,
  ) {}

  /** The owner of a service's limits. */
  getOwner(service: string): string | undefined {
    return pickByRendezvous(service, this.memberIds());
  }

  /** Who will own them when this daemon has left. */
  getSuccessor(service: string): string | undefined {
    return rankByRendezvous(service, this.memberIds(), 2).find((id) => id !== this.selfId);
  }

  /** Whether an owner is believed to be there. */
  isAlive(id: string): boolean {
    return id === this.selfId || this.membership.get(id)?.state === 'alive';
  }

  private memberIds(): string[] {
    return this.membership.getActive().map((member) => member.id);
  }
}
