/**
 * Checks what servers still execute for a caller that has disconnected, for every stage of a request and every way to
 * disconnect, on real sockets. A server works on a request until it has answered or its connection is closed.
 */
import { connect, type Socket } from 'node:net';
import { expect } from 'chai';
import fc from 'fast-check';
import {
  makeLabBackend,
  makeLabRoute,
  startForwardingSite,
  type ForwardingSite,
} from '../lab/forwarding-site.js';
import { findHeader, ScriptedBackend, type ReceivedRequest } from '../lab/scripted-backend.js';
import { HttpDialect } from '../platform/http-dialect.js';
import { NO_STREAM } from '../lab/no-stream.js';
import { BackendClient } from '../src/adapters/backend-client.js';
import type { AttemptStart } from '../src/forwarding/forward-messages.js';
import type { EngineStage, Route } from '../src/forwarding/routes/route.js';

/** The platform allows a server to execute a request for this time after its caller has disconnected. Milliseconds. */
const ALLOWED_MS = 500;
/** Time after a disconnection from which no further requests may arrive at servers. Milliseconds. */
const QUIET_MS = 200;
const SIGNED = 'X-Server-Signature: s1\r\n';

/** What a server does with one request. */
type Behaviour = 'hold' | 'answer' | 'reset' | 'prefill' | 'stream';

/** A server that records its arrivals and the requests that it has neither answered nor lost with their connection. */
class RecordingServer {
  readonly openRequests = new Map<string, Socket>();
  /**
   * Exported handles, with the connections on which they were sent. If the connection is closed, the answer was not
   * read and the handle expires by itself. A daemon that has read it leaves the connection open and must free it.
   */
  readonly handles = new Map<string, Socket>();
  readonly freed = new Set<string>();
  readonly arrivals: { callerId: string; at: number }[] = [];
  private readonly watched = new WeakSet<Socket>();
  private readonly backend = new ScriptedBackend((request, socket) => this.serve(request, socket));
  address = '';

  constructor(
    readonly id: string,
    readonly stage: EngineStage | undefined,
    private readonly pickBehaviour: (callerId: string, request: ReceivedRequest) => Behaviour,
    private readonly prefillMs = 0,
  ) {}

  async listen(): Promise<void> {
    this.address = await this.backend.listen();
  }

  close(): void {
    this.backend.close();
  }

  private serve(request: ReceivedRequest, socket: Socket): void {
    const { head } = request;
    const callerId = findHeader(head, 'x-attempt-id');
    if (callerId === undefined) {
      this.serveInternalCall(head, socket);
      return;
    }
    this.arrivals.push({ callerId, at: performance.now() });
    this.openRequests.set(callerId, socket);
    this.watch(socket);
    this.runBehaviour(this.pickBehaviour(callerId, request), callerId, head, socket);
  }

  /** Removes a connection's open requests when it is closed. */
  private watch(socket: Socket): void {
    if (this.watched.has(socket)) return;
    this.watched.add(socket);
    socket.once('close', () => {
      for (const [callerId, used] of this.openRequests)
        if (used === socket) this.openRequests.delete(callerId);
    });
  }

  private runBehaviour(behaviour: Behaviour, callerId: string, head: string, socket: Socket): void {
    const headers = `X-Attempt-Id: ${callerId}\r\n${SIGNED}`;
    const source = findHeader(head, 'x-kv-source');
    switch (behaviour) {
      case 'hold':
        break;
      case 'reset':
        socket.resetAndDestroy();
        break;
      case 'answer':
        this.openRequests.delete(callerId);
        socket.write(`HTTP/1.1 200 OK\r\n${headers}Content-Length: 2\r\n\r\nok`);
        break;
      case 'prefill':
        setTimeout(() => this.exportHandle(callerId, headers, socket), this.prefillMs);
        break;
      case 'stream':
        if (source !== undefined) fetched.add(source);
        socket.write(`HTTP/1.1 200 OK\r\n${headers}Transfer-Encoding: chunked\r\n\r\n`);
        this.streamForever(socket, 1);
    }
  }

  private exportHandle(callerId: string, headers: string, socket: Socket): void {
    if (socket.destroyed) return;
    const body = JSON.stringify({ kv_handle: `h-${callerId}` });
    this.handles.set(`h-${callerId}`, socket);
    this.openRequests.delete(callerId);
    socket.write(`HTTP/1.1 200 OK\r\n${headers}Content-Length: ${body.length}\r\n\r\n${body}`);
  }

  private streamForever(socket: Socket, event: number): void {
    if (socket.destroyed) return;
    const text = `id: ${event}\ndata: aa\n\n`;
    socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
    setTimeout(() => this.streamForever(socket, event + 1), 5);
  }

  private serveInternalCall(head: string, socket: Socket): void {
    const freed = /^DELETE \/v1\/kv-handle\/(\S+)/.exec(head);
    if (freed) this.freed.add(freed[1]);
    const status = head.startsWith('GET /healthz') ? '200 OK' : '404 Not Found';
    socket.write(`HTTP/1.1 ${status}\r\nX-Instance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`);
  }
}

/** Handles that an engine has fetched, as `address/handle`. */
const fetched = new Set<string>();

/** Time between a caller's last read and its disconnection, for callers that stop reading first. Milliseconds. */
const UNREAD_MS = 30;

/** The ways in which a caller disconnects; each resolves when it has disconnected. */
const DISCONNECTS: Readonly<Record<string, (socket: Socket) => Promise<unknown>>> = {
  closes: async (socket) => socket.destroy(),
  'ends and reads on': async (socket) => socket.end(),
  resets: async (socket) => socket.resetAndDestroy(),
  'stops reading, then closes': async (socket) => {
    socket.pause();
    await delay(UNREAD_MS);
    socket.destroy();
  },
  'stops reading, then ends': async (socket) => {
    socket.pause();
    await delay(UNREAD_MS);
    socket.end();
  },
};

/** A stage of a request, and the servers with which it is reached. */
interface Stage {
  readonly name: string;
  readonly route?: Partial<Route>;
  readonly servers: () => RecordingServer[];
  /** Creates the text that the caller writes. */
  readonly write: (callerId: string) => string;
  /** Number of arrivals at servers for one caller once the stage is reached. */
  readonly arrivals: number;
  /** Whether servers may continue to work on the request. */
  readonly mayContinue?: boolean;
}

const STREAM: Partial<Route> = { kind: 'stream', resumable: true, timeoutMs: 10_000 };
const PROMPT = 'X-Model: m\r\nX-Token-Usage: 16000,10\r\nX-Prefix-Hash: p:3000,q:13000\r\n';

function formatGet(callerId: string, headers = ''): string {
  return `GET /a/x HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: ${callerId}\r\nX-Deadline-Ms: 9000\r\n${headers}\r\n`;
}

function formatPost(callerId: string): string {
  return `POST /a/x HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: ${callerId}\r\nX-Deadline-Ms: 2000\r\nContent-Length: 3\r\n\r\n`;
}

/** Servers of which the first that a caller's request reaches resets the connection and the second behaves as given. */
function makeResetting(second: Behaviour): () => RecordingServer[] {
  return () => {
    const seen = new Set<string>();
    const behave = (callerId: string): Behaviour => {
      if (seen.has(callerId)) return second;
      seen.add(callerId);
      return 'reset';
    };
    return [new RecordingServer('s1', undefined, behave), new RecordingServer('s2', undefined, behave)];
  };
}

function makeEngines(decode: Behaviour, prefillMs = 0): () => RecordingServer[] {
  return () => [
    new RecordingServer('p1', 'prefill', () => 'prefill', prefillMs),
    new RecordingServer('d1', 'decode', () => decode),
  ];
}

const makePlain = (behaviour: Behaviour) => () => [new RecordingServer('s1', undefined, () => behaviour)];

const STAGES: readonly Stage[] = [
  {
    name: 'unfinished body',
    servers: makePlain('hold'),
    write: (id) => `${formatPost(id)}p`,
    arrivals: 0,
  },
  { name: 'request at a server', servers: makePlain('hold'), write: formatGet, arrivals: 1 },
  { name: 'stream', route: STREAM, servers: makePlain('stream'), write: formatGet, arrivals: 1 },
  {
    name: 'prefill',
    route: STREAM,
    servers: makeEngines('hold', 3000),
    write: (id) => formatGet(id, PROMPT),
    arrivals: 1,
  },
  {
    name: 'KV hand-over',
    route: STREAM,
    servers: makeEngines('hold'),
    write: (id) => formatGet(id, PROMPT),
    arrivals: 2,
  },
  {
    name: 'generation',
    route: STREAM,
    servers: makeEngines('stream'),
    write: (id) => formatGet(id, PROMPT),
    arrivals: 2,
  },
  { name: 'second attempt', servers: makeResetting('hold'), write: formatGet, arrivals: 2 },
  {
    name: 'stream resumed',
    route: STREAM,
    servers: makeResetting('stream'),
    write: formatGet,
    arrivals: 2,
  },
  {
    name: 'pipelined behind an answer',
    servers: () => [new RecordingServer('s1', undefined, (id) => (id.endsWith('#1') ? 'answer' : 'hold'))],
    write: (id) => formatGet(`${id}#1`) + formatGet(`${id}#2`),
    arrivals: 2,
  },
  {
    name: 'pipelined behind an unanswered request',
    servers: makePlain('hold'),
    write: (id) => formatGet(`${id}#1`) + formatGet(`${id}#2`) + formatGet(`${id}#3`),
    arrivals: 3,
  },
  {
    name: 'pipelined behind a stream',
    route: STREAM,
    servers: makePlain('stream'),
    write: (id) => formatGet(`${id}#1`) + formatGet(`${id}#2`),
    arrivals: 2,
  },
  {
    name: 'non-idempotent request at a server',
    route: { kind: 'nonIdempotent', timeoutMs: 2000 },
    servers: makePlain('hold'),
    write: (id) => `${formatPost(id)}pay`,
    arrivals: 1,
    mayContinue: true,
  },
];

describe('callers that have disconnected', () => {
  let site: ForwardingSite;
  let servers: RecordingServer[];

  async function start(stage: Pick<Stage, 'servers' | 'route'>): Promise<void> {
    servers = stage.servers();
    await Promise.all(servers.map((server) => server.listen()));
    const records = servers.map(({ id, address, stage: engineStage }) => ({
      ...makeLabBackend(id, address),
      slots: 64,
      stage: engineStage,
    }));
    site = await startForwardingSite([makeLabRoute({ maximumAttempts: 4, ...stage.route })], records);
  }

  afterEach(async () => {
    await site.daemon.close();
    for (const server of servers) server.close();
  });

  const isFrom = (id: string, caller: string): boolean => id === caller || id.startsWith(`${caller}#`);

  function getArrivals(caller: string): number {
    return servers.flatMap(({ arrivals }) => arrivals).filter(({ callerId }) => isFrom(callerId, caller))
      .length;
  }

  /** Rules that are violated for a caller that has disconnected. */
  function findViolations(caller: string, leftAt: number, mayContinue = false): string[] {
    const faults: string[] = [];
    for (const { id, address, openRequests, handles, freed, arrivals } of servers) {
      const open = [...openRequests.keys()].filter((callerId) => isFrom(callerId, caller));
      if (open.length > 0 && !mayContinue) faults.push(`${id} still executes ${open.join(' and ')}`);
      for (const [handle, connection] of handles) {
        const isReleased = connection.destroyed || freed.has(handle) || fetched.has(`${address}/${handle}`);
        if (isFrom(handle.slice(2), caller) && !isReleased) faults.push(`${handle} not freed`);
      }
      const late = arrivals.filter(({ callerId, at }) => isFrom(callerId, caller) && at > leftAt + QUIET_MS);
      if (late.length > 0) faults.push(`${id} got a request after the disconnection`);
    }
    return faults;
  }

  async function sendText(text: string): Promise<Socket> {
    const [host, port] = site.callers.split(':');
    const socket = connect({ host, port: Number(port), allowHalfOpen: true });
    socket.on('error', () => undefined);
    socket.resume();
    await new Promise<void>((resolve) => socket.once('connect', resolve));
    socket.write(text);
    return socket;
  }

  for (const stage of STAGES) {
    it(`${stage.name}: half a second later, work that may be stopped has ended, handles are freed and nothing more is sent`, async () => {
      await start(stage);
      const faults: Record<string, string[]> = {};
      await Promise.all(
        Object.entries(DISCONNECTS).map(async ([way, disconnect], index) => {
          const caller = `c${index}`;
          const socket = await sendText(stage.write(caller));
          await waitUntil(() => getArrivals(caller) >= stage.arrivals);
          await delay(50);
          await disconnect(socket);
          const leftAt = performance.now();
          await delay(ALLOWED_MS + 30);
          const found = findViolations(caller, leftAt, stage.mayContinue);
          if (found.length > 0) faults[way] = found;
          socket.destroy();
        }),
      );
      expect(faults).to.deep.equal({});
    });
  }

  it('a request that was not read before its caller disconnected is not sent', async () => {
    await start({ servers: makePlain('answer') });
    const warm = await sendText(formatGet('warm'));
    await waitUntil(() => getArrivals('warm') === 1);
    await delay(50);
    for (let count = 0; count < 20; count += 1) {
      const socket = await sendText('');
      await delay(20);
      socket.write(formatGet(`gone${count}`));
      socket.destroy();
    }
    await delay(QUIET_MS);
    warm.destroy();
    expect(servers[0].arrivals.map(({ callerId }) => callerId)).to.deep.equal(['warm']);
  });

  it('a request that may not be retried and has reached a server is executed until its timeout, and is sent nowhere else', async () => {
    const order = new RecordingServer('s1', undefined, () => 'hold');
    await start({ servers: () => [order], route: { kind: 'nonIdempotent', timeoutMs: 1200 } });
    const socket = await sendText(`${formatPost('order')}pay`);
    await waitUntil(() => getArrivals('order') === 1);
    socket.destroy();
    await delay(ALLOWED_MS);
    expect([...order.openRequests.keys()]).to.deep.equal(['order']);
    await delay(1200);
    expect([...order.openRequests.keys()]).to.deep.equal([]);
    expect(order.arrivals).to.have.length(1);
  });

  it('whenever the caller of a long prompt disconnects, no work continues and no handle is kept', async () => {
    await start({
      route: STREAM,
      servers: () => [
        new RecordingServer('p1', 'prefill', () => 'prefill', 8),
        new RecordingServer('d1', 'decode', () => 'stream'),
      ],
    });
    const warm = await sendText(formatGet('warm', PROMPT));
    await waitUntil(() => getArrivals('warm') === 2);
    warm.destroy();
    const moments = fc.array(
      fc.record({ way: fc.constantFrom(...Object.keys(DISCONNECTS)), afterMs: fc.nat(40) }),
      {
        minLength: 60,
        maxLength: 60,
      },
    );
    const [leaves] = fc.sample(moments, { numRuns: 1, seed: 20261202 });
    const results = leaves.map(async ({ way, afterMs }, index) => {
      const caller = `m${index}`;
      await delay(index * 5);
      const socket = await sendText(formatGet(caller, PROMPT));
      await delay(afterMs);
      await DISCONNECTS[way](socket);
      const leftAt = performance.now();
      await delay(ALLOWED_MS + 30);
      socket.destroy();
      return findViolations(caller, leftAt).map((fault) => `${way} after ${afterMs} ms: ${fault}`);
    });
    expect((await Promise.all(results)).flat()).to.deep.equal([]);
  });
});

/** Defaults of an attempt. */
const ATTEMPT: Omit<AttemptStart, 'requestId' | 'attemptId' | 'backend'> = {
  tenant: undefined,
  prefillOnly: false,
  kvSource: undefined,
  copyFrom: undefined,
  remainingMs: 1000,
  urgency: 0,
  stream: false,
  once: true,
  resumeAfter: undefined,
};
describe('connections to servers when callers disconnect', () => {
  it('a request that waits for a connection when its caller disconnects is not sent', async () => {
    const order = new RecordingServer('s1', undefined, () => 'answer');
    await order.listen();
    const dialect = new HttpDialect();
    const client = new BackendClient(dialect, {
      connectTimeoutMs: 500,
      connectionsPerBackend: 1,
      callTimeoutMs: 1000,
      silentConnectionMs: 1000,
    });
    const events: string[] = [];
    const begin = (attemptId: string): void => {
      const backend = makeLabBackend('s1', order.address);
      const start = { ...ATTEMPT, requestId: attemptId, attemptId, backend };
      const headers = ['X-Attempt-Id', attemptId];
      const head = dialect.parseCallerHead(headers);
      const request = { method: 'POST', path: '/a/x', headers, head, body: Buffer.from('pay') };
      client.start(start, request, NO_STREAM, ({ kind }) => events.push(`${attemptId} ${kind}`));
    };
    begin('first');
    begin('second');
    client.abandon('first');
    client.abandon('second');
    await delay(QUIET_MS);
    await client.close();
    order.close();
    expect(events).to.deep.equal(['first unreachable', 'second unreachable']);
    expect(order.arrivals).to.deep.equal([]);
  });
});

async function waitUntil(condition: () => boolean): Promise<void> {
  for (let tries = 0; tries < 400; tries += 1) {
    if (condition()) return;
    await delay(5);
  }
  throw new Error('the condition was not met within 2 s');
}

function delay(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
