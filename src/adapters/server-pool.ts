/**
 * The connections to one server. A connection may permanently stop delivering data without a reset while new
 * connections work; this can only be inferred from elapsed time. When a request gets no response and no connection
 * that was open when it was sent has received anything since, all of those are suspect and get no new requests.
 */
import { Pool } from 'undici';
import type { Socket } from 'node:net';
import type { ResetDetector } from './reset-detector.js';
import { createTunnelConnector, type TunnelPath } from './tunnel-connector.js';

/** Settings of one pool. */
interface ServerPoolSettings {
  /** Address of the server, `ip:port`. */
  readonly address: string;
  /** Id of the server. */
  readonly serverId: string;
  /** The way of its connections through a peer; undefined for direct ones. */
  readonly tunnel: TunnelPath | undefined;
  readonly connections: number;
  /** Maximum idle time of a connection. Milliseconds. */
  readonly maximumIdleMs: number;
}

/**
 * An idle connection is closed this long before the server would close it. Milliseconds; far above the network
 * latency.
 */
const KEEP_ALIVE_MARGIN_MS = 1000;
/**
 * Maximum idle time where the server names none. Milliseconds; undici's default, a second below that of Node.js
 * servers.
 */
const DEFAULT_KEEP_ALIVE_MS = 4000;

/**
 * A connection that receives more than this between two checks, mostly bytes that belong to no body, is closed: heads
 * and the framing of bodies are small. Bytes.
 */
const MAXIMUM_UNDELIVERED_BYTES = 4 * 1024 * 1024;

interface Connection {
  readonly socket: Socket;
  readonly openedAt: number;
  bytesRead: number;
  /** Number of the last check that found new bytes. */
  receivedAtCheck: number;
}

/** One pool. Checks are counted instead of time, since nothing is received while this process is paused. */
export class ServerPool {
  readonly pool: Pool;
  private readonly connections = new Set<Connection>();
  private checkCount = 0;
  /** Bytes of bodies since the last check, on all connections. */
  private deliveredBytes = 0;

  constructor(
    readonly settings: ServerPoolSettings,
    private readonly resetDetector: ResetDetector,
  ) {
    const { address, tunnel, connections, maximumIdleMs } = settings;
    this.pool = new Pool(`http://${address}`, {
      connections,
      pipelining: 1,
      connect: resetDetector.createConnector(
        (socket) => this.addConnection(socket),
        tunnel && createTunnelConnector(tunnel, address),
      ),
      keepAliveTimeout: Math.min(DEFAULT_KEEP_ALIVE_MS, maximumIdleMs),
      keepAliveMaxTimeout: maximumIdleMs,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
    });
  }

  /** Creates a pool with separate connections to the same server. */
  createSuccessor(): ServerPool {
    return new ServerPool(this.settings, this.resetDetector);
  }

  /** Number of checks so far. */
  getCheckCount(): number {
    return this.checkCount;
  }

  /** Records which connections have received data since the last check. */
  tick(): void {
    this.checkCount += 1;
    for (const connection of this.connections) {
      const { bytesRead } = connection.socket;
      const received = bytesRead - connection.bytesRead;
      if (received > 0) connection.receivedAtCheck = this.checkCount;
      connection.bytesRead = bytesRead;
      if (received > MAXIMUM_UNDELIVERED_BYTES && received > 2 * this.deliveredBytes)
        connection.socket.destroy(new Error('bytes that are no answer'));
    }
    this.deliveredBytes = 0;
  }

  /** Counts bytes of a body that was received on one of the connections. */
  addDelivered(bytes: number): void {
    this.deliveredBytes += bytes;
  }

  /**
   * Whether all connections that were open at `sentAt` are suspect: none has received data after check
   * `sentAtCheck`, and there are at least two. With a single one, the request on it may just take a long time, and
   * no other connection shows the difference.
   */
  isSuspect(sentAt: number, sentAtCheck: number): boolean {
    const older = [...this.connections].filter(({ openedAt }) => openedAt < sentAt);
    // Data received between the check and the sending is only seen by the next check.
    return older.length > 1 && older.every(({ receivedAtCheck }) => receivedAtCheck <= sentAtCheck + 1);
  }

  /** Whether any open connection has ever received data. */
  hasReceived(): boolean {
    return [...this.connections].some(({ receivedAtCheck }) => receivedAtCheck > 0);
  }

  /** Closes each connection when its request has ended. */
  close(): void {
    // Rejects only if the pool has been destroyed already, and then nothing is left to close.
    this.pool.close().catch(() => undefined);
  }

  private addConnection(socket: Socket): void {
    // What a tunnel's peer has answered is not from the server.
    const { bytesRead } = socket;
    const connection = { socket, openedAt: performance.now(), bytesRead, receivedAtCheck: 0 };
    this.connections.add(connection);
    socket.once('close', () => this.connections.delete(connection));
  }
}
