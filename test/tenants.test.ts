/**
 * Callers' API keys: the tenant of a request, which requests are denied, and that no key leaves the daemon.
 */
import { connect } from 'node:net';
import { expect } from 'chai';
import fc from 'fast-check';
import {
  makeLabBackend,
  makeLabConfiguration,
  makeLabRoute,
  startForwardingSite,
} from '../lab/forwarding-site.js';
import { findHeader, ScriptedBackend } from '../lab/scripted-backend.js';
import { HttpDialect } from '../platform/http-dialect.js';
import { digestKey } from '../platform/key-digest.js';
import { readConfiguration } from '../platform/records.js';
import { ForwardingFleet } from '../simulation/forwarding-fleet.js';
import { decodePeerMessage, encodePeerMessage } from '../src/adapters/peer-codec.js';
import type { PeerMessage } from '../src/daemon/peer-messages.js';
import { PeerProtocolError, ValidationError } from '../src/errors/index.js';
import type { AttemptStart } from '../src/forwarding/forward-messages.js';
import type { Tenant } from '../src/forwarding/routes/route.js';
import { TenantDirectory } from '../src/forwarding/routes/tenant-directory.js';
import { ENGINES, ForwardingHarness, PLAIN, makePrompt } from './forwarding-harness.js';

const SEED = 20261207;
const KEY = '492cqf75rjvz48wuakn2';
const OTHER_KEY = 'ftimaj3nr26tta828m82';
const ROUTE = makeLabRoute({});
const PUBLIC_ROUTE = makeLabRoute({ isPublic: true });

function makeTenant(name: string, keys: readonly string[], priority?: number): Tenant {
  return { name, keyDigests: keys.map(digestKey), priority };
}

describe('the directory of tenants', () => {
  it('returns the tenant of each valid key and none for any other key, after any changes', () => {
    const digests = ['a', 'b', 'c', 'd', 'e', 'f'];
    const tenants = fc
      .array(fc.constantFrom(undefined, 't1', 't2', 't3'), { minLength: 6, maxLength: 6 })
      .map((owners) =>
        ['t1', 't2', 't3'].flatMap((name) => {
          const keyDigests = digests.filter((_, i) => owners[i] === name);
          return keyDigests.length > 0 ? [{ name, keyDigests }] : [];
        }),
      );
    fc.assert(
      fc.property(fc.array(fc.option(tenants), { minLength: 1 }), (versions) => {
        const directory = new TenantDirectory();
        for (const version of versions) directory.apply(version);
        const last = versions.at(-1) ?? null;
        for (const digest of digests) {
          const owner = last?.find(({ keyDigests }) => keyDigests.includes(digest));
          const caller = directory.findCaller(ROUTE, digest);
          if (last === null) expect(caller).to.deep.equal({ tenant: undefined });
          else expect(caller?.tenant?.name).to.equal(owner?.name);
        }
      }),
      { seed: SEED, numRuns: 500 },
    );
  });
});

describe('requests with keys', () => {
  function makeForwarding(route = ROUTE, backends = PLAIN): ForwardingHarness {
    const daemon = new ForwardingHarness([route], backends);
    daemon.tenants.apply([makeTenant('mary', [KEY], 3), makeTenant('anna', [OTHER_KEY])]);
    return daemon;
  }

  it('a request with a valid key is forwarded with its tenant', () => {
    const daemon = makeForwarding();
    daemon.begin({ keyDigest: digestKey(KEY) });
    expect(daemon.getStarts().map((start) => start.tenant)).to.deep.equal(['mary']);
  });

  it('a missing or unknown key is denied at once, or refused as not executed if a newer version may know it', () => {
    for (const keyDigest of [undefined, digestKey('nobody')]) {
      const daemon = makeForwarding();
      daemon.begin({ keyDigest });
      daemon.stale = true;
      daemon.begin({ id: 'r2', keyDigest });
      expect(daemon.getFailures()).to.deep.equal([401, 503]);
      expect(daemon.getStarts()).to.deep.equal([]);
    }
  });

  it('a key is denied once it has been removed', () => {
    const daemon = makeForwarding();
    daemon.tenants.apply([makeTenant('mary', [], 3)]);
    daemon.begin({ keyDigest: digestKey(KEY) });
    daemon.begin({ id: 'r2', keyDigest: digestKey(OTHER_KEY) });
    expect(daemon.getFailures()).to.deep.equal([401, 401]);
  });

  it('a public route accepts every caller, without a tenant', () => {
    const daemon = makeForwarding(PUBLIC_ROUTE);
    daemon.begin({ keyDigest: digestKey(KEY) });
    daemon.begin({ id: 'r2' });
    expect(daemon.getStarts().map((start) => start.tenant)).to.deep.equal([undefined, undefined]);
  });

  it('the priority of a tenant overrides that of the route, for prefill and for decode', () => {
    const route = makeLabRoute({ kind: 'stream', priority: 1 });
    const daemon = makeForwarding(route, ENGINES);
    daemon.begin({ keyDigest: digestKey(KEY), prompt: makePrompt(2000, 0) });
    daemon.event({ kind: 'prefilled', handle: 'h' }, 10);
    daemon.begin({ id: 'r2', keyDigest: digestKey(OTHER_KEY), prompt: makePrompt(2000, 0) });
    expect(daemon.getStarts().map(({ tenant: name, urgency }) => [name, urgency])).to.deep.equal([
      ['mary', 6],
      ['mary', 6],
      ['anna', 2],
    ]);
  });
});

describe('keys on the wire', () => {
  const dialect = new HttpDialect();

  it('neither the key nor a tenant claimed by the caller is sent to a back end, in any kind of call', () => {
    const makeSpelling = (name: string): fc.Arbitrary<string> =>
      fc
        .array(fc.boolean(), { minLength: name.length, maxLength: name.length })
        .map((upper) =>
          [...name].map((letter, i) => (upper[i] ? letter.toUpperCase() : letter.toLowerCase())).join(''),
        );
    const starts = fc.record({
      tenant: fc.option(fc.constant('mary'), { nil: undefined }),
      prefillOnly: fc.boolean(),
      kvSource: fc.option(fc.constant({ address: '10.0.0.1:80', handle: 'h' }), { nil: undefined }),
      copyFrom: fc.option(fc.constant('10.0.0.2:80'), { nil: undefined }),
      resumeAfter: fc.option(fc.constant('7'), { nil: undefined }),
    });
    fc.assert(
      fc.property(
        starts,
        makeSpelling('x-api-key'),
        makeSpelling('x-tenant'),
        (fields, keyName, tenantName) => {
          const start: AttemptStart = {
            requestId: 'r',
            attemptId: 'r/1',
            backend: { ...makeLabBackend('b', '10.0.0.1:80'), stage: 'decode' },
            remainingMs: 100,
            urgency: 0,
            stream: true,
            once: false,
            ...fields,
          };
          const headers = dialect.createRequestHeaders(
            [keyName, KEY, tenantName, 'claimed', 'X-Model', 'm'],
            start,
          );
          expect(headers.join('\n')).not.to.include(KEY).and.not.to.include('claimed');
          const names = headers.filter((_, i) => i % 2 === 0).map((name) => name.toLowerCase());
          expect(names).not.to.include('x-api-key');
          expect(names.filter((name) => name === 'x-tenant').length).to.equal(start.tenant ? 1 : 0);
          if (start.tenant) expect(headers[headers.indexOf('X-Tenant') + 1]).to.equal('mary');
        },
      ),
      { seed: SEED, numRuns: 300 },
    );
  });

  it('a key header that occurs twice counts as no key', () => {
    expect(dialect.parseCallerHead(['X-Api-Key', KEY]).keyDigest).to.equal(digestKey(KEY));
    expect(dialect.parseCallerHead(['X-Api-Key', KEY, 'x-api-key', OTHER_KEY]).keyDigest).to.equal(undefined);
    expect(dialect.parseCallerHead([]).keyDigest).to.equal(undefined);
  });

  it('the keys of a configuration are parsed into digests, and parse errors reveal no key', () => {
    const value = {
      version: 1,
      routes: [],
      services: [],
      tenants: [{ name: 'mary', api_keys: [KEY], priority: 1 }],
    };
    const text = JSON.stringify(value);
    expect(readConfiguration(text).tenants).to.deep.equal([makeTenant('mary', [KEY], 1)]);
    expect(readConfiguration('{"version":1,"routes":[],"services":[]}').tenants).to.equal(null);
    for (let cut = 1; cut < text.length; cut += 1) {
      const truncated = text.slice(cut);
      try {
        readConfiguration(truncated);
        expect.fail('a truncated configuration was parsed');
      } catch (error) {
        expect(error).to.be.instanceOf(ValidationError);
        expect((error as Error).message).not.to.match(/[a-z0-9]{12}/);
      }
    }
  });

  it('a peer’s configuration without a list of tenants is rejected', () => {
    const value = makeLabConfiguration(1, [ROUTE], [makeTenant('mary', [KEY])]);
    const message = (configuration: object): PeerMessage =>
      ({
        kind: 'recordsChanged',
        collection: 'configuration',
        from: 1,
        to: 2,
        changed: 2,
        records: [{ collection: 'configuration', revision: 2, value: configuration }],
      }) as PeerMessage;
    const line = encodePeerMessage(message(value));
    expect(line).not.to.include(KEY);
    expect(decodePeerMessage(line)).to.deep.equal(message(value));
    const older = { ...value, tenants: undefined };
    expect(() => decodePeerMessage(encodePeerMessage(message(older)))).to.throw(PeerProtocolError);
  });
});

describe('a change of keys in a fleet', () => {
  const BOUND_MS = 2000;

  function makeFleetWithKeys(): ForwardingFleet {
    const fleet = new ForwardingFleet(9, SEED);
    writeTenants(fleet, 1, [KEY]);
    fleet.write({ collection: 'backends', id: 'a', revision: 0, value: makeLabBackend('a', '10.1.0.1:80') });
    fleet.time.runUntil(6000);
    return fleet;
  }

  function writeTenants(fleet: ForwardingFleet, version: number, keys: readonly string[]): void {
    const value = makeLabConfiguration(version, [ROUTE], [makeTenant('mary', keys)]);
    fleet.write({ collection: 'configuration', revision: 0, value });
  }

  it('a removed key is denied in time also by daemons that the store refuses, and never as unknown by one that is cut off', () => {
    for (const access of ['refuses', 'silent'] as const) {
      const fleet = makeFleetWithKeys();
      for (const node of fleet.nodes.slice(0, 4)) node.access = access;
      const since = fleet.time.now();
      writeTenants(fleet, 2, []);
      fleet.time.runUntil(since + BOUND_MS);
      for (const node of fleet.nodes)
        fleet.submit(node, `q-${node.id}`, '/a/x', { keyDigest: digestKey(KEY) });
      expect(fleet.attempts.map(({ requestId }) => requestId)).to.deep.equal([]);
      for (const { refusals } of fleet.nodes)
        expect(refusals.map(({ status }) => status)).to.deep.equal([401]);
    }
  });

  it('a new key is refused as not executed, never denied, by daemons that the store does not answer', () => {
    const fleet = makeFleetWithKeys();
    for (const node of fleet.nodes) node.access = 'silent';
    fleet.time.runUntil(fleet.time.now() + 3000);
    for (const node of fleet.nodes)
      fleet.submit(node, `q-${node.id}`, '/a/x', { keyDigest: digestKey(OTHER_KEY) });
    for (const { refusals } of fleet.nodes) expect(refusals.map(({ status }) => status)).to.deep.equal([503]);
  });
});

describe('a daemon process with keys', () => {
  it('removes the key, sends the tenant and answers 401 to all other callers', async () => {
    const heads: string[] = [];
    const backend = new ScriptedBackend((request, socket) => {
      heads.push(request.head);
      const id = findHeader(request.head, 'X-Attempt-Id') ?? '';
      socket.write(
        `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nX-Server-Signature: s\r\nContent-Length: 2\r\n\r\nok`,
      );
    });
    const site = await startForwardingSite(
      [ROUTE],
      [makeLabBackend('b1', await backend.listen())],
      [makeTenant('mary', [KEY])],
    );
    const sendRequest = (lines: string): Promise<string> =>
      new Promise((resolve) => {
        const [host, port] = site.callers.split(':');
        let text = '';
        const socket = connect(Number(port), host);
        socket.on('data', (chunk: Buffer) => (text += chunk.toString('latin1')));
        socket.on('close', () => resolve(text));
        socket.write(`GET /a/x HTTP/1.1\r\nHost: site.example\r\nConnection: close\r\n${lines}\r\n\r\n`);
      });
    try {
      expect(await sendRequest(`X-Attempt-Id: i1\r\nX-Api-Key: ${KEY}\r\nX-Tenant: anna`)).to.match(
        /^HTTP\/1.1 200 /,
      );
      expect(await sendRequest(`X-Attempt-Id: i2\r\nX-Api-Key: ${OTHER_KEY}`)).to.match(/^HTTP\/1.1 401 /);
      expect(await sendRequest('X-Attempt-Id: i3')).to.match(/^HTTP\/1.1 401 /);
      expect(heads.length).to.equal(1);
      expect(heads[0]).to.match(/x-tenant: mary/i);
      expect(heads[0]).not.to.include(KEY).and.not.to.include('anna');
    } finally {
      backend.close();
      await site.daemon.close();
    }
  });
});
