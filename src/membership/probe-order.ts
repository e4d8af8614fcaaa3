/**
 * The order in which members are probed: each once per round, in random order. A new member is added to the
 * current round.
 */
import type { RandomSource } from '../shared/random.js';

/** Iterates over a set of members in successive rounds. */
export class ProbeOrder {
  private queue: string[] = [];

  constructor(private readonly random: RandomSource) {}

  /** Picks the next member; undefined when there is none. `members` returns the ids for a new round. */
  pickNext(members: () => string[]): string | undefined {
    if (this.queue.length === 0) this.queue = this.shuffle(members());
    return this.queue.pop();
  }

  /** Adds a member that joined to the current round, so that its probe does not wait for the next one. */
  add(id: string): void {
    this.queue.splice(this.random.below(this.queue.length + 1), 0, id);
  }

  private shuffle(ids: string[]): string[] {
    for (let index = ids.length - 1; index > 0; index -= 1) {
      const other = this.random.below(index + 1);
      [ids[index], ids[other]] = [ids[other], ids[index]];
    }
    return ids;
  }
}
