/**
 * A process of its own for tests of tunnels: `peer` serves tunnels, `full` is a listener that takes no connections once
 * it is stopped and its short queue is full, `late` opens a tunnel after a while and answers the request itself. Sends
 * its address to its parent.
 */
import { createServer, type Socket } from 'node:net';
import { encodeTunnelAnswer } from '../src/adapters/peer-codec.js';
import { ANSWER_HEAD, TunnelPeer, listenOn } from './tunnel-rig.js';

/** Time until the tunnel is opened. Milliseconds. */
const LATE_MS = 100;

function answerLate(socket: Socket): void {
  socket.on('error', () => undefined);
  socket.once('data', () => {
    setTimeout(() => socket.write(`${encodeTunnelAnswer({ kind: 'opened' })}\n`), LATE_MS);
    socket.once('data', () => socket.write(`${ANSWER_HEAD}Content-Length: 2\r\n\r\nok`));
  });
}

async function start(kind: string | undefined): Promise<string> {
  if (kind === 'peer') {
    const peer = new TunnelPeer();
    await peer.listen();
    return peer.address;
  }
  return kind === 'late' ? listenOn(createServer(answerLate)) : listenOn(createServer(), 1);
}

process.send?.(await start(process.argv[2]));
