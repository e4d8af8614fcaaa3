/**
 * Detects connection resets while an answer is read. undici treats a reset as the end of an answer without a
 * length, although such an answer is incomplete. The detector's error listener is prepended, so it runs before
 * undici's.
 */
import type { Socket } from 'node:net';
import { buildConnector } from 'undici';

/** Detects resets on every connection that its connectors open. */
export class ResetDetector {
  private handlingReset = false;
  private readonly connect: buildConnector.connector;

  /** @param connectTimeoutMs a connection attempt that takes longer fails; milliseconds */
  constructor(connectTimeoutMs: number) {
    this.connect = buildConnector({ timeout: connectTimeoutMs });
  }

  /**
   * Creates a connector that reports each connection that was established. `connect` opens them; the default connects
   * directly.
   */
  createConnector(onConnected: (socket: Socket) => void, connect = this.connect): buildConnector.connector {
    return (options, callback) => {
      connect(options, (...outcome) => {
        const [, socket] = outcome;
        if (socket) {
          this.addResetListener(socket);
          onConnected(socket);
        }
        callback(...outcome);
      });
    };
  }

  /** Whether the current callback of a handler was caused by an error of its connection. */
  isHandlingReset(): boolean {
    return this.handlingReset;
  }

  private addResetListener(socket: Socket): void {
    socket.prependListener('error', () => {
      this.handlingReset = true;
      process.nextTick(() => (this.handlingReset = false));
    });
  }
}
