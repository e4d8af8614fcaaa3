/**
 * Ports for test runs of real processes at the same time. While a daemon was stopped, another run found its ports free
 * and used them; the daemon could not listen when it started again and exited with 71. Seen with two soaks (seeds 10315
 * and 10323), a CI script and tests of real processes at once; sites of `drawn signals` (seeds from 5458) on the same
 * ports, 30396 to 30745, could not start.
 */
import { expect } from 'chai';
import { once } from 'node:events';
import { createServer } from 'node:net';
import { PORTS_PER_BLOCK, findFreePorts } from '../lab/free-ports.js';

const FIRST_PORT = 20_000;

function getBlock(port: number): number {
  return Math.floor((port - FIRST_PORT) / PORTS_PER_BLOCK);
}

describe('ports for tests', () => {
  it('are never taken from a block that another process has reserved', async () => {
    const [port] = await findFreePorts(1);
    const held = FIRST_PORT + (getBlock(port) + 1) * PORTS_PER_BLOCK;
    const holder = createServer().listen(held, '127.0.0.1');
    // Another run may have reserved the block already; the check is the same.
    await Promise.race([once(holder, 'listening'), new Promise((resolve) => holder.once('error', resolve))]);
    const ports = await findFreePorts(3 * PORTS_PER_BLOCK);
    expect(ports.filter((other) => getBlock(other) === getBlock(held))).to.deep.equal([]);
    expect(new Set([port, ...ports]).size).to.equal(1 + ports.length);
    holder.close();
  });

  it('come from blocks that no other process can reserve at the same time', async () => {
    const [port] = await findFreePorts(1);
    const first = createServer().listen(FIRST_PORT + getBlock(port) * PORTS_PER_BLOCK, '127.0.0.1');
    const [error] = (await once(first, 'error')) as [NodeJS.ErrnoException];
    expect(error.code).to.equal('EADDRINUSE');
  });
});
