/**
 * Guards against a lease that two daemons hold: an answer of the store that is none, with the status 200 and any JSON, was
 * taken for the acknowledgement of a write.
 */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { TableClient } from '../platform/table-client.js';
import type { TableRequest } from '../src/contracts/table-service.js';

const COMMIT: TableRequest = {
  kind: 'commit',
  writeId: 'w1',
  writes: [{ table: 'leases', key: 'c', expectedRevision: 0, value: 1 }],
};
const READ: TableRequest = { kind: 'read', table: 'leases', key: 'c' };

/** Performs a request at a store that gives this answer. */
async function perform(status: number, body: string, request: TableRequest): Promise<string> {
  const server = createServer((_request, response) => {
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(body);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const client = new TableClient(`127.0.0.1:${(server.address() as AddressInfo).port}`);
  const { kind } = await client.perform(request);
  server.close();
  server.closeAllConnections();
  return kind;
}

describe('an answer of the store that is none', () => {
  for (const body of ['{}', '{"kv_handle":"h"}', '[]', '7', '"ok"', '{"ver":"7"}', '{"ver":7,"rows":[{}]}'])
    for (const status of [200, 412])
      it(`acknowledges nothing: ${status} ${body}`, async () => {
        expect(await perform(status, body, COMMIT)).to.equal('noAnswer');
        expect(await perform(status, body, READ)).to.equal('noAnswer');
      });

  it('is told from those that are', async () => {
    expect(await perform(200, '{"ver":7}', COMMIT)).to.equal('committed');
    expect(await perform(200, '{"ver":7,"rows":[]}', READ)).to.equal('row');
  });
});
