/** Tests of the phase of garbled bytes of the soak: its plan, and that what it sends has an end. */
import { createServer, connect, type AddressInfo, type Socket } from 'node:net';
import { once } from 'node:events';
import { expect } from 'chai';
import { sendGarbledAnswer, sendPeerGarbage } from '../lab/garbled-bytes.js';
import { makeGarblePlan } from '../lab/soak/garble-faults.js';
import { SeededRandom } from '../src/shared/random.js';

const DAEMONS = ['d1', 'd2', 'd3'];
const PLACES = [
  [0, 1],
  [2, 3, 4],
];
/** Longer than the longest bytes without end. Milliseconds. */
const END_MS = 4000;

function makePlan(seed: number): string[] {
  const random = new SeededRandom(seed);
  const plan = makeGarblePlan(DAEMONS, PLACES, 25_000, () => random.next());
  return plan.map(({ atMs, fault }) => `${atMs} ${fault.getName()}`);
}

describe('garbled bytes in the fault soak', () => {
  it('the same seed gives the same plan', () => {
    expect(makePlan(7)).to.deep.equal(makePlan(7));
    expect(makePlan(7)).not.to.deep.equal(makePlan(8));
  });

  it('every plan has garbled back ends, store and peers, and stops every daemon', () => {
    for (let seed = 1; seed <= 20; seed += 1) {
      const names = makePlan(seed).join('\n');
      for (const kind of ['garbles\n', 'store garbles', 'garbage', 'silence of back end', 'shedsMost'])
        expect(`${names}\n`, `seed ${seed}`).to.include(kind);
      for (const daemon of DAEMONS) expect(names).to.match(new RegExp(`\\d+ restart ${daemon}`));
    }
  });

  it('all that is sent ends by itself', async function () {
    this.timeout(3 * END_MS);
    const sent: ((socket: Socket) => void)[] = [];
    for (let kind = 0; kind < 20; kind += 1) {
      sent.push((socket) => sendGarbledAnswer(socket, { 'X-Attempt-Id': 'id1' }, kind));
      sent.push((socket) => sendPeerGarbage(socket, kind));
    }
    const server = createServer((socket) => sent.shift()?.(socket));
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    const startedAt = performance.now();
    const closed = Array.from({ length: sent.length }, () => {
      const socket = connect(port, '127.0.0.1').on('error', () => undefined);
      socket.resume();
      return once(socket, 'close');
    });
    await Promise.all(closed);
    expect(performance.now() - startedAt).to.be.lessThan(2 * END_MS);
    server.close();
  });
});
