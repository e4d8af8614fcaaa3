/** Connections that pass nothing any more, without a reset, while new ones work. */
import { expect } from 'chai';
import {
  makeLabBackend,
  makeLabRoute,
  startForwardingSite,
  type ForwardingSite,
} from '../lab/forwarding-site.js';
import { findFreeAddresses } from '../lab/free-ports.js';
import { findHeader, ScriptedBackend } from '../lab/scripted-backend.js';
import { FaultProxy } from '../lab/soak/fault-proxy.js';
import { PeerTransport, type PeerTransportListener } from '../src/adapters/peer-transport.js';
import type { PeerMessage } from '../src/daemon/peer-messages.js';

/** A silent connection is replaced within this time; the platform allows 4 s for contact. Milliseconds. */
const FOUND_MS = 2500;
const SIGNED = 'X-Server-Signature: s1\r\n';

describe('silent connections between daemons', () => {
  let proxy: FaultProxy;
  let near: PeerTransport;
  let far: PeerTransport;
  let received: number[] = [];
  let errors = 0;

  beforeEach(async () => {
    received = [];
    errors = 0;
    const ignore: PeerTransportListener = {
      onMessage: () => undefined,
      onProtocolError: () => (errors += 1),
      onTraffic: () => undefined,
    };
    const [nearAddress, farAddress] = await findFreeAddresses(2);
    near = new PeerTransport({ kind: 'hello', id: 'near', address: nearAddress }, ignore);
    far = new PeerTransport(
      { kind: 'hello', id: 'far', address: farAddress },
      { ...ignore, onMessage: () => received.push(performance.now()) },
    );
    await Promise.all([near.listen(), far.listen()]);
    proxy = new FaultProxy(() => farAddress);
  });

  afterEach(() => {
    near.close();
    far.close();
    proxy.close();
  });

  const ping = (): PeerMessage => ({ kind: 'syncDigest', digest: 1 });

  async function sendFor(address: string, durationMs: number): Promise<void> {
    const end = performance.now() + durationMs;
    while (performance.now() < end) {
      near.send(address, ping());
      await delay(50);
    }
  }

  it('are replaced well before the daemons count as out of contact', async () => {
    const address = await proxy.start();
    await sendFor(address, 600);
    proxy.silenceOpenConnections();
    const silencedAt = performance.now();
    await sendFor(address, FOUND_MS);
    const after = received.filter((at) => at > silencedAt + 100);
    expect(after.length).to.be.greaterThan(3);
    expect(errors).to.equal(0);
  });

  it('are not seen where a peer only has nothing to say', async () => {
    const address = await proxy.start();
    near.send(address, ping());
    await delay(FOUND_MS);
    const before = near.getConnectionsMade();
    await sendFor(address, FOUND_MS);
    expect(near.getConnectionsMade()).to.equal(before);
  });
});

describe('silent connections to servers', () => {
  let proxy: FaultProxy;
  let backend: ScriptedBackend;
  let spare: ScriptedBackend;
  let site: ForwardingSite;
  /** Requests with these ids are held by the server. */
  const held = new Set<string>();

  beforeEach(async () => {
    const answer = (request: { head: string }, socket: { write(text: string): unknown }): void => {
      const id = findHeader(request.head, 'x-attempt-id');
      if (id !== undefined && held.has(id)) return;
      const identity = id === undefined ? 'X-Instance-Id: b1\r\n' : `X-Attempt-Id: ${id}\r\n`;
      socket.write(`HTTP/1.1 200 OK\r\n${identity}${SIGNED}Content-Length: 2\r\n\r\nok`);
    };
    backend = new ScriptedBackend(answer);
    spare = new ScriptedBackend(answer);
    const address = await backend.listen();
    proxy = new FaultProxy(() => address);
  });

  afterEach(async () => {
    await site.daemon.close();
    proxy.close();
    backend.close();
    spare.close();
  });

  async function ask(id: string, deadlineMs = 3000): Promise<{ status: number; ms: number }> {
    const startedAt = performance.now();
    const answer = await fetch(`http://${site.callers}/a/x`, {
      headers: { 'X-Attempt-Id': id, 'X-Deadline-Ms': String(deadlineMs) },
    });
    await answer.arrayBuffer();
    return { status: answer.status, ms: performance.now() - startedAt };
  }

  it('one makes the older ones suspect: requests after a second take new ones', async () => {
    site = await startForwardingSite(
      [makeLabRoute({ host: '127.0.0.1' })],
      [makeLabBackend('b1', await proxy.start())],
    );
    await Promise.all(Array.from({ length: 8 }, (_, index) => ask(`warm${index}`)));
    proxy.silenceOpenConnections();
    const first = ask('first');
    await delay(1600);
    const later = await Promise.all(Array.from({ length: 7 }, (_, index) => ask(`later${index}`)));
    expect(later.map(({ status }) => status)).to.deep.equal(Array.from({ length: 7 }, () => 200));
    expect(Math.max(...later.map(({ ms }) => ms))).to.be.lessThan(600);
    await first;
  });

  it('a request that waits on one is moved, when its server answers on new ones', async () => {
    const route = makeLabRoute({ host: '127.0.0.1', timeoutMs: 8000, maximumAttempts: 2 });
    const proxied = makeLabBackend('b1', await proxy.start());
    site = await startForwardingSite([route], [proxied]);
    await Promise.all([ask('warm1'), ask('warm2'), ask('warm3')]);
    proxy.silenceOpenConnections();
    const waiting = ['first', 'second', 'third'].map((id) => ask(id, 8000));
    const answered: number[] = [];
    for (let count = 0; count < 15; count += 1) {
      answered.push((await ask(`other${count}`)).status);
      await delay(100);
    }
    site.store.put({
      collection: 'backends',
      id: 'b2',
      revision: 9,
      value: makeLabBackend('b2', await spare.listen()),
    });
    const moved = await Promise.all(waiting);
    expect(new Set(answered)).to.deep.equal(new Set([200]));
    expect(moved.map(({ status }) => status)).to.deep.equal([200, 200, 200]);
    expect(Math.max(...moved.map(({ ms }) => ms))).to.be.lessThan(4000);
  });

  it('a server that is only slow keeps its connections', async () => {
    site = await startForwardingSite(
      [makeLabRoute({ host: '127.0.0.1' })],
      [makeLabBackend('b1', await proxy.start())],
    );
    await Promise.all(Array.from({ length: 4 }, (_, index) => ask(`warm${index}`)));
    held.add('slow');
    const slow = ask('slow', 1900);
    const before = proxy.getConnectionCount();
    const end = performance.now() + 1800;
    while (performance.now() < end) {
      await ask('quick');
      await delay(50);
    }
    await slow;
    expect(proxy.getConnectionCount()).to.equal(before);
  });
});

function delay(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
