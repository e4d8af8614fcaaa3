/** What the HTTP stand-ins have in common: one server on a fixed address that can be closed at once. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';

/** A stand-in; subclasses answer the requests. */
export abstract class LabServer {
  protected readonly server: Server;

  constructor(
    private readonly host: string,
    private readonly port: number,
  ) {
    this.server = createServer((message, response) => void this.onRequest(message, response));
  }

  /** Starts to listen. */
  listen(): Promise<void> {
    return new Promise((resolve) => this.server.listen(this.port, this.host, resolve));
  }

  /** Closes at once, as a crash would. */
  close(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Answers one request. */
  protected abstract onRequest(message: IncomingMessage, response: ServerResponse): Promise<void>;
}
