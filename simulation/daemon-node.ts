/** The state that the simulation keeps of one daemon process. */
import type { CompletionDaemonEvent } from '../src/daemon/completion-messages.js';
import type { CompletionDaemon } from '../src/daemon/completion-daemon.js';
import type { Endpoint } from './simulated-network.js';

/** One simulated daemon process. */
export interface DaemonNode extends Endpoint {
  readonly index: number;
  readonly address: string;
  daemon: CompletionDaemon;
  /** Changes with each start of the process. */
  id: string;
  /** Number of starts of the process; identifies the present one. */
  starts: number;
  alive: boolean;
  /** Virtual time at which the process was paused; undefined while it runs. Milliseconds. */
  pausedSince: number | undefined;
  /** Events that arrived while the process was paused. */
  backlog: CompletionDaemonEvent[];
  /** Callers have noticed that the daemon is stopping and send it nothing new. */
  draining: boolean;
}
