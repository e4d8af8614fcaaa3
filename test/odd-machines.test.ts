/**
 * Guards against an odd entry in the machine list of the completions program: the whole list counted as invalid, so that
 * daemons followed it no more.
 */
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { HttpPlatformClient } from '../src/adapters/platform-client.js';

const GOOD = { id: 'e1', kind: 'engine', address: '10.0.0.1:80', zone: 'z', cell: 'c', state: 'live' };
const CELL = { name: 'c', zone: 'z' };

describe('a machine list with odd entries', () => {
  let server: Server;
  let client: HttpPlatformClient;
  let body: string;
  let failures: string[];

  beforeEach(async () => {
    failures = [];
    server = createServer((_request, response) => response.end(body));
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    client = new HttpPlatformClient([`127.0.0.1:${port}`], (reason) => failures.push(reason));
  });

  afterEach(async () => {
    await client.close();
    server.close();
    server.closeAllConnections();
  });

  const deep = `${'['.repeat(5000)}${']'.repeat(5000)}`;
  const odd: Readonly<Record<string, string>> = {
    null: 'null',
    'a number': '1e400',
    deep,
    'a deep field': JSON.stringify({ ...GOOD, id: 0 }).replace('"id":0', `"id":${deep}`),
    'another state': JSON.stringify({ ...GOOD, state: 'warming' }),
    'a port out of range': JSON.stringify({ ...GOOD, address: '10.0.0.1:99999' }),
    'a port that is a number': JSON.stringify({ ...GOOD, address: 80 }),
    'a long id': JSON.stringify({ ...GOOD, id: 'e'.repeat(513) }),
    'no cell': JSON.stringify({ ...GOOD, cell: undefined }),
  };
  for (const [name, entry] of Object.entries(odd))
    it(`is read without them: ${name}`, async () => {
      body = `{"cells":[${JSON.stringify(CELL)}],"machines":[${entry},${JSON.stringify(GOOD)}]}`;
      const listing = { cells: [CELL], machines: [GOOD] };
      expect(await client.listMachines(['c'])).to.deep.equal(listing);
      expect(await client.listMachines(['c'])).to.deep.equal(listing);
      expect(failures).to.deep.equal(['1 invalid entries in the machine list']);
    });

  it('is read without hundreds of them, with one report', async () => {
    const machines = [...Array.from({ length: 500 }, () => ({ ...GOOD, state: 'odd' })), GOOD];
    body = JSON.stringify({ cells: [CELL, 7], machines });
    for (let read = 0; read < 3; read += 1)
      expect((await client.listMachines(['c']))?.machines).to.deep.equal([GOOD]);
    expect(failures).to.deep.equal(['501 invalid entries in the machine list']);
  });

  it('drops a server whose own entry turns odd, and takes it back', async () => {
    body = JSON.stringify({ cells: [CELL], machines: [{ ...GOOD, address: 'host:80' }] });
    expect((await client.listMachines(['c']))?.machines).to.deep.equal([]);
    body = JSON.stringify({ cells: [CELL], machines: [GOOD] });
    expect((await client.listMachines(['c']))?.machines).to.deep.equal([GOOD]);
  });
});
