/**
 * Which connection a failed request was sent on, for finding out why it has no answer: a new connection or a kept
 * one, its ports, and how long the request was under way. Relies on the diagnostics channels of undici, which tell
 * of all requests of this process.
 */
import { subscribe } from 'node:diagnostics_channel';
import type { Socket } from 'node:net';

interface SentRequest {
  readonly localPort: number | undefined;
  readonly remotePort: number | undefined;
  /** Whether an answer had come on the connection before. */
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

/** The connection of the request that failed with `error`; undefined when it was sent on none. */
export function findFailedConnection(error: Error): string | undefined {
  return failures.get(error);
}

function formatConnection({ localPort, remotePort, reused: kept, sentAt }: SentRequest): string {
  const connection = `${kept ? 'kept' : 'new'} connection ${localPort} to ${remotePort}`;
  return `${connection}, ${Math.round(performance.now() - sentAt)} ms after it was sent`;
}
