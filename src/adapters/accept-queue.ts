/// Closes a listener without resetting connections in its accept queue. Owns the listener's handle while it closes.
///
/// A caller may connect at any moment before the listener is closed, also between two system calls of this process. So
/// the queue is filled with connections of our own ("markers"), and the listener is closed when only markers are left
/// in it. Relies on Linux: the limit of the queue may be changed while the socket listens, and a connection request
/// (SYN) that finds the queue full is dropped. The caller's kernel repeats it and is refused once the listener is closed.
import type { Server } from 'node:http';
import { connect, createServer, Server as NetServer, type AddressInfo, type Socket } from 'node:net';

/// Connections that the queue holds while it closes. At least two: the events of the markers' own side follow the first
/// accepted connection.
const CLOSING_CAPACITY = 3;
/// The kernel takes one connection more than the backlog.
const CLOSING_BACKLOG = CLOSING_CAPACITY - 1;
/// Lets no connection in while any is left in the queue. Node.js takes 0 for its default, and truncates fractions.
const FROZEN_BACKLOG = 0.5;

/// What became of the connections in the queue.
export interface QueueEnd {
  /// Whether all of them were accepted; otherwise the last ones may have been reset.
  readonly queueEmptied: boolean;
  /// How many were accepted.
  readonly acceptedLast: number;
}

/// Closes the listener of a server once its queue holds no caller's connection, or after `timeoutMs` (milliseconds). The
/// server receives the connections only then: a turn of the event loop accepts one of them and should be short.
export async function closeEmptyQueue(server: Server, timeoutMs: number): Promise<QueueEnd> {
  if (!server.listening) return { queueEmptied: true, acceptedLast: 0 };
  const deadline = performance.now() + timeoutMs;
  const closer = new QueueCloser(server);
  // The event loop polls for connections between two calls of `setImmediate` from such a call.
  await waitTurn();
  let queueEmptied: boolean;
  do queueEmptied = await closer.runRound(deadline);
  while (!queueEmptied && performance.now() < deadline);
  return { queueEmptied, acceptedLast: closer.close() };
}

class QueueCloser {
  private readonly address: AddressInfo;
  private readonly accepted: Socket[] = [];
  /// The server that owns the handle: Node.js sets a limit only when a server starts to listen.
  private listener: NetServer;
  private markers: Socket[] = [];
  private connectedMarkers = 0;
  private acceptedMarkers = 0;
  private acceptedInRound = 0;
  private closed = false;

  constructor(private readonly server: Server) {
    this.address = server.address() as AddressInfo;
    this.listener = server;
  }

  /// Fills the queue with markers and accepts connections until only markers are left, which closes the listener, or
  /// until the queue is empty. Returns whether no caller's connection was in the queue at the end.
  async runRound(deadline: number): Promise<boolean> {
    const acceptedBefore = this.accepted.length;
    await this.fillQueue();
    let acceptedInTurn: number;
    do {
      const before = this.acceptedInRound;
      await waitTurn();
      acceptedInTurn = this.acceptedInRound - before;
    } while (!this.closed && acceptedInTurn > 0 && performance.now() < deadline);
    this.markers.forEach((marker) => marker.destroy());
    // Where connections to the own address take a while, the queue may be empty though no marker has entered it.
    return this.closed || (acceptedInTurn === 0 && this.accepted.length === acceptedBefore);
  }

  /// Closes the listener if it is open, and hands the accepted connections to the server. Returns their number.
  close(): number {
    this.closeListener();
    for (const socket of this.accepted) {
      this.server.emit('connection', socket);
      socket.resume();
    }
    return this.accepted.length;
  }

  /// After this the queue is full, and takes no further connection before it is empty.
  private fillQueue(): Promise<void> {
    this.connectedMarkers = 0;
    this.acceptedMarkers = 0;
    this.acceptedInRound = 0;
    this.setBacklog(CLOSING_BACKLOG);
    this.markers = Array.from({ length: CLOSING_CAPACITY }, () => this.createMarker());
    // The markers connect in the ticks before this one.
    return new Promise((resolve) =>
      process.nextTick(() => {
        this.setBacklog(FROZEN_BACKLOG);
        resolve();
      }),
    );
  }

  private createMarker(): Socket {
    const marker = connect({ host: this.address.address, port: this.address.port });
    marker.on('connect', () => (this.connectedMarkers += 1));
    // Closing the listener resets the markers left in its queue.
    marker.on('error', () => undefined);
    return marker;
  }

  /// A second server on the same handle receives its connections, paused until the first one handles them.
  private setBacklog(backlog: number): void {
    const listener = createServer({ allowHalfOpen: true, noDelay: true, pauseOnConnect: true });
    listener.on('connection', (socket) => this.onConnection(socket));
    listener.listen(this.listener, backlog);
    this.listener = listener;
  }

  private onConnection(socket: Socket): void {
    this.acceptedInRound += 1;
    if (this.isMarker(socket)) {
      this.acceptedMarkers += 1;
      socket.destroy();
    } else this.accepted.push(socket);
    // At once: the next connection that is accepted may make room for a caller.
    if (this.hasOnlyMarkers()) this.closeListener();
  }

  private isMarker({ remoteAddress, remotePort }: Socket): boolean {
    return this.markers.some(
      ({ localAddress, localPort }) => localPort === remotePort && localAddress === remoteAddress,
    );
  }

  /// Whether the queue, which was full when the round began, holds markers and nothing else.
  private hasOnlyMarkers(): boolean {
    const left = CLOSING_CAPACITY - this.acceptedInRound;
    return left > 0 && left === this.connectedMarkers - this.acceptedMarkers;
  }

  private closeListener(): void {
    if (this.closed) return;
    this.closed = true;
    this.listener.close();
    NetServer.prototype.close.call(this.server);
  }
}

/// Waits for the next turn of the event loop.
export function waitTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
