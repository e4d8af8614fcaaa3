/** Queue of the membership updates that a daemon has not finished sending to others, the least often sent first. */

/** How often each update is sent, for each doubling of the fleet, as in the SWIM paper. */
const RETRANSMIT_FACTOR = 3;
/** A backlog is spread over about this number of messages. */
const BACKLOG_MESSAGES = 8;
/** A message carries at most this many times the usual number of items. */
const BACKLOG_FACTOR = 4;

/** Ids of members whose state has changed, each with the number of times that it is still to be sent. */
export class GossipQueue {
  private readonly remaining = new Map<string, number>();

  /** Queues the state of a member for a group of `members` daemons. */
  add(id: string, members: number): void {
    this.remaining.set(id, RETRANSMIT_FACTOR * Math.ceil(Math.log2(members + 2)));
  }

  /** Drops the update of a member. */
  remove(id: string): void {
    this.remaining.delete(id);
  }

  /** Takes the least often sent ids for one message: `usual` of them, or more when there is a backlog. */
  take(usual: number): string[] {
    if (this.remaining.size === 0) return [];
    const entries = [...this.remaining].sort((left, right) => right[1] - left[1]);
    const backlogShare = Math.ceil(entries.length / BACKLOG_MESSAGES);
    const taken = entries.slice(0, Math.min(usual * BACKLOG_FACTOR, Math.max(usual, backlogShare)));
    for (const [id, remaining] of taken) {
      if (remaining <= 1) this.remaining.delete(id);
      else this.remaining.set(id, remaining - 1);
    }
    return taken.map(([id]) => id);
  }
}
