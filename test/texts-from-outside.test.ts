/**
 * Guards against texts of servers, the store and peers on which code behind their adapter throws: an engine's answer to
 * a prefill call whose handle was cut within a character ended the daemon with all its requests.
 */
import { validateHeaderValue } from 'node:http';
import { expect } from 'chai';
import fc from 'fast-check';
import { HttpDialect } from '../platform/http-dialect.js';
import { readConfiguration, readServer } from '../platform/records.js';
import { EventSplitter } from '../src/adapters/event-splitter.js';
import type { AttemptStart } from '../src/forwarding/forward-messages.js';
import { PulleyledgeError } from '../src/errors/index.js';
import { makeLabBackend } from '../lab/forwarding-site.js';

const RUNS = { seed: 20261207, numRuns: 1000 };

/** Any text that JSON can hold: lone surrogates, control characters, empty and very long ones. */
const anyText = fc.oneof(
  fc.string({ unit: 'binary' }),
  fc.string({ unit: fc.integer({ min: 0, max: 0xffff }).map((unit) => String.fromCharCode(unit)) }),
  fc.string(),
  fc.constantFrom('', '3fa09c41\ud83d', '3fa0\u0001c41b7d5', 'a\r\nX-Other: b', 'h'.repeat(100_000)),
);
const anyNumber = fc.oneof(fc.double(), fc.integer(), fc.constantFrom(-1, 1e300, 2 ** 53, NaN, Infinity));

const dialect = new HttpDialect();

const START: AttemptStart = {
  requestId: 'r',
  attemptId: 'r/1',
  backend: makeLabBackend('b1', '10.0.0.1:80'),
  tenant: undefined,
  prefillOnly: false,
  kvSource: undefined,
  copyFrom: undefined,
  remainingMs: 1000,
  urgency: 0,
  stream: true,
  once: false,
  resumeAfter: undefined,
};

/** Checks that a request can be written with these headers. */
function checkHeaders(start: AttemptStart): void {
  const headers = dialect.createRequestHeaders([], start);
  for (let index = 0; index + 1 < headers.length; index += 2)
    validateHeaderValue(headers[index], headers[index + 1]);
}

/** The value, or undefined where it is rejected with a typed error. */
function readOrReject<Value>(read: () => Value): Value | undefined {
  try {
    return read();
  } catch (error) {
    expect(error).to.be.instanceOf(PulleyledgeError);
    return undefined;
  }
}

describe('texts from outside', () => {
  it('a handle that was cut within a character is no answer to a prefill call', () => {
    const body = Buffer.from('{"kv_handle":"3fa09c41\\ud83d"}');
    expect(dialect.parsePrefillHandle(body)).to.equal(undefined);
  });

  it('any handle that is taken can be sent in a header and in a path', () => {
    fc.assert(
      fc.property(anyText, (text) => {
        const handle = dialect.parsePrefillHandle(Buffer.from(JSON.stringify({ kv_handle: text })));
        if (handle === undefined) return;
        const kvSource = { address: '10.0.0.1:80', handle };
        expect(dialect.createFreeKvCall(kvSource).path).to.match(/^[\x21-\x7e]+$/);
        checkHeaders({ ...START, kvSource });
      }),
      RUNS,
    );
  });

  it('any event id that is taken can be sent in a header, and none that is not is passed on', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 40 }), (id) => {
        const event = Buffer.concat([Buffer.from('id: '), id, Buffer.from('\ndata: x\n\n')]);
        const batch = new EventSplitter().push(event);
        if (batch?.kind === 'events') checkHeaders({ ...START, resumeAfter: batch.lastEventId });
        else expect(batch).to.include({ kind: 'invalid' });
      }),
      RUNS,
    );
  });

  it('any server, tenant and path of a health check that is taken can be sent', () => {
    fc.assert(
      fc.property(anyText, (text) => {
        const value = JSON.stringify({
          service: 's',
          slots: 1,
          addr: '10.0.0.1:80',
          zone: 'z',
          state: 'ready',
        });
        const backend = readOrReject(() => readServer(text, value));
        if (backend) checkHeaders({ ...START, backend });
        const read = readOrReject(() =>
          readConfiguration(
            JSON.stringify({
              version: 1,
              routes: [],
              services: [{ name: 's', health_path: text }],
              tenants: [{ name: text }],
            }),
          ),
        );
        if (!read) return;
        checkHeaders({ ...START, tenant: read.tenants?.[0].name });
        expect(read.services[0].healthPath).to.match(/^\/[\x21-\x7e]*$/);
      }),
      RUNS,
    );
  });

  it('a tenant whose name is no Latin text is sent as UTF-8', () => {
    const headers = dialect.createRequestHeaders([], { ...START, tenant: 'Čakovec' });
    const sent = headers[headers.indexOf('X-Tenant') + 1];
    expect(Buffer.from(sent, 'latin1').toString('utf8')).to.equal('Čakovec');
  });

  it('any numbers in an engine’s answers give a value that the next call can carry, or none', () => {
    fc.assert(
      fc.property(anyNumber, anyNumber, anyText, (next, seq, epoch) => {
        const changes = dialect.parseKvChanges(200, JSON.stringify({ epoch, next_token: next, events: [] }));
        if (changes) expect(dialect.createKvChangesCall(makeCall(changes.next)).path).to.match(/since=\d+$/);
        const status = dialect.parseEngineStatus(200, JSON.stringify({ seq }));
        if (status) expect(Number.isSafeInteger(status.orders)).to.equal(true);
      }),
      RUNS,
    );
  });
});

function makeCall(since: number): Parameters<HttpDialect['createKvChangesCall']>[0] {
  return { backend: START.backend, since, waitMs: 100 };
}
