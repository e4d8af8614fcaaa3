/**
 * Guards against entries of the store whose numbers are valid but huge, or whose texts only the store's reader takes: a
 * quota that never ends refusing its tenant, and records that no peer can read.
 */
import { expect } from 'chai';
import { readConfiguration } from '../platform/records.js';
import { OwnedBucket } from '../src/quotas/owned-bucket.js';

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
