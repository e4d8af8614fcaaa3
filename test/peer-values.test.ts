/**
 * Guards against a line of a peer that ends or holds up a daemon: a sparse array of four thousand million items, or a number
 * of a million digits.
 */
import { expect } from 'chai';
import { decodePeerMessage } from '../src/adapters/peer-codec.js';
import { PeerProtocolError } from '../src/errors/index.js';

describe('what a peer sends', () => {
  for (const line of [
    '[[-7,4294967295]]',
    '[{"kind":1,"sequence":2,"updates":3},"ack",4,[-7,4294967295]]',
    `[["BigInt","${'9'.repeat(100_000)}"]]`,
    '[["Map",1,2],"a","b"]',
    '7',
    '-1',
  ])
    it(`is rejected at once if its values are not plain: ${line.slice(0, 40)}`, () => {
      const startedAt = performance.now();
      expect(() => decodePeerMessage(line)).to.throw(PeerProtocolError);
      expect(performance.now() - startedAt).to.be.lessThan(100);
    });
});
