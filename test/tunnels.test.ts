/** Tests of connections to back ends that go through a peer daemon, on real sockets. */
import { expect } from 'chai';
import type { BackendScript } from '../lab/scripted-backend.js';
import type { TunnelRefusal } from '../src/forwarding/tunnel-messages.js';
import { delay } from '../src/shared/delay.js';
import { SeededRandom } from '../src/shared/random.js';
import { ANSWER_HEAD, TunnelRig } from './tunnel-rig.js';

const SEED = 20261203;
/** The platform allows a server to execute a request for this time after its caller has disconnected. Milliseconds. */
const NOTICED_MS = 500;

/** Bytes that are no text. */
function drawBytes(length: number): Buffer {
  const random = new SeededRandom(SEED);
  const bytes = Buffer.alloc(length);
  for (let i = 0; i < length; i += 1) bytes[i] = Math.floor(random.next() * 256);
  return bytes;
}

async function waitUntil(condition: () => boolean, timeoutMs = 2000): Promise<void> {
  const end = performance.now() + timeoutMs;
  while (!condition()) {
    if (performance.now() > end) throw new Error(`the condition was not met within ${timeoutMs} ms`);
    await delay(5);
  }
}

describe('tunnels through a peer', () => {
  let rig: TunnelRig;

  async function start(script: BackendScript): Promise<void> {
    rig = new TunnelRig(script);
    await rig.start();
  }

  afterEach(() => rig.close());

  it('a whole answer arrives byte for byte, and its request too', async () => {
    const body = drawBytes(60_000);
    const content = drawBytes(5_000_000);
    await start((_request, socket) => {
      socket.write(`${ANSWER_HEAD}Content-Length: ${content.length}\r\n\r\n`);
      socket.write(content);
    });
    const run = rig.startAttempt({}, body);
    expect(await run.ended).to.include({ kind: 'whole', status: 200 });
    expect(run.answer?.body.equals(content)).to.equal(true);
    expect(Buffer.from(rig.backend.received[0].body, 'latin1').equals(body)).to.equal(true);
    expect(rig.peer.opened).to.deep.equal([rig.backendAddress]);
  });

  it('a streamed answer arrives byte for byte, event by event', async () => {
    const events = Array.from({ length: 20 }, (_, index) => `id: ${index}\ndata: ${'x'.repeat(index)}\n\n`);
    await start((_request, socket) => {
      socket.write(`${ANSWER_HEAD}Transfer-Encoding: chunked\r\n\r\n`);
      void (async () => {
        for (const event of events) {
          socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
          await delay(5);
        }
        socket.write('0\r\n\r\n');
      })();
    });
    const run = rig.startAttempt({ stream: true });
    expect(await run.ended).to.include({ kind: 'whole' });
    expect(Buffer.concat(run.streamed).toString()).to.equal(events.join(''));
    expect(run.events.filter(({ kind }) => kind === 'streamProgress').length).to.be.greaterThan(10);
  });

  it('when the caller leaves, the connection to the back end is closed', async () => {
    const closed: number[] = [];
    await start((_request, socket) => void socket.on('close', () => closed.push(performance.now())));
    rig.startAttempt();
    await waitUntil(() => rig.backend.received.length === 1);
    const leftAt = performance.now();
    rig.client.abort('id1');
    await waitUntil(() => closed.length === 1);
    expect(closed[0] - leftAt).to.be.lessThan(NOTICED_MS);
    await waitUntil(() => rig.peer.closed.length === 1);
  });

  for (const reason of ['unknown-backend', 'busy', 'cut-off', 'stopping'] as TunnelRefusal[])
    it(`refused as ${reason}, an attempt is unreachable because of the peer, and nothing was sent`, async () => {
      await start(() => undefined);
      rig.peer.refusal = reason;
      const { ended } = rig.startAttempt();
      expect(await ended).to.deep.equal({ kind: 'unreachable', reason, tunnelFailure: 'peer' });
      expect(rig.backend.received).to.deep.equal([]);
      expect(rig.peer.refused).to.deep.equal([reason]);
    });

  it('where the peer reaches no back end either, an attempt is unreachable because of the back end', async () => {
    await start(() => undefined);
    rig.backend.close();
    const { ended } = rig.startAttempt();
    expect(await ended).to.deep.equal({
      kind: 'unreachable',
      reason: 'unreachable',
      tunnelFailure: 'backend',
    });
  });
});
