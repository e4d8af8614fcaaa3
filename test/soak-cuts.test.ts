/**
 * Daemons without a path to back ends in the fault soak: the plan, the proxy that cuts clients off by their source
 * addresses, the starter that gives a program one, and the check of what callers get.
 */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import type { CallerRecord } from '../lab/soak/caller-record.js';
import { makeCutPlan } from '../lab/soak/cut-faults.js';
import { FaultProxy, type CutKind } from '../lab/soak/fault-proxy.js';
import { SOAK_BOUNDS, SoakRecord } from '../lab/soak/soak-record.js';
import { SeededRandom } from '../src/shared/random.js';
import { Snapshot } from './snapshot.js';

const CUT_FROM = 10_000;
const JUDGED_FROM = CUT_FROM + SOAK_BOUNDS.contactMs;
const CUT_UNTIL = 18_000;
const PROMISES = [
  'callers of a daemon without a path to back ends are served',
  'a request that no daemon can serve is refused at once',
];
const CUT_CLIENT = '127.0.0.2';
const OTHER_CLIENT = '127.0.0.3';
const STARTER = fileURLToPath(new URL('../lab/soak/source-address.js', import.meta.url));
const SETTLE_MS = 200;

/** A record of a cut of these daemons out of three. */
function makeRecord(daemons: readonly string[]): SoakRecord {
  const record = new SoakRecord(SOAK_BOUNDS);
  record.cuts.push({ daemons, daemonCount: 3, kind: 'hangs', from: CUT_FROM, until: CUT_UNTIL });
  for (const target of daemons)
    record.disturbances.push({ target, kind: 'cut of it', from: CUT_FROM, until: CUT_UNTIL });
  return record;
}

/** Adds tries at a daemon, the first `served` of them served. */
function addTries(
  record: SoakRecord,
  daemon: string,
  count: number,
  served: number,
  fields: Partial<CallerRecord> = {},
): void {
  for (let i = 0; i < count; i += 1) {
    const id = `q${record.requests.size}`;
    const sentAt = fields.sentAt ?? JUDGED_FROM + i;
    record.requests.set(id, {
      id,
      daemon,
      route: 'receipt',
      form: 'idempotent',
      timeoutMs: 1500,
      sentAt,
      endedAt: sentAt + 20,
      status: i < served ? 200 : 503,
      complete: true,
      ...fields,
    });
  }
}

function findPromises(record: SoakRecord): string[] {
  return record
    .check()
    .map(({ promise }) => promise)
    .filter((promise) => PROMISES.includes(promise));
}

interface CutCase {
  readonly name: string;
  /** Tries at the cut daemon, and those of them that are served. */
  readonly atCut: readonly [number, number];
  readonly fields?: Partial<CallerRecord>;
  readonly found: boolean;
}

const CASES: readonly CutCase[] = [
  { name: 'none of 60 served', atCut: [60, 0], found: true },
  { name: 'fewer than two thirds served', atCut: [60, 39], found: true },
  { name: 'two thirds served', atCut: [60, 40], found: false },
  { name: 'all served', atCut: [60, 60], found: false },
  { name: 'few failures', atCut: [12, 0], found: false },
  { name: 'one failure more than allowed', atCut: [13, 0], found: true },
  { name: 'only failures before the contact time', atCut: [60, 0], fields: { sentAt: 12_990 }, found: false },
  { name: 'only failures after the cut', atCut: [60, 0], fields: { sentAt: 18_010 }, found: false },
  { name: 'only quota refusals', atCut: [60, 0], fields: { status: 429 }, found: false },
  { name: 'only missing keys', atCut: [60, 0], fields: { status: 401, needsKey: true }, found: false },
  { name: 'only requests that end back ends', atCut: [60, 0], fields: { crashingBody: 'x' }, found: false },
  {
    name: 'broken streams',
    atCut: [60, 60],
    fields: { form: 'streaming', status: 200, complete: false },
    found: true,
  },
];

async function startServer(onSocket: (socket: Socket) => void): Promise<Server> {
  const server = createServer((socket) => onSocket(socket.on('error', () => undefined)));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return server;
}

interface Client {
  readonly socket: Socket;
  readonly getText: () => string;
  readonly getError: () => string | undefined;
}

function connectFrom(localAddress: string, address: string): Client {
  const [host, port] = address.split(':');
  const socket = connect({ host, port: Number(port), localAddress });
  let text = '';
  let error: string | undefined;
  socket.on('data', (bytes) => (text += bytes.toString()));
  socket.on('error', ({ code }: NodeJS.ErrnoException) => (error = code));
  return { socket, getText: () => text, getError: () => error };
}

describe('cuts from all back ends in the fault soak', () => {
  for (const { name, atCut, fields, found } of CASES)
    it(`the check ${found ? 'finds' : 'passes'}: ${name}`, () => {
      const record = makeRecord(['daemon-1']);
      addTries(record, 'daemon-1', ...atCut, fields);
      addTries(record, 'daemon-2', 60, 60);
      addTries(record, 'daemon-3', 60, 60);
      expect(findPromises(record)).to.deep.equal(found ? [PROMISES[0]] : []);
    });

  it('the check passes a cut daemon that is served as rarely as the others', () => {
    const record = makeRecord(['daemon-1', 'daemon-2']);
    for (const daemon of ['daemon-1', 'daemon-2', 'daemon-3']) addTries(record, daemon, 60, 20);
    expect(findPromises(record)).to.deep.equal([]);
  });

  it('the outcome tells how many of the served got their answer only after the cut', () => {
    const record = makeRecord(['daemon-1']);
    addTries(record, 'daemon-1', 5, 5);
    addTries(record, 'daemon-1', 2, 2, { sentAt: CUT_UNTIL - 10, endedAt: CUT_UNTIL + 10 });
    expect(record.findCutOutcomes()[0]).to.include({ cutTries: 7, cutServed: 7, servedAfterCut: 2 });
  });

  for (const [disturbed, found] of [
    ['daemon-1', false],
    ['daemon-2', true],
  ] as const)
    it(`the check ${found ? 'finds' : 'passes'} failures of a cut daemon when ${disturbed} was killed`, () => {
      const record = makeRecord(['daemon-1']);
      addTries(record, 'daemon-1', 60, 0);
      addTries(record, 'daemon-2', 60, 0);
      addTries(record, 'daemon-3', 60, 60);
      record.disturbances.push({ target: disturbed, kind: 'kill', from: 9000, until: 11_000 });
      expect(findPromises(record)).to.deep.equal(found ? [PROMISES[0]] : []);
    });

  it('the check judges nothing when no daemon that was not cut has callers', () => {
    const record = makeRecord(['daemon-1', 'daemon-2']);
    addTries(record, 'daemon-1', 60, 0);
    expect(findPromises(record)).to.deep.equal([]);
  });

  for (const [afterMs, found] of [
    [250, false],
    [251, true],
  ] as const)
    it(`the check ${found ? 'finds' : 'passes'} refusals after ${afterMs} ms where all daemons are cut`, () => {
      const record = makeRecord(['daemon-1', 'daemon-2', 'daemon-3']);
      addTries(record, 'daemon-1', 60, 0, { sentAt: JUDGED_FROM, endedAt: JUDGED_FROM + afterMs });
      expect(findPromises(record)).to.deep.equal(found ? [PROMISES[1]] : []);
    });

  it('a seed always gives the same cuts', () => {
    const snapshot = new Snapshot('fault-soak-cuts');
    const random = new SeededRandom(7);
    for (const { atMs, fault } of makeCutPlan(['d1', 'd2', 'd3'], 60_000, () => random.next()))
      snapshot.add(`${atMs} ms: ${fault.getName()}, ${fault.durationMs} ms`);
    snapshot.check();
  });

  /** Starts a proxy before an echo, with an open connection from each client, and cuts the first client off. */
  async function startCut(kind: CutKind) {
    const echo = await startServer((socket) => void socket.pipe(socket));
    const proxy = new FaultProxy(() => `127.0.0.1:${(echo.address() as AddressInfo).port}`);
    const address = await proxy.start();
    const open = connectFrom(CUT_CLIENT, address);
    const other = connectFrom(OTHER_CLIENT, address);
    for (const { socket } of [open, other]) {
      socket.write('one ');
      await once(socket, 'data');
    }
    proxy.cut(CUT_CLIENT, kind);
    const late = connectFrom(CUT_CLIENT, address);
    const otherLate = connectFrom(OTHER_CLIENT, address);
    for (const { socket } of [open, other, late, otherLate]) if (socket.writable) socket.write('two ');
    await wait(SETTLE_MS);
    expect([other.getText(), otherLate.getText()]).to.deep.equal(['one two ', 'two ']);
    const close = () => {
      for (const { socket } of [open, other, late, otherLate]) socket.destroy();
      proxy.close();
      echo.close();
    };
    return { proxy, address, open, late, close };
  }

  it('a silent cut holds open and new connections of the cut client only, and they go on after it', async () => {
    const { proxy, open, late, close } = await startCut('hangs');
    expect([open.getText(), late.getText()]).to.deep.equal(['one ', '']);
    proxy.heal(CUT_CLIENT);
    await wait(SETTLE_MS);
    expect([open.getText(), late.getText()]).to.deep.equal(['one two ', 'two ']);
    expect([open.getError(), late.getError()]).to.deep.equal([undefined, undefined]);
    close();
  });

  it('a cut with resets ends open connections of the cut client only and refuses new ones until its end', async () => {
    const { proxy, address, open, late, close } = await startCut('resets');
    expect([open.getText(), late.getText()]).to.deep.equal(['one ', '']);
    expect([open.getError(), late.getError()]).to.deep.equal(['ECONNRESET', 'ECONNRESET']);
    proxy.heal(CUT_CLIENT);
    const after = connectFrom(CUT_CLIENT, address);
    after.socket.write('three ');
    await once(after.socket, 'data');
    expect(after.getText()).to.equal('three ');
    after.socket.destroy();
    close();
  });

  it('a cut of new connections lets open ones of the cut client live on', async () => {
    const { open, late, close } = await startCut('refusesNew');
    expect([open.getText(), late.getText()]).to.deep.equal(['one two ', '']);
    expect([open.getError(), late.getError()]).to.deep.equal([undefined, 'ECONNRESET']);
    close();
  });

  it('a silence that ends during a silent cut leaves the cut client held', async () => {
    const { proxy, open, close } = await startCut('hangs');
    proxy.hold();
    proxy.release();
    await wait(SETTLE_MS);
    expect(open.getText()).to.equal('one ');
    close();
  });

  it('a started program connects from its source address in every form of the call, and keeps its words', async () => {
    const sources: (string | undefined)[] = [];
    const server = await startServer((socket) => {
      sources.push(socket.remoteAddress);
      socket.end();
    });
    const { port } = server.address() as AddressInfo;
    const folder = mkdtempSync(join(tmpdir(), 'soak-source-'));
    const program = join(folder, 'program.cjs');
    writeFileSync(
      program,
      `const net = require("net")
      if (process.argv[1] !== __filename || process.argv[2] !== "word") process.exit(3)
      net.connect({host: "127.0.0.1", port: ${port}})
      net.connect(${port}, "127.0.0.1")
      new net.Socket().connect({host: "127.0.0.1", port: ${port}})
      new net.Socket().connect(${port}, "127.0.0.1", () => {})
      require("http").get("http://127.0.0.1:${port}/").on("error", () => {})`,
    );
    const child = spawn(process.execPath, [STARTER, CUT_CLIENT, program, 'word'], { stdio: 'ignore' });
    const [code] = (await once(child, 'exit')) as [number];
    expect(code).to.equal(0);
    expect(sources).to.deep.equal(Array(5).fill(CUT_CLIENT));
    server.close();
    rmSync(folder, { recursive: true });
  });
});
