/**
 * Connections on which a reset can be told from an orderly end. undici takes a reset for the end of an answer that
 * has no length; such an answer is not whole. The watch hears of the reset first, since its listener is the first.
 */
import type { Socket } from 'node:net';
import { buildConnector } from 'undici';

/** Watches every connection that its connector makes. */
export class ResetWatch {
  private reporting = false;
  readonly connector: buildConnector.connector;

  /** @param connectTimeoutMs a connection that does not come up within this time fails */
  constructor(connectTimeoutMs: number) {
    const connect = buildConnector({ timeout: connectTimeoutMs });
    this.connector = (options, callback) => {
      connect(options, (...outcome) => {
        const [, socket] = outcome;
        if (socket) this.watch(socket);
        callback(...outcome);
      });
    };
  }

  /** Whether what is being told to a handler right now follows from the failure of its connection. */
  failing(): boolean {
    return this.reporting;
  }

  private watch(socket: Socket): void {
    socket.prependListener('error', () => {
      this.reporting = true;
      process.nextTick(() => (this.reporting = false));
    });
  }
}
