/**
 * Connections between daemons: TCP, one line a message, one connection each way. Nothing is queued for a
 * peer that cannot be reached beyond a small bound: every protocol above repeats what matters.
 */
import { createConnection, createServer, type Server, type Socket } from 'node:net';
import type { PeerMessage } from '../daemon/daemon-messages.js';
import { PulleyledgeError } from '../errors/index.js';
import { splitAddress } from '../shared/address.js';
import { LineSplitter } from './line-splitter.js';
import { startListening } from './listen.js';
import { decodePeerHello, decodePeerMessage, encodePeerMessage, type PeerHello } from './peer-codec.js';

/** What the transport tells its user. */
export interface PeerTransportListener {
  /** A message arrived from the daemon that named itself in the connection's hello. */
  onMessage(fromId: string, fromAddress: string, message: PeerMessage): void;
  /** A line was not a message; the connection is closed. */
  onProtocolError(error: PulleyledgeError, remote: string): void;
  /** Traffic, for metrics. Bytes include the line end but no TCP headers. */
  onTraffic(direction: 'sent' | 'received', kind: string, bytes: number): void;
}

const CONNECT_TIMEOUT_MS = 1000;
const RECONNECT_DELAY_MS = 500;
/** Probes go round the whole fleet; a connection kept for each would be hundreds. */
const IDLE_TIMEOUT_MS = 20_000;
const MAXIMUM_BUFFERED_BYTES = 1024 * 1024;
const MAXIMUM_LINE_BYTES = 8 * 1024 * 1024;

interface Outgoing {
  readonly socket: Socket;
  failedAt: number | undefined;
}

/** The TCP transport of one daemon. */
export class PeerTransport {
  private readonly outgoing = new Map<string, Outgoing>();
  private readonly incoming = new Set<Socket>();
  private readonly server: Server;
  private closed = false;
  private lastMessage: PeerMessage | undefined;
  private lastLine = '';

  constructor(
    private readonly hello: PeerHello,
    private readonly listener: PeerTransportListener,
  ) {
    this.server = createServer((socket) => this.accept(socket));
  }

  /** Starts to listen on the daemon's peer address. */
  listen(): Promise<void> {
    return startListening(this.server, this.hello.address);
  }

  /** Sends a message, or drops it when the peer cannot be reached or does not read. */
  send(address: string, message: PeerMessage): void {
    if (this.closed) return;
    const peer = this.connectionTo(address);
    if (peer.failedAt !== undefined || peer.socket.writableLength > MAXIMUM_BUFFERED_BYTES) return;
    const line = this.encode(message);
    this.listener.onTraffic('sent', message.kind, Buffer.byteLength(line));
    peer.socket.write(line);
  }

  /** The same message goes to many peers in a row and is encoded once. */
  private encode(message: PeerMessage): string {
    if (message !== this.lastMessage) {
      this.lastLine = `${encodePeerMessage(message)}\n`;
      this.lastMessage = message;
    }
    return this.lastLine;
  }

  /** Closes every connection after what was written has gone out. */
  close(): void {
    this.closed = true;
    this.server.close();
    for (const { socket } of this.outgoing.values()) socket.end();
    for (const socket of this.incoming) socket.destroy();
  }

  private connectionTo(address: string): Outgoing {
    const known = this.outgoing.get(address);
    const waiting = known?.failedAt !== undefined && performance.now() - known.failedAt < RECONNECT_DELAY_MS;
    if (known && (known.failedAt === undefined || waiting)) return known;
    const { host, port } = splitAddress(address);
    const socket = createConnection({ host, port, noDelay: true });
    const peer: Outgoing = { socket, failedAt: undefined };
    const fail = (): void => {
      peer.failedAt ??= performance.now();
      socket.destroy();
    };
    const timer = setTimeout(fail, CONNECT_TIMEOUT_MS);
    socket.once('connect', () => clearTimeout(timer));
    socket.setTimeout(IDLE_TIMEOUT_MS, fail);
    socket.on('error', fail);
    socket.on('close', () => {
      clearTimeout(timer);
      peer.failedAt ??= performance.now() - RECONNECT_DELAY_MS;
    });
    socket.resume();
    socket.write(`${encodePeerMessage(this.hello)}\n`);
    this.outgoing.set(address, peer);
    return peer;
  }

  private accept(socket: Socket): void {
    this.incoming.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.incoming.delete(socket));
    let peer: PeerHello | undefined;
    const lines = new LineSplitter(MAXIMUM_LINE_BYTES);
    socket.setEncoding('utf8');
    socket.on('data', (chunk: string) => {
      const whole = lines.push(chunk);
      if (!whole) {
        socket.destroy();
        return;
      }
      for (const line of whole) {
        if (socket.destroyed) return;
        try {
          if (peer) this.receive(peer, line);
          else peer = decodePeerHello(line);
        } catch (error) {
          if (!(error instanceof PulleyledgeError)) throw error;
          this.listener.onProtocolError(error, String(socket.remoteAddress));
          socket.destroy();
        }
      }
    });
  }

  private receive(peer: PeerHello, line: string): void {
    const message = decodePeerMessage(line);
    this.listener.onTraffic('received', message.kind, Buffer.byteLength(line) + 1);
    this.listener.onMessage(peer.id, peer.address, message);
  }
}
