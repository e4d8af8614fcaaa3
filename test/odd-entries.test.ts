/**
 * Guards against entries of the store whose numbers are valid but huge, or whose texts only the store's reader takes: a
 * quota that never ends refusing its tenant, and records that no peer can read.
 */
import { expect } from 'chai';
import { readConfiguration } from '../platform/records.js';
import { HttpDialect } from '../platform/http-dialect.js';
import { decodePeerMessage, encodePeerMessage } from '../src/adapters/peer-codec.js';
import type { RouteTarget } from '../src/forwarding/routes/route.js';
import { WeightedChoice } from '../src/forwarding/routes/weighted-choice.js';
import { makeLabBackend, makeLabRoute } from '../lab/forwarding-site.js';
import { OwnedBucket } from '../src/quotas/owned-bucket.js';

const ROUTE = { name: 'r', host: 'h', path_prefix: '/', route_kind: 'x', timeout_ms: 1, service: 's' };
const ENGINE = { slots: 1, kv_capacity: 1 };
const SCALING = { min: 0, max: 1, zone_prices: {} };
const KNOWLEDGE = { complete: 1, changed: 1, ageMs: 0 };
const BASE = { version: 1, routes: [], services: [] };

describe('a quota with huge numbers', () => {
  for (const rate of [1e300, Number.MAX_VALUE])
    it(`refuses nobody, and ends with its configuration: ${rate} a second`, () => {
      const tenants = [
        { name: 't', rate_per_s: rate, burst: rate, unit: 'token_count', uncached_tokens: rate },
      ];
      const quota = readConfiguration(JSON.stringify({ ...BASE, tenants })).tenants?.[0].quota;
      if (!quota) throw new Error('the quota was not read');
      expect(Number.isFinite(quota.plainCost * 1000)).to.equal(true);
      const bucket = new OwnedBucket(quota, 10, 0, 0);
      const answer = bucket.receiveAsk('daemon-1', { needs: [1], spent: 0 }, 10_000);
      expect(answer.granted).to.deep.equal([0]);
      expect(Number.isFinite(answer.reserve), 'a reserve that peers can read').to.equal(true);
      bucket.applyHandover(5, 10_000);
      bucket.setLimit({ ratePerSecond: 10, burst: 10 }, 10_000);
      expect(bucket.receiveAsk('daemon-1', { needs: [1], spent: 0 }, 20_000).granted).to.deep.equal([0]);
    });
});

describe('a configuration that the store holds', () => {
  const huge = Number.MAX_VALUE;
  const long = 'x'.repeat(5000);
  const cases: Readonly<Record<string, object>> = {
    'a route without a name': { routes: [{ ...ROUTE, name: '' }] },
    'a route without a host': { routes: [{ ...ROUTE, host: '' }] },
    'a route without a service': { routes: [{ ...ROUTE, service: undefined }] },
    'a route with an empty split': { routes: [{ ...ROUTE, split: [] }] },
    'a prefix that is no path': { routes: [{ ...ROUTE, path_prefix: 'a' }] },
    'long texts': {
      routes: [{ ...ROUTE, name: long, host: long, path_prefix: `/${long}`, service: long }],
      services: [{ name: long, scaling: { ...SCALING, zone_prices: { [long]: 1 } } }],
      tenants: [{ name: long }],
    },
    'a service and a zone without names': {
      services: [{ name: '', scaling: { ...SCALING, zone_prices: { '': 1 } } }],
    },
    'a name that objects inherit': {
      services: [
        { name: '__proto__', scaling: { ...SCALING, zone_prices: JSON.parse('{"__proto__":1}') as object } },
      ],
    },
    'huge numbers of routes': {
      version: huge,
      routes: [
        {
          ...ROUTE,
          timeout_ms: huge,
          target_latency_ms: huge,
          target_itl_ms: huge,
          priority: Number.MAX_SAFE_INTEGER,
          max_attempts: Number.MAX_SAFE_INTEGER,
          split: [{ service: 's', weight: huge }],
        },
      ],
    },
    'huge numbers of services': {
      services: [
        {
          name: 's',
          max_conns: Number.MAX_SAFE_INTEGER,
          engine: {
            slots: huge,
            kv_capacity: huge,
            kv_ttl_s: huge,
            switch_s: huge,
            kv_bytes: huge,
            link_mbps: huge,
          },
          scaling: { min: 1e15, max: 1e15, boot_s: huge, spot_price: huge, zone_prices: { z: huge } },
        },
      ],
    },
    'the smallest numbers': {
      version: -0,
      routes: [{ ...ROUTE, timeout_ms: Number.MIN_VALUE, split: [{ service: 's', weight: -0 }] }],
      services: [
        { name: 's', engine: { ...ENGINE, kv_bytes: Number.MIN_VALUE, link_mbps: Number.MIN_VALUE } },
      ],
    },
  };
  for (const [name, change] of Object.entries(cases))
    it(`is read by peers too, with the records beside it: ${name}`, () => {
      const value = readConfiguration(JSON.stringify({ ...BASE, ...change }));
      const snapshot = {
        kind: 'recordsSnapshot' as const,
        sequence: 1,
        knowledge: { configuration: KNOWLEDGE, backends: KNOWLEDGE },
        records: [{ collection: 'configuration' as const, revision: 1, value }],
      };
      expect(decodePeerMessage(encodePeerMessage(snapshot))).to.deep.include({ kind: 'recordsSnapshot' });
    });
});

describe('a split', () => {
  /** Picks `count` services; how often each of them was picked. */
  function pick(
    choice: WeightedChoice,
    count: number,
    targets: readonly RouteTarget[],
  ): Record<string, number> {
    const counts: Record<string, number> = {};
    for (let index = 0; index < count; index += 1) {
      const service = choice.pickService(makeLabRoute({ targets })) ?? 'none';
      counts[service] = (counts[service] ?? 0) + 1;
    }
    return counts;
  }
  const split = (a: number, b: number): RouteTarget[] => [
    { service: 'a', weight: a },
    { service: 'b', weight: b },
  ];

  it('holds its shares at once when its weights change', () => {
    for (const before of [split(20_000, 10_000), split(1e300, 5e299), split(1e-300, 2e-300), split(1, 1e6)])
      for (const picks of [1, 2, 7]) {
        const choice = new WeightedChoice();
        pick(choice, picks, before);
        const { a = 0, b = 0 } = pick(choice, 100, split(1, 1));
        expect(Math.abs(a - b), JSON.stringify(before)).to.be.at.most(4);
      }
  });

  it('holds its shares with weights whose sum is infinite', () => {
    const choice = new WeightedChoice();
    const { a, b } = pick(choice, 300, split(Number.MAX_VALUE, Number.MAX_VALUE / 2));
    expect(Math.abs(a - 200) + Math.abs(b - 100)).to.be.at.most(2);
  });

  it('holds its shares when it names a service twice', () => {
    const { a, b } = pick(new WeightedChoice(), 300, [...split(1, 1), { service: 'a', weight: 1 }]);
    expect({ a, b }).to.deep.equal({ a: 200, b: 100 });
  });
});

describe('a timeout of a route', () => {
  for (const remainingMs of [2 ** 31, 1e21, Number.MAX_VALUE])
    it(`is sent to back ends as digits: ${remainingMs}`, () => {
      const headers = new HttpDialect().createRequestHeaders([], {
        requestId: 'r',
        attemptId: 'r/1',
        backend: makeLabBackend('b1', '10.0.0.1:80'),
        tenant: undefined,
        prefillOnly: false,
        kvSource: undefined,
        copyFrom: undefined,
        remainingMs,
        urgency: 0,
        stream: true,
        once: false,
        resumeAfter: undefined,
      });
      expect(headers[headers.indexOf('X-Deadline-Ms') + 1]).to.match(/^\d+$/);
    });
});
