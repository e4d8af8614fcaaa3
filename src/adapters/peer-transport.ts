/**
 * Transport between daemons: TCP, one message per line, one connection in each direction. Apart from a bounded
 * socket buffer nothing is queued for a peer that can't be reached: the protocols on top resend what they need.
 */
import { createConnection, createServer, type Server, type Socket } from 'node:net';
import { StringDecoder } from 'node:string_decoder';
import type { PeerMessage } from '../daemon/peer-messages.js';
import { PeerProtocolError, PulleyledgeError } from '../errors/index.js';
import type { TunnelEndRequest, TunnelRequest } from '../forwarding/tunnel-messages.js';
import { splitAddress } from '../shared/address.js';
import { FirstLineReader, type FirstLine } from './first-line-reader.js';
import { LineSplitter } from './line-splitter.js';
import { startListening } from './listen.js';
import { ANNOUNCEMENT, PeerAnnouncement } from './peer-announcement.js';
import { decodeFirstLine, decodePeerMessage, encodePeerMessage, type PeerHello } from './peer-codec.js';

/** Callbacks of the transport. */
export interface PeerTransportListener {
  /** A message arrived from the daemon that identified itself in the connection's hello. */
  onMessage(fromId: string, fromAddress: string, message: PeerMessage): void;
  /** A line was not a message; the connection is closed. */
  onProtocolError(error: PulleyledgeError, remote: string): void;
  /** A message was sent or received, for metrics. Bytes include the line break but no TCP headers. */
  onTraffic(direction: 'sent' | 'received', kind: string, bytes: number): void;
  /**
   * A connection asks to become a tunnel, or how one ended, and is the listener's from now on. Absent where none are
   * served.
   */
  onTunnel?(socket: Socket, request: TunnelRequest | TunnelEndRequest): void;
}

/** A connection attempt that takes longer has failed. Milliseconds. */
const CONNECT_TIMEOUT_MS = 1000;
/** After a failed connection, messages to the peer are dropped for this time before a reconnect. Milliseconds. */
const RECONNECT_DELAY_MS = 500;
/**
 * Idle time after which an outgoing connection is closed: probes go to every daemon of the fleet in turn, and
 * keeping a connection to each would take hundreds. Milliseconds.
 */
const IDLE_TIMEOUT_MS = 20_000;
/**
 * Idle time after which an incoming connection is closed: its daemon must have stopped, or it would have closed the
 * connection earlier. Milliseconds.
 */
const INCOMING_IDLE_TIMEOUT_MS = 30_000;
/**
 * Received data is acknowledged by an empty line within this time, so that the sender detects a silent connection.
 * Milliseconds.
 */
const ACKNOWLEDGE_MS = 750;
/** Interval of the checks for silent connections. Milliseconds. */
const CHECK_INTERVAL_MS = 250;
/**
 * A connection on which a message was not acknowledged for this number of checks is replaced: after 2 s, half of
 * the 4 s within which contact must be re-established. Checks are counted instead of time, since nothing can be
 * received while this process is paused.
 */
const SILENT_CHECKS = 8;
/** While more than this is buffered for a peer that reads slowly, messages to it are dropped. Bytes. */
const MAXIMUM_BUFFERED_BYTES = 1024 * 1024;
/** An incoming connection with a longer first line is closed. Bytes; its fields are limited to a few thousand. */
const MAXIMUM_FIRST_LINE_BYTES = 16 * 1024;
/** An incoming connection with a longer line is closed. Characters. */
const MAXIMUM_LINE_LENGTH = 8 * 1024 * 1024;

interface OutgoingConnection {
  readonly socket: Socket;
  readonly announcement: PeerAnnouncement;
  failedAt: number | undefined;
  /** Whether the peer acknowledges on this connection; daemons of an older version don't. */
  acknowledges: boolean;
  /** Checks since the first message that is not acknowledged yet; undefined when all are. */
  unansweredChecks: number | undefined;
}

/** The TCP transport of one daemon. */
export class PeerTransport {
  private readonly outgoing = new Map<string, OutgoingConnection>();
  private readonly incoming = new Set<Socket>();
  private readonly server: Server;
  private readonly timer: NodeJS.Timeout;
  private closed = false;
  private connectionsMade = 0;
  private lastMessage: PeerMessage | undefined;
  private lastLine = '';

  constructor(
    private readonly hello: PeerHello,
    private readonly listener: PeerTransportListener,
  ) {
    this.server = createServer((socket) => this.onConnection(socket));
    this.timer = setInterval(() => this.tick(), CHECK_INTERVAL_MS).unref();
  }

  /**
   * Starts listening on the daemon's peer address.
   * @throws ListenError naming the address.
   */
  listen(): Promise<void> {
    return startListening(this.server, this.hello.address);
  }

  /** Number of connections opened to peers so far. */
  getConnectionsMade(): number {
    return this.connectionsMade;
  }

  /** Sends a message, or drops it when the peer can't be reached or doesn't read. */
  send(address: string, message: PeerMessage): void {
    if (this.closed) return;
    const peer = this.getConnection(address);
    if (peer.announcement.admit(message)) this.write(peer, message);
  }

  private write(peer: OutgoingConnection, message: PeerMessage): void {
    if (peer.failedAt !== undefined || peer.socket.writableLength > MAXIMUM_BUFFERED_BYTES) return;
    const line = this.encode(message);
    this.listener.onTraffic('sent', message.kind, Buffer.byteLength(line));
    peer.socket.write(line);
    peer.unansweredChecks ??= 0;
  }

  /** Caches the last message's line, since one message is sent to many peers in a row. */
  private encode(message: PeerMessage): string {
    if (message !== this.lastMessage) {
      this.lastLine = `${encodePeerMessage(message)}\n`;
      this.lastMessage = message;
    }
    return this.lastLine;
  }

  /** Closes outgoing connections after what was written has been sent, incoming ones at once. */
  close(): void {
    this.closed = true;
    clearInterval(this.timer);
    this.server.close();
    for (const { socket } of this.outgoing.values()) socket.end();
    for (const socket of this.incoming) socket.destroy();
  }

  /** Closes connections that have gone silent; the next message opens a new one. */
  private tick(): void {
    for (const peer of this.outgoing.values()) {
      if (peer.unansweredChecks === undefined || !peer.acknowledges) continue;
      peer.unansweredChecks += 1;
      if (peer.unansweredChecks > SILENT_CHECKS) peer.socket.destroy();
    }
  }

  private getConnection(address: string): OutgoingConnection {
    const known = this.outgoing.get(address);
    const waiting = known?.failedAt !== undefined && performance.now() - known.failedAt < RECONNECT_DELAY_MS;
    if (known && (known.failedAt === undefined || waiting)) return known;
    const { host, port } = splitAddress(address);
    this.connectionsMade += 1;
    const socket = createConnection({ host, port, noDelay: true });
    const peer: OutgoingConnection = {
      socket,
      announcement: new PeerAnnouncement((message) => this.write(peer, message)),
      failedAt: undefined,
      acknowledges: false,
      unansweredChecks: undefined,
    };
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
    const decoder = new StringDecoder('utf8');
    socket.on('data', (chunk: Buffer) => {
      peer.acknowledges = true;
      peer.unansweredChecks = undefined;
      peer.announcement.receive(decoder.write(chunk));
    });
    socket.write(`${encodePeerMessage(this.hello)}\n`);
    this.outgoing.set(address, peer);
    return peer;
  }

  private onConnection(socket: Socket): void {
    this.incoming.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.incoming.delete(socket));
    socket.setTimeout(INCOMING_IDLE_TIMEOUT_MS, () => socket.destroy());
    const reader = new FirstLineReader(MAXIMUM_FIRST_LINE_BYTES);
    const onData = (chunk: Buffer): void =>
      this.checkProtocol(socket, () => {
        const first = reader.push(chunk);
        if (!first) return;
        socket.off('data', onData);
        this.receiveFirstLine(socket, first);
      });
    socket.on('data', onData);
  }

  private receiveFirstLine(socket: Socket, { line, rest }: FirstLine): void {
    const first = decodeFirstLine(line);
    if (first.kind === 'hello') {
      this.receiveMessages(socket, first, rest);
      return;
    }
    if (!this.listener.onTunnel) throw new PeerProtocolError('kind: no tunnels are served');
    this.incoming.delete(socket);
    socket.setTimeout(0);
    if (rest.length > 0) socket.unshift(rest);
    this.listener.onTunnel(socket, first);
  }

  /** Receives the messages of a peer; `rest` is what arrived together with its hello. */
  private receiveMessages(socket: Socket, peer: PeerHello, rest: Buffer): void {
    const acknowledge = createAcknowledger(socket);
    const decoder = new StringDecoder('utf8');
    const splitter = new LineSplitter(MAXIMUM_LINE_LENGTH);
    const onData = (chunk: Buffer): void => {
      acknowledge();
      const completeLines = splitter.push(decoder.write(chunk));
      if (!completeLines) {
        socket.destroy();
        return;
      }
      this.checkProtocol(socket, () => {
        for (const line of completeLines) if (!socket.destroyed) this.receive(peer, line);
      });
    };
    socket.on('data', onData);
    onData(rest);
  }

  /** Runs `receive`; when it throws because of an invalid line, reports the error and closes the connection. */
  private checkProtocol(socket: Socket, receive: () => void): void {
    try {
      receive();
    } catch (error) {
      if (!(error instanceof PulleyledgeError)) throw error;
      this.listener.onProtocolError(error, String(socket.remoteAddress));
      socket.destroy();
    }
  }

  private receive(peer: PeerHello, line: string): void {
    const message = decodePeerMessage(line);
    this.listener.onTraffic('received', message.kind, Buffer.byteLength(line) + 1);
    this.listener.onMessage(peer.id, peer.address, message);
  }
}

/**
 * Acknowledges the first data at once by this daemon's announcement, and later data within `ACKNOWLEDGE_MS` by an empty
 * line.
 */
function createAcknowledger(socket: Socket): () => void {
  let timer: NodeJS.Timeout | undefined;
  let first = true;
  const write = (line = ''): void => {
    timer = undefined;
    if (socket.writable) socket.write(`${line}\n`);
  };
  socket.on('close', () => clearTimeout(timer));
  return () => {
    if (first) write(ANNOUNCEMENT);
    else timer ??= setTimeout(write, ACKNOWLEDGE_MS);
    first = false;
  };
}
