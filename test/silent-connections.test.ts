/** Tests of connections that stop delivering data without a reset, while new connections work. */
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

/** Time within which a silent connection is replaced. Milliseconds; the platform allows 4 s to restore contact. */
const REPLACED_MS = 2500;
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
    const listener: PeerTransportListener = {
      onMessage: () => undefined,
      onProtocolError: () => (errors += 1),
      onTraffic: () => undefined,
    };
    const [nearAddress, farAddress] = await findFreeAddresses(2);
    near = new PeerTransport({ kind: 'hello', id: 'near', address: nearAddress }, listener);
    far = new PeerTransport(
      { kind: 'hello', id: 'far', address: farAddress },
      { ...listener, onMessage: () => received.push(performance.now()) },
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

  it('are replaced well before the daemons count as unreachable', async () => {
    const address = await proxy.start();
    await sendFor(address, 600);
    proxy.silenceOpenConnections();
    const silencedAt = performance.now();
    await sendFor(address, REPLACED_MS);
    const after = received.filter((at) => at > silencedAt + 100);
    expect(after.length).to.be.greaterThan(3);
    expect(errors).to.equal(0);
  });

  it('are not assumed where a peer merely has nothing to send', async () => {
    const address = await proxy.start();
    near.send(address, ping());
    await delay(REPLACED_MS);
    const before = near.getConnectionsMade();
    await sendFor(address, REPLACED_MS);
    expect(near.getConnectionsMade()).to.equal(before);
  });
});

describe('silent connections to servers', () => {
  let proxy: FaultProxy;
  let backend: ScriptedBackend;
  let spare: ScriptedBackend;
  let site: ForwardingSite;
  /** Ids of requests that the server never answers. */
  const unanswered = new Set<string>();

  beforeEach(async () => {
    const answer = (request: { head: string }, socket: { write(text: string): unknown }): void => {
      const id = findHeader(request.head, 'x-attempt-id');
      if (id !== undefined && unanswered.has(id)) return;
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

  async function sendRequest(id: string, deadlineMs = 3000): Promise<{ status: number; ms: number }> {
    const startedAt = performance.now();
    const answer = await fetch(`http://${site.callers}/a/x`, {
      headers: { 'X-Attempt-Id': id, 'X-Deadline-Ms': String(deadlineMs) },
    });
    await answer.arrayBuffer();
    return { status: answer.status, ms: performance.now() - startedAt };
  }

  it('a silent connection makes the older ones suspect: after a second, requests use new ones', async () => {
    site = await startForwardingSite(
      [makeLabRoute({ host: '127.0.0.1' })],
      [makeLabBackend('b1', await proxy.start())],
    );
    await Promise.all(Array.from({ length: 8 }, (_, index) => sendRequest(`warm${index}`)));
    proxy.silenceOpenConnections();
    const first = sendRequest('first');
    await delay(1600);
    const later = await Promise.all(Array.from({ length: 7 }, (_, index) => sendRequest(`later${index}`)));
    expect(later.map(({ status }) => status)).to.deep.equal(Array.from({ length: 7 }, () => 200));
    expect(Math.max(...later.map(({ ms }) => ms))).to.be.lessThan(600);
    await first;
  });

  it('a request that waits on a silent connection is retried elsewhere once its server answers on new ones', async () => {
    const route = makeLabRoute({ host: '127.0.0.1', timeoutMs: 8000, maximumAttempts: 2 });
    const proxied = makeLabBackend('b1', await proxy.start());
    site = await startForwardingSite([route], [proxied]);
    await Promise.all([sendRequest('warm1'), sendRequest('warm2'), sendRequest('warm3')]);
    proxy.silenceOpenConnections();
    const waiting = ['first', 'second', 'third'].map((id) => sendRequest(id, 8000));
    const answered: number[] = [];
    for (let count = 0; count < 15; count += 1) {
      answered.push((await sendRequest(`other${count}`)).status);
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

  it('the connections to a server that is only slow are kept', async () => {
    site = await startForwardingSite(
      [makeLabRoute({ host: '127.0.0.1' })],
      [makeLabBackend('b1', await proxy.start())],
    );
    await Promise.all(Array.from({ length: 4 }, (_, index) => sendRequest(`warm${index}`)));
    unanswered.add('slow');
    const slow = sendRequest('slow', 1900);
    const before = proxy.getConnectionCount();
    const end = performance.now() + 1800;
    while (performance.now() < end) {
      await sendRequest('quick');
      await delay(50);
    }
    await slow;
    expect(proxy.getConnectionCount()).to.equal(before);
  });
});

function delay(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
