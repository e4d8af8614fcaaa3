/**
 * Guards against rows of the store that make its answer, or a message about it, unreadable for other daemons: a key too
 * long for messages, hundreds of odd entries at once, entries that turn odd and back under a server's own id.
 */
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { StoreClient } from '../platform/store-client.js';
import { decodePeerMessage, encodePeerMessage } from '../src/adapters/peer-codec.js';
import type { RecordReadResult, StoredRecord } from '../src/fleet/record-store.js';

const GOOD = { service: 's', addr: '10.0.0.1:80', zone: 'z', slots: 4, state: 'ready', born: 1 };
const KNOWLEDGE = { complete: 1, changed: 1, ageMs: 0 };

function encode(text: string): string {
  return Buffer.from(text).toString('base64');
}

function getRecords(result: RecordReadResult): readonly StoredRecord[] {
  if (result.kind !== 'snapshot' && result.kind !== 'changes') throw new Error(`no records: ${result.kind}`);
  return result.records;
}

/** Ids of the servers among the records, and of those that are removed. */
function getIds(records: readonly StoredRecord[]): { used: string[]; removed: string[] } {
  const ids = (isUsed: boolean): string[] =>
    records.flatMap((record) =>
      record.collection === 'backends' && (record.value !== undefined) === isUsed ? [record.id] : [],
    );
  return { used: ids(true), removed: ids(false) };
}

describe('rows of the store', () => {
  let server: Server;
  let store: StoreClient;
  let rows: readonly unknown[];
  const reported: string[] = [];

  beforeEach(async () => {
    reported.length = 0;
    server = createServer((_request, response) => response.end(JSON.stringify({ rows, ver: 5000 })));
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    store = new StoreClient(`127.0.0.1:${(server.address() as AddressInfo).port}`, (key) =>
      reported.push(key),
    );
  });

  afterEach(() => {
    server.close();
    server.closeAllConnections();
  });

  const read = (after?: number): Promise<RecordReadResult> =>
    store.read({ collection: 'backends', after, waitMs: 0, answerTimeoutMs: 10_000 });

  it('with a key too long for messages leave the others readable for peers', async () => {
    const key = 'k'.repeat(513);
    for (const odd of [
      { key, ver: 4, value: encode('{}') },
      { key, ver: 4, gone: true },
      { key, ver: 4, value: 7 },
    ]) {
      rows = [
        { key: 'good', ver: 3, value: encode(JSON.stringify(GOOD)) },
        odd,
        { key: 'gone', ver: 5, gone: true },
      ];
      for (const after of [undefined, 2]) {
        const records = [...getRecords(await read(after))];
        expect(getIds(records)).to.deep.equal({ used: ['good'], removed: ['gone'] });
        const message = {
          kind: 'recordsSnapshot' as const,
          sequence: 1,
          knowledge: { configuration: KNOWLEDGE, backends: KNOWLEDGE },
          records,
        };
        expect(decodePeerMessage(encodePeerMessage(message))).to.deep.include({ kind: 'recordsSnapshot' });
      }
    }
  });

  it('that turn odd and back under a server’s id remove it and bring it back', async () => {
    const odd = ['{', '[[[[', 'null', JSON.stringify({ ...GOOD, slots: 1e-5 }), '{"slots":1e400}'];
    for (const [index, text] of odd.entries()) {
      rows = [{ key: 'b', ver: 10 + index, value: encode(text) }];
      expect(getIds(getRecords(await read(1)))).to.deep.equal({ used: [], removed: ['b'] });
      rows = [{ key: 'b', ver: 11 + index, value: encode(JSON.stringify(GOOD)) }];
      expect(getIds(getRecords(await read(1)))).to.deep.equal({ used: ['b'], removed: [] });
    }
  });

  it('by the hundreds, deep and with huge numbers, are reported once each within seconds, and the others are used', async () => {
    const deep = `${'['.repeat(5000)}${']'.repeat(5000)}`;
    const field = JSON.stringify({ ...GOOD, extra: 0 }).replace('"extra":0', `"extra":${deep}`);
    const texts = [deep, '{"a":'.repeat(2000), '9'.repeat(400), '{"slots":1e400}'];
    rows = Array.from({ length: 400 }, (_, index) => ({
      key: `odd-${index}`,
      ver: index + 1,
      value: encode(texts[index % texts.length]),
    })).concat({ key: 'good', ver: 500, value: encode(field) });
    const startedAt = performance.now();
    expect(getIds(getRecords(await read())).used).to.deep.equal(['good']);
    expect(performance.now() - startedAt).to.be.lessThan(5000);
    expect(reported).to.have.length(400);
  });
});
