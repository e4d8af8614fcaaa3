/** Virtual time: a queue of events that are executed in order of time, without waiting. */
import TinyQueue from 'tinyqueue';

/** An event in the queue. */
interface ScheduledEvent {
  readonly at: number;
  /** Sequence number, to keep events of the same time in order. */
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

  /** The present virtual time. */
  now(): number {
    return this.current;
  }

  /** Schedules `run` after `delayMs`. Events of the same time run in the order in which they were scheduled. */
  after(delayMs: number, run: () => void): void {
    this.order += 1;
    this.queue.push({ at: this.current + Math.max(0, delayMs), order: this.order, run });
  }

  /** Runs all events up to and including `until`, and sets the time to it. */
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
