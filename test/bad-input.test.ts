/** Invalid input of every kind gives a typed error that names the field: no crash, no hang, no partial effect. */
import { connect, createServer, type AddressInfo } from 'node:net';
import { expect } from 'chai';
import fc from 'fast-check';
import { PeerTransport } from '../src/adapters/peer-transport.js';
import {
  decodeFirstLine,
  decodePeerMessage,
  decodeTunnelAnswer,
  encodePeerMessage,
} from '../src/adapters/peer-codec.js';
import { parseStreamLine } from '../src/adapters/engine-client.js';
import { formatServicesCsv, parseCell, parseServicesCsv } from '../src/configuration/service-csv.js';
import { parseServiceRow, SERVICE_COLUMNS, type ServiceRow } from '../src/configuration/service-row.js';
import type { PeerMessage } from '../src/daemon/peer-messages.js';
import { PulleyledgeError, RowInvalidError, SettingsError } from '../src/errors/index.js';
import { parseChatBody, parseCompletionBody } from '../src/gateway/completion-body.js';
import { checkSettings } from '../src/settings/settings.js';
import { hashText, pickByRendezvous, rankByRendezvous } from '../src/shared/rendezvous-hash.js';

const SEED = 20261202;
const RUNS = { seed: SEED, numRuns: 500 };

/** Runs `action` and expects either a value or a typed error. */
function expectValueOrTypedError<Value>(action: () => Value): Value | PulleyledgeError {
  try {
    return action();
  } catch (error) {
    expect(error).to.be.instanceOf(PulleyledgeError);
    return error as PulleyledgeError;
  }
}

const settings = {
  name: 'daemon-1',
  zone: 'pos-a',
  callerAddress: '127.0.0.1:8000',
  peerAddress: '127.0.0.1:8001',
  operatorAddress: '127.0.0.1:8002',
  platform: ['127.0.0.1:9000'],
};

describe('invalid input', () => {
  it('request bodies: any JSON gives a value or a typed error', () => {
    fc.assert(
      fc.property(fc.jsonValue(), (value) => {
        expectValueOrTypedError(() => parseCompletionBody(value));
        expectValueOrTypedError(() => parseChatBody(value));
      }),
      RUNS,
    );
  });

  it('request bodies: the error names the invalid field', () => {
    const error = expectValueOrTypedError(() =>
      parseCompletionBody({ model: 'risk-grade', prompt: 'x', max_tokens: -1 }),
    );
    expect((error as PulleyledgeError).context.field).to.equal('max_tokens');
  });

  it('messages between daemons: any line gives a value or a typed error', () => {
    fc.assert(
      fc.property(fc.oneof(fc.string(), fc.json()), (line) => {
        expectValueOrTypedError(() => decodePeerMessage(line));
        expectValueOrTypedError(() => decodeFirstLine(line));
        expectValueOrTypedError(() => decodeTunnelAnswer(line));
      }),
      RUNS,
    );
  });

  it('messages between daemons: the codec restores them, and a corrupted one is rejected or still well-formed', () => {
    const message: PeerMessage = {
      kind: 'ping',
      sequence: 4,
      target: 'd\n"é',
      updates: [['d', '10.0.0.1:1', 'z', 'r', 1, 'alive']],
    };
    const line = encodePeerMessage(message);
    expect(line).not.to.include('\n');
    expect(decodePeerMessage(line)).to.deep.equal(message);
    fc.assert(
      fc.property(fc.nat({ max: line.length - 1 }), fc.string({ minLength: 1, maxLength: 3 }), (at, text) => {
        expectValueOrTypedError(() =>
          decodePeerMessage(line.slice(0, at) + text + line.slice(at + text.length)),
        );
      }),
      RUNS,
    );
  });

  it('stream lines of an engine: any line becomes an event', () => {
    fc.assert(
      fc.property(fc.oneof(fc.string(), fc.json()), (line) => {
        expect(parseStreamLine(line, 'x').kind).to.be.oneOf(['broken', 'tokens', 'end', 'prefilled']);
      }),
      RUNS,
    );
  });

  it('service rows: any value gives a row or a typed error', () => {
    fc.assert(
      fc.property(fc.jsonValue(), (value) => void expectValueOrTypedError(() => parseServiceRow(value))),
      RUNS,
    );
  });

  it('service rows: the error names row, column, value and the allowed range', () => {
    const error = expectValueOrTypedError(() =>
      parseServiceRow({ name: 'a', model: 'm', weight: 2000 }),
    ) as RowInvalidError;
    expect(error.context).to.deep.equal({
      row: 'a',
      column: 'weight',
      value: 2000,
      allowed: 'a number from 0.001 to 1000',
    });
    const unknown = expectValueOrTypedError(() =>
      parseServiceRow({ name: 'a', model: 'm', wieght: 1 }),
    ) as RowInvalidError;
    expect(unknown.context.column).to.equal('wieght');
  });

  it('CSV: any text gives rows or a typed error', () => {
    fc.assert(
      fc.property(fc.string(), (text) => void expectValueOrTypedError(() => parseServicesCsv(text))),
      RUNS,
    );
    fc.assert(
      fc.property(
        fc.constantFrom(...SERVICE_COLUMNS),
        fc.string(),
        (column, text) => void expectValueOrTypedError(() => parseCell('a', column, text)),
      ),
      RUNS,
    );
  });

  it('CSV: parsing restores the formatted rows', () => {
    const row = fc.record({
      weight: fc.integer({ min: 1, max: 1000 }),
      priority: fc.integer({ min: 0, max: 9 }),
      repeatable: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(row, { maxLength: 5 }), (values) => {
        const rows: ServiceRow[] = values.map((value, index) =>
          parseServiceRow({ ...value, name: `s${index}`, model: 'm' }),
        );
        const csv = formatServicesCsv(
          rows.map((entry, index) => ({ name: entry.name, revision: index + 1, row: entry })),
        );
        expect(parseServicesCsv(csv)).to.deep.equal(
          rows.map((entry, index) => ({ row: entry, expectedRevision: index + 1 })),
        );
      }),
      { seed: SEED, numRuns: 100 },
    );
  });

  it('CSV: one invalid cell rejects the whole file', () => {
    const error = expectValueOrTypedError(() =>
      parseServicesCsv('name,model,weight\na,m,1\nb,m,heavy\n'),
    ) as RowInvalidError;
    expect(error.context).to.include({ row: 'b', column: 'weight', value: 'heavy' });
  });

  it('settings: defaults are filled in, and the error names an unknown key or the key of an invalid value', () => {
    expect(checkSettings(settings).lease.durationMs).to.equal(6000);
    const cases: [Record<string, unknown>, string][] = [
      [{ lease: { duration: 1 } }, 'lease.duration'],
      [{ zones: 'x' }, 'zones'],
      [{ callerAddress: 'localhost:80' }, 'callerAddress'],
      [{ allocation: { policy: 'clever' } }, 'allocation.policy'],
      [{ limits: { slotLeaseMs: -5 } }, 'limits.slotLeaseMs'],
    ];
    for (const [change, key] of cases) {
      const error = expectValueOrTypedError(() => checkSettings({ ...settings, ...change })) as SettingsError;
      expect(error.context.key).to.equal(key);
    }
    fc.assert(
      fc.property(fc.jsonValue(), (value) => void expectValueOrTypedError(() => checkSettings(value))),
      RUNS,
    );
  });
});

describe('rendezvous hashing', () => {
  it('moves only the keys of a lost candidate', () => {
    const candidates = Array.from({ length: 20 }, (_, index) => `daemon-${index}`);
    fc.assert(
      fc.property(fc.string(), fc.nat({ max: 19 }), (key, lost) => {
        const before = pickByRendezvous(key, candidates);
        const after = pickByRendezvous(
          key,
          candidates.filter((_, index) => index !== lost),
        );
        if (before !== candidates[lost]) expect(after).to.equal(before);
        else expect(after).to.equal(rankByRendezvous(key, candidates, 2)[1]);
      }),
      RUNS,
    );
    expect(hashText('a')).to.equal(hashText('a'));
  });
});

describe('connections between daemons', () => {
  /** Opens a connection to a transport, writes `text`, resets it, and returns the uncaught exceptions. */
  async function getUncaughtAfterReset(text: string): Promise<Error[]> {
    const probe = createServer();
    await new Promise<void>((resolve) => probe.listen(0, '127.0.0.1', resolve));
    const { port } = probe.address() as AddressInfo;
    await new Promise((resolve) => probe.close(resolve));
    const transport = new PeerTransport(
      { kind: 'hello', id: 'daemon-1.x', address: `127.0.0.1:${port}` },
      { onMessage: () => undefined, onProtocolError: () => undefined, onTraffic: () => undefined },
    );
    await transport.listen();
    const uncaught: Error[] = [];
    const previousListeners = process.listeners('uncaughtException');
    process.removeAllListeners('uncaughtException');
    process.on('uncaughtException', (error) => uncaught.push(error));
    const socket = connect(port, '127.0.0.1');
    socket.on('error', () => undefined);
    await new Promise<void>((resolve) => socket.write(text, () => resolve()));
    await new Promise((resolve) => setTimeout(resolve, 50));
    socket.resetAndDestroy();
    await new Promise((resolve) => setTimeout(resolve, 100));
    process.removeAllListeners('uncaughtException');
    for (const listener of previousListeners) process.on('uncaughtException', listener);
    transport.close();
    return uncaught;
  }

  it('a reset by the peer closes the connection and never crashes the process', async () => {
    const hello = `${encodePeerMessage({ kind: 'hello', id: 'daemon-2.x', address: '127.0.0.1:1' })}\n`;
    for (const text of ['', hello, `${hello}half a li`])
      expect(await getUncaughtAfterReset(text)).to.deep.equal([]);
  });
});
