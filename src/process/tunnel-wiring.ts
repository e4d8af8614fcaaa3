/**
 * Puts the server of tunnels together with what a process tells operators about it: counts in the metrics, and a log
 * line where a tunnel was refused for a reason of this daemon. Owns no state.
 */
import { TunnelServer } from '../adapters/tunnel-server.js';
import type { TunnelRefusal } from '../forwarding/tunnel-messages.js';
import type { DecisionLog } from './decision-log.js';
import type { ForwardingMetrics } from './forwarding-metrics.js';

/** What the server of tunnels works with. */
interface TunnelWiring {
  /** Decides on a tunnel to the back end at `address` (`ip:port`) beside `openTunnels` others. */
  readonly checkTunnel: (address: string, openTunnels: number) => TunnelRefusal | undefined;
  readonly log: DecisionLog;
  readonly getMetrics: () => ForwardingMetrics;
}

/** Creates the server of tunnels of one process. */
export function createTunnelServer({ checkTunnel, log, getMetrics }: TunnelWiring): TunnelServer {
  return new TunnelServer({
    checkTunnel,
    onOpened: () => getMetrics().addTunnel('opened'),
    onRefused: ({ id, backend }, reason) => {
      getMetrics().addTunnel(reason);
      // The daemon that asked logs the failed attempt.
      if (reason !== 'unreachable')
        log.writeImportantEvent('tunnel.refused', { daemon: id, backend, reason });
    },
    onClosed: (toBackend, fromBackend) => getMetrics().addTunnelBytes(toBackend, fromBackend),
  });
}
