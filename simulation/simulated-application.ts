/** An application server node of a simulation. */
import type { ApplicationEvent } from '../src/routing/application-manager.js';
import type { Monitor } from './monitor.js';
import type { Endpoint } from './simulated-network.js';
import type { VirtualTime } from './virtual-time.js';

const ANSWER_MS = 40;

/** One simulated application server. */
export class SimulatedApplication implements Endpoint {
  alive = true;
  leaving = false;
  private generation = 0;

  constructor(
    readonly name: string,
    readonly address: string,
    readonly zone: string,
    readonly region: string,
    private readonly time: VirtualTime,
    private readonly monitor: Monitor,
  ) {}

  /** Executes a call and answers. */
  call(requestId: string, answer: (event: ApplicationEvent) => void): void {
    this.monitor.workArrived(this.name);
    if (this.leaving) {
      answer({ kind: 'refused', leaving: true });
      return;
    }
    this.monitor.workBegun(requestId);
    const key = this.monitor.keyOf(requestId);
    if (key !== undefined) this.monitor.executed(key);
    const { generation } = this;
    this.time.after(ANSWER_MS, () => {
      if (generation !== this.generation) answer({ kind: 'broken', reason: 'server crashed' });
      else
        answer({
          kind: 'response',
          status: 200,
          contentType: 'application/json',
          body: new Uint8Array(),
          leaving: false,
        });
    });
  }

  /** The process dies. */
  crash(): void {
    this.alive = false;
    this.generation += 1;
  }

  /** The process starts anew. */
  restart(): void {
    this.alive = true;
  }
}
