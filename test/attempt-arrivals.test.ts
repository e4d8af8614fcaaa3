/**
 * Compares the arrivals at back ends with what the daemon charges to its retry budget. A repeated arrival that is not
 * charged would let the fleet exceed the budget without any daemon noticing.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { makeLabBackend, makeLabRoute } from '../lab/forwarding-site.js';
import { ScriptedBackend } from '../lab/scripted-backend.js';
import { HttpDialect } from '../platform/http-dialect.js';
import { BackendClient } from '../src/adapters/backend-client.js';
import type { AttemptStart, ForwardAttemptEvent } from '../src/forwarding/forward-messages.js';
import type { Route } from '../src/forwarding/routes/route.js';
import { SeededRandom } from '../src/shared/random.js';
import { NO_STREAM } from '../lab/no-stream.js';
import { ENGINES, ForwardingHarness, PLAIN, makePrompt } from './forwarding-harness.js';

const SEED = 20261204;
const AMPLE_BUDGET = 1_000_000;
const ATTEMPTS = 600;
const IDLE_MS = 5;

/** Outcomes of an attempt, as the daemon receives them, and whether the request arrived at the back end. */
const OUTCOMES: readonly { readonly event: ForwardAttemptEvent; readonly arrives: boolean }[] = [
  { event: { kind: 'unreachable', reason: 'refused' }, arrives: false },
  { event: { kind: 'notExecuted', status: 503, wrongIncarnation: false }, arrives: true },
  { event: { kind: 'notExecuted', status: 421, wrongIncarnation: true }, arrives: true },
  { event: { kind: 'broken', reason: 'reset' }, arrives: true },
  { event: { kind: 'whole', status: 500 }, arrives: true },
];
const PREFILLED: ForwardAttemptEvent = { kind: 'prefilled', handle: 'h' };

/** Counts repeated arrivals. The first prefill that a back end accepts is not an arrival. */
class ArrivalCount {
  private arrivals = 0;
  private prefillAccepted = false;

  add(start: AttemptStart, event: ForwardAttemptEvent, arrives: boolean): void {
    if (!arrives) return;
    const isFree = start.prefillOnly && event.kind !== 'notExecuted' && !this.prefillAccepted;
    if (start.prefillOnly && event.kind !== 'notExecuted') this.prefillAccepted = true;
    if (!isFree) this.arrivals += 1;
  }

  getRepeatedArrivals(): number {
    return Math.max(0, this.arrivals - 1);
  }
}

function makeSite(route: Partial<Route>, engines: boolean): ForwardingHarness {
  const backends = engines ? ENGINES : PLAIN;
  return new ForwardingHarness([makeLabRoute({ timeoutMs: 60_000, ...route })], backends, AMPLE_BUDGET);
}

/** Runs one request to its end and returns the number of repeated arrivals at back ends. */
function runRequest(site: ForwardingHarness, draws: readonly number[], engines: boolean): number {
  const fields = engines ? { prompt: makePrompt(2000, 8000) } : {};
  site.begin({ callerDeadlineMs: 60_000, ...fields });
  const count = new ArrivalCount();
  let handled = 0;
  for (let step = 0; site.getStarts().length > handled; step += 1) {
    handled = site.getStarts().length;
    const start = site.getStarts()[handled - 1];
    const drawn = draws[step % draws.length];
    const outcome = OUTCOMES[drawn % OUTCOMES.length];
    const event = start.prefillOnly && drawn % 2 === 0 ? PREFILLED : outcome.event;
    count.add(start, event, event === PREFILLED || outcome.arrives);
    site.event(event, 10 * (step + 1));
  }
  return count.getRepeatedArrivals();
}

describe('arrivals at back ends', () => {
  it('are all charged to the retry budget beyond the first of a request, whatever the outcome of the attempts', () => {
    const cases = fc.record({
      draws: fc.array(fc.nat(29), { minLength: 8, maxLength: 8 }),
      engines: fc.boolean(),
      kind: fc.constantFrom('idempotent' as const, 'nonIdempotent' as const, 'stream' as const),
      maximumAttempts: fc.integer({ min: 1, max: 4 }),
      resumable: fc.boolean(),
    });
    fc.assert(
      fc.property(cases, ({ draws, engines, ...route }) => {
        const site = makeSite(route, engines);
        const repeated = runRequest(site, draws, engines);
        const charged = site.retries.takeUsage(1, 1000).reduce((sum, { taken }) => sum + taken, 0);
        expect(charged).to.be.at.least(repeated);
      }),
      { seed: SEED, numRuns: 2000 },
    );
  });

  it('occur at most once per attempt, however the back end closes its connections', async () => {
    const random = new SeededRandom(SEED);
    const backend = new ScriptedBackend((_request, socket) => {
      const drawn = random.next();
      const answer = (extra: string) =>
        socket.write(`HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nContent-Length: 2\r\n${extra}\r\nok`);
      if (drawn < 0.15) socket.resetAndDestroy();
      else if (drawn < 0.3) socket.end();
      else if (drawn < 0.4) socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok');
      else if (drawn < 0.55) answer('Connection: close\r\n');
      else if (drawn < 0.7) {
        answer('');
        setTimeout(() => socket.resetAndDestroy(), IDLE_MS * random.next());
      } else answer('Keep-Alive: timeout=1\r\n');
    });
    const address = await backend.listen();
    const settings = {
      connectTimeoutMs: 500,
      connectionsPerBackend: 8,
      callTimeoutMs: 1000,
      silentConnectionMs: 1000,
    };
    const client = new BackendClient(new HttpDialect(), settings);
    const open: Promise<void>[] = [];
    for (let i = 0; i < ATTEMPTS; i += 1) {
      open.push(send(client, `a${i}`, address, random.next() < 0.3));
      if (i % 8 === 0) await new Promise((resolve) => setTimeout(resolve, IDLE_MS * random.next()));
    }
    await Promise.all(open);
    await client.close();
    backend.close();
    const paths = backend.received.map(({ head }) => head.split(' ')[1]);
    expect(paths.length).to.be.greaterThan(ATTEMPTS / 2);
    expect(paths.length).to.equal(new Set(paths).size);
  });
});

/** Sends one attempt and waits until it has ended. */
function send(client: BackendClient, attemptId: string, address: string, once: boolean): Promise<void> {
  const head = {
    callerId: attemptId,
    deadlineMs: undefined,
    prompt: undefined,
    keyDigest: undefined,
    resumption: undefined,
  };
  const request = { method: 'GET', path: `/${attemptId}`, headers: [], head, body: Buffer.alloc(0) };
  const start: AttemptStart = {
    requestId: attemptId,
    attemptId,
    backend: makeLabBackend('b1', address),
    tenant: undefined,
    prefillOnly: false,
    kvSource: undefined,
    copyFrom: undefined,
    remainingMs: 5000,
    urgency: 0,
    stream: false,
    once,
    resumeAfter: undefined,
  };
  return new Promise((resolve) =>
    client.start(start, request, NO_STREAM, (event) => {
      if (event.kind !== 'connectionSilent') resolve();
    }),
  );
}
