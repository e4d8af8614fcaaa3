/** Virtual time: a queue of events that run in order, as fast as the machine allows. */
import TinyQueue from 'tinyqueue';

interface ScheduledEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** The clock and event queue of a simulation. Milliseconds. */
export class VirtualTime {
  private readonly queue = new TinyQueue<ScheduledEvent>(
    [],
    (left, right) => left.at - right.at || left.order - right.order,
  );
  private current = 0;
  private order = 0;

  /** The present time. */
  now(): number {
    return this.current;
  }

  /** Runs `run` after `delayMs`. Events of the same time run in the order they were scheduled. */
  after(delayMs: number, run: () => void): void {
    this.order += 1;
    this.queue.push({ at: this.current + Math.max(0, delayMs), order: this.order, run });
  }

  /** Runs all events up to `until`. */
  runUntil(until: number): void {
    for (;;) {
      const next = this.queue.peek();
      if (!next || next.at > until) break;
      this.queue.pop();
      this.current = next.at;
      next.run();
    }
    this.current = until;
  }
}
