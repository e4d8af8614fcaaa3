/** A daemon process of the simulation. */
import type { DaemonEvent } from '../src/daemon/daemon-messages.js';
import type { Daemon } from '../src/daemon/daemon.js';
import type { Endpoint } from './simulated-network.js';

/** One simulated daemon process. */
export interface DaemonNode extends Endpoint {
  readonly index: number;
  readonly address: string;
  daemon: Daemon;
  id: string;
  starts: number;
  alive: boolean;
  pausedSince: number | undefined;
  /** Events that arrived while the process was paused. */
  backlog: DaemonEvent[];
  draining: boolean;
}
