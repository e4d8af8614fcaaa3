/// Ports and stray calls of the fault soak: a port has one owner for the whole soak, and a call that isn't meant for
/// a stand-in is rejected without stopping the soak.
import { once } from 'node:events';
import { createServer, connect } from 'node:net';
import { expect } from 'chai';
import { findFreePorts } from '../lab/free-ports.js';
import { BackendStandIn } from '../lab/soak/backend-stand-in.js';
import { HandleRegistry } from '../lab/soak/handle-registry.js';
import { DutyStandIn } from '../lab/soak/duty-stand-in.js';
import { SOAK_BOUNDS, SoakRecord } from '../lab/soak/soak-record.js';
import { StoreStandIn } from '../lab/soak/store-stand-in.js';

const HOST = '127.0.0.1';
const ROWS = '/v1/rows-get?table=op&part=&from=&until=';

function getPort(address: string): number {
  return Number(address.split(':')[1]);
}

function makeBackend(store: StoreStandIn): BackendStandIn {
  const identity = { id: 'b0i1', service: 'application', zone: 'zone-a', stage: undefined };
  return new BackendStandIn(identity, store, new SoakRecord(SOAK_BOUNDS), new HandleRegistry(), () => 0.5);
}

/** Connects to this address and returns the error code with which the connection fails. */
async function findConnectError(address: string): Promise<string> {
  const socket = connect({ host: HOST, port: getPort(address) });
  const [error] = (await once(socket, 'error')) as [NodeJS.ErrnoException];
  return error.code ?? '';
}

/** Tries to listen on this address and returns the error code; `free` if it succeeds. */
async function findListenError(address: string): Promise<string> {
  const server = createServer();
  const outcome = new Promise<string>((resolve) => {
    server.once('error', (error: NodeJS.ErrnoException) => resolve(error.code ?? ''));
    server.listen(getPort(address), HOST, () => server.close(() => resolve('free')));
  });
  return outcome;
}

describe('ports of the fault soak', () => {
  for (const end of ['crash', 'close'] as const)
    it(`a back end keeps its port after its ${end}, until the soak releases it`, async () => {
      const store = new StoreStandIn();
      const backend = makeBackend(store);
      const address = await backend.start();
      backend[end]();
      expect(await findConnectError(address)).to.equal('ECONNRESET');
      expect(await findListenError(address)).to.equal('EADDRINUSE');
      backend.releasePort();
      expect(await findListenError(address)).to.equal('free');
    });

  it('a port is handed out only once', async () => {
    const ports = [...(await findFreePorts(3)), ...(await findFreePorts(3))];
    expect(new Set(ports).size).to.equal(6);
  });

  it('the store rejects and records calls that are not meant for it, and continues to serve', async () => {
    const store = new StoreStandIn();
    const url = `http://${await store.open('daemon-1')}`;
    for (const path of ['/healthz', '/v1/kv-events?since=0'])
      expect((await fetch(url + path)).status).to.equal(404);
    for (const body of ['', 'no JSON', '{}'])
      expect((await fetch(`${url}/v1/rows-tx`, { method: 'POST', body })).status).to.equal(400);
    expect(store.strayCalls.calls.map(({ status, text }) => `${status} ${text}`)).to.deep.equal([
      '404 GET /healthz to the store for daemon-1',
      '404 GET /v1/kv-events?since=0 to the store for daemon-1',
      ...Array.from({ length: 3 }, () => '400 POST /v1/rows-tx to the store for daemon-1'),
    ]);
    expect((await fetch(url + ROWS)).status).to.equal(200);
    store.close();
  });

  it('the stand-in for duties rejects and records calls that are not meant for it, and continues to serve', async () => {
    const duties = new DutyStandIn(SOAK_BOUNDS.leaseMs);
    const url = `http://${await duties.open('daemon-1')}`;
    for (const path of ['/healthz', '/v1/kv-events?since=0'])
      expect((await fetch(url + path)).status).to.equal(404);
    for (const path of ['/usage', '/scale'])
      expect((await fetch(url + path, { method: 'POST', body: '' })).status).to.equal(400);
    expect(duties.strayCalls.calls.map(({ status, text }) => `${status} ${text}`)).to.deep.equal([
      '404 GET /healthz to the duties for daemon-1',
      '404 GET /v1/kv-events?since=0 to the duties for daemon-1',
      '400 POST /usage to the duties for daemon-1',
      '400 POST /scale to the duties for daemon-1',
    ]);
    expect(duties.model.calls).to.equal(0);
    const headers = { 'x-lease-holder': 'daemon-1', 'x-fencing-token': '1' };
    const body = JSON.stringify({ window_id: 1, counts: {} });
    expect((await fetch(`${url}/usage`, { method: 'POST', headers, body })).status).to.equal(200);
    duties.close();
  });

  it('a back end rejects an invalid order, and continues to serve', async () => {
    const store = new StoreStandIn();
    const backend = makeBackend(store);
    const url = `http://${await backend.start()}`;
    expect((await fetch(`${url}/v1/order`, { method: 'POST', body: '' })).status).to.equal(400);
    expect((await fetch(`${url}/healthz`)).status).to.equal(200);
    backend.close();
    backend.releasePort();
  });
});
