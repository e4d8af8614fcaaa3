/** Effects of a quota on a request: 429, waiting, charges and refunds; and how quotas are parsed. */
import { expect } from 'chai';
import { makeLabRoute } from '../lab/forwarding-site.js';
import { HttpDialect } from '../platform/http-dialect.js';
import { digestKey } from '../platform/key-digest.js';
import { readConfiguration } from '../platform/records.js';
import { ValidationError } from '../src/errors/index.js';
import type { ForwardRequest } from '../src/forwarding/forward-request.js';
import type { Tenant } from '../src/forwarding/routes/route.js';
import { TenantDirectory } from '../src/forwarding/routes/tenant-directory.js';
import type { QuotaOutcome } from '../src/forwarding/admit/tenant-quota.js';
import { ENGINES, ForwardingHarness, PLAIN, makePrompt } from './forwarding-harness.js';

const LIMIT = { ratePerSecond: 62_000, burst: 62_000 };

describe('quotas of requests', () => {
  const KEY = 'key';
  const tenant: Tenant = {
    name: 'mary',
    keyDigests: [digestKey(KEY)],
    quota: { ...LIMIT, countsTokens: true, plainCost: 200 },
  };
  const REFUSED = { kind: 'refused', retryAfterMs: 700, fields: { reason: 'limit' } } as const;

  function makeForwarding(
    answer: QuotaOutcome,
    backends = PLAIN,
    route = makeLabRoute({ kind: 'idempotent' }),
  ): ForwardingHarness {
    const daemon = new ForwardingHarness([route], backends);
    daemon.tenants.apply([tenant]);
    daemon.takeQuota = (request) => {
      daemon.quotaCharges.push(['asked', request.cost]);
      return answer;
    };
    return daemon;
  }

  function begin(daemon: ForwardingHarness, fields: Partial<ForwardRequest> = {}): void {
    daemon.begin({ keyDigest: digestKey(KEY), ...fields });
  }

  it('are refunded if only the prompt was being computed when the caller disconnected', () => {
    const daemon = makeForwarding({ kind: 'granted' }, ENGINES, makeLabRoute({ kind: 'stream' }));
    begin(daemon, { prompt: makePrompt(500, 500), usageTokens: 1010 });
    daemon.manager.cancel('r1', 3);
    expect(daemon.quotaCharges).to.deep.equal([
      ['asked', 1010],
      ['mary', -1010],
    ]);
  });

  it('answer 429 with a Retry-After, before anything is sent', () => {
    const daemon = makeForwarding(REFUSED);
    begin(daemon);
    expect(daemon.getStarts()).to.deep.equal([]);
    expect(daemon.getEffects('replyFailure')).to.deep.include({
      kind: 'replyFailure',
      requestId: 'r1',
      status: 429,
      failure: 'over-quota',
      retryAfterMs: 700,
    });
    const refused = daemon.effects.find(
      (effect) => effect.kind === 'decision' && effect.event === 'request.refused',
    );
    expect(refused).to.have.nested.include({ 'fields.reason': 'limit', 'fields.tenant': 'mary' });
    expect(daemon.quotaCharges).to.deep.equal([['asked', 200]]);
  });

  it('charge the tokens that the caller states, and nothing without a quota', () => {
    const daemon = makeForwarding({ kind: 'granted' });
    begin(daemon, { usageTokens: 1540 });
    expect(daemon.quotaCharges).to.deep.equal([['asked', 1540]]);
    const unlimited = makeForwarding({ kind: 'granted' });
    unlimited.tenants.apply([{ ...tenant, quota: undefined }]);
    begin(unlimited);
    expect(unlimited.quotaCharges).to.deep.equal([]);
    expect(unlimited.getStarts().length).to.equal(1);
  });

  it('delay a request until they are decided, and let its caller disconnect meanwhile', () => {
    const daemon = makeForwarding({ kind: 'waiting' });
    begin(daemon);
    expect(daemon.getStarts()).to.deep.equal([]);
    daemon.manager.applyQuota('r1', { kind: 'granted' }, 5);
    expect(daemon.getStarts().length).to.equal(1);
    const cancelled = makeForwarding({ kind: 'waiting' });
    begin(cancelled);
    cancelled.manager.cancel('r1', 3);
    cancelled.manager.applyQuota('r1', { kind: 'granted' }, 5);
    expect(cancelled.getStarts()).to.deep.equal([]);
    expect(cancelled.quotaCharges).to.deep.equal([
      ['asked', 200],
      ['r1', 0],
    ]);
  });

  it('are refunded if no back end executed the request', () => {
    const daemon = makeForwarding({ kind: 'granted' });
    begin(daemon);
    for (let i = 0; i < PLAIN.length; i += 1) daemon.event({ kind: 'unreachable', reason: 'refused' }, i);
    expect(daemon.getFailures()).to.deep.equal([503]);
    expect(daemon.quotaCharges).to.deep.equal([
      ['asked', 200],
      ['mary', -200],
    ]);
  });

  it('are not refunded if a back end may have executed the request when the caller disconnects', () => {
    const daemon = makeForwarding({ kind: 'granted' });
    begin(daemon);
    daemon.manager.cancel('r1', 3);
    expect(daemon.quotaCharges).to.deep.equal([['asked', 200]]);
  });

  it('charge a request again after a back end that may have executed it, not after one that rejected it', () => {
    const route = makeLabRoute({ kind: 'idempotent', maximumAttempts: 3 });
    const rejected = makeForwarding({ kind: 'granted' }, PLAIN, route);
    begin(rejected);
    rejected.event({ kind: 'notExecuted', status: 503, wrongIncarnation: false }, 1);
    expect(rejected.getStarts().length).to.equal(2);
    expect(rejected.quotaCharges).to.deep.equal([['asked', 200]]);
    const broken = makeForwarding({ kind: 'granted' }, PLAIN, route);
    begin(broken);
    broken.event({ kind: 'broken', reason: 'reset' }, 1);
    expect(broken.getStarts().length).to.equal(2);
    expect(broken.quotaCharges).to.deep.equal([
      ['asked', 200],
      ['mary', 200],
    ]);
  });

  it('charge a request once whose prompt is computed separately', () => {
    const daemon = makeForwarding({ kind: 'granted' }, ENGINES, makeLabRoute({ kind: 'stream' }));
    begin(daemon, { prompt: makePrompt(500, 500), usageTokens: 1010 });
    daemon.event({ kind: 'prefilled', handle: 'h' }, 10);
    expect(daemon.getStarts().length).to.equal(2);
    expect(daemon.quotaCharges).to.deep.equal([['asked', 1010]]);
  });
});

describe('quotas of a configuration', () => {
  function readTenant(fields: object): Tenant | undefined {
    const tenants = [{ name: 'mary', api_keys: [], ...fields }];
    return readConfiguration(JSON.stringify({ version: 1, routes: [], services: [], tenants })).tenants?.[0];
  }

  it('are parsed in tokens or in requests, and are absent without a rate', () => {
    const tokens = { rate_per_s: 100, burst: 50, unit: 'token_count', uncached_tokens: 200 };
    const common = { ratePerSecond: 100, burst: 50 };
    expect(readTenant(tokens)?.quota).to.deep.equal({ ...common, countsTokens: true, plainCost: 200 });
    expect(readTenant({ ...tokens, unit: undefined })?.quota).to.deep.equal({
      ...common,
      countsTokens: false,
      plainCost: 1,
    });
    for (const none of [{}, { ...tokens, rate_per_s: 0 }])
      expect(readTenant(none)?.quota).to.equal(undefined);
  });

  it('are rejected with the name of the field if the unit is unknown', () => {
    expect(() => readTenant({ rate_per_s: 100, unit: 'bushels' })).to.throw(
      ValidationError,
      /tenants\.0\.unit/,
    );
  });

  it('are updated for a tenant whose keys do not change', () => {
    const directory = new TenantDirectory();
    const mary = (ratePerSecond: number): Tenant => ({
      name: 'mary',
      keyDigests: ['d'],
      quota: { ratePerSecond, burst: 1, countsTokens: true, plainCost: 1 },
    });
    for (const rate of [5, 7]) directory.apply([mary(rate)]);
    expect(directory.findCaller(makeLabRoute({}), 'd')?.tenant?.quota?.ratePerSecond).to.equal(7);
  });

  it('add both token numbers of a request and ignore invalid ones', () => {
    const dialect = new HttpDialect();
    const tokensOf = (value: string): number | undefined =>
      dialect.parseCallerHead(['X-Token-Usage', value]).usageTokens;
    expect(tokensOf('1460,80')).to.equal(1540);
    expect(tokensOf('1460')).to.equal(1460);
    for (const wrong of ['-5,3', 'many', '1,x']) expect(tokensOf(wrong)).to.equal(undefined);
  });
});
