/**
 * The connections to one server. A connection may fall silent for good without a reset while new ones work;
 * only time tells. A request that hears nothing while no other connection of its age is heard either makes
 * all of them suspect: they get nothing new.
 */
import { Pool } from 'undici';
import type { Socket } from 'node:net';
import type { ResetDetector } from './reset-watch.js';

/** Settings of one pool. */
interface ServerPoolSettings {
  readonly connections: number;
  /** How long a connection may rest. Milliseconds. */
  readonly maximumIdleMs: number;
}

/**
 * An idle connection is dropped this long before the server would close it. Milliseconds; far above the
 * way there.
 */
const KEEP_ALIVE_MARGIN_MS = 1000;
/**
 * How long a connection may rest where the server does not say. Milliseconds; undici's default, a second
 * below that of Node.js servers.
 */
const DEFAULT_KEEP_ALIVE_MS = 4000;

interface Connection {
  readonly socket: Socket;
  readonly openedAt: number;
  bytesRead: number;
  /** The last check that found new bytes. */
  heardAtCheck: number;
}

/** One pool. Checks are counted, not timed: while this process stood still nobody could be heard. */
export class ServerPool {
  readonly pool: Pool;
  private readonly connections = new Set<Connection>();
  private checks = 0;

  constructor(
    private readonly address: string,
    private readonly settings: ServerPoolSettings,
    private readonly resets: ResetDetector,
  ) {
    const { connections, maximumIdleMs: maximumRestMs } = settings;
    this.pool = new Pool(`http://${address}`, {
      connections,
      pipelining: 1,
      connect: resets.createConnector((socket) => this.watch(socket)),
      keepAliveTimeout: Math.min(DEFAULT_KEEP_ALIVE_MS, maximumRestMs),
      keepAliveMaxTimeout: maximumRestMs,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
    });
  }

  /** A pool with connections of its own to the same server. */
  createSuccessor(): ServerPool {
    return new ServerPool(this.address, this.settings, this.resets);
  }

  /** The number of the last check. */
  getCheck(): number {
    return this.checks;
  }

  /** Notes which connections were heard since the last check. */
  tick(): void {
    this.checks += 1;
    for (const connection of this.connections) {
      const { bytesRead } = connection.socket;
      if (bytesRead !== connection.bytesRead) connection.heardAtCheck = this.checks;
      connection.bytesRead = bytesRead;
    }
  }

  /**
   * Whether all connections that were open at `sentAt` are suspect: none was heard after check `sentAtCheck`,
   * and there are two at least. With one there is nothing else to suspect, and its request may just take
   * long.
   */
  isSuspect(sentAt: number, sentAtCheck: number): boolean {
    const older = [...this.connections].filter(({ openedAt }) => openedAt < sentAt);
    // What was heard between the check and the sending shows at the next check.
    return older.length > 1 && older.every(({ heardAtCheck }) => heardAtCheck <= sentAtCheck + 1);
  }

  /** Whether anything was ever heard here. */
  hasReceived(): boolean {
    return [...this.connections].some(({ heardAtCheck }) => heardAtCheck > 0);
  }

  /** Closes the connections when their requests are over. */
  close(): void {
    // It fails only where the pool was destroyed before, and then there is nothing left to close.
    this.pool.close().catch(() => undefined);
  }

  private watch(socket: Socket): void {
    const connection = { socket, openedAt: performance.now(), bytesRead: 0, heardAtCheck: 0 };
    this.connections.add(connection);
    socket.once('close', () => this.connections.delete(connection));
  }
}
