/**
 * Guards against a line of a peer that ends or holds up a daemon: a sparse array of four thousand million items, a number of a
 * million digits, or an address to which no connection can be opened (createConnection throws on a port out of range).
 */
import { fork } from 'node:child_process';
import { once } from 'node:events';
import { connect } from 'node:net';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { stringify } from 'devalue';
import { decodeFirstLine, decodePeerMessage } from '../src/adapters/peer-codec.js';
import { PeerProtocolError } from '../src/errors/index.js';
import { splitAddress } from '../src/shared/address.js';
import { delay } from '../src/shared/delay.js';

const CHILD_MODULE = fileURLToPath(new URL('daemon-child.js', import.meta.url));
/** Longer than a daemon takes until it sends something to a new member. Milliseconds. */
const SEVERAL_ROUNDS_MS = 3000;

describe('an address that a peer sends', () => {
  const encode = (message: object): string => stringify(message);

  for (const address of ['', 'a', '10.0.0.1', '10.0.0.1:99999', '10.0.0.1:-1', 'host:80', '10.0.0.1:8x']) {
    it(`is rejected where no connection can be opened to it: "${address}"`, () => {
      const update = ['d', address, 'z', 'r', 1, 'alive'];
      const sync = { kind: 'sync', reply: false, members: [update] };
      expect(() => decodePeerMessage(encode(sync))).to.throw(PeerProtocolError);
      expect(() => decodeFirstLine(encode({ kind: 'hello', id: 'd', address }))).to.throw(PeerProtocolError);
    });
  }

  it('does not end the daemon that would connect to it', async () => {
    const child = fork(CHILD_MODULE, ['127.0.0.1:9'], { stdio: ['ignore', 'ignore', 'ignore', 'ipc'] });
    const [[, peers]] = (await once(child, 'message')) as [[string, string]];
    const { host, port } = splitAddress(peers);
    const socket = connect(port, host);
    socket.on('error', () => undefined);
    const members = [['d', '127.0.0.1:99999', 'z', 'r', 1, 'alive']];
    for (const message of [
      { kind: 'hello', id: 'e', address: '127.0.0.1:9' },
      { kind: 'sync', reply: false, members },
    ])
      socket.write(`${encode(message)}\n`);
    await Promise.race([once(child, 'exit'), delay(SEVERAL_ROUNDS_MS)]);
    const { exitCode, signalCode } = child;
    socket.destroy();
    child.kill('SIGKILL');
    expect({ exitCode, signalCode }).to.deep.equal({ exitCode: null, signalCode: null });
  });

  it('is kept otherwise', () => {
    const hello = { kind: 'hello', id: 'd', address: '10.0.0.1:80' };
    expect(decodeFirstLine(encode(hello))).to.deep.equal(hello);
  });
});

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
