/** Tests of peers that fail tunnels or refuse them, and of daemons that serve them, on real sockets. */
import { once } from 'node:events';
import { connect, createServer, type Socket } from 'node:net';
import { expect } from 'chai';
import { makeLabBackend, makeLabRoute, startForwardingSite } from '../lab/forwarding-site.js';
import { findFreeAddresses } from '../lab/free-ports.js';
import type { BackendScript } from '../lab/scripted-backend.js';
import { encodePeerMessage, encodeTunnelAnswer, encodeTunnelRequest } from '../src/adapters/peer-codec.js';
import { PeerTransport } from '../src/adapters/peer-transport.js';
import type { PeerMessage } from '../src/daemon/peer-messages.js';
import { splitAddress } from '../src/shared/address.js';
import { delay } from '../src/shared/delay.js';
import { ANSWER_HEAD, TunnelRig, killChildren, listenOn, startChild, waitUntil } from './tunnel-rig.js';

/** Bound of the tunnels through one daemon. */
const MAXIMUM_TUNNELS = 512;

/** Keeps this process busy, so that timers that are due meanwhile come before what waits in sockets. */
async function pauseProcess(milliseconds: number): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
  const end = performance.now() + milliseconds;
  while (performance.now() < end);
}

describe('peers of tunnels', () => {
  let rig: TunnelRig;

  async function start(script: BackendScript): Promise<void> {
    rig = new TunnelRig(script);
    await rig.start();
  }

  afterEach(async () => {
    killChildren();
    await rig.close();
  });

  it('what arrives with, or in parts of, the first line is not lost', async () => {
    await start(() => undefined);
    const { host, port } = splitAddress(rig.peer.address);
    const ping = (member: string): PeerMessage => ({
      kind: 'ping',
      sequence: 1,
      target: member,
      updates: [],
    });
    const hello = encodePeerMessage({ kind: 'hello', id: 'dæmon', address: '127.0.0.1:1' });
    const bytes = Buffer.from(`${hello}\n${encodePeerMessage(ping('ü'))}\n${encodePeerMessage(ping('b'))}\n`);
    for (const size of [1, 7, bytes.length - 3, bytes.length]) {
      const socket = connect({ host, port, noDelay: true });
      const before = rig.peer.messages.length;
      for (let from = 0; from < bytes.length; from += size) {
        socket.write(bytes.subarray(from, from + size));
        await delay(1);
      }
      await waitUntil(() => rig.peer.messages.length === before + 2);
      socket.destroy();
      expect(rig.peer.messages.slice(before)).to.deep.equal([
        ['dæmon', ping('ü')],
        ['dæmon', ping('b')],
      ]);
    }
    expect(rig.peer.protocolErrors).to.deep.equal([]);
  });

  it('a first line that is neither a hello nor asks for a tunnel is a typed error, and ends the connection', async () => {
    await start(() => undefined);
    const { host, port } = splitAddress(rig.peer.address);
    const request = { kind: 'tunnel', id: 'x', backend: 'y' } as const;
    const lines = [
      '\n',
      'GET / HTTP/1.1\r\n\r\n',
      `${encodePeerMessage({ kind: 'syncDigest', digest: 1 })}\n`,
      `${encodeTunnelRequest({ ...request, backend: 'y'.repeat(600) })}\n`,
      `${encodeTunnelRequest(request).replace('backend', 'back')}\n`,
      'x'.repeat(20_000),
    ];
    for (const line of lines) {
      const socket = connect({ host, port });
      socket.on('error', () => undefined).resume();
      socket.write(line);
      await once(socket, 'close');
    }
    expect(rig.peer.protocolErrors).to.deep.equal(lines.map(() => 'peer-protocol'));
    expect(rig.peer.opened).to.deep.equal([]);
  });

  it('a peer that is killed within an answer without a length leaves it broken', async () => {
    await start((_request, socket) => socket.write(`${ANSWER_HEAD}\r\nhalf of the`));
    for (const stream of [false, true]) {
      const { child, address } = await startChild('peer');
      const before = rig.backend.received.length;
      const run = rig.startAttempt({ via: address, stream });
      await waitUntil(() => rig.backend.received.length > before);
      await delay(100);
      child.kill('SIGKILL');
      expect((await run.ended).kind).to.equal('broken');
    }
  });

  it('a peer that closes the tunnel regularly within an answer without a length leaves it broken', async () => {
    await start((_request, socket) => socket.write(`${ANSWER_HEAD}\r\nhalf of the`));
    const closing = createServer((socket) => {
      socket.on('error', () => undefined).resume();
      socket.write(`${encodeTunnelAnswer({ kind: 'opened' })}\n`);
      setTimeout(() => socket.end(`${ANSWER_HEAD}\r\nhalf of the`), 50);
    });
    const run = rig.startAttempt({ via: await listenOn(closing) });
    expect((await run.ended).kind).to.equal('broken');
    closing.close();
  });

  it('a back end that takes no connection is found out before the origin gives the peer up', async () => {
    await start(() => undefined);
    const { child, address } = await startChild('full');
    child.kill('SIGSTOP');
    const { host, port } = splitAddress(address);
    const queued = Array.from({ length: 4 }, () => connect({ host, port }).on('error', () => undefined));
    await delay(100);
    const { ended } = rig.startAttempt({ backend: makeLabBackend('b1', address) });
    expect(await ended).to.deep.equal({
      kind: 'unreachable',
      reason: 'unreachable',
      tunnelFailure: 'backend',
    });
    for (const socket of queued) socket.destroy();
    await waitUntil(() => rig.peer.server.getOpenCount() === 0);
  });

  it('a peer that fails to answer makes an attempt unreachable because of the peer', async () => {
    await start(() => undefined);
    const answers: Readonly<Record<string, (socket: Socket) => void>> = {
      timeout: () => undefined,
      closed: (socket) => socket.end(),
      ECONNRESET: (socket) => socket.resetAndDestroy(),
      'peer-protocol': (socket) => socket.write('\n'),
    };
    for (const [reason, answer] of Object.entries(answers)) {
      const server = createServer((socket) => {
        socket.on('error', () => undefined);
        socket.once('data', () => answer(socket));
      });
      const { ended } = rig.startAttempt({ via: await listenOn(server) });
      expect(await ended).to.deep.equal({ kind: 'unreachable', reason, tunnelFailure: 'peer' });
      server.close();
    }
    const [unused] = await findFreeAddresses(1);
    expect(await rig.startAttempt({ via: unused }).ended).to.deep.equal({
      kind: 'unreachable',
      reason: 'ECONNREFUSED',
      tunnelFailure: 'peer',
    });
  });

  it('a daemon that serves no tunnels makes an attempt unreachable because of the peer', async () => {
    await start(() => undefined);
    const errors: string[] = [];
    const [address] = await findFreeAddresses(1);
    const transport = new PeerTransport(
      { kind: 'hello', id: 'other', address },
      {
        onMessage: () => undefined,
        onProtocolError: ({ code }) => void errors.push(code),
        onTraffic: () => undefined,
      },
    );
    await transport.listen();
    const { ended } = rig.startAttempt({ via: address });
    expect(await ended).to.include({ kind: 'unreachable', tunnelFailure: 'peer' });
    expect(errors).to.deep.equal(['peer-protocol']);
    transport.close();
  });

  it('an answer that arrived while the origin was paused is taken', async () => {
    await start(() => undefined);
    const { address } = await startChild('late');
    const run = rig.startAttempt({ via: address });
    await delay(30);
    await pauseProcess(600);
    expect(await run.ended).to.include({ kind: 'whole' });
  });

  it('a connection to the back end that was made while the peer was paused is used', async () => {
    await start((_request, socket) => socket.write(`${ANSWER_HEAD}Content-Length: 2\r\n\r\nok`));
    rig.peer.onCheck = () => void pauseProcess(300);
    expect(await rig.startAttempt().ended).to.include({ kind: 'whole' });
  });
});

describe('a daemon that serves tunnels', () => {
  it('opens them to known back ends only, and up to its bound', async () => {
    const rig = new TunnelRig(() => undefined);
    await rig.start();
    const site = await startForwardingSite([makeLabRoute({})], [makeLabBackend('b1', rig.backendAddress)]);
    rig.peer.close();
    rig.peer.address = site.peers;
    const unknown = rig.startAttempt({ backend: makeLabBackend('b2', '127.0.0.1:9') });
    expect(await unknown.ended).to.deep.equal({
      kind: 'unreachable',
      reason: 'unknown-backend',
      tunnelFailure: 'peer',
    });
    const sockets: Socket[] = [];
    for (let count = 0; count < MAXIMUM_TUNNELS; count += 1) sockets.push(await rig.openRaw());
    expect(await rig.startAttempt().ended).to.include({ reason: 'busy', tunnelFailure: 'peer' });
    sockets[0].destroy();
    await delay(100);
    const run = rig.startAttempt();
    await waitUntil(() => rig.backend.received.length === 1);
    expect(run.events).to.deep.equal([]);
    for (const socket of sockets) socket.destroy();
    await rig.close();
    await site.daemon.close();
  });

  it('refuses them once it stops, waits for those that are open, and resets what is left', async () => {
    const rig = new TunnelRig((_request, socket) => {
      const head = `${ANSWER_HEAD}Content-Length: 2\r\n\r\n`;
      setTimeout(() => socket.write(`${head}ok`), 1500);
    });
    await rig.start();
    const backends = [makeLabBackend('b1', rig.backendAddress)];
    const site = await startForwardingSite([makeLabRoute({})], backends, null, { stopGraceMs: 6000 });
    rig.peer.close();
    rig.peer.address = site.peers;
    const left = await rig.openRaw();
    const leftErrors: string[] = [];
    left.on('error', (error: NodeJS.ErrnoException) => leftErrors.push(String(error.code))).resume();
    const run = rig.startAttempt();
    await waitUntil(() => rig.backend.received.length === 1);
    const startedAt = performance.now();
    const stopped = site.daemon.stop();
    const late = rig.startAttempt({ attemptId: 'id2', once: true });
    expect(await late.ended).to.deep.equal({
      kind: 'unreachable',
      reason: 'stopping',
      tunnelFailure: 'peer',
    });
    expect(await run.ended).to.include({ kind: 'whole' });
    await stopped;
    expect(performance.now() - startedAt).to.be.within(5000, 6000);
    await waitUntil(() => leftErrors.length > 0);
    expect(leftErrors).to.deep.equal(['ECONNRESET']);
    await rig.close();
    await site.daemon.close();
  });
});
