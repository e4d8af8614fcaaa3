/** Guards against requests that are refused because their back ends are still listed under the former name of a service. */
import { connect } from 'node:net';
import { expect } from 'chai';
import {
  makeLabBackend,
  makeLabConfiguration,
  makeLabRoute,
  startForwardingSite,
  type ForwardingSite,
} from '../lab/forwarding-site.js';
import { findHeader, ScriptedBackend } from '../lab/scripted-backend.js';
import { BackendDirectory } from '../src/forwarding/backends/backend-directory.js';
import { DEFAULT_BACKEND_HEALTH_SETTINGS } from '../src/forwarding/backends/backend-health.js';
import type { BackendRecord } from '../src/forwarding/routes/route.js';
import { splitAddress } from '../src/shared/address.js';
import { delay } from '../src/shared/delay.js';

/** Enough for a daemon to read a change from its store and apply it. Milliseconds. */
const APPLIED_MS = 1000;
/** A bucket of permits starts empty: the first requests may be refused for this long. Milliseconds. */
const LONGEST_REFUSAL_MS = 1500;
const RENAMED = makeLabRoute({ targets: [{ service: 'renamed', weight: 1 }] });

describe('a back end whose record names another service than before', () => {
  const former = makeLabBackend('b1', '10.0.0.1:1');

  it('is listed under the service that its record names, and nowhere once it is removed', () => {
    const directory = new BackendDirectory(DEFAULT_BACKEND_HEALTH_SETTINGS);
    directory.put(former);
    const view = directory.get('b1');
    directory.put({ ...former, service: 'renamed' });
    expect(directory.ofService('renamed')).to.deep.equal([view]);
    expect(directory.ofService('service')).to.deep.equal([]);
    directory.remove('b1');
    expect(directory.ofService('renamed')).to.deep.equal([]);
  });
});

describe('a service that is renamed', () => {
  let backend: ScriptedBackend;
  let record: BackendRecord;
  let advertised: string;
  let site: ForwardingSite;

  beforeEach(async () => {
    advertised = '';
    backend = new ScriptedBackend(({ head }, socket) => {
      const id = findHeader(head, 'x-attempt-id') ?? '';
      const named = `HTTP/1.1 200 OK\r\nX-Server-Signature: s1\r\nX-Attempt-Id: ${id}\r\n${advertised}`;
      socket.write(`${named}Content-Length: 2\r\n\r\nok`);
    });
    record = makeLabBackend('b1', await backend.listen());
    site = await startForwardingSite([makeLabRoute({})], [record]);
  });

  afterEach(async () => {
    await site.daemon.close();
    backend.close();
  });

  /** Sends a request on a connection of its own and returns the status line of the answer. */
  function getStatusLine(): Promise<string> {
    const { host, port } = splitAddress(site.callers);
    return new Promise((resolve) => {
      let text = '';
      const socket = connect(port, host);
      socket.on('data', (chunk: Buffer) => (text += chunk.toString('latin1')));
      socket.on('error', () => undefined);
      socket.on('close', () => resolve(text.split('\r\n')[0]));
      socket.write(
        'GET /a/x HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: id1\r\nConnection: close\r\n\r\n',
      );
    });
  }

  /** Renames the service in the configuration and in the record of its back end. */
  async function rename(): Promise<void> {
    const { services, ...rest } = makeLabConfiguration(2, [RENAMED]);
    const value = { ...rest, services: services.map((service) => ({ ...service, name: 'renamed' })) };
    site.store.put({
      collection: 'backends',
      id: 'b1',
      revision: 3,
      value: { ...record, service: 'renamed' },
    });
    site.store.put({ collection: 'configuration', revision: 4, value });
    await delay(APPLIED_MS);
  }

  it('is served by its back ends once their records name it', async () => {
    expect(await getStatusLine()).to.equal('HTTP/1.1 200 OK');
    await rename();
    expect(await getStatusLine()).to.equal('HTTP/1.1 200 OK');
  });

  it('is served by back ends that advertised limits before, once permits are granted for it', async () => {
    advertised = 'Server-Limit: 100\r\n';
    expect(await getStatusLine()).to.equal('HTTP/1.1 200 OK');
    await rename();
    const until = performance.now() + LONGEST_REFUSAL_MS;
    let status = await getStatusLine();
    while (status !== 'HTTP/1.1 200 OK' && performance.now() < until) {
      await delay(150);
      status = await getStatusLine();
    }
    expect(status).to.equal('HTTP/1.1 200 OK');
  });
});
