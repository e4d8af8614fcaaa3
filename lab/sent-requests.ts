/**
 * Which connection a failed request was sent on, for finding out why it has no answer: a new connection or a kept
 * one, its port, and how long the request was under way. Relies on the diagnostics channels of undici.
 */
import { subscribe } from 'node:diagnostics_channel';
import type { Socket } from 'node:net';

interface SentRequest {
  readonly localPort: number | undefined;
  readonly remotePort: number | undefined;
  /** Whether an answer had come on the connection before. */
  readonly kept: boolean;
  /** Monotonic milliseconds. */
  readonly sentAt: number;
}

/** Notes each request of this process that is sent, and hands on those that fail. */
export function watchFailures(onFailure: (description: string) => void): void {
  const sent = new WeakMap<object, SentRequest>();
  subscribe('undici:client:sendHeaders', (message) => {
    const { request, socket } = message as { request: object; socket: Socket };
    const { localPort, remotePort, bytesRead } = socket;
    sent.set(request, { localPort, remotePort, kept: bytesRead > 0, sentAt: performance.now() });
  });
  subscribe('undici:request:error', (message) => {
    const { request, error } = message as { request: object; error: { code?: string; message: string } };
    const entry = sent.get(request);
    if (entry) onFailure(describeFailure(entry, error.code ?? error.message));
  });
}

function describeFailure({ localPort, remotePort, kept, sentAt }: SentRequest, reason: string): string {
  const connection = `${kept ? 'kept' : 'new'} connection ${localPort} to ${remotePort}`;
  return `${reason} on a ${connection}, ${Math.round(performance.now() - sentAt)} ms after it was sent`;
}
