/**
 * A planned stop in calm: what a stopping daemon passes on is answered, whatever delays a request within the daemon.
 * Plays of a report by other operators, whose requests came late in the grace, were passed on and were cut at its end.
 */
import { connect } from 'node:net';
import { expect } from 'chai';
import {
  makeLabBackend,
  makeLabRoute,
  startForwardingSite,
  type ForwardingSite,
} from '../lab/forwarding-site.js';
import { findHeader, ScriptedBackend } from '../lab/scripted-backend.js';
import { delay } from '../src/shared/delay.js';

const GRACE_MS = 6000;
/** No timeout to speak of. Milliseconds. */
const TIMEOUT_MS = 60_000;
const BODY = 'x'.repeat(24 * 1024);

interface Call {
  readonly id: string;
  readonly sentAt: number;
  /** The first line of the answer; empty if the connection was closed without one. */
  line: string;
}

interface Play {
  /** Time that the back end works on a request that arrives so long after the stop began. Milliseconds. */
  readonly getWorkMs: (afterMs: number) => number;
  /** Pause between the two halves of the body. Milliseconds. */
  readonly bodyPauseMs: number;
  /** Share of the requests that the back end rejects at first. */
  readonly rejectedShare: number;
}

const PLAYS: Readonly<Record<string, Play>> = {
  'large and slow bodies': { getWorkMs: () => 300, bodyPauseMs: 700, rejectedShare: 0 },
  'work that gets longer': {
    getWorkMs: (afterMs) => 200 + Math.max(0, afterMs) / 3,
    bodyPauseMs: 0,
    rejectedShare: 0,
  },
  'second attempts': { getWorkMs: () => 500, bodyPauseMs: 0, rejectedShare: 0.5 },
};

/** Sends one request on a new connection. */
async function send(address: string, call: Call, bodyPauseMs: number): Promise<void> {
  const [host, port] = address.split(':');
  const head =
    `POST /a/x HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: ${call.id}\r\nConnection: close\r\n` +
    `Content-Length: ${2 * BODY.length}\r\n\r\n`;
  await new Promise<void>((resolve) => {
    const socket = connect(Number(port), host);
    let text = '';
    socket.on('data', (chunk: Buffer) => (text += chunk.toString('latin1')));
    socket.on('error', () => undefined);
    socket.on('close', () => {
      call.line = text.split('\r\n')[0];
      resolve();
    });
    socket.write(head + BODY);
    setTimeout(() => socket.write(BODY), bodyPauseMs);
  });
}

describe('requests late in a planned stop', () => {
  for (const [name, play] of Object.entries(PLAYS))
    it(`with ${name} are refused or answered, and never run without an answer`, async function () {
      this.timeout(4 * GRACE_MS);
      const passedOn = new Set<string>();
      let stoppedAt = Infinity;
      let count = 0;
      const script = ({ head }: { head: string }, socket: import('node:net').Socket): void => {
        const id = findHeader(head, 'x-attempt-id') ?? '';
        if (head.startsWith('GET')) {
          socket.write('HTTP/1.1 200 OK\r\nX-Instance-Id: b1\r\nContent-Length: 0\r\n\r\n');
          return;
        }
        count += 1;
        if (count % 100 < play.rejectedShare * 100) {
          socket.write(
            `HTTP/1.1 503 Full\r\nX-Attempt-Id: ${id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`,
          );
          return;
        }
        passedOn.add(id);
        const answer = `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nX-Server-Signature: s\r\nContent-Length: 2\r\n\r\nok`;
        const workMs = play.getWorkMs(performance.now() - stoppedAt);
        setTimeout(() => void socket.write(answer), Number.isFinite(workMs) ? workMs : 200);
      };
      const backends = [new ScriptedBackend(script), new ScriptedBackend(script)];
      const records = await Promise.all(
        backends.map(async (backend, index) => ({
          ...makeLabBackend(`b${index + 1}`, await backend.listen()),
          slots: 64,
        })),
      );
      const route = makeLabRoute({ kind: 'nonIdempotent', maximumAttempts: 1, timeoutMs: TIMEOUT_MS });
      const site: ForwardingSite = await startForwardingSite([route], records, null, {
        stopGraceMs: GRACE_MS,
      });
      const calls: Call[] = [];
      const open: Promise<void>[] = [];
      let isOver = false;
      const calling = (async () => {
        for (let index = 0; !isOver; index += 1) {
          const call = { id: `c${index}`, sentAt: performance.now(), line: '' };
          calls.push(call);
          open.push(send(site.callers, call, play.bodyPauseMs));
          await delay(40);
        }
      })();
      await delay(500);
      stoppedAt = performance.now();
      await site.daemon.stop();
      isOver = true;
      await calling;
      // The process exits now.
      await site.daemon.close();
      await Promise.all(open);
      for (const backend of backends) backend.close();
      const cut = calls.filter(({ id, line }) => passedOn.has(id) && !line.startsWith('HTTP/1.1 '));
      const refusedThoughRun = calls.filter(
        ({ id, line }) => passedOn.has(id) && /^HTTP\/1\.1 (408|421|429|503) /.test(line),
      );
      const cutLate = calls.filter(({ id, line }) => passedOn.has(id) && line.startsWith('HTTP/1.1 504'));
      expect(passedOn.size, 'requests that were passed on').to.be.greaterThan(40);
      expect(cut, 'without an answer').to.deep.equal([]);
      expect(refusedThoughRun, 'refused though run').to.deep.equal([]);
      expect(cutLate, 'ended by the stop').to.deep.equal([]);
    });
});
