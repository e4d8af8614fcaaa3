/**
 * The HTTP servers for the readiness and the metrics of a forwarding daemon's process. They own no state.
 */
import { createServer, type Server } from 'node:http';
import type { ForwardingMetrics } from './forwarding-metrics.js';
import { STATUS_NOT_FOUND, STATUS_OK, STATUS_UNAVAILABLE } from '../shared/http-status.js';

/** Creates a server that reports at `path` whether the process is ready. It does not listen yet. */
export function createReadyServer(path: string, isReady: () => boolean): Server {
  return createServer((request, response) => {
    const known = request.url === path;
    const status = known ? (isReady() ? STATUS_OK : STATUS_UNAVAILABLE) : STATUS_NOT_FOUND;
    response.writeHead(status, { 'Content-Length': '0' });
    response.end();
  });
}

/** Creates a server that returns the metrics at any path. It does not listen yet. */
export function createMetricsServer({ registry }: ForwardingMetrics): Server {
  return createServer((_request, response) => {
    void registry.metrics().then((text) => {
      response.writeHead(STATUS_OK, { 'Content-Type': registry.contentType });
      response.end(text);
    });
  });
}
