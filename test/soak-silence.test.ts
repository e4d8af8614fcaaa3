/**
 * Silences of sound back ends in the fault soak: the plan, the proxy that holds bytes, and the check that no answer
 * ends early because of them.
 */
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import { expect } from 'chai';
import { FaultProxy } from '../lab/soak/fault-proxy.js';
import { makeSilencePlan } from '../lab/soak/silence-faults.js';
import type { CallerRecord } from '../lab/soak/caller-record.js';
import { SOAK_BOUNDS, SoakRecord } from '../lab/soak/soak-record.js';
import { SeededRandom } from '../src/shared/random.js';
import { Snapshot } from './snapshot.js';

const PROMISE = "a back end's silence ends no answer early";
const SILENT_FROM = 10_000;
const SILENT_UNTIL = 12_000;
const SOUND_AGAIN_MS = 700;
const HELD_MS = 200;

/** A record with one silence and one request of 3,000 ms that was cut after 1,900 ms, changed by these fields. */
function makeRecord(fields: Partial<CallerRecord> = {}): SoakRecord {
  const record = new SoakRecord(SOAK_BOUNDS);
  record.silences.push({ place: 4, from: SILENT_FROM, until: SILENT_UNTIL });
  const sentAt = fields.sentAt ?? SILENT_FROM;
  record.requests.set('q1', {
    id: 'q1',
    daemon: 'daemon-1',
    route: 'check',
    form: 'streaming',
    sentAt,
    timeoutMs: 3000,
    endedAt: sentAt + 1900,
    ...fields,
  });
  return record;
}

function findTexts(record: SoakRecord): string[] {
  return record
    .check()
    .filter(({ promise }) => promise === PROMISE)
    .map(({ text }) => text);
}

const BROKEN: readonly [string, Partial<CallerRecord>][] = [
  ['a stream is cut', { status: 200, complete: false }],
  ['a connection ends without an answer', {}],
  ['the daemon answers 502', { status: 502, complete: true }],
  ['the daemon answers 504 early', { status: 504, complete: true }],
  ['a request sent just before the silence is cut', { sentAt: SILENT_FROM - 50 }],
  ['a request sent just after the silence is cut', { sentAt: SILENT_UNTIL + 500 }],
];

const SOUND: readonly [string, Partial<CallerRecord>][] = [
  ['a whole answer', { status: 200, signature: 'b1', complete: true }],
  ['a refusal', { status: 503, complete: true }],
  ["a back end's own failure", { status: 502, signature: 'b1', complete: true }],
  ['an answer at the time-out', { status: 504, complete: true, endedAt: SILENT_FROM + 3005 }],
  ['a cut after seven tenths of the time', { endedAt: SILENT_FROM + 2150 }],
  ['a caller that gave up', { endedAt: SILENT_FROM }],
  ['a request long after the silence', { sentAt: SILENT_UNTIL + SOAK_BOUNDS.contactMs + 100 }],
  ['a request that ends back ends', { crashingBody: 'x' }],
];

/** A server that sends back what it receives. */
async function startEcho(): Promise<Server> {
  const echo = createServer((socket) => void socket.pipe(socket).on('error', () => undefined));
  echo.listen(0, '127.0.0.1');
  await once(echo, 'listening');
  return echo;
}

async function connectTo(address: string): Promise<{ socket: Socket; getText: () => string }> {
  const [host, port] = address.split(':');
  const socket = connect({ host, port: Number(port) });
  let text = '';
  socket.on('data', (bytes) => (text += bytes.toString()));
  await once(socket, 'connect');
  return { socket, getText: () => text };
}

describe('silences of back ends in the fault soak', () => {
  for (const [name, fields] of BROKEN)
    it(`the check finds: ${name}`, () => {
      expect(findTexts(makeRecord(fields))).to.have.length(1);
    });

  for (const [name, fields] of SOUND)
    it(`the check passes: ${name}`, () => {
      expect(findTexts(makeRecord(fields))).to.deep.equal([]);
    });

  it('the check finds a cut beside a planned stop that began after the request was sent', () => {
    const record = makeRecord();
    record.disturbances.push({ target: 'daemon-1', kind: 'restart daemon-1', from: 10_050, until: 13_000 });
    expect(findTexts(record)).to.have.length(1);
  });

  it('the check finds a cut beside the end of another daemon', () => {
    const record = makeRecord();
    record.disturbances.push({ target: 'daemon-2', kind: 'kill daemon-2', from: 10_050, until: 13_000 });
    expect(findTexts(record)).to.have.length(1);
  });

  it('the check passes what a daemon that is down for a planned stop cuts', () => {
    const record = makeRecord({ sentAt: SILENT_FROM + 1100 });
    record.disturbances.push({ target: 'daemon-1', kind: 'restart daemon-1', from: 10_000, until: 13_000 });
    expect(findTexts(record)).to.deep.equal([]);
  });

  for (const target of ['daemon-1', 'backends', '*'])
    it(`the check passes a cut beside another disturbance of ${target}, the contact time after it included`, () => {
      const record = makeRecord();
      record.disturbances.push({ target, kind: 'kill', from: 5000, until: 7100 });
      expect(findTexts(record)).to.deep.equal([]);
    });

  it('the check judges nothing where no back end was silent', () => {
    const record = makeRecord();
    record.silences.splice(0);
    expect(findTexts(record)).to.deep.equal([]);
    expect(record.findCallersCutBySilence().judged).to.equal(0);
  });

  it('a seed always gives the same silences', () => {
    const snapshot = new Snapshot('fault-soak-silences');
    const random = new SeededRandom(7);
    const places = [
      [0, 1],
      [2, 3, 4],
    ];
    const plan = makeSilencePlan(['d1', 'd2', 'd3'], places, 12_000, () => random.next());
    for (const { atMs, fault } of plan)
      snapshot.add(`${atMs} ms: ${fault.getName()}, ${fault.durationMs} ms`);
    snapshot.check();
  });

  it('each silence lasts 0.8 to 2 s, and the same back end is sound between two', () => {
    for (let seed = 1; seed <= 20; seed += 1) {
      const random = new SeededRandom(seed);
      const ends = new Map<string, number>();
      for (const { atMs, fault } of makeSilencePlan(['d1'], [[0, 1, 2]], 30_000, () => random.next())) {
        const name = fault.getName();
        if (!name.startsWith('silence')) continue;
        expect(fault.durationMs).to.be.within(800, 2000);
        expect(atMs - (ends.get(name) ?? -Infinity)).to.be.at.least(SOUND_AGAIN_MS);
        ends.set(name, atMs + fault.durationMs);
      }
      expect(ends.size).to.equal(3);
    }
  });

  it('the proxy holds bytes in order in both directions, of new connections too, and loses none', async () => {
    const echo = await startEcho();
    const proxy = new FaultProxy(() => `127.0.0.1:${(echo.address() as AddressInfo).port}`);
    const address = await proxy.start();
    const open = await connectTo(address);
    open.socket.write('one ');
    await once(open.socket, 'data');
    proxy.hold();
    const late = await connectTo(address);
    for (const piece of ['two ', 'three ']) {
      open.socket.write(piece);
      late.socket.write(piece);
      await wait(HELD_MS);
    }
    expect([open.getText(), late.getText()]).to.deep.equal(['one ', '']);
    proxy.release();
    open.socket.write('four');
    late.socket.write('four');
    await wait(HELD_MS);
    expect([open.getText(), late.getText()]).to.deep.equal(['one two three four', 'two three four']);
    proxy.close();
    for (const { socket } of [open, late]) socket.destroy();
    echo.close();
  });
});
