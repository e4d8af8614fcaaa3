/**
 * Connections on which a reset can be told from an orderly end. undici takes a reset for the end of an answer
 * that has no length; such an answer is not whole. The watch hears of the reset first, since its listener is
 * the first.
 */
import type { Socket } from 'node:net';
import { buildConnector } from 'undici';

/** Watches every connection that its connectors make. */
export class ResetDetector {
  private reporting = false;
  private readonly connect: buildConnector.connector;

  /** @param connectTimeoutMs a connection that does not come up within this time fails */
  constructor(connectTimeoutMs: number) {
    this.connect = buildConnector({ timeout: connectTimeoutMs });
  }

  /** A connector that reports each connection that came up. */
  createConnector(onConnected: (socket: Socket) => void): buildConnector.connector {
    return (options, callback) => {
      this.connect(options, (...outcome) => {
        const [, socket] = outcome;
        if (socket) {
          this.watch(socket);
          onConnected(socket);
        }
        callback(...outcome);
      });
    };
  }

  /** Whether what a handler is being called with right now follows from the failure of its connection. */
  isHandlingReset(): boolean {
    return this.reporting;
  }

  private watch(socket: Socket): void {
    socket.prependListener('error', () => {
      this.reporting = true;
      process.nextTick(() => (this.reporting = false));
    });
  }
}
