/**
 * A caller sends its next request on a kept connection in time, while the daemon's process stands still: its
 * event loop is busy, or the machine gives it no processor. Node closes a connection whose time is over before it
 * reads it, so the first thing that the process did afterwards was to reset that request.
 */
import { expect } from 'chai';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';
import { ForwardServer } from '../src/gateway/forward-server.js';
import { KeepAliveConnections } from '../src/gateway/kept-connections.js';
import { findFreeAddresses } from '../lab/free-ports.js';

/** For how long a connection is kept at rest. Milliseconds. */
const KEPT_MS = 400;
/** When the caller sends again, of the time that the connection is kept. */
const REST_SHARE = 0.8;
/** The process stands still for so long: beyond the time, and beyond what Node.js adds to it. Milliseconds. */
const PAUSE_MS = 2500;

/** The server has noted the end of its answer by then. Milliseconds. */
const SETTLE_MS = 50;

/** A caller outside this event loop: asks, rests, asks again, and tells what came. */
const CALLER = `
const { parentPort, workerData: { port, restMs, settleMs } } = require('node:worker_threads');
const socket = require('node:net').connect(port, '127.0.0.1');
const ask = () => socket.write('GET / HTTP/1.1\\r\\nhost: a\\r\\n\\r\\n');
let answers = 0;
socket.on('data', (bytes) => {
  if (!bytes.toString('latin1').startsWith('HTTP/1.1 ')) return;
  answers += 1;
  if (answers === 1) setTimeout(ask, restMs);
  setTimeout(() => parentPort.postMessage('answered'), settleMs);
});
socket.on('error', (error) => parentPort.postMessage(error.code));
socket.on('close', () => parentPort.postMessage('closed'));
ask();
`;

/** What a caller gets that sends its second request while this process stands still. */
async function askAcrossPause(port: number): Promise<string> {
  const restMs = KEPT_MS * REST_SHARE;
  const caller = new Worker(CALLER, { eval: true, workerData: { port, restMs, settleMs: SETTLE_MS } });
  await once(caller, 'message');
  // In the turn that handles the message: in a timer's turn sockets would be read before further timers.
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, PAUSE_MS);
  const [second] = (await once(caller, 'message')) as [string];
  await caller.terminate();
  return second;
}

async function listen(server: Server): Promise<number> {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return (server.address() as AddressInfo).port;
}

describe('a request that comes in time while the process stands still', () => {
  it('is answered by the server of completions', async () => {
    const server = createServer((_request, response) => response.end('here'));
    new KeepAliveConnections(server);
    server.keepAliveTimeout = KEPT_MS;
    const port = await listen(server);
    expect(await askAcrossPause(port)).to.equal('answered');
    server.close();
  });

  it('is answered by the server of forwarded requests', async () => {
    const server = new ForwardServer(
      {
        onRequest: (_request, reply) =>
          reply.sendFailure({ status: 200, failure: 'none', retryAfterMs: undefined }),
      },
      () => performance.now(),
    );
    const [address] = await findFreeAddresses(1);
    await server.listen(address);
    server.setLimits({
      maximumHeaderBytes: 1000,
      maximumBodyBytes: 1000,
      headerTimeoutMs: 5000,
      idleTimeoutMs: KEPT_MS,
    });
    expect(await askAcrossPause(Number(address.split(':')[1]))).to.equal('answered');
    server.close();
  });

  it('a connection that brings nothing is closed once its time is over', async () => {
    const server = createServer((_request, response) => response.end('here'));
    new KeepAliveConnections(server);
    server.keepAliveTimeout = KEPT_MS;
    const port = await listen(server);
    const workerData = { port, restMs: KEPT_MS + PAUSE_MS, settleMs: SETTLE_MS };
    const caller = new Worker(CALLER, { eval: true, workerData });
    await once(caller, 'message');
    expect(await once(caller, 'message')).to.deep.equal(['closed']);
    await caller.terminate();
    server.close();
  });
});
