/**
 * Tests of the soak itself: its checker finds the violations in prepared records, the same seed gives the
 * same plan, and its proxy injects the faults that it is set to.
 */
import { createServer, connect, type AddressInfo } from 'node:net';
import { once } from 'node:events';
import { expect } from 'chai';
import { FaultProxy } from '../lab/soak/fault-proxy.js';
import type { CallerRecord } from '../lab/soak/caller-record.js';
import { CRASHING_BODY } from '../lab/soak/crash-check.js';
import { makePlan, makeSeriesPlan } from '../lab/soak/fault-plan.js';
import { formatBody, SoakRecord, type ExecutionRecord } from '../lab/soak/soak-record.js';
import { formatEvent } from '../lab/soak/stream-events.js';
import type { ArrivalRecord } from '../lab/soak/retry-check.js';
import { SOAK_TENANTS } from '../lab/soak/soak-routes.js';
import { SeededRandom } from '../src/shared/random.js';
import { Snapshot } from './snapshot.js';

const CRASH_LIMIT_PROMISE = 'a request that ended three back ends is kept away from others';
const KEY = SOAK_TENANTS[0].keys[0];
const BOUNDS = {
  configMs: 2000,
  drainMs: 2000,
  contactMs: 3000,
  leaseMs: 3000,
  marginMs: 500,
  retries: { ratio: 0.2, slack: 3, windowMs: 10_000 },
};

/** An empty record with one route, to which tests add requests and executions. */
function makeRecord(): SoakRecord {
  const record = new SoakRecord(BOUNDS);
  record.routes.push({ route: 'receipt', service: 'application', at: 0 });
  return record;
}

function addRequest(record: SoakRecord, fields: Partial<CallerRecord>): void {
  const id = fields.id ?? 'q1';
  record.requests.set(id, {
    id,
    daemon: 'daemon-1',
    route: 'receipt',
    form: 'idempotent',
    sentAt: 10_000,
    timeoutMs: 1500,
    endedAt: 10_100,
    status: 200,
    signature: 'b1',
    body: formatBody(id),
    complete: true,
    ...fields,
  });
}

function addExecution(record: SoakRecord, fields: Partial<ExecutionRecord> = {}): void {
  record.executions.push({
    requestId: 'q1',
    backend: 'b1',
    service: 'application',
    at: 10_050,
    promptOnly: false,
    ...fields,
  });
}

const EVENTS = [1, 2, 3].map((number) => formatEvent('q1', number, 3));

const VIOLATION_CASES: readonly [string, (record: SoakRecord) => void][] = [
  ['nothing wrong', (record) => (addRequest(record, {}), addExecution(record))],
  [
    'a stream as it should be',
    (record) => (addRequest(record, { form: 'streaming', body: EVENTS.join('') }), addExecution(record)),
  ],
  [
    'a request that runs once runs twice',
    (record) => (
      addRequest(record, { form: 'non_idempotent' }),
      addExecution(record),
      addExecution(record, { backend: 'b2' })
    ),
  ],
  [
    'refused as not run, but it ran',
    (record) => (
      addRequest(record, { form: 'non_idempotent', status: 503, signature: undefined }),
      addExecution(record)
    ),
  ],
  [
    'the body of another answer',
    (record) => (addRequest(record, { body: formatBody('q2') }), addExecution(record)),
  ],
  [
    'signed by a back end that did not run it',
    (record) => (addRequest(record, { signature: 'b9' }), addExecution(record)),
  ],
  [
    'a stream lacks its second event',
    (record) => (
      addRequest(record, { form: 'streaming', body: EVENTS[0] + EVENTS[2] }),
      addExecution(record)
    ),
  ],
  [
    'a stream ends as complete too soon',
    (record) => (
      addRequest(record, { form: 'streaming', body: EVENTS[0] + EVENTS[1] }),
      addExecution(record)
    ),
  ],
  [
    'a stream that was cut inside an event and says so',
    (record) => (
      addRequest(record, { form: 'streaming', body: `${EVENTS[0]}id: 2`, complete: false }),
      addExecution(record)
    ),
  ],
  [
    'a tenant gets more than its quota in one window',
    (record) => {
      for (let i = 0; i < 8; i += 1) {
        const id = `q${i}`;
        const at = 10_050 + i * 1000;
        const fields = { id, sentAt: at - 50, endedAt: at + 50, body: formatBody(id) };
        addRequest(record, { ...fields, key: SOAK_TENANTS[2].keys[0], needsKey: true });
        addExecution(record, { requestId: id, at, tenant: SOAK_TENANTS[2].name, tokens: 11_060 });
      }
    },
  ],
  ['a request that nobody sent', (record) => addExecution(record)],
  ['no answer at the time-out', (record) => addRequest(record, { status: undefined, endedAt: 12_500 })],
  [
    'no answer at the time-out of a daemon that was paused',
    (record) => {
      addRequest(record, { status: undefined, endedAt: 12_500 });
      record.disturbances.push({ target: 'daemon-1', kind: 'pause', from: 9000, until: 11_000 });
    },
  ],
  [
    'cut by a planned stop',
    (record) => {
      addRequest(record, { status: undefined, endedAt: 10_200 });
      record.disturbances.push({ target: 'daemon-1', kind: 'restart daemon-1', from: 10_050, until: 13_000 });
    },
  ],
  [
    'cut by a planned stop while back ends were harmed',
    (record) => {
      addRequest(record, { status: undefined, endedAt: 10_200 });
      record.disturbances.push({ target: 'daemon-1', kind: 'restart daemon-1', from: 10_050, until: 13_000 });
      record.disturbances.push({
        target: 'backends',
        kind: 'crash of back end 1',
        from: 9000,
        until: 11_000,
      });
    },
  ],
  [
    'run by the old service long after the change',
    (record) => {
      record.routes.push({ route: 'receipt', service: 'application-2', at: 5000 });
      addRequest(record, {});
      addExecution(record);
    },
  ],
  [
    'run by the old service just after the change',
    (record) => {
      record.routes.push({ route: 'receipt', service: 'application-2', at: 9000 });
      addRequest(record, {});
      addExecution(record);
    },
  ],
  [
    'new work for a back end that is leaving',
    (record) => {
      record.drainStarts.set('b1', 5000);
      addRequest(record, {});
      addExecution(record);
    },
  ],
  [
    'two holders with one fence',
    (record) =>
      record.orders.push(
        { backend: 'b1', holder: 'd1', fence: 3, at: 0 },
        { backend: 'b1', holder: 'd2', fence: 3, at: 9000 },
      ),
  ],
  [
    'holders that take turns',
    (record) =>
      record.orders.push(
        { backend: 'b1', holder: 'd1', fence: 3, at: 0 },
        { backend: 'b1', holder: 'd2', fence: 4, at: 500 },
        { backend: 'b1', holder: 'd1', fence: 5, at: 900 },
      ),
  ],
  [
    'run in the name of the tenant of its key',
    (record) => (addRequest(record, { key: KEY, needsKey: true }), addExecution(record, { tenant: 'anna' })),
  ],
  [
    'run in the name of somebody else',
    (record) => (addRequest(record, { key: KEY, needsKey: true }), addExecution(record, { tenant: 'bert' })),
  ],
  [
    'run with a key that nobody knows',
    (record) => (addRequest(record, { key: 'unknown', needsKey: true }), addExecution(record)),
  ],
  [
    'run long after its key was taken away',
    (record) => {
      record.keys.push({ key: KEY, valid: false, at: 5000 });
      addRequest(record, { key: KEY, needsKey: true });
      addExecution(record, { tenant: 'anna' });
    },
  ],
  [
    'run just after its key was taken away',
    (record) => {
      record.keys.push({ key: KEY, valid: false, at: 9000 });
      addRequest(record, { key: KEY, needsKey: true });
      addExecution(record, { tenant: 'anna' });
    },
  ],
  [
    'denied although its key was valid all the time',
    (record) => addRequest(record, { key: KEY, needsKey: true, status: 401, signature: undefined }),
  ],
  [
    'denied while its key was being given back',
    (record) => {
      record.keys.push({ key: KEY, valid: false, at: 5000 }, { key: KEY, valid: true, at: 9000 });
      addRequest(record, { key: KEY, needsKey: true, status: 401, signature: undefined });
    },
  ],
];

/** Adds an arrival at a back end for each of these request ids. */
function addArrivals(record: SoakRecord, ids: readonly string[], fields: Partial<ArrivalRecord> = {}): void {
  for (const requestId of ids)
    record.arrivals.push({
      requestId,
      service: 'application',
      at: 10_050,
      promptOnly: false,
      rejected: false,
      ...fields,
    });
}

const RETRY_CASES: readonly [string, (record: SoakRecord) => void][] = [
  ['as many repeats as the budget allows', (record) => addArrivals(record, ['a', 'a', 'a', 'a'])],
  [
    'one repeat more, rejected ones included',
    (record) => addArrivals(record, ['a', 'a', 'a', 'a', 'a'], { rejected: true }),
  ],
  [
    'one repeat more, but over a longer time',
    (record) => (addArrivals(record, ['a', 'a', 'a', 'a']), addArrivals(record, ['a'], { at: 30_000 })),
  ],
  [
    'one repeat more, but with requests that earn it',
    (record) => {
      for (const id of ['a', 'b', 'c', 'd', 'e'])
        addRequest(record, { id, status: undefined, endedAt: 10_000 });
      addArrivals(record, ['a', 'a', 'a', 'a', 'a']);
    },
  ],
  [
    'prompts computed apart once, each before its run',
    (record) => {
      for (const id of ['a', 'b', 'c', 'd']) {
        addArrivals(record, [id], { promptOnly: true });
        addArrivals(record, [id]);
      }
    },
  ],
  [
    'prompts computed apart twice, each before its run',
    (record) => {
      for (const id of ['a', 'b', 'c', 'd']) {
        addArrivals(record, [id, id], { promptOnly: true });
        addArrivals(record, [id]);
      }
    },
  ],
];

describe('fault soak', () => {
  it('the checker counts retries at the back ends', () => {
    const snapshot = new Snapshot('fault-soak-retries');
    for (const [name, fillRecord] of RETRY_CASES) {
      const record = makeRecord();
      fillRecord(record);
      const found = record.check().map(({ promise, text }) => `${promise}: ${text}`);
      snapshot.add(`${name}\n  ${found.join('\n  ') || '-'}`);
    }
    snapshot.check();
  });

  it('a seed always gives the same series of restarts', () => {
    const snapshot = new Snapshot('fault-soak-series');
    const random = new SeededRandom(7);
    const plan = makeSeriesPlan(
      ['d1', 'd2', 'd3'],
      [
        [0, 1],
        [2, 3],
      ],
      8000,
      () => random.next(),
    );
    for (const { atMs, fault } of plan)
      snapshot.add(`${atMs} ms: ${fault.getName()}, ${fault.durationMs} ms`);
    snapshot.check();
  });

  it('the checker finds the violation in each record and nothing else', () => {
    const snapshot = new Snapshot('fault-soak-checker');
    for (const [name, fillRecord] of VIOLATION_CASES) {
      const record = makeRecord();
      fillRecord(record);
      const found = record.check().map(({ promise, text }) => `${promise}: ${text}`);
      snapshot.add(`${name}\n  ${found.join('\n  ') || '-'}`);
    }
    snapshot.check();
  });

  it('the checker counts crashes and late retries of requests that crash back ends', () => {
    const body = `${CRASHING_BODY}, receipt`;
    const record = makeRecord();
    [1000, 2000, 3000].forEach((at) => record.crashes.push({ body, at }));
    const arriveAt = (id: string, at: number, daemon: string) => {
      addRequest(record, { id, daemon, status: 503, sentAt: at - 5, crashingBody: body });
      record.arrivals.push({ requestId: id, service: 'application', at, promptOnly: false, rejected: true });
    };
    // Arrivals count as late after 6,500 ms: third crash at 3,000, contact time 3,000 and margin 500.
    [4000, 6400, 7000, 7100, 7200].forEach((at, i) => arriveAt(`c${i}`, at, 'daemon-1'));
    record.disturbances.push({ target: 'daemon-2', kind: 'kill', from: 6000, until: 7000 });
    arriveAt('d1', 8000, 'daemon-2');
    expect(record.findCrashOutcomes()).to.deep.equal([{ body, ends: 3, lateRetries: 3 }]);
    expect(record.check().map(({ promise }) => promise)).not.to.include(CRASH_LIMIT_PROMISE);
    arriveAt('d2', 10_600, 'daemon-2');
    expect(record.findCrashOutcomes()[0].lateRetries).to.equal(4);
    expect(record.check().map(({ promise }) => promise)).to.include(CRASH_LIMIT_PROMISE);
  });

  it('a seed always gives the same plan', () => {
    const snapshot = new Snapshot('fault-soak-plan');
    const random = new SeededRandom(7);
    const plan = makePlan({ daemons: ['d1', 'd2', 'd3'], backendCount: 10 }, 20_000, () => random.next());
    for (const { atMs, fault } of plan)
      snapshot.add(`${atMs} ms: ${fault.getName()}, ${fault.durationMs} ms`);
    snapshot.check();
  });

  it('the proxy forwards bytes, drops those of a cut direction and resets connections', async () => {
    const echo = createServer(
      (socket) => void socket.on('data', (bytes) => socket.write(bytes)).on('error', () => undefined),
    );
    echo.listen(0, '127.0.0.1');
    await once(echo, 'listening');
    const proxy = new FaultProxy(() => `127.0.0.1:${(echo.address() as AddressInfo).port}`);
    const [host, port] = (await proxy.start()).split(':');
    const caller = connect({ host, port: Number(port) });
    const received: string[] = [];
    caller.on('data', (bytes) => received.push(bytes.toString()));
    caller.write('one');
    await once(caller, 'data');
    proxy.setState('cutBack');
    caller.write('two');
    await new Promise((resolve) => setTimeout(resolve, 300));
    proxy.setState('open');
    caller.write('three');
    await once(caller, 'data');
    expect(received).to.deep.equal(['one', 'three']);
    proxy.resetAll();
    const [error] = (await once(caller, 'error')) as [NodeJS.ErrnoException];
    expect(error.code).to.equal('ECONNRESET');
    proxy.close();
    echo.close();
  });
});
