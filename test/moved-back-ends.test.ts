/** Tests that a back end whose record names another address is reached there, and not judged by the former one. */
import { expect } from 'chai';
import { request } from 'undici';
import { makeLabBackend, makeLabRoute, startForwardingSite } from '../lab/forwarding-site.js';
import { findHeader, ScriptedBackend } from '../lab/scripted-backend.js';
import { delay } from '../src/shared/delay.js';
import { ENGINES, ForwardingHarness, makePrompt, PLAIN } from './forwarding-harness.js';

const NEW_ADDRESS = '10.9.9.9:9';
/** A change of the store is in force after this time. Milliseconds. */
const IN_FORCE_MS = 500;

function makeServer(name: string): ScriptedBackend {
  return new ScriptedBackend(({ head }, socket) => {
    const id = findHeader(head, 'x-attempt-id') ?? '';
    socket.write(
      `HTTP/1.1 200 OK\r\nX-Server-Signature: s1\r\nX-Attempt-Id: ${id}\r\nContent-Length: ${name.length}\r\n\r\n${name}`,
    );
  });
}

describe('a back end whose record names another address', () => {
  it('gets its requests there although it has answered at the former one', async () => {
    const former = makeServer('former');
    const current = makeServer('current');
    const record = makeLabBackend('b1', await former.listen());
    const site = await startForwardingSite([makeLabRoute({})], [record]);
    const ask = async (id: string): Promise<string> => {
      const headers = { host: 'site.example', 'x-attempt-id': id };
      return (await request(`http://${site.callers}/a/x`, { headers })).body.text();
    };
    try {
      expect(await ask('r1')).to.equal('former');
      const value = { ...record, address: await current.listen() };
      site.store.put({ collection: 'backends', id: 'b1', revision: 9, value });
      await delay(IN_FORCE_MS);
      expect(await ask('r2')).to.equal('current');
    } finally {
      await site.daemon.close();
      former.close();
      current.close();
    }
  });

  it('keeps its work although another server at the former one answers to an older attempt', () => {
    const [record] = PLAIN;
    const site = new ForwardingHarness([makeLabRoute({ kind: 'idempotent' })], [record]);
    site.begin();
    site.directory.put({ ...record, address: NEW_ADDRESS });
    site.event({ kind: 'notExecuted', status: 421, wrongIncarnation: true }, 5);
    site.begin({ id: 'r2', callerId: 'c2' }, 10);
    expect(site.getStarts().at(-1)).to.deep.include({ requestId: 'r2' });
    expect(site.getStarts().at(-1)?.backend.address).to.equal(NEW_ADDRESS);
  });

  it('gets work again after another server answered at the former one', () => {
    const [record] = PLAIN;
    const site = new ForwardingHarness([makeLabRoute({ kind: 'idempotent' })], [record]);
    site.begin();
    site.event({ kind: 'notExecuted', status: 421, wrongIncarnation: true }, 5);
    site.begin({ id: 'r2', callerId: 'c2' }, 10);
    expect(site.getStarts()).to.have.length(1);
    site.directory.put({ ...record, address: NEW_ADDRESS });
    site.begin({ id: 'r3', callerId: 'c3' }, 20);
    expect(site.getStarts().at(-1)).to.deep.include({ requestId: 'r3' });
  });

  it('is not taken for the holder of a prompt that was computed at the former one', () => {
    const site = new ForwardingHarness([makeLabRoute({ timeoutMs: 60_000 })], ENGINES);
    site.begin({ callerDeadlineMs: 60_000, prompt: makePrompt(2000, 8000) });
    const [prefill] = site.getStarts();
    expect(prefill.prefillOnly).to.equal(true);
    site.directory.put({ ...prefill.backend, address: NEW_ADDRESS });
    site.event({ kind: 'prefilled', handle: 'h' }, 10);
    expect(site.getStarts().at(-1)?.kvSource).to.deep.equal({
      address: prefill.backend.address,
      handle: 'h',
    });
  });
});
