/** A connection to the platform that goes silent is closed and replaced after one unanswered call. */
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { expect } from 'chai';
import { Client } from 'undici';
import { PlatformConnection, type ConnectedClient } from '../platform/platform-connection.js';
import { StoreClient } from '../platform/store-client.js';
import { TableClient } from '../platform/table-client.js';

/** Far longer than an answer takes on a new connection. Milliseconds. */
const TIMEOUT_MS = 500;
const ANSWER_BODY = JSON.stringify({ ver: 1, rows: [] });
const ANSWER = `HTTP/1.1 200 OK\r\ncontent-length: ${ANSWER_BODY.length}\r\n\r\n${ANSWER_BODY}`;

/** A service that neither answers on connections marked as silent nor closes them. */
class SilentService {
  /** The number of the connection, counted from 1, of each request received. */
  readonly served: number[] = [];
  private readonly silent = new Set<number>();
  private readonly sockets = new Set<Socket>();
  private count = 0;
  private readonly server = createServer((socket) => this.accept(socket));

  async start(): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Marks the newest connection as silent. */
  silence(): void {
    this.silent.add(this.count);
  }

  stop(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }

  private accept(socket: Socket): void {
    this.count += 1;
    const connection = this.count;
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => {
      this.served.push(connection);
      if (!this.silent.has(connection)) socket.write(ANSWER);
    });
  }
}

/** A client that never answers again after its first answer, and whose socket is only closed by `destroy`. */
class SilentClient implements ConnectedClient {
  destroyed = false;
  private calls = 0;

  constructor(private readonly client: Client) {}

  readonly request: ConnectedClient['request'] = (options) => {
    this.calls += 1;
    if (this.calls === 1) return this.client.request(options);
    const signal = options.signal as AbortSignal;
    return new Promise((_resolve, reject) => {
      signal.addEventListener('abort', () => reject(signal.reason as Error));
    });
  };

  readonly destroy: ConnectedClient['destroy'] = (): Promise<void> => {
    this.destroyed = true;
    return this.client.destroy();
  };
}

describe('a connection that goes silent', () => {
  const service = new SilentService();
  let address: string;

  before(async () => {
    address = await service.start();
  });

  after(() => service.stop());

  it('is not reused after a timeout: the next call is answered on a new one', async () => {
    const connection = new PlatformConnection(address);
    const call = { method: 'GET' as const, path: '/', timeoutMs: TIMEOUT_MS };
    expect((await connection.call(call)).status).to.equal(200);
    service.silence();
    const failure = await connection.call(call).catch((error: Error) => error.name);
    expect(failure).to.equal('TimeoutError');
    expect((await connection.call(call)).status).to.equal(200);
    expect(service.served).to.deep.equal([1, 1, 2]);
    connection.close();
  });

  it('is closed and replaced even if the underlying client would keep using it', async () => {
    const clients: SilentClient[] = [];
    const connection = new PlatformConnection(address, () => {
      const client = new SilentClient(new Client(`http://${address}`));
      clients.push(client);
      return client;
    });
    const call = { method: 'GET' as const, path: '/', timeoutMs: TIMEOUT_MS };
    const outcomes: (number | string)[] = [];
    for (let count = 0; count < 3; count += 1) {
      const outcome = connection.call(call).then(
        ({ status }) => status,
        (error: Error) => error.name,
      );
      outcomes.push(await outcome);
    }
    expect(outcomes).to.deep.equal([200, 'TimeoutError', 200]);
    expect(clients.map(({ destroyed }) => destroyed)).to.deep.equal([true, false]);
    connection.close();
  });

  it('costs the record store and the table store a single answer', async () => {
    const store = new StoreClient(address, () => undefined);
    const table = new TableClient(address);
    const read = { collection: 'configuration' as const, after: undefined, waitMs: 0, answerTimeoutMs: 800 };
    for (const call of [
      () => store.read(read),
      () => table.perform({ kind: 'read', table: 'leases', key: 'k' }),
    ]) {
      expect((await call()).kind).to.not.equal('noAnswer');
      service.silence();
      expect((await call()).kind).to.equal('noAnswer');
      expect((await call()).kind).to.not.equal('noAnswer');
    }
  });
});
