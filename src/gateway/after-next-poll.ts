/** Waiting until sockets have been read: what came while this process was busy or stood still is seen then. */
import type { Socket } from 'node:net';

/**
 * Calls back once every socket has been read once more. A request may have waited in its socket while this
 * process was busy or stood still, and its caller may have left meanwhile; the end of its connection is read
 * one poll after its bytes. The first callback runs after this poll, the second after the next one.
 */
export function runAfterNextPoll(callback: () => void): void {
  setImmediate(() => setImmediate(callback));
}

/**
 * Closes a connection whose time at rest is over, unless something has come on it. Node closes such a
 * connection before it reads it: after a pause of this process it would reset a request that came in time.
 */
export function closeIfIdle(socket: Socket): void {
  const { bytesRead } = socket;
  runAfterNextPoll(() => {
    if (socket.bytesRead === bytesRead) socket.destroy();
  });
}
