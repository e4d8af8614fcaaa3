/**
 * Runs of real processes beside each other. A daemon that had stopped found its ports taken when it started again, and
 * ended with 71: another run had found them free meanwhile. What showed it: two soaks, a CI script and tests of real
 * processes at once; soak seeds 10315 and 10323 ended so, while sites of `drawn signals` (seeds 5458 on) that came to
 * the same ports, 30396 to 30745, could not start.
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
  it('are never of a block that another process holds', async () => {
    const [port] = await findFreePorts(1);
    const held = FIRST_PORT + (getBlock(port) + 1) * PORTS_PER_BLOCK;
    const holder = createServer().listen(held, '127.0.0.1');
    // It may be held already by another run beside this one: the check is the same.
    await Promise.race([once(holder, 'listening'), new Promise((resolve) => holder.once('error', resolve))]);
    const ports = await findFreePorts(3 * PORTS_PER_BLOCK);
    expect(ports.filter((other) => getBlock(other) === getBlock(held))).to.deep.equal([]);
    expect(new Set([port, ...ports]).size).to.equal(1 + ports.length);
    holder.close();
  });

  it('come from blocks that no other process can hold meanwhile', async () => {
    const [port] = await findFreePorts(1);
    const first = createServer().listen(FIRST_PORT + getBlock(port) * PORTS_PER_BLOCK, '127.0.0.1');
    const [error] = (await once(first, 'error')) as [NodeJS.ErrnoException];
    expect(error.code).to.equal('EADDRINUSE');
  });
});
