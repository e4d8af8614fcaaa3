/**
 * What servers still do for a caller that has left: every stage of a request by every way of leaving, on real sockets. A server works on a
 * request until it has answered or its connection is closed.
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
import { BackendClient, type StreamSink } from '../src/adapters/backend-client.js';
import type { AttemptStart } from '../src/forwarding/forward-messages.js';
import type { EngineStage, Route } from '../src/forwarding/routes/route.js';

/** A server may still be at work so long after its caller has left. Milliseconds; the platform's rule. */
const ALLOWED_MS = 500;
/** Silence after which nothing new is taken to come. Milliseconds. */
const QUIET_MS = 200;
const SIGNED = 'X-Server-Signature: s1\r\n';

/** What a server does with one request. */
type Behaviour = 'hold' | 'answer' | 'reset' | 'prefill' | 'stream';

/** One server that tells on which requests it is at work. */
class WorkingServer {
  readonly atWork = new Map<string, Socket>();
  /**
   * Exported handles by the connections on which they were told. One whose connection is closed has crossed the closing: nobody read it, and it
   * runs out by itself. A daemon that has read it leaves the connection open and must free it.
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
    private readonly behave: (callerId: string, request: ReceivedRequest) => Behaviour,
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
      this.serveSmallCall(head, socket);
      return;
    }
    this.arrivals.push({ callerId, at: performance.now() });
    this.atWork.set(callerId, socket);
    this.watch(socket);
    this.act(this.behave(callerId, request), callerId, head, socket);
  }

  /** Work for a connection that is closed is over. */
  private watch(socket: Socket): void {
    if (this.watched.has(socket)) return;
    this.watched.add(socket);
    socket.once('close', () => {
      for (const [callerId, used] of this.atWork) if (used === socket) this.atWork.delete(callerId);
    });
  }

  private act(behaviour: Behaviour, callerId: string, head: string, socket: Socket): void {
    const headers = `X-Attempt-Id: ${callerId}\r\n${SIGNED}`;
    const source = findHeader(head, 'x-kv-source');
    switch (behaviour) {
      case 'hold':
        break;
      case 'reset':
        socket.resetAndDestroy();
        break;
      case 'answer':
        this.atWork.delete(callerId);
        socket.write(`HTTP/1.1 200 OK\r\n${headers}Content-Length: 2\r\n\r\nok`);
        break;
      case 'prefill':
        setTimeout(() => this.exportHandle(callerId, headers, socket), this.prefillMs);
        break;
      case 'stream':
        if (source !== undefined) taken.add(source);
        socket.write(`HTTP/1.1 200 OK\r\n${headers}Transfer-Encoding: chunked\r\n\r\n`);
        this.streamForever(socket, 1);
    }
  }

  private exportHandle(callerId: string, headers: string, socket: Socket): void {
    if (socket.destroyed) return;
    const body = JSON.stringify({ kv_handle: `h-${callerId}` });
    this.handles.set(`h-${callerId}`, socket);
    this.atWork.delete(callerId);
    socket.write(`HTTP/1.1 200 OK\r\n${headers}Content-Length: ${body.length}\r\n\r\n${body}`);
  }

  private streamForever(socket: Socket, event: number): void {
    if (socket.destroyed) return;
    const text = `id: ${event}\ndata: aa\n\n`;
    socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
    setTimeout(() => this.streamForever(socket, event + 1), 5);
  }

  private serveSmallCall(head: string, socket: Socket): void {
    const freed = /^DELETE \/v1\/kv-handle\/(\S+)/.exec(head);
    if (freed) this.freed.add(freed[1]);
    const status = head.startsWith('GET /healthz') ? '200 OK' : '404 Not Found';
    socket.write(`HTTP/1.1 ${status}\r\nX-Instance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`);
  }
}

/** Handles that an engine has taken over, as `address/handle`. */
const taken = new Set<string>();

/** A caller that stops reading leaves so much later. Milliseconds. */
const UNREAD_MS = 30;

/** The ways in which a caller leaves; each is done when the caller has left. */
const WAYS: Readonly<Record<string, (socket: Socket) => Promise<unknown>>> = {
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

/** A stage of a request, reached with these servers. */
interface Stage {
  readonly name: string;
  readonly route?: Partial<Route>;
  readonly servers: () => WorkingServer[];
  /** What the caller writes. */
  readonly write: (callerId: string) => string;
  /** Arrivals at servers for one caller once the stage is reached. */
  readonly arrivals: number;
  /** Servers that may go on with the request. */
  readonly mayGoOn?: boolean;
}

const STREAM: Partial<Route> = { kind: 'stream', resumable: true, timeoutMs: 10_000 };
const PROMPT = 'X-Model: m\r\nX-Token-Usage: 16000,10\r\nX-Prefix-Hash: p:3000,q:13000\r\n';

function get(callerId: string, headers = ''): string {
  return `GET /a/x HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: ${callerId}\r\nX-Deadline-Ms: 9000\r\n${headers}\r\n`;
}

function post(callerId: string): string {
  return `POST /a/x HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: ${callerId}\r\nX-Deadline-Ms: 2000\r\nContent-Length: 3\r\n\r\n`;
}

/** The first server that a caller's request reaches resets, the second one behaves so. */
function afterReset(second: Behaviour): () => WorkingServer[] {
  return () => {
    const seen = new Set<string>();
    const behave = (callerId: string): Behaviour => {
      if (seen.has(callerId)) return second;
      seen.add(callerId);
      return 'reset';
    };
    return [new WorkingServer('s1', undefined, behave), new WorkingServer('s2', undefined, behave)];
  };
}

function engines(decode: Behaviour, prefillMs = 0): () => WorkingServer[] {
  return () => [
    new WorkingServer('p1', 'prefill', () => 'prefill', prefillMs),
    new WorkingServer('d1', 'decode', () => decode),
  ];
}

const plain = (behaviour: Behaviour) => () => [new WorkingServer('s1', undefined, () => behaviour)];

const STAGES: readonly Stage[] = [
  { name: 'unfinished body', servers: plain('hold'), write: (id) => `${post(id)}p`, arrivals: 0 },
  { name: 'server at work', servers: plain('hold'), write: get, arrivals: 1 },
  { name: 'stream', route: STREAM, servers: plain('stream'), write: get, arrivals: 1 },
  {
    name: 'prefill',
    route: STREAM,
    servers: engines('hold', 3000),
    write: (id) => get(id, PROMPT),
    arrivals: 1,
  },
  { name: 'hand-over', route: STREAM, servers: engines('hold'), write: (id) => get(id, PROMPT), arrivals: 2 },
  {
    name: 'generation',
    route: STREAM,
    servers: engines('stream'),
    write: (id) => get(id, PROMPT),
    arrivals: 2,
  },
  { name: 'second attempt', servers: afterReset('hold'), write: get, arrivals: 2 },
  { name: 'stream resumed', route: STREAM, servers: afterReset('stream'), write: get, arrivals: 2 },
  {
    name: 'pipelined behind an answer',
    servers: () => [new WorkingServer('s1', undefined, (id) => (id.endsWith('#1') ? 'answer' : 'hold'))],
    write: (id) => get(`${id}#1`) + get(`${id}#2`),
    arrivals: 2,
  },
  {
    name: 'pipelined behind a request that is held',
    servers: plain('hold'),
    write: (id) => get(`${id}#1`) + get(`${id}#2`) + get(`${id}#3`),
    arrivals: 3,
  },
  {
    name: 'pipelined behind a stream',
    route: STREAM,
    servers: plain('stream'),
    write: (id) => get(`${id}#1`) + get(`${id}#2`),
    arrivals: 2,
  },
  {
    name: 'server at work on what may not be repeated',
    route: { kind: 'nonIdempotent', timeoutMs: 2000 },
    servers: plain('hold'),
    write: (id) => `${post(id)}pay`,
    arrivals: 1,
    mayGoOn: true,
  },
];

describe('callers that have left', () => {
  let site: ForwardingSite;
  let servers: WorkingServer[];

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

  const isOf = (callerId: string, way: string): boolean => callerId === way || callerId.startsWith(`${way}#`);

  function getArrivals(caller: string): number {
    return servers.flatMap(({ arrivals }) => arrivals).filter(({ callerId }) => isOf(callerId, caller))
      .length;
  }

  /** What is wrong for a caller that has left. */
  function getFaults(caller: string, leftAt: number, mayGoOn = false): string[] {
    const faults: string[] = [];
    for (const { id, address, atWork, handles, freed, arrivals } of servers) {
      const working = [...atWork.keys()].filter((callerId) => isOf(callerId, caller));
      if (working.length > 0 && !mayGoOn) faults.push(`${id} at work on ${working.join(' and ')}`);
      for (const [handle, told] of handles) {
        const known = told.destroyed || freed.has(handle) || taken.has(`${address}/${handle}`);
        if (isOf(handle.slice(2), caller) && !known) faults.push(`${handle} not freed`);
      }
      const late = arrivals.filter(({ callerId, at }) => isOf(callerId, caller) && at > leftAt + QUIET_MS);
      if (late.length > 0) faults.push(`${id} got a request late`);
    }
    return faults;
  }

  async function call(text: string): Promise<Socket> {
    const [host, port] = site.callers.split(':');
    const socket = connect({ host, port: Number(port), allowHalfOpen: true });
    socket.on('error', () => undefined);
    socket.resume();
    await new Promise<void>((resolve) => socket.once('connect', resolve));
    socket.write(text);
    return socket;
  }

  for (const stage of STAGES) {
    it(`${stage.name}: no server is at work half a second later`, async () => {
      await start(stage);
      const faults: Record<string, string[]> = {};
      await Promise.all(
        Object.entries(WAYS).map(async ([way, leave], index) => {
          const caller = `c${index}`;
          const socket = await call(stage.write(caller));
          await until(() => getArrivals(caller) >= stage.arrivals);
          await delay(50);
          await leave(socket);
          const leftAt = performance.now();
          await delay(ALLOWED_MS + 30);
          const found = getFaults(caller, leftAt, stage.mayGoOn);
          if (found.length > 0) faults[way] = found;
          socket.destroy();
        }),
      );
      expect(faults).to.deep.equal({});
    });
  }

  it('a request that was not read before its caller left is not sent', async () => {
    await start({ servers: plain('answer') });
    const warm = await call(get('warm'));
    await until(() => getArrivals('warm') === 1);
    await delay(50);
    for (let count = 0; count < 20; count += 1) {
      const socket = await call('');
      await delay(20);
      socket.write(get(`gone${count}`));
      socket.destroy();
    }
    await delay(QUIET_MS);
    warm.destroy();
    expect(servers[0].arrivals.map(({ callerId }) => callerId)).to.deep.equal(['warm']);
  });

  it('an order that a server has begun is run to its end, and is sent nowhere else', async () => {
    const order = new WorkingServer('s1', undefined, () => 'hold');
    await start({ servers: () => [order], route: { kind: 'nonIdempotent', timeoutMs: 1200 } });
    const socket = await call(`${post('order')}pay`);
    await until(() => getArrivals('order') === 1);
    socket.destroy();
    await delay(ALLOWED_MS);
    expect([...order.atWork.keys()]).to.deep.equal(['order']);
    await delay(1200);
    expect([...order.atWork.keys()]).to.deep.equal([]);
    expect(order.arrivals).to.have.length(1);
  });

  it('at any moment of a long prompt, nothing is left at work and no handle is kept', async () => {
    await start({
      route: STREAM,
      servers: () => [
        new WorkingServer('p1', 'prefill', () => 'prefill', 8),
        new WorkingServer('d1', 'decode', () => 'stream'),
      ],
    });
    const warm = await call(get('warm', PROMPT));
    await until(() => getArrivals('warm') === 2);
    warm.destroy();
    const moments = fc.array(fc.record({ way: fc.constantFrom(...Object.keys(WAYS)), afterMs: fc.nat(40) }), {
      minLength: 60,
      maxLength: 60,
    });
    const [leaves] = fc.sample(moments, { numRuns: 1, seed: 20261202 });
    const results = leaves.map(async ({ way, afterMs }, index) => {
      const caller = `m${index}`;
      await delay(index * 5);
      const socket = await call(get(caller, PROMPT));
      await delay(afterMs);
      await WAYS[way](socket);
      const leftAt = performance.now();
      await delay(ALLOWED_MS + 30);
      socket.destroy();
      return getFaults(caller, leftAt).map((fault) => `${way} after ${afterMs} ms: ${fault}`);
    });
    expect((await Promise.all(results)).flat()).to.deep.equal([]);
  });
});

/** An attempt without anything special. */
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
const NO_STREAM: StreamSink = {
  writeHead: () => undefined,
  writeEvents: () => undefined,
  getLastEventId: () => undefined,
};

describe('connections to servers when callers leave', () => {
  it('an order that waits for a connection when its caller leaves is not sent', async () => {
    const order = new WorkingServer('s1', undefined, () => 'answer');
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

async function until(condition: () => boolean): Promise<void> {
  for (let tries = 0; tries < 400; tries += 1) {
    if (condition()) return;
    await delay(5);
  }
  throw new Error('the stage was not reached');
}

function delay(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
