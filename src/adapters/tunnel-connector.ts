/**
 * Opens tunnels: connections to a back end through a peer daemon that reaches it. Gives undici a socket on which
 * nothing was written but the line that asks for the tunnel. Relies on the peer to answer by one line, and to pass
 * on bytes of the back end only after it.
 */
import { randomUUID } from 'node:crypto';
import { createConnection, type Socket } from 'node:net';
import type { buildConnector } from 'undici';
import { PulleyledgeError, TunnelError } from '../errors/index.js';
import { splitAddress } from '../shared/address.js';
import { getFailureReason } from '../shared/failure-reason.js';
import { FirstLineReader } from './first-line-reader.js';
import { decodeTunnelAnswer, encodeTunnelRequest } from './peer-codec.js';

/** The way of a tunnel. */
export interface TunnelPath {
  /** Peer address through which the tunnel goes, `ip:port`. */
  readonly via: string;
  /** Id of the daemon that opens it. */
  readonly originId: string;
}

/**
 * Time for the peer's answer. Milliseconds: the peer's own connection attempt and two round trips; less than a
 * direct connection may take.
 */
const OPEN_TIMEOUT_MS = 400;
/** A longer answer is invalid. Bytes. */
const MAXIMUM_ANSWER_BYTES = 1024;

/** Ids of the tunnels that are open, by their sockets. */
const tunnelIds = new WeakMap<Socket, string>();

/** The id of the tunnel that a socket is; undefined for a direct connection. */
export function getTunnelId(socket: Socket): string | undefined {
  return tunnelIds.get(socket);
}

/** Creates a connector that opens tunnels to the back end at `backend`, `ip:port`. It fails with a TunnelError. */
export function createTunnelConnector(path: TunnelPath, backend: string): buildConnector.connector {
  return (_options, callback) => void new TunnelOpening(path, backend, callback);
}

/** One tunnel until the peer has answered, or its time is over. */
class TunnelOpening {
  private readonly socket: Socket;
  private readonly reader = new FirstLineReader(MAXIMUM_ANSWER_BYTES);
  private readonly timer: NodeJS.Timeout;
  private isOver = false;
  private readonly onReadable = (): void => this.receiveBytes();
  private readonly onError = (error: Error): void => this.fail(getFailureReason(error));
  private readonly onClose = (): void => this.fail('closed');

  constructor(
    private readonly path: TunnelPath,
    backend: string,
    private readonly callback: buildConnector.Callback,
  ) {
    const { host, port } = splitAddress(path.via);
    this.socket = createConnection({ host, port, noDelay: true });
    this.socket.on('readable', this.onReadable).on('error', this.onError).on('close', this.onClose);
    // An answer that arrived while this process was paused is read before the time-out counts.
    this.timer = setTimeout(() => setImmediate(() => this.fail('timeout')), OPEN_TIMEOUT_MS);
    const tunnelId = randomUUID();
    tunnelIds.set(this.socket, tunnelId);
    this.socket.write(`${encodeTunnelRequest({ kind: 'tunnel', id: path.originId, backend, tunnelId })}\n`);
  }

  private receiveBytes(): void {
    const chunk = this.socket.read() as Buffer | null;
    if (chunk === null) return;
    try {
      const first = this.reader.push(chunk);
      if (first) this.receiveAnswer(first.line, first.rest);
    } catch (error) {
      if (!(error instanceof PulleyledgeError)) throw error;
      this.fail(error.code);
    }
  }

  private receiveAnswer(line: string, rest: Buffer): void {
    const answer = decodeTunnelAnswer(line);
    if (answer.kind === 'refused') {
      this.fail(answer.reason);
      return;
    }
    if (rest.length > 0) this.socket.unshift(rest);
    this.stopReading();
    this.callback(null, this.socket);
  }

  private fail(reason: string): void {
    if (this.isOver) return;
    this.stopReading();
    this.socket.on('error', () => undefined).destroy();
    const failure = reason === 'unreachable' ? 'backend' : 'peer';
    this.callback(new TunnelError(this.path.via, reason, failure), null);
  }

  private stopReading(): void {
    this.isOver = true;
    clearTimeout(this.timer);
    this.socket.off('readable', this.onReadable).off('error', this.onError).off('close', this.onClose);
  }
}
