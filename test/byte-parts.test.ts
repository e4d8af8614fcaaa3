/** Parts of a text that arrives in pieces: joined as they came, and few in memory however small the pieces are. */
import { expect } from 'chai';
import fc from 'fast-check';
import { ByteParts } from '../src/adapters/byte-parts.js';
import { EventSplitter } from '../src/adapters/event-splitter.js';

const SEED = 20261207;
const MOST_PARTS_IN_MEMORY = 1024;

describe('parts of a text', () => {
  it('are joined in the order in which they came', () => {
    const sizes = fc.array(fc.integer({ min: 0, max: 5 }), { maxLength: 3000 });
    fc.assert(
      fc.property(sizes, (lengths) => {
        const parts = new ByteParts();
        const expected = lengths.map((length, i) => Buffer.alloc(length, i % 251));
        for (const part of expected) parts.add(part);
        const all = Buffer.concat(expected);
        expect(parts.length).to.equal(all.length);
        expect(parts.join().equals(all)).to.equal(true);
        parts.clear();
        expect([parts.length, parts.partCount, parts.join().length]).to.deep.equal([0, 0, 0]);
      }),
      { seed: SEED, numRuns: 100 },
    );
  });

  it('are few in memory, however many came', () => {
    const parts = new ByteParts();
    const byte = Buffer.from('x');
    let most = 0;
    for (let i = 0; i < 1_000_000; i += 1) {
      parts.add(byte);
      if (i % 1000 === 0) most = Math.max(most, parts.partCount);
    }
    expect(parts.length).to.equal(1_000_000);
    expect(most).to.be.at.most(MOST_PARTS_IN_MEMORY);
  });

  it('do not keep the buffers of which they are views', () => {
    const parts = new ByteParts();
    const before = process.memoryUsage().arrayBuffers;
    for (let i = 0; i < 250; i += 1) parts.add(Buffer.alloc(1024 * 1024, i).subarray(0, 1));
    expect(parts.join().equals(Buffer.from([...Array(250).keys()]))).to.equal(true);
    expect(process.memoryUsage().arrayBuffers - before).to.be.lessThan(150 * 1024 * 1024);
  });

  it('of events give the same events, whatever the pieces are', () => {
    const text = Buffer.from('id: 1\ndata: x\n\nid: 2\r\ndata: y\r\n\r\ndata: rest');
    for (const size of [1, 2, 3, 7, text.length]) {
      const splitter = new EventSplitter();
      const ids: (string | undefined)[] = [];
      const events: Buffer[] = [];
      for (let from = 0; from < text.length; from += size) {
        const batch = splitter.push(text.subarray(from, from + size));
        if (batch?.kind !== 'events') continue;
        events.push(batch.bytes);
        ids.push(batch.lastEventId);
      }
      expect(ids.at(-1), `pieces of ${size}`).to.equal('2');
      expect(Buffer.concat([...events, splitter.getRemainder()]).equals(text)).to.equal(true);
    }
  });
});
