/**
 * The order in which members are probed: each once in a round, in random order; a new one joins the present
 * round.
 */
import type { RandomSource } from '../shared/random.js';

/** One round after the other over a set of members. */
export class ProbeOrder {
  private queue: string[] = [];

  constructor(private readonly random: RandomSource) {}

  /** The next member, or undefined when there is none. `members` names them when a new round begins. */
  pickNext(members: () => string[]): string | undefined {
    if (this.queue.length === 0) this.queue = this.shuffle(members());
    return this.queue.pop();
  }

  /** A member joined: it is probed in the present round, and not only in the next. */
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
