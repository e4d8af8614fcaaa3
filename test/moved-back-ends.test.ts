/** Tests that a back end whose record names another address is reached there, and not judged by the former one. */
import { expect } from 'chai';
import { request } from 'undici';
import { makeLabBackend, makeLabRoute, startForwardingSite } from '../lab/forwarding-site.js';
import { findHeader, ScriptedBackend } from '../lab/scripted-backend.js';
import { delay } from '../src/shared/delay.js';

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
});
