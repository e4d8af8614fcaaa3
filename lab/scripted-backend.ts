/** A back end that writes the raw bytes of its answers from a script, for tests of malformed or partial answers. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** One received request: its head as text and its body. */
export interface ReceivedRequest {
  readonly head: string;
  readonly body: string;
}

/** Answers one request by writing to, or closing, its connection. */
export type BackendScript = (request: ReceivedRequest, socket: Socket) => void;

const HEAD_END = '\r\n\r\n';

/** Finds the value of a header in a request's head; undefined when it is missing. */
export function findHeader(head: string, name: string): string | undefined {
  const line = head.split('\r\n').find((text) => text.toLowerCase().startsWith(`${name.toLowerCase()}:`));
  return line?.slice(name.length + 1).trim();
}

/** An HTTP/1.1 server on a free loopback port that runs the script for each request. */
export class ScriptedBackend {
  readonly received: ReceivedRequest[] = [];
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;

  constructor(public script: BackendScript) {
    this.server = createServer((socket) => this.accept(socket));
  }

  /** Starts to listen and returns the address, `host:port`. */
  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** The connection that was accepted last and is still open; undefined if none is. */
  getLastSocket(): Socket | undefined {
    return [...this.sockets].at(-1);
  }

  /** Stops listening and closes every connection. */
  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private accept(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    let buffered = '';
    socket.on('data', (chunk: Buffer) => {
      buffered += chunk.toString('latin1');
      for (;;) {
        const headEnd = buffered.indexOf(HEAD_END);
        if (headEnd < 0) return;
        const head = buffered.slice(0, headEnd);
        const length = Number(findHeader(head, 'content-length') ?? 0);
        const end = headEnd + HEAD_END.length + length;
        if (buffered.length < end) return;
        const request = { head, body: buffered.slice(headEnd + HEAD_END.length, end) };
        buffered = buffered.slice(end);
        this.received.push(request);
        this.script(request, socket);
      }
    });
  }
}
