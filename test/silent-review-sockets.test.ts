/** What is judged by the silence of a back end, on real connections: answers, connections and back ends. */
import { expect } from 'chai';
import {
  makeLabBackend,
  makeLabConfiguration,
  makeLabRoute,
  startForwardingSite,
  type ForwardingSite,
} from '../lab/forwarding-site.js';
import { findHeader, ScriptedBackend, type ReceivedRequest } from '../lab/scripted-backend.js';
import { FaultProxy } from '../lab/soak/fault-proxy.js';
import { delay } from '../src/shared/delay.js';

describe('a plain answer that arrives in parts', () => {
  const backends: ScriptedBackend[] = [];
  let site: ForwardingSite;

  afterEach(async () => {
    await site.daemon.close();
    for (const backend of backends.splice(0)) backend.close();
  });

  it('is not given up as silent while its bytes arrive', async () => {
    const PARTS = 20;
    const answer = ({ head }: ReceivedRequest, socket: { write(text: string): unknown }): void => {
      const id = findHeader(head, 'x-attempt-id') ?? '';
      socket.write(
        `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nX-Server-Signature: s1\r\nContent-Length: ${PARTS}\r\n\r\n`,
      );
      for (let part = 1; part <= PARTS; part += 1) setTimeout(() => socket.write('x'), part * 100);
    };
    backends.push(new ScriptedBackend(answer), new ScriptedBackend(answer));
    const records = await Promise.all(
      backends.map(async (backend, index) => makeLabBackend(`b${index}`, await backend.listen())),
    );
    const route = makeLabRoute({ host: '127.0.0.1', timeoutMs: 8000, maximumAttempts: 2 });
    site = await startForwardingSite([route], records);
    const response = await fetch(`http://${site.callers}/a/x`, {
      headers: { 'X-Attempt-Id': 'a1', 'X-Deadline-Ms': '8000' },
    });
    expect((await response.arrayBuffer()).byteLength).to.equal(PARTS);
    const sent = backends.flatMap(({ received }) =>
      received.map(({ head }) => findHeader(head, 'x-attempt-id')),
    );
    expect(sent.filter((id) => id === 'a1')).to.have.length(1);
  });
});

describe('a request on a silent connection', () => {
  const SIGNED = 'X-Server-Signature: s1\r\n';
  let backend: ScriptedBackend;
  let proxy: FaultProxy;
  let site: ForwardingSite;

  afterEach(async () => {
    await site.daemon.close();
    proxy.close();
    backend.close();
  });

  async function sendRequest(id: string): Promise<number> {
    const startedAt = performance.now();
    const headers = { 'X-Attempt-Id': id, 'X-Deadline-Ms': '8000' };
    const answer = await fetch(`http://${site.callers}/a/x`, { headers });
    await answer.arrayBuffer();
    return answer.status === 200 ? performance.now() - startedAt : Infinity;
  }

  it('moves once its server answers on the third generation of connections, when the second fell silent too', async () => {
    backend = new ScriptedBackend(({ head }, socket) => {
      const id = findHeader(head, 'x-attempt-id');
      if (id?.startsWith('slow') && backend.received.filter((other) => other.head.includes(id)).length === 1)
        return;
      const identity = id === undefined ? 'X-Instance-Id: b1\r\n' : `X-Attempt-Id: ${id}\r\n`;
      socket.write(`HTTP/1.1 200 OK\r\n${identity}${SIGNED}Content-Length: 2\r\n\r\nok`);
    });
    const address = await backend.listen();
    proxy = new FaultProxy(() => address);
    const route = makeLabRoute({ host: '127.0.0.1', timeoutMs: 8000, maximumAttempts: 2 });
    site = await startForwardingSite([route], [makeLabBackend('b1', await proxy.start())]);
    await Promise.all(['warm1', 'warm2', 'warm3'].map(sendRequest));
    proxy.silenceOpenConnections();
    const first = ['first1', 'first2', 'first3'].map(sendRequest);
    await delay(1700);
    const second = ['slow1', 'slow2', 'slow3'].map(sendRequest);
    await delay(100);
    proxy.silenceOpenConnections();
    await delay(1700);
    for (let count = 0; count < 15; count += 1) {
      await sendRequest(`other${count}`);
      await delay(100);
    }
    const ms = await Promise.all([...first, ...second]);
    expect(ms.map((time) => (time < 7000 ? 'in time' : Math.round(time)))).to.deep.equal(
      ms.map(() => 'in time'),
    );
  });
});

describe('requests at a back end that is silent for two seconds', () => {
  it('are answered, though its probes fail, its connections are replaced, its record goes and the configuration changes', async () => {
    const backend = new ScriptedBackend(({ head }, socket) => {
      const id = findHeader(head, 'x-attempt-id');
      if (id === undefined) return;
      const answer = `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nX-Server-Signature: s1\r\nContent-Length: 2\r\n\r\nok`;
      setTimeout(() => socket.write(answer), 2000);
    });
    const route = makeLabRoute({ host: '127.0.0.1', kind: 'nonIdempotent', timeoutMs: 6000 });
    const record = makeLabBackend('b1', await backend.listen());
    const site = await startForwardingSite([route], [record]);
    const answers = ['r1', 'r2', 'r3'].map(async (id) => {
      const headers = { 'X-Attempt-Id': id, 'X-Deadline-Ms': '6000' };
      return (await fetch(`http://${site.callers}/a/x`, { method: 'POST', body: 'x', headers })).status;
    });
    await delay(300);
    const changed = { ...route, timeoutMs: 500, targets: [{ service: 'other', weight: 1 }] };
    site.store.put({ collection: 'configuration', revision: 8, value: makeLabConfiguration(2, [changed]) });
    await delay(1200);
    const headers = { 'X-Attempt-Id': 'late', 'X-Deadline-Ms': '6000' };
    const late = await fetch(`http://${site.callers}/a/x`, { method: 'POST', body: 'x', headers });
    expect(late.status, 'the new configuration is in force').to.equal(503);
    site.store.put({ collection: 'backends', id: 'b1', revision: 9, value: undefined });
    expect(await Promise.all(answers)).to.deep.equal([200, 200, 200]);
    const probes = backend.received.filter(({ head }) => findHeader(head, 'x-attempt-id') === undefined);
    expect(probes.length).to.be.greaterThan(0);
    await site.daemon.close();
    backend.close();
  });
});

describe('a caller at a silent back end', () => {
  it('gets an answer, and no closed connection, before its daemon exits', async () => {
    const backends = Array.from({ length: 3 }, () => new ScriptedBackend(() => undefined));
    const records = await Promise.all(
      backends.map(async (backend, index) => makeLabBackend(`b${index}`, await backend.listen())),
    );
    const route = makeLabRoute({ host: '127.0.0.1', timeoutMs: 8000, maximumAttempts: 1 });
    const site = await startForwardingSite([route], records);
    const headers = { 'X-Attempt-Id': 'a1', 'X-Deadline-Ms': '8000' };
    const answer = fetch(`http://${site.callers}/a/x`, { headers }).then(
      ({ status }) => `status ${status}`,
      () => 'closed',
    );
    await delay(50);
    await site.daemon.stop();
    await site.daemon.close();
    for (const backend of backends) backend.close();
    expect(await answer).to.match(/^status 50[24]$/);
  });
});
