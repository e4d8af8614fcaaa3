/**
 * Records the connection of each failed request, to find out why it has no answer: whether the connection was new or
 * reused, its ports, and the time since the request was sent. Relies on the diagnostics channels of undici, which
 * report all requests of this process.
 */
import { subscribe } from 'node:diagnostics_channel';
import type { Socket } from 'node:net';

interface SentRequest {
  readonly localPort: number | undefined;
  readonly remotePort: number | undefined;
  /** Whether the connection had received an answer before. */
  readonly reused: boolean;
  /** Monotonic milliseconds. */
  readonly sentAt: number;
}

const sent = new WeakMap<object, SentRequest>();
const failures = new WeakMap<object, string>();

subscribe('undici:client:sendHeaders', (message) => {
  const { request, socket } = message as { request: object; socket: Socket };
  const { localPort, remotePort, bytesRead } = socket;
  sent.set(request, { localPort, remotePort, reused: bytesRead > 0, sentAt: performance.now() });
});

subscribe('undici:request:error', (message) => {
  const { request, error } = message as { request: object; error: Error };
  const entry = sent.get(request);
  if (entry) failures.set(error, formatConnection(entry));
});

/** Describes the connection of the request that failed with `error`; undefined when the request was not sent. */
export function findFailedConnection(error: Error): string | undefined {
  return failures.get(error);
}

function formatConnection({ localPort, remotePort, reused, sentAt }: SentRequest): string {
  const connection = `${reused ? 'reused' : 'new'} connection ${localPort} to ${remotePort}`;
  return `${connection}, ${Math.round(performance.now() - sentAt)} ms after it was sent`;
}
