/** A daemon that says it is ready takes new connections and serves what comes on them. */
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

const LIMIT = 60;
/** Longer than a connection must rest before it gives way. Milliseconds. */
const REST_MS = 300;
const SIGNED = 'X-Server-Signature: s1\r\n';

describe('a daemon that is ready', () => {
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
    site = await startForwardingSite([route], [record], null, LIMIT);
  });

  afterEach(async () => {
    for (const socket of sockets) socket.destroy();
    await site.daemon.close();
    backend.close();
  });

  function answer(socket: Socket, id: string): void {
    socket.write(`HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\n${SIGNED}Content-Length: 2\r\n\r\nok`);
  }

  async function open(): Promise<Socket> {
    const [host, port] = site.callers.split(':');
    const socket = connect({ host, port: Number(port) });
    socket.on('error', () => undefined);
    sockets.push(socket);
    await new Promise<void>((resolve) => socket.once('connect', resolve));
    return socket;
  }

  async function openMany(count: number): Promise<Socket[]> {
    const opened: Socket[] = [];
    for (let index = 0; index < count; index += 1) opened.push(await open());
    return opened;
  }

  /** Sends a request on a connection and gives the status; 0 when the connection is closed. */
  function ask(socket: Socket, id: string): Promise<number> {
    return new Promise((resolve) => {
      socket.once('data', (bytes) => resolve(Number(bytes.toString('latin1').split(' ')[1])));
      socket.once('close', () => resolve(0));
      socket.write(
        `GET /a/x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: ${id}\r\nX-Deadline-Ms: 15000\r\n\r\n`,
      );
    });
  }

  const isReady = async (): Promise<boolean> => (await fetch(`http://${site.ready}/ready`)).status === 200;

  it('serves new connections while the old ones rest, however many there are', async () => {
    await openMany(LIMIT);
    await delay(REST_MS);
    await openMany(LIMIT / 2);
    expect(await isReady()).to.equal(true);
    const statuses = await Promise.all(
      (await openMany(20)).map((socket, index) => ask(socket, `new${index}`)),
    );
    expect(statuses).to.deep.equal(Array.from({ length: 20 }, () => 200));
  });

  it('closes no connection on which an answer is due to make room', async () => {
    const busy = await openMany(20);
    const answers = busy.map((socket, index) => ask(socket, `held${index}`));
    await openMany(LIMIT - 20);
    await delay(REST_MS);
    await openMany(LIMIT / 2);
    for (const { socket, id } of held) answer(socket, id);
    expect(await Promise.all(answers)).to.deep.equal(Array.from({ length: 20 }, () => 200));
  });

  it('is not ready while every connection that it may have is busy, and is again afterwards', async () => {
    const busy = await openMany(LIMIT);
    const answers = busy.map((socket, index) => ask(socket, `held${index}`));
    for (let tries = 0; held.length < LIMIT && tries < 200; tries += 1) await delay(20);
    expect(await isReady()).to.equal(false);
    for (const { socket, id } of held) answer(socket, id);
    await Promise.all(answers);
    await delay(REST_MS);
    expect(await isReady()).to.equal(true);
    expect(await ask(await open(), 'after')).to.equal(200);
  });

  it('takes a storm of connections, and says it is ready only when it does', async () => {
    const storm = await Promise.all(
      Array.from({ length: 600 }, async (_, index) => ask(await open(), `storm${index}`)),
    );
    expect(storm.filter((status) => status === 200).length).to.be.at.least(LIMIT);
    await delay(REST_MS);
    expect(await isReady()).to.equal(true);
    expect(await ask(await open(), 'after')).to.equal(200);
  });

  it('is not ready once it drains, and still serves new connections', async () => {
    const stopped = site.daemon.stop();
    await delay(50);
    expect(await isReady()).to.equal(false);
    expect(await ask(await open(), 'late')).to.equal(200);
    for (const socket of sockets) socket.destroy();
    await stopped;
  });

  it('is ready after it stood still, and takes connections at once', async () => {
    const until = performance.now() + 1500;
    while (performance.now() < until);
    expect(await isReady()).to.equal(true);
    expect(await ask(await open(), 'after')).to.equal(200);
  });
});

describe('connections that callers may have', () => {
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

  it('leave descriptors for as many requests at servers, and for files', () => {
    const settings = createProcessSettings(checkPlatformSettings(`${SETTINGS}[limits]\nmax_fds = 4100\n`));
    expect(settings.maximumCallerConnections).to.equal(1755);
    expect(4100 - 200 - 2 * settings.maximumCallerConnections).to.be.greaterThan(300);
  });

  it('are not bounded where nothing is said of descriptors', () => {
    expect(createProcessSettings(checkPlatformSettings(SETTINGS)).maximumCallerConnections).to.equal(
      Infinity,
    );
  });
});

function delay(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
