/** A server for forwarded requests in this process, with one caller connected to it. */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { findFreeAddresses } from '../lab/free-ports.js';
import type { CallerLimits } from '../src/forwarding/routes/route.js';
import { ForwardServer } from '../src/gateway/forward-server.js';
import { delay } from '../src/shared/delay.js';

type Handler = ConstructorParameters<typeof ForwardServer>[0];

/** Interval between looks at what has arrived. Milliseconds. */
const POLL_MS = 50;

/** The server and its caller. */
export class ForwardServerCaller {
  readonly server: ForwardServer;
  /** What the caller has received. */
  received = '';
  private connected: Socket | undefined;

  constructor(
    handler: Handler,
    private readonly limits: CallerLimits,
  ) {
    this.server = new ForwardServer(handler, () => performance.now());
  }

  /** The caller's connection; there is one after `open`. */
  get caller(): Socket {
    if (!this.connected) throw new Error('not open');
    return this.connected;
  }

  /** Starts the server with its limits and connects the caller. */
  async open(): Promise<void> {
    const [address] = await findFreeAddresses(1);
    await this.server.listen(address);
    this.server.setLimits(this.limits);
    this.connected = connect(Number(address.split(':')[1]), '127.0.0.1');
    this.connected.on('error', () => undefined);
    this.connected.on('data', (bytes) => (this.received += bytes.toString('latin1')));
    await once(this.connected, 'connect');
  }

  /** Changes some of the limits. */
  setLimits(changed: Partial<CallerLimits>): void {
    this.server.setLimits({ ...this.limits, ...changed });
  }

  /** The statuses of all answers that have begun to arrive. */
  getStatuses(): string[] {
    return [...this.received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status);
  }

  /** The same after `count` of them have arrived, or after `timeoutMs` milliseconds. */
  async waitForStatuses(count: number, timeoutMs: number): Promise<string[]> {
    const deadline = performance.now() + timeoutMs;
    while (this.getStatuses().length < count && performance.now() < deadline) await delay(POLL_MS);
    return this.getStatuses();
  }

  /** Closes the connection and the server. */
  close(): void {
    this.connected?.destroy();
    this.server.close();
  }
}
