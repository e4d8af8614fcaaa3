/** A back end whose answers are written byte by byte, for faults that lie in the bytes. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** One request as it arrived. */
export interface ReceivedRequest {
  readonly head: string;
  readonly body: string;
}

/** Answers one request by writing to the connection as it likes. */
export type BackendScript = (request: ReceivedRequest, socket: Socket) => void;

const HEAD_END = '\r\n\r\n';

/** The value of a header in a head, or undefined. */
export function findHeader(head: string, name: string): string | undefined {
  const line = head.split('\r\n').find((text) => text.toLowerCase().startsWith(`${name.toLowerCase()}:`));
  return line?.slice(name.length + 1).trim();
}

/** A scripted back end on a port of its own. */
export class ScriptedBackend {
  readonly received: ReceivedRequest[] = [];
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;

  constructor(public script: BackendScript) {
    this.server = createServer((socket) => this.accept(socket));
  }

  /** Starts to listen and returns the address. */
  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Closes everything. */
  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private accept(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    let text = '';
    socket.on('data', (chunk: Buffer) => {
      text += chunk.toString('latin1');
      for (;;) {
        const headEnd = text.indexOf(HEAD_END);
        if (headEnd < 0) return;
        const head = text.slice(0, headEnd);
        const length = Number(findHeader(head, 'content-length') ?? 0);
        const end = headEnd + HEAD_END.length + length;
        if (text.length < end) return;
        const request = { head, body: text.slice(headEnd + HEAD_END.length, end) };
        text = text.slice(end);
        this.received.push(request);
        this.script(request, socket);
      }
    });
  }
}
