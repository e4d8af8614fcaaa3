/** Tests that a daemon which reports ready accepts new connections and serves the requests on them. */
import { connect, type Socket } from 'node:net';
import { expect } from 'chai';
import {
  makeLabBackend,
  makeLabRoute,
  startForwardingSite,
  type ForwardingSite,
} from '../lab/forwarding-site.js';
import { findHeader, ScriptedBackend } from '../lab/scripted-backend.js';
import { checkPlatformSettings, createProcessSettings } from '../platform/settings.js';

const CONNECTION_LIMIT = 60;
/** Longer than a connection must be idle before it may be closed for a new one. Milliseconds. */
const IDLE_MS = 300;
const SIGNED = 'X-Server-Signature: s1\r\n';

describe('a daemon that reports its readiness', () => {
  let site: ForwardingSite;
  let backend: ScriptedBackend;
  let sockets: Socket[];
  let held: { socket: Socket; id: string }[];

  beforeEach(async () => {
    sockets = [];
    held = [];
    backend = new ScriptedBackend(({ head }, socket) => {
      const id = findHeader(head, 'x-attempt-id') ?? '';
      if (id.startsWith('held')) held.push({ socket, id });
      else answer(socket, id);
    });
    const record = { ...makeLabBackend('b1', await backend.listen()), slots: 1000 };
    const route = makeLabRoute({ host: '127.0.0.1', timeoutMs: 20_000, targetLatencyMs: 20_000 });
    site = await startForwardingSite([route], [record], null, {
      maximumCallerConnections: CONNECTION_LIMIT,
    });
  });

  afterEach(async () => {
    for (const socket of sockets) socket.destroy();
    await site.daemon.close();
    backend.close();
  });

  function answer(socket: Socket, id: string): void {
    socket.write(`HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\n${SIGNED}Content-Length: 2\r\n\r\nok`);
  }

  async function openConnection(): Promise<Socket> {
    const [host, port] = site.callers.split(':');
    const socket = connect({ host, port: Number(port) });
    socket.on('error', () => undefined);
    sockets.push(socket);
    await new Promise<void>((resolve) => socket.once('connect', resolve));
    return socket;
  }

  async function openConnections(count: number): Promise<Socket[]> {
    const opened: Socket[] = [];
    for (let index = 0; index < count; index += 1) opened.push(await openConnection());
    return opened;
  }

  /** Sends a request on a connection and returns the status; 0 when the connection is closed. */
  function sendRequest(socket: Socket, id: string): Promise<number> {
    return new Promise((resolve) => {
      socket.once('data', (bytes) => resolve(Number(bytes.toString('latin1').split(' ')[1])));
      socket.once('close', () => resolve(0));
      socket.write(
        `GET /a/x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: ${id}\r\nX-Deadline-Ms: 15000\r\n\r\n`,
      );
    });
  }

  const isReady = async (): Promise<boolean> => (await fetch(`http://${site.ready}/ready`)).status === 200;

  it('serves new connections while old ones are idle, however many there are', async () => {
    await openConnections(CONNECTION_LIMIT);
    await delay(IDLE_MS);
    await openConnections(CONNECTION_LIMIT / 2);
    expect(await isReady()).to.equal(true);
    const statuses = await Promise.all(
      (await openConnections(20)).map((socket, index) => sendRequest(socket, `new${index}`)),
    );
    expect(statuses).to.deep.equal(Array.from({ length: 20 }, () => 200));
  });

  it('does not close a connection with a pending answer to accept a new one', async () => {
    const busy = await openConnections(20);
    const answers = busy.map((socket, index) => sendRequest(socket, `held${index}`));
    await openConnections(CONNECTION_LIMIT - 20);
    await delay(IDLE_MS);
    await openConnections(CONNECTION_LIMIT / 2);
    for (const { socket, id } of held) answer(socket, id);
    expect(await Promise.all(answers)).to.deep.equal(Array.from({ length: 20 }, () => 200));
  });

  it('is not ready while all connections up to the limit are busy, and is ready again afterwards', async () => {
    const busy = await openConnections(CONNECTION_LIMIT);
    const answers = busy.map((socket, index) => sendRequest(socket, `held${index}`));
    for (let tries = 0; held.length < CONNECTION_LIMIT && tries < 200; tries += 1) await delay(20);
    expect(await isReady()).to.equal(false);
    for (const { socket, id } of held) answer(socket, id);
    await Promise.all(answers);
    await delay(IDLE_MS);
    expect(await isReady()).to.equal(true);
    expect(await sendRequest(await openConnection(), 'after')).to.equal(200);
  });

  it('accepts a burst of connections, and reports ready only while it accepts connections', async () => {
    const burst = await Promise.all(
      Array.from({ length: 600 }, async (_, index) => sendRequest(await openConnection(), `burst${index}`)),
    );
    expect(burst.filter((status) => status === 200).length).to.be.at.least(CONNECTION_LIMIT);
    await delay(IDLE_MS);
    expect(await isReady()).to.equal(true);
    expect(await sendRequest(await openConnection(), 'after')).to.equal(200);
  });

  it('is not ready while draining, and still serves new connections', async () => {
    const stopped = site.daemon.stop();
    await delay(50);
    expect(await isReady()).to.equal(false);
    expect(await sendRequest(await openConnection(), 'late')).to.equal(200);
    for (const socket of sockets) socket.destroy();
    await stopped;
  });

  it('is ready after a process pause, and accepts connections at once', async () => {
    const until = performance.now() + 1500;
    while (performance.now() < until);
    expect(await isReady()).to.equal(true);
    expect(await sendRequest(await openConnection(), 'after')).to.equal(200);
  });
});

describe('the limit of caller connections', () => {
  const SETTINGS = `
node = "n1"
zone = "z"
region = "r"
ip = "127.0.0.1"
port_range = [1, 9]
heartbeat_ms = 500
[listen]
front = "127.0.0.1:1"
ready = "127.0.0.1:2"
control = "127.0.0.1:3"
[bounds]
config_ms = 3000
grace_s = 8
lease_ms = 3000
retry_budget_ratio = 0.2
budget_slack = 100
budget_window_s = 10
[platform]
addr = "127.0.0.1:4"
`;

  it('leaves file descriptors for one back-end connection per caller connection, and for files', () => {
    const settings = createProcessSettings(checkPlatformSettings(`${SETTINGS}[limits]\nmax_fds = 4100\n`));
    expect(settings.maximumCallerConnections).to.equal(1755);
    expect(4100 - 200 - 2 * settings.maximumCallerConnections).to.be.greaterThan(300);
  });

  it('does not apply where the settings do not limit file descriptors', () => {
    expect(createProcessSettings(checkPlatformSettings(SETTINGS)).maximumCallerConnections).to.equal(
      Infinity,
    );
  });
});

function delay(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
