/**
 * Guards against resetting a request that was sent in time on a keep-alive connection while the daemon's
 * process was paused: its event loop was blocked, or it got no CPU time. Node.js closes a connection whose
 * idle timeout has expired before it reads from it, so the first thing that the process did after the pause
 * was to reset the request.
 */
import { expect } from 'chai';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';
import { ForwardServer } from '../src/gateway/forward-server.js';
import { KeepAliveConnections } from '../src/gateway/keep-alive-connections.js';
import { findFreeAddresses } from '../lab/free-ports.js';

/** Idle timeout of the server's connections. Milliseconds. */
const IDLE_TIMEOUT_MS = 400;
/** The caller sends its second request after this share of the idle timeout. */
const IDLE_SHARE = 0.8;
/** Length of the process pause: longer than the idle timeout and what Node.js adds to it. Milliseconds. */
const PAUSE_MS = 2500;

/** Time after which the server has processed the end of its answer. Milliseconds. */
const SETTLE_MS = 50;

/** A caller in a thread of its own: sends two requests, idle in between, and reports what it received. */
const CALLER = `
const { parentPort, workerData: { port, idleMs, settleMs } } = require('node:worker_threads');
const socket = require('node:net').connect(port, '127.0.0.1');
const sendRequest = () => socket.write('GET / HTTP/1.1\\r\\nhost: a\\r\\n\\r\\n');
let answers = 0;
socket.on('data', (bytes) => {
  if (!bytes.toString('latin1').startsWith('HTTP/1.1 ')) return;
  answers += 1;
  if (answers === 1) setTimeout(sendRequest, idleMs);
  setTimeout(() => parentPort.postMessage('answered'), settleMs);
});
socket.on('error', (error) => parentPort.postMessage(error.code));
socket.on('close', () => parentPort.postMessage('closed'));
sendRequest();
`;

/** Returns what a caller receives that sends its second request while this process is paused. */
async function sendDuringPause(port: number): Promise<string> {
  const idleMs = IDLE_TIMEOUT_MS * IDLE_SHARE;
  const caller = new Worker(CALLER, { eval: true, workerData: { port, idleMs, settleMs: SETTLE_MS } });
  await once(caller, 'message');
  // Blocks in the message's callback: after a timer's callback, sockets would be read before further timers
  // fire.
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

describe('a request that is sent in time during a process pause', () => {
  it('is answered by the server for completions', async () => {
    const server = createServer((_request, response) => response.end('here'));
    new KeepAliveConnections(server);
    server.keepAliveTimeout = IDLE_TIMEOUT_MS;
    const port = await listen(server);
    expect(await sendDuringPause(port)).to.equal('answered');
    server.close();
  });

  it('is answered by the server for forwarded requests', async () => {
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
      idleTimeoutMs: IDLE_TIMEOUT_MS,
    });
    expect(await sendDuringPause(Number(address.split(':')[1]))).to.equal('answered');
    server.close();
  });

  it('a connection without a further request is closed after its idle timeout', async () => {
    const server = createServer((_request, response) => response.end('here'));
    new KeepAliveConnections(server);
    server.keepAliveTimeout = IDLE_TIMEOUT_MS;
    const port = await listen(server);
    const workerData = { port, idleMs: IDLE_TIMEOUT_MS + PAUSE_MS, settleMs: SETTLE_MS };
    const caller = new Worker(CALLER, { eval: true, workerData });
    await once(caller, 'message');
    expect(await once(caller, 'message')).to.deep.equal(['closed']);
    await caller.terminate();
    server.close();
  });
});
