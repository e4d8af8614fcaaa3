/** Back ends that send bytes without end through a tunnel: neither the origin nor the peer that carries it is held. */
import type { ChildProcess } from 'node:child_process';
import { readFileSync } from 'node:fs';
import type { Socket } from 'node:net';
import { expect } from 'chai';
import { delay } from '../src/shared/delay.js';
import { ENDLESS } from './endless-answers.js';
import { findHeader } from '../lab/scripted-backend.js';
import { ANSWER_HEAD, killChildren, startChild, TunnelRig } from './tunnel-rig.js';

/** Below the number of connections that the client opens to one back end. */
const CONCURRENT = 6;
/** As for answers that come directly. Milliseconds. */
const CUT_OFF_MS = 5000;
/** Longest answer of a prefill that is read; it holds one handle. Bytes. */
const LONGEST_PREFILL_BYTES = 64 * 1024;
/** A request beside them takes no longer. Milliseconds. */
const LONGEST_MS = 1000;
/** As for answers that come directly. Bytes. */
const MAXIMUM_GROWTH = 400 * 1024 * 1024;

function readResidentBytes(pid: number): number {
  const [, kilobytes] = /^VmRSS:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, 'latin1')) ?? [];
  return Number(kilobytes) * 1024;
}

describe('bytes without end through a tunnel', function () {
  this.timeout(20_000);
  let rig: TunnelRig;
  let child: ChildProcess;
  let via: string;

  afterEach(async () => {
    await rig.close();
    killChildren();
  });

  async function start(write: (socket: Socket, id: string) => void): Promise<void> {
    rig = new TunnelRig(({ head }, socket) => {
      const id = findHeader(head, 'x-attempt-id') ?? '';
      if (id.startsWith('bad')) write(socket, id);
      else socket.write(`${ANSWER_HEAD.replace('id1', id)}Content-Length: 2\r\n\r\nok`);
    });
    await rig.start();
    ({ child, address: via } = await startChild('peer'));
  }

  /** Sends sound requests through the same peer until `work` is over; the longest time that one took. */
  async function sendOthers(work: Promise<unknown>): Promise<{ longestMs: number; grownBytes: number }> {
    let isOver = false;
    void work.finally(() => (isOver = true));
    const seen = { longestMs: 0, grownBytes: 0 };
    const before = readResidentBytes(child.pid ?? 0);
    for (let number = 0; !isOver; number += 1) {
      const startedAt = performance.now();
      const run = rig.startAttempt({ requestId: `good${number}`, attemptId: 'good', via });
      expect((await run.ended).kind).to.equal('whole');
      seen.longestMs = Math.max(seen.longestMs, performance.now() - startedAt);
      seen.grownBytes = Math.max(seen.grownBytes, readResidentBytes(child.pid ?? 0) - before);
      await delay(20);
    }
    return seen;
  }

  for (const [name, write] of Object.entries(ENDLESS))
    for (const stream of [false, true])
      it(`in the ${name} of an ${stream ? 'answer to a stream' : 'answer'} hold up nobody else and are cut off`, async () => {
        await start(write);
        const startedAt = performance.now();
        const ended = Promise.all(
          Array.from({ length: CONCURRENT }, (_, index) => {
            const id = `bad${index}`;
            return rig.startAttempt({ requestId: id, attemptId: id, via, stream }).ended;
          }),
        );
        const seen = await sendOthers(ended);
        for (const { kind } of await ended) expect(kind).to.equal('broken');
        expect(performance.now() - startedAt).to.be.lessThan(CUT_OFF_MS);
        expect(seen.longestMs).to.be.lessThan(LONGEST_MS);
        expect(seen.grownBytes).to.be.lessThan(MAXIMUM_GROWTH);
      });

  for (const path of ['direct connection', 'tunnel'])
    it(`in the answer of a prefill end it, over a ${path}`, async () => {
      await start((socket, id) => {
        socket.write(`${ANSWER_HEAD.replace('id1', id)}Content-Length: 99999999\r\n\r\n`);
        socket.write('x'.repeat(LONGEST_PREFILL_BYTES + 1));
      });
      const fields = { attemptId: 'bad', prefillOnly: true, via: path === 'tunnel' ? via : undefined };
      const startedAt = performance.now();
      expect((await rig.startAttempt(fields).ended).kind).to.equal('broken');
      expect(performance.now() - startedAt).to.be.lessThan(LONGEST_MS);
    });
});
