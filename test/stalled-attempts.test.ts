/**
 * Guards against streams that are cut, though their silent back end was sound: an attempt that stalls goes on beside
 * its successor until one of the two does.
 */
import { expect } from 'chai';
import {
  makeLabBackend,
  makeLabRoute,
  startForwardingSite,
  type ForwardingSite,
} from '../lab/forwarding-site.js';
import { findHeader, ScriptedBackend } from '../lab/scripted-backend.js';
import type { BackendRecord, Route } from '../src/forwarding/routes/route.js';
import { delay } from '../src/shared/delay.js';
import { ForwardingHarness, makeEngine } from './forwarding-harness.js';
import { connect } from 'node:net';

const TICK_MS = 20;
const TIMEOUT_MS = 4000;
const RESUMABLE: Partial<Route> = { kind: 'stream', resumable: true, maximumAttempts: 9 };
const PROGRESS = { kind: 'streamProgress', lastEventId: '7' } as const;
/** Two servers may work on a request for this long. Milliseconds. */
const MAXIMUM_OVERLAP_MS = 400;

/** One stream that has begun, stalled and been sent to a second back end. */
class StalledSite extends ForwardingHarness {
  now = 0;

  constructor(backends: readonly BackendRecord[], route: Partial<Route> = RESUMABLE) {
    super([makeLabRoute({ timeoutMs: TIMEOUT_MS, ...route })], backends);
    this.begin({ callerDeadlineMs: TIMEOUT_MS, arrivedAt: 0 }, 0);
    this.event({ kind: 'streamStarted' }, 0);
    this.event({ kind: 'streamProgress', lastEventId: '1' }, 0);
    while (this.getStarts().length < 2 && this.now < TIMEOUT_MS) this.tick();
    expect(this.getLive().map(({ attemptId }) => attemptId)).to.deep.equal(['r1/1', 'r1/2']);
  }

  tick(): void {
    this.manager.tick((this.now += TICK_MS));
  }

  run(ms: number): void {
    for (const end = this.now + ms; this.now < end;) this.tick();
  }

  getAborted(): string[] {
    return this.effects.flatMap((effect) => (effect.kind === 'abortAttempt' ? [effect.attemptId] : []));
  }
}

const PLAIN = ['b1', 'b2', 'b3'].map((id, index) => makeLabBackend(id, `10.0.0.1:${index + 1}`));
const DECODERS = ['d1', 'd2', 'd3'].map((id) => makeEngine(id, 'decode'));

describe('a stalled attempt and its successor', () => {
  it('the successor is aborted when the stalled one goes on first', () => {
    const site = new StalledSite(PLAIN);
    site.eventOf('r1/1', PROGRESS, site.now);
    expect(site.getAborted()).to.deep.equal(['r1/2']);
    site.eventOf('r1/1', { kind: 'whole', status: 200 }, site.now);
    expect(site.getEffects('replyWhole')).to.have.length(1);
  });

  it('the stalled one is aborted when the successor passes events on', () => {
    const site = new StalledSite(PLAIN);
    site.eventOf('r1/2', { kind: 'streamStarted' }, site.now);
    expect(site.getAborted(), 'only its head has arrived').to.deep.equal([]);
    site.eventOf('r1/2', PROGRESS, site.now);
    expect(site.getAborted()).to.deep.equal(['r1/1']);
  });

  it('at an engine, the stalled one is aborted before two engines may have worked for 400 ms', () => {
    const site = new StalledSite(DECODERS);
    site.run(600);
    expect(site.getAborted(), 'the successor has not been sent').to.deep.equal([]);
    site.eventOf('r1/2', { kind: 'sent' }, site.now);
    site.run(MAXIMUM_OVERLAP_MS - TICK_MS);
    expect(site.getAborted()).to.deep.equal(['r1/1']);
  });

  it('a request goes back to its engine when the successor rejects it after that', () => {
    const site = new StalledSite(DECODERS.slice(0, 2));
    site.eventOf('r1/2', { kind: 'sent' }, site.now);
    site.run(MAXIMUM_OVERLAP_MS);
    site.eventOf('r1/2', { kind: 'notExecuted', status: 503, wrongIncarnation: false }, site.now);
    const [first, , third] = site.getStarts();
    expect(third.backend.id).to.equal(first.backend.id);
  });

  it('both are aborted when the caller leaves', () => {
    const site = new StalledSite(PLAIN);
    site.manager.cancel('r1', site.now);
    expect(site.getAborted()).to.have.members(['r1/1', 'r1/2']);
  });

  it('both are aborted at the deadline', () => {
    const site = new StalledSite(PLAIN);
    site.run(TIMEOUT_MS);
    expect(site.getLive()).to.deep.equal([]);
    expect(site.getFailures()).to.deep.equal(['broken']);
  });

  it('the successor goes on alone when the stalled one breaks', () => {
    const site = new StalledSite(PLAIN);
    site.eventOf('r1/1', { kind: 'broken', reason: 'reset' }, site.now);
    expect(site.getFailures()).to.deep.equal([]);
    site.eventOf('r1/2', { kind: 'streamStarted' }, site.now);
    site.eventOf('r1/2', PROGRESS, site.now);
    site.eventOf('r1/2', { kind: 'whole', status: 200 }, site.now);
    expect(site.getEffects('replyWhole')).to.have.length(1);
  });

  it('no request that may run only once moves', () => {
    const site = new ForwardingHarness([makeLabRoute({ kind: 'nonIdempotent' })], PLAIN);
    site.begin({ callerDeadlineMs: TIMEOUT_MS });
    for (let now = 0; now < TIMEOUT_MS; now += TICK_MS) site.manager.tick(now);
    expect(site.getStarts()).to.have.length(1);
  });
});

describe('two back ends that answer a moved stream at the same moment', () => {
  const backends: ScriptedBackend[] = [];
  let site: ForwardingSite | undefined;

  afterEach(async () => {
    for (const backend of backends.splice(0)) backend.close();
    await site?.daemon.close();
  });

  it('give each event to the caller once and in order', async () => {
    let sent = 0;
    const startedAt = performance.now();
    const records: BackendRecord[] = [];
    for (const id of ['b1', 'b2']) {
      const backend = new ScriptedBackend(({ head }, socket) => {
        if (!head.startsWith('GET /a/x')) return;
        sent += 1;
        const from = Number(findHeader(head, 'last-event-id') ?? 0);
        void writeStream(socket, from, sent === 1, startedAt);
      });
      backends.push(backend);
      records.push(makeLabBackend(id, await backend.listen()));
    }
    const route = makeLabRoute({ ...RESUMABLE, maximumAttempts: 2, targetGapMs: 50, timeoutMs: TIMEOUT_MS });
    site = await startForwardingSite([route], records);
    const text = await readStream(site.callers);
    const ids = [...text.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
    expect(sent, 'attempts').to.equal(2);
    expect(ids).to.deep.equal(Array.from({ length: EVENTS }, (_, index) => index + 1));
    expect(text).to.match(/\r\n0\r\n\r\n$/);
  });
});

const EVENTS = 12;
const GO_ON_AT_MS = 1500;

/** Writes the events after `from`; the first attempt is silent after two events until all go on. */
async function writeStream(
  socket: import('node:net').Socket,
  from: number,
  isFirst: boolean,
  startedAt: number,
): Promise<void> {
  const head =
    'HTTP/1.1 200 OK\r\nX-Attempt-Id: id1\r\nX-Server-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n';
  socket.write(head);
  for (let id = from + 1; id <= EVENTS && !socket.destroyed; id += 1) {
    if (!isFirst || id > 2) await delay(Math.max(1, startedAt + GO_ON_AT_MS - performance.now()));
    const event = `id: ${id}\ndata: x\n\n`;
    socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
  }
  if (!socket.destroyed) socket.write('0\r\n\r\n');
}

function readStream(address: string): Promise<string> {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    let text = '';
    const socket = connect(Number(port), host);
    socket.on('data', (chunk: Buffer) => {
      text += chunk.toString('latin1');
      if (text.endsWith('\r\n0\r\n\r\n')) socket.destroy();
    });
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(text));
    socket.write('GET /a/x HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: id1\r\n\r\n');
  });
}
