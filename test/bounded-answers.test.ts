/** Guards the completions program against answers without end, which were read into memory as a whole. */
import { createServer, type AddressInfo, type Server } from 'node:net';
import { expect } from 'chai';
import { writeEndlessly } from '../lab/garbled-bytes.js';
import { HttpApplicationClient } from '../src/adapters/application-client.js';
import { HttpEngineClient } from '../src/adapters/engine-client.js';
import { HttpPlatformClient } from '../src/adapters/platform-client.js';
import { OperatorClient } from '../src/cli/operator-client.js';
import { ProtocolError, TableUnavailableError } from '../src/errors/index.js';
import type { AttemptStart } from '../src/routing/completion-effects.js';

const MEGABYTE = 1024 * 1024;
/** Bytes that the kernel takes for a connection beyond those that are read. */
const KERNEL_BYTES = 16 * MEGABYTE;
const CHUNK = Buffer.alloc(64 * 1024, ' ');

describe('answers without end to the completions program', () => {
  let server: Server;
  let address: string;
  let writtenBytes: Promise<number>;

  async function start(status: string): Promise<void> {
    server = createServer((socket) => {
      writtenBytes = new Promise((resolve) => socket.on('close', () => resolve(socket.bytesWritten)));
      socket.once('data', () => {
        socket.write(`HTTP/1.1 ${status}\r\nContent-Type: application/json\r\n\r\n`);
        writeEndlessly(socket, CHUNK);
      });
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  async function expectBound(megabytes: number): Promise<void> {
    expect(await writtenBytes).to.be.lessThan(megabytes * MEGABYTE + KERNEL_BYTES);
  }

  afterEach(() => server.close());

  it('end a control request to an engine', async () => {
    await start('200 OK');
    const client = new HttpEngineClient();
    expect(await client.control(address, { kind: 'report' })).to.include({ kind: 'noAnswer' });
    await expectBound(1);
    await client.close();
  });

  it('end an attempt that an engine refuses', async () => {
    await start('503 Unavailable');
    const client = new HttpEngineClient();
    const row = { model: 'm', version: 'v', adapter: null, priority: 0 };
    const attempt = {
      ...{
        attemptId: 'a',
        address,
        stage: 'decode',
        offset: 0,
        produced: [],
        kv: undefined,
        remainingMs: 60_000,
      },
      ...{ request: { prompt: { text: 'x' }, maximumTokens: 1 }, row },
    } as unknown as AttemptStart;
    const event = await new Promise((resolve) => client.start(attempt, resolve));
    expect(event).to.include({ kind: 'broken' });
    await expectBound(1);
    await client.close();
  });

  it('end a call to an application server', async () => {
    await start('200 OK');
    const client = new HttpApplicationClient();
    const payload = { method: 'GET', path: '/x', headers: {}, body: new Uint8Array() };
    const event = await new Promise((resolve) =>
      client.start({ address, payload, remainingMs: 60_000 }, resolve),
    );
    expect(event).to.include({ kind: 'broken' });
    await expectBound(16);
    await client.close();
  });

  it('end a call to the platform', async () => {
    await start('200 OK');
    const client = new HttpPlatformClient([address], () => undefined);
    expect(await client.listMachines([])).to.equal(undefined);
    await expectBound(8);
    const result = await client.sendTableRequest({ kind: 'read', table: 'leases', key: 'k' });
    expect(result).to.include({ kind: 'noAnswer' });
    await expectBound(8);
    await client.close();
  });

  it('end an operator command', async () => {
    await start('200 OK');
    const error = await new OperatorClient(address).getStatus().catch((reason: unknown) => reason);
    expect(error).to.be.instanceOf(TableUnavailableError);
    expect(error).not.to.be.instanceOf(ProtocolError);
    await expectBound(16);
  });
});
