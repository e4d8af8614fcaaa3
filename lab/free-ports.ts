/**
 * Finds ports on the loopback address for programs that are given their ports; it owns which it has handed
 * out.
 */
import { createServer } from 'node:net';

const HOST = '127.0.0.1';
/**
 * The range lies below the ports that Linux gives to outgoing connections and to servers that ask for any
 * (32,768 to 60,999), so that nobody gets a port between its hand-out and its use by chance.
 */
const FIRST_PORT = 20_000;
const LAST_PORT = 32_000;
/**
 * Ports are handed out from blocks of so many. Its process holds the first port of a block as long as it lives, so
 * that no other one hands out the same: a port that is free just now may belong to a daemon that starts again.
 */
export const PORTS_PER_BLOCK = 64;
const BLOCKS = Math.floor((LAST_PORT - FIRST_PORT) / PORTS_PER_BLOCK);
/** Processes whose ids follow each other begin so many blocks apart. */
const BLOCKS_APART = 5;

/** The next port of the present block, and the end of that block. */
let nextPort = 0;
let endPort = 0;
let nextBlock = (process.pid * BLOCKS_APART) % BLOCKS;

/**
 * Finds so many ports that nobody listens on. A port is handed out once.
 * @throws RangeError when other processes, or this one, have taken all blocks.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    if (nextPort >= endPort) await claimBlock();
    const port = nextPort;
    nextPort += 1;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

async function claimBlock(): Promise<void> {
  for (let tries = 0; tries < BLOCKS; tries += 1) {
    const first = FIRST_PORT + nextBlock * PORTS_PER_BLOCK;
    nextBlock = (nextBlock + 1) % BLOCKS;
    if (!(await hold(first))) continue;
    nextPort = first + 1;
    endPort = first + PORTS_PER_BLOCK;
    return;
  }
  throw new RangeError('all ports for tests are taken');
}

/** The same as addresses, `host:port`. */
export async function findFreeAddresses(count: number): Promise<string[]> {
  return (await findFreePorts(count)).map((port) => `${HOST}:${port}`);
}

/** Listens for as long as this process lives, without keeping it alive. */
function hold(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, HOST, () => {
      server.unref();
      resolve(true);
    });
  });
}

function isFree(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, HOST, () => server.close(() => resolve(true)));
  });
}
