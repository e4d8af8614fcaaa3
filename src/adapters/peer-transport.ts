/**
 * Connections between daemons: TCP, one line a message, one connection each way. Nothing is queued for a
 * peer that cannot be reached beyond a small bound: every protocol above repeats what matters.
 */
import { createConnection, createServer, type Server, type Socket } from 'node:net';
import type { PeerMessage } from '../daemon/peer-messages.js';
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

/** A connection that does not come up within this time has failed. Milliseconds. */
const CONNECT_TIMEOUT_MS = 1000;
/** Messages to a peer that failed are dropped for so long before it is tried again. Milliseconds. */
const RECONNECT_DELAY_MS = 500;
/**
 * A connection without a byte for so long is closed: probes go round the whole fleet, and a connection
 * kept for each peer would be hundreds. Milliseconds.
 */
const IDLE_TIMEOUT_MS = 20_000;
/**
 * An incoming connection without a byte for so long belongs to a daemon that is gone: it would have closed it
 * before. Milliseconds.
 */
const INCOMING_IDLE_TIMEOUT_MS = 30_000;
/**
 * What was read is acknowledged within this time by an empty line, so that a connection that fell silent
 * shows. Milliseconds.
 */
const ACKNOWLEDGE_MS = 750;
/** Interval between looks at which connections were heard. Milliseconds. */
const CHECK_INTERVAL_MS = 250;
/**
 * A connection on which nothing was heard for so many checks after a message is replaced: 2 s, half of the 4
 * s within which contact has to be found again. Checks are counted, since nobody can be heard while this
 * process stands still.
 */
const SILENT_CHECKS = 8;
/** Messages to a peer that reads more slowly than this piles up are dropped. Bytes. */
const MAXIMUM_BUFFERED_BYTES = 1024 * 1024;
/** A longer line is no message. Characters. */
const MAXIMUM_LINE_LENGTH = 8 * 1024 * 1024;

interface Outgoing {
  readonly socket: Socket;
  failedAt: number | undefined;
  /** The peer acknowledges on this connection: daemons of an older version do not. */
  acknowledges: boolean;
  /** Checks since the first message that was not acknowledged; undefined when all were. */
  unheardChecks: number | undefined;
}

/** The TCP transport of one daemon. */
export class PeerTransport {
  private readonly outgoing = new Map<string, Outgoing>();
  private readonly incoming = new Set<Socket>();
  private readonly server: Server;
  private readonly timer: NodeJS.Timeout;
  private closed = false;
  private made = 0;
  private lastMessage: PeerMessage | undefined;
  private lastLine = '';

  constructor(
    private readonly hello: PeerHello,
    private readonly listener: PeerTransportListener,
  ) {
    this.server = createServer((socket) => this.accept(socket));
    this.timer = setInterval(() => this.tick(), CHECK_INTERVAL_MS).unref();
  }

  /** Starts to listen on the daemon's peer address. */
  listen(): Promise<void> {
    return startListening(this.server, this.hello.address);
  }

  /** Connections made to peers so far. */
  getConnectionsMade(): number {
    return this.made;
  }

  /** Sends a message, or drops it when the peer cannot be reached or does not read. */
  send(address: string, message: PeerMessage): void {
    if (this.closed) return;
    const peer = this.connectionTo(address);
    if (peer.failedAt !== undefined || peer.socket.writableLength > MAXIMUM_BUFFERED_BYTES) return;
    const line = this.encode(message);
    this.listener.onTraffic('sent', message.kind, Buffer.byteLength(line));
    peer.socket.write(line);
    peer.unheardChecks ??= 0;
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
    clearInterval(this.timer);
    this.server.close();
    for (const { socket } of this.outgoing.values()) socket.end();
    for (const socket of this.incoming) socket.destroy();
  }

  /** Drops connections that have fallen silent; the next message makes a new one. */
  private tick(): void {
    for (const peer of this.outgoing.values()) {
      if (peer.unheardChecks === undefined || !peer.acknowledges) continue;
      peer.unheardChecks += 1;
      if (peer.unheardChecks > SILENT_CHECKS) peer.socket.destroy();
    }
  }

  private connectionTo(address: string): Outgoing {
    const known = this.outgoing.get(address);
    const waiting = known?.failedAt !== undefined && performance.now() - known.failedAt < RECONNECT_DELAY_MS;
    if (known && (known.failedAt === undefined || waiting)) return known;
    const { host, port } = splitAddress(address);
    this.made += 1;
    const socket = createConnection({ host, port, noDelay: true });
    const peer: Outgoing = { socket, failedAt: undefined, acknowledges: false, unheardChecks: undefined };
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
    socket.on('data', () => {
      peer.acknowledges = true;
      peer.unheardChecks = undefined;
    });
    socket.write(`${encodePeerMessage(this.hello)}\n`);
    this.outgoing.set(address, peer);
    return peer;
  }

  private accept(socket: Socket): void {
    this.incoming.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.incoming.delete(socket));
    socket.setTimeout(INCOMING_IDLE_TIMEOUT_MS, () => socket.destroy());
    const acknowledge = createAcknowledger(socket);
    let peer: PeerHello | undefined;
    const lines = new LineSplitter(MAXIMUM_LINE_LENGTH);
    socket.setEncoding('utf8');
    socket.on('data', (chunk: string) => {
      acknowledge();
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

/** Writes an empty line at once for what is read first, and within a bounded time for what is read later. */
function createAcknowledger(socket: Socket): () => void {
  let timer: NodeJS.Timeout | undefined;
  let first = true;
  const write = (): void => {
    timer = undefined;
    if (socket.writable) socket.write('\n');
  };
  socket.on('close', () => clearTimeout(timer));
  return () => {
    if (first) write();
    else timer ??= setTimeout(write, ACKNOWLEDGE_MS);
    first = false;
  };
}
