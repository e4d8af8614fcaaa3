/**
 * Serves tunnels: connects peers that don't reach a back end with it and passes bytes on in both directions, without
 * reading them. Owns the open tunnels. Relies on its listener to decide which tunnels are opened.
 */
import { createConnection, type Socket } from 'node:net';
import type { TunnelEndRequest, TunnelRefusal, TunnelRequest } from '../forwarding/tunnel-messages.js';
import { splitAddress } from '../shared/address.js';
import { encodeTunnelAnswer } from './peer-codec.js';

/** Callbacks of the server. */
export interface TunnelServerListener {
  /**
   * Decides whether a tunnel to the back end at `address` (`ip:port`) is opened beside `openTunnels` others; returns
   * the reason if not.
   */
  checkTunnel(address: string, openTunnels: number): TunnelRefusal | undefined;
  onOpened(): void;
  onRefused(request: TunnelRequest, reason: TunnelRefusal): void;
  /** An opened tunnel has ended. Bytes include the two lines that opened it. */
  onClosed(bytesToBackend: number, bytesFromBackend: number): void;
}

/**
 * A connection attempt to a back end that takes longer has failed. Milliseconds; below the time for which the peer
 * waits, many times the round trip within a region.
 */
const CONNECT_TIMEOUT_MS = 250;
/**
 * After this time without data the kernel checks whether the peer's machine is still there, and closes the
 * connection 10 s later if not. Milliseconds; requests may be silent for longer.
 */
const KEEP_ALIVE_MS = 10_000;
/** Number of ended tunnels that are remembered: the origin asks within a round trip. */
const MAXIMUM_ENDED = 1024;
/** Codes of connection attempts that failed because of this process and not of the back end. */
const LOCAL_FAILURE_CODES = new Set(['EMFILE', 'ENFILE', 'EADDRNOTAVAIL', 'ENOBUFS']);

/** The tunnels of one daemon. */
export class TunnelServer {
  private readonly tunnels = new Set<Tunnel>();
  /** Ids of the last tunnels whose back end closed its connection regularly. */
  private readonly ended = new Set<string>();

  constructor(private readonly listener: TunnelServerListener) {}

  /** Number of tunnels that are open or being opened. */
  getOpenCount(): number {
    return this.tunnels.size;
  }

  /** Receives the first line on a peer's connection: opens a tunnel or refuses it, or tells how one ended. */
  receive(peer: Socket, request: TunnelRequest | TunnelEndRequest): void {
    peer.on('error', () => undefined);
    if (request.kind === 'tunnel') this.startTunnel(peer, request);
    else peer.end(`${encodeTunnelAnswer({ kind: 'ended', regularly: this.ended.has(request.tunnelId) })}\n`);
  }

  private startTunnel(peer: Socket, request: TunnelRequest): void {
    peer.setNoDelay(true);
    peer.setKeepAlive(true, KEEP_ALIVE_MS);
    const refusal = this.listener.checkTunnel(request.backend, this.tunnels.size);
    if (refusal !== undefined) {
      this.sendRefusal(peer, request, refusal);
      return;
    }
    const tunnel = new Tunnel(peer, request.backend, {
      onOpened: () => this.listener.onOpened(),
      onUnreachable: (reason) => this.sendRefusal(peer, request, reason),
      onBackendEnded: () => this.addEnded(request.tunnelId),
      onClosed: () => this.removeTunnel(tunnel),
    });
    this.tunnels.add(tunnel);
  }

  /** Resets every tunnel: an answer that is cut off must not look complete. */
  close(): void {
    for (const tunnel of this.tunnels) tunnel.close();
  }

  private addEnded(tunnelId: string | undefined): void {
    if (tunnelId === undefined) return;
    this.ended.add(tunnelId);
    const [oldest] = this.ended;
    if (this.ended.size > MAXIMUM_ENDED) this.ended.delete(oldest);
  }

  private sendRefusal(peer: Socket, request: TunnelRequest, reason: TunnelRefusal): void {
    peer.write(`${encodeTunnelAnswer({ kind: 'refused', reason })}\n`);
    peer.destroySoon();
    this.listener.onRefused(request, reason);
  }

  private removeTunnel(tunnel: Tunnel): void {
    this.tunnels.delete(tunnel);
    if (tunnel.isOpened()) this.listener.onClosed(tunnel.peer.bytesRead, tunnel.peer.bytesWritten);
  }
}

interface TunnelListener {
  onOpened(): void;
  /** The connection to the back end failed before the tunnel was opened. */
  onUnreachable(reason: TunnelRefusal): void;
  /** The back end has closed its connection regularly, after all bytes that were passed on. */
  onBackendEnded(): void;
  /** Both connections are closed. */
  onClosed(): void;
}

/** One tunnel, from the connection attempt to the back end on. */
class Tunnel {
  private readonly backend: Socket;
  private readonly timer: NodeJS.Timeout;
  private opened = false;
  private openConnections = 2;

  constructor(
    readonly peer: Socket,
    address: string,
    private readonly listener: TunnelListener,
  ) {
    const { host, port } = splitAddress(address);
    this.backend = createConnection({ host, port, noDelay: true });
    // A connection that was made while this process was paused is seen before the time-out counts.
    this.timer = setTimeout(() => setImmediate(() => this.onTimeout()), CONNECT_TIMEOUT_MS);
    this.backend.on('connect', () => this.onConnect());
    this.backend.on('error', (error: NodeJS.ErrnoException) => this.onBackendError(error));
    this.backend.on('end', () => {
      this.listener.onBackendEnded();
      this.peer.end();
    });
    this.peer.on('error', () => closeByReset(this.backend));
    // The caller of a request has left, and the back end has to notice.
    this.peer.on('end', () => this.backend.destroy());
    startPassing(this.peer, this.backend);
    startPassing(this.backend, this.peer);
    for (const socket of [this.peer, this.backend]) socket.on('close', () => this.onClose());
  }

  /** Whether the peer was told that the tunnel is open. */
  isOpened(): boolean {
    return this.opened;
  }

  /** Resets both connections. */
  close(): void {
    closeByReset(this.backend);
    closeByReset(this.peer);
  }

  private onConnect(): void {
    clearTimeout(this.timer);
    if (this.peer.destroyed) return;
    this.opened = true;
    this.peer.write(`${encodeTunnelAnswer({ kind: 'opened' })}\n`);
    this.listener.onOpened();
  }

  private onTimeout(): void {
    if (!this.opened) this.backend.destroy(new Error('timeout'));
  }

  private onBackendError(error: NodeJS.ErrnoException): void {
    if (this.opened) closeByReset(this.peer);
    else this.listener.onUnreachable(LOCAL_FAILURE_CODES.has(error.code ?? '') ? 'busy' : 'unreachable');
  }

  private onClose(): void {
    clearTimeout(this.timer);
    if (this.peer.destroyed) this.backend.destroy();
    this.openConnections -= 1;
    if (this.openConnections === 0) this.listener.onClosed();
  }
}

/** Passes on what arrives, no faster than it is taken. */
function startPassing(from: Socket, to: Socket): void {
  from.on('data', (chunk: Buffer) => {
    if (to.writable && !to.write(chunk)) from.pause();
  });
  to.on('drain', () => from.resume());
}

/** Resets a connection; one that is not established yet is given up. */
function closeByReset(socket: Socket): void {
  if (socket.connecting) socket.destroy();
  else socket.resetAndDestroy();
}
