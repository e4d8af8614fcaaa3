/**
 * Guards against entries of the store that are valid but at the limits of numbers and addresses: a running daemon goes on
 * serving, and follows what the store holds next.
 */
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import {
  makeLabBackend,
  makeLabConfiguration,
  makeLabRoute,
  startForwardingSite,
  type ForwardingSite,
} from '../lab/forwarding-site.js';
import { readConfiguration, readServer } from '../platform/records.js';
import { delay } from '../src/shared/delay.js';

const HUGE = Number.MAX_VALUE;
const LARGE = Number.MAX_SAFE_INTEGER;
/** Longer than a daemon takes to apply a change, and than several of its checks of back ends. Milliseconds. */
const SETTLE_MS = 1500;

describe('a daemon with odd entries', () => {
  let backend: Server;
  let site: ForwardingSite;
  let address: string;

  beforeEach(async () => {
    backend = createServer((request, response) => {
      response.setHeader('X-Attempt-Id', request.headers['x-attempt-id'] ?? '');
      response.setHeader('X-Instance-Id', 'b1').setHeader('X-Server-Signature', 's').end('served');
    });
    await new Promise<void>((resolve) => backend.listen(0, '127.0.0.1', resolve));
    address = `127.0.0.1:${(backend.address() as AddressInfo).port}`;
    site = await startForwardingSite([makeLabRoute({})], [makeLabBackend('b1', address)]);
  });

  afterEach(async () => {
    await site.daemon.close();
    backend.close();
    backend.closeAllConnections();
  });

  async function getStatuses(count: number): Promise<Set<number>> {
    const statuses = new Set<number>();
    for (let index = 0; index < count; index += 1) {
      const answer = await fetch(`http://${site.callers}/a/x`, { headers: { host: 'site.example' } });
      await answer.text();
      statuses.add(answer.status);
    }
    return statuses;
  }

  it('serves with a configuration of huge numbers, and applies the next one', async () => {
    const host = site.callers.split(':')[0];
    const route = {
      name: 'route',
      host,
      path_prefix: '/a/',
      route_kind: 'idempotent',
      timeout_ms: HUGE,
      target_latency_ms: HUGE,
      target_itl_ms: HUGE,
      priority: LARGE,
      max_attempts: LARGE,
      split: [{ service: 'service', weight: HUGE }],
    };
    const engine = {
      slots: HUGE,
      kv_capacity: HUGE,
      kv_ttl_s: HUGE,
      switch_s: HUGE,
      kv_bytes: HUGE,
      link_mbps: HUGE,
    };
    const limits = {
      max_header_bytes: LARGE,
      max_body_bytes: LARGE,
      header_timeout_ms: HUGE,
      idle_timeout_ms: HUGE,
    };
    const services = [{ name: 'service', max_conns: LARGE, engine }];
    const text = JSON.stringify({ version: 2, routes: [route], services, limits });
    site.store.put({ collection: 'configuration', revision: 100, value: readConfiguration(text) });
    await delay(SETTLE_MS);
    expect(await getStatuses(20)).to.deep.equal(new Set([200]));
    const next = makeLabConfiguration(3, [makeLabRoute({ host, pathPrefix: '/other/' })]);
    site.store.put({ collection: 'configuration', revision: 101, value: next });
    await delay(SETTLE_MS);
    expect(await getStatuses(1)).to.deep.equal(new Set([404]));
  });

  it('serves beside servers whose addresses refuse connections, and numbers at their limits', async () => {
    const host = site.callers.split(':')[0];
    const value = makeLabConfiguration(2, [makeLabRoute({ host, maximumAttempts: 9, timeoutMs: 5000 })]);
    site.store.put({ collection: 'configuration', revision: 100, value });
    const odd = [
      { addr: '0.0.0.0:1', born: LARGE },
      { addr: '255.255.255.255:1', born: -LARGE },
      { addr: '224.0.0.1:65535', slots: HUGE },
      { addr: '127.0.0.1:1', born: -0 },
    ];
    odd.forEach((fields, index) => {
      const text = JSON.stringify({
        service: 'service',
        zone: 'zone-a',
        slots: 1,
        state: 'ready',
        ...fields,
      });
      const id = `odd-${index}`;
      site.store.put({ collection: 'backends', id, revision: 101 + index, value: readServer(id, text) });
    });
    await delay(SETTLE_MS);
    const statuses = await getStatuses(60);
    expect(statuses.has(200)).to.equal(true);
    await delay(SETTLE_MS);
    expect(await getStatuses(20)).to.deep.equal(new Set([200]));
  });
});
