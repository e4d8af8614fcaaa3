/**
 * Finds free ports on the loopback address for programs that are configured with fixed ports. Owns the blocks of
 * ports that this process has reserved.
 */
import { createServer } from 'node:net';

const HOST = '127.0.0.1';
/**
 * The range lies below the ephemeral ports of Linux (32,768 to 60,999), for outgoing connections and for servers
 * that listen on port 0, so that the system can't assign a port between its hand-out and its use.
 */
const FIRST_PORT = 20_000;
const LAST_PORT = 32_000;
/**
 * Ports are handed out from blocks of this size. A process reserves a block by listening on its first port until it
 * exits, so that no other process hands out ports of the same block: a port that is free at present may belong to a
 * daemon that is restarting.
 */
export const PORTS_PER_BLOCK = 64;
const BLOCK_COUNT = Math.floor((LAST_PORT - FIRST_PORT) / PORTS_PER_BLOCK);
/** Processes with consecutive ids start their search this number of blocks apart. */
const BLOCK_STRIDE = 5;

/** The next port of the current block, and the end of that block. */
let nextPort = 0;
let endPort = 0;
let nextBlock = (process.pid * BLOCK_STRIDE) % BLOCK_COUNT;

/**
 * Finds this number of ports that nothing listens on. Each port is handed out only once.
 * @throws RangeError when this process and others have reserved all blocks.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    if (nextPort >= endPort) await addBlock();
    const port = nextPort;
    nextPort += 1;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

async function addBlock(): Promise<void> {
  for (let attempt = 0; attempt < BLOCK_COUNT; attempt += 1) {
    const first = FIRST_PORT + nextBlock * PORTS_PER_BLOCK;
    nextBlock = (nextBlock + 1) % BLOCK_COUNT;
    if (!(await startListening(first))) continue;
    nextPort = first + 1;
    endPort = first + PORTS_PER_BLOCK;
    return;
  }
  throw new RangeError('all blocks of ports for tests are reserved');
}

/** Finds free ports and returns them as addresses, `host:port`. */
export async function findFreeAddresses(count: number): Promise<string[]> {
  return (await findFreePorts(count)).map((port) => `${HOST}:${port}`);
}

/** Listens on a port until this process exits, without keeping it alive. Returns false if the port is in use. */
function startListening(port: number): Promise<boolean> {
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
