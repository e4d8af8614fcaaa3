/** An application server node of a simulation. */
import type { ApplicationEvent } from '../src/routing/application-messages.js';
import type { Monitor } from './monitor.js';
import type { Endpoint } from './simulated-network.js';
import type { VirtualTime } from './virtual-time.js';

const ANSWER_MS = 40;

/** What a simulated application server is made of. */
interface SimulatedApplicationOptions extends Endpoint {
  readonly address: string;
  readonly time: VirtualTime;
  readonly monitor: Monitor;
}

/** One simulated application server. */
export class SimulatedApplication implements Endpoint {
  readonly name: string;
  readonly address: string;
  readonly zone: string;
  readonly region: string;
  alive = true;
  private readonly time: VirtualTime;
  private readonly monitor: Monitor;
  private generation = 0;

  constructor({ name, address, zone, region, time, monitor }: SimulatedApplicationOptions) {
    this.name = name;
    this.address = address;
    this.zone = zone;
    this.region = region;
    this.time = time;
    this.monitor = monitor;
  }

  /** Executes a call and answers. */
  call(requestId: string, answer: (event: ApplicationEvent) => void): void {
    this.monitor.onWorkArrived(this.name);
    this.monitor.onWorkStarted(requestId);
    const key = this.monitor.getOnceKey(requestId);
    if (key !== undefined) this.monitor.onCallExecuted(key);
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
