/**
 * Defers a decision until the sockets have been polled again, so that data which arrived while this process
 * was busy or paused is seen first. Owns no state. Relies on the order of the event loop's phases in Node.js.
 */
import type { Socket } from 'node:net';

/**
 * Calls back once every socket has been read once more. A request may have waited in its socket while this
 * process was busy or paused, and its caller may have disconnected meanwhile; the end of a connection is read
 * one poll after its last bytes. The first `setImmediate` runs after this poll, the second after the next one.
 */
export function runAfterNextPoll(callback: () => void): void {
  setImmediate(() => setImmediate(callback));
}

/**
 * Closes a connection whose idle timeout has expired, unless data has arrived on it. Node.js itself closes
 * such a connection without reading it first, which after a process pause resets a request that was sent in
 * time. `onClosed` is called if it was closed here.
 */
export function closeIfIdle(socket: Socket, onClosed?: () => void): void {
  const { bytesRead } = socket;
  runAfterNextPoll(() => {
    if (socket.bytesRead !== bytesRead || socket.destroyed) return;
    socket.destroy();
    onClosed?.();
  });
}
