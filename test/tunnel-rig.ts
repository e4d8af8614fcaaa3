/** A daemon's client of back ends, a peer that serves tunnels, and a scripted back end, on real sockets. */
import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { connect, type AddressInfo, type Server, type Socket } from 'node:net';
import { fileURLToPath } from 'node:url';
import { makeLabBackend } from '../lab/forwarding-site.js';
import { findFreeAddresses } from '../lab/free-ports.js';
import { ScriptedBackend, type BackendScript } from '../lab/scripted-backend.js';
import { HttpDialect } from '../platform/http-dialect.js';
import { NO_STREAM } from '../lab/no-stream.js';
import { BackendClient, type BufferedAnswer, type StreamSink } from '../src/adapters/backend-client.js';
import { encodeTunnelRequest } from '../src/adapters/peer-codec.js';
import { PeerTransport } from '../src/adapters/peer-transport.js';
import { TunnelServer } from '../src/adapters/tunnel-server.js';
import type { AttemptStart, ForwardAttemptEvent } from '../src/forwarding/forward-messages.js';
import type { TunnelRefusal } from '../src/forwarding/tunnel-messages.js';
import { splitAddress } from '../src/shared/address.js';
import { delay } from '../src/shared/delay.js';
import { SeededRandom } from '../src/shared/random.js';

const SEED = 20261203;

export const SIGNED = 'X-Server-Signature: s1\r\n';
/** Head of an answer of the scripted back end to the attempt `id1`. */
export const ANSWER_HEAD = `HTTP/1.1 200 OK\r\nX-Attempt-Id: id1\r\n${SIGNED}`;

/** What became of one attempt. */
export interface AttemptRun {
  readonly events: ForwardAttemptEvent[];
  /** The parts of a streamed answer. */
  readonly streamed: Buffer[];
  answer: BufferedAnswer | undefined;
  /** Resolves with the event that ended the attempt. */
  readonly ended: Promise<ForwardAttemptEvent>;
}

const FINAL_EVENTS: ReadonlySet<ForwardAttemptEvent['kind']> = new Set([
  'unreachable',
  'notExecuted',
  'whole',
  'broken',
]);

/** Bytes that are no text. */
export function drawBytes(length: number): Buffer {
  const random = new SeededRandom(SEED);
  const bytes = Buffer.alloc(length);
  for (let i = 0; i < length; i += 1) bytes[i] = Math.floor(random.next() * 256);
  return bytes;
}

/** Waits until a condition holds. */
export async function waitUntil(condition: () => boolean, timeoutMs = 2000): Promise<void> {
  const end = performance.now() + timeoutMs;
  while (!condition()) {
    if (performance.now() > end) throw new Error(`the condition was not met within ${timeoutMs} ms`);
    await delay(5);
  }
}

/** Listens on a free port of the loopback and returns the address. */
export async function listenOn(server: Server, backlog?: number): Promise<string> {
  await new Promise<void>((resolve) => server.listen({ port: 0, host: '127.0.0.1', backlog }, resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Child processes that were started and not ended yet. */
const children: ChildProcess[] = [];

/** Starts a process of test/tunnel-child.ts. */
export async function startChild(
  kind: 'peer' | 'full' | 'late',
): Promise<{ child: ChildProcess; address: string }> {
  const child = fork(fileURLToPath(new URL('tunnel-child.js', import.meta.url)), [kind]);
  children.push(child);
  const [address] = (await once(child, 'message')) as [string];
  return { child, address };
}

/** Ends the child processes. */
export function killChildren(): void {
  for (const child of children.splice(0)) child.kill('SIGKILL');
}

/** A peer that serves tunnels, in this process. */
export class TunnelPeer {
  refusal: TunnelRefusal | undefined;
  /** Called when a tunnel is asked for. */
  onCheck: () => void = () => undefined;
  readonly opened: string[] = [];
  readonly refused: TunnelRefusal[] = [];
  readonly closed: { toBackend: number; fromBackend: number }[] = [];
  readonly protocolErrors: string[] = [];
  readonly messages: unknown[] = [];
  address = '';
  readonly server = new TunnelServer({
    checkTunnel: (address) => {
      this.onCheck();
      if (this.refusal === undefined) this.opened.push(address);
      return this.refusal;
    },
    onOpened: () => undefined,
    onRefused: (_request, reason) => this.refused.push(reason),
    onClosed: (toBackend, fromBackend) => this.closed.push({ toBackend, fromBackend }),
  });
  private transport: PeerTransport | undefined;

  async listen(): Promise<void> {
    [this.address] = await findFreeAddresses(1);
    this.transport = new PeerTransport(
      { kind: 'hello', id: 'peer', address: this.address },
      {
        onMessage: (fromId, _address, message) => this.messages.push([fromId, message]),
        onProtocolError: ({ code }) => this.protocolErrors.push(code),
        onTraffic: () => undefined,
        onTunnel: (socket, request) => this.server.receive(socket, request),
      },
    );
    await this.transport.listen();
  }

  close(): void {
    this.server.close();
    this.transport?.close();
  }
}

/** One origin, one peer and one back end. */
export class TunnelRig {
  readonly peer = new TunnelPeer();
  readonly client = new BackendClient(new HttpDialect(), {
    connectTimeoutMs: 500,
    connectionsPerBackend: 8,
    callTimeoutMs: 1000,
    silentConnectionMs: 1000,
    daemonId: 'origin',
  });
  readonly backend: ScriptedBackend;
  backendAddress = '';

  constructor(script: BackendScript) {
    this.backend = new ScriptedBackend(script);
  }

  async start(): Promise<void> {
    this.backendAddress = await this.backend.listen();
    await this.peer.listen();
  }

  async close(): Promise<void> {
    await this.client.close();
    this.peer.close();
    this.backend.close();
  }

  /** Starts an attempt, through the peer if `fields` don't say otherwise. */
  startAttempt(fields: Partial<AttemptStart> = {}, body: Buffer = Buffer.alloc(0)): AttemptRun {
    const start: AttemptStart = {
      requestId: 'r1',
      attemptId: 'id1',
      backend: makeLabBackend('b1', this.backendAddress),
      tenant: undefined,
      prefillOnly: false,
      kvSource: undefined,
      copyFrom: undefined,
      remainingMs: 5000,
      urgency: 0,
      stream: false,
      once: false,
      resumeAfter: undefined,
      via: this.peer.address,
      ...fields,
    };
    const headers = ['X-Attempt-Id', start.attemptId];
    const head = new HttpDialect().parseCallerHead(headers);
    const method = body.length > 0 ? 'POST' : 'GET';
    const streamed: Buffer[] = [];
    const sink: StreamSink = {
      ...NO_STREAM,
      writeEvents: (bytes) => void streamed.push(Buffer.from(bytes)),
    };
    let end: (event: ForwardAttemptEvent) => void;
    const ended = new Promise<ForwardAttemptEvent>((resolve) => (end = resolve));
    const run: AttemptRun = { events: [], streamed, answer: undefined, ended };
    this.client.start(start, { method, path: '/a/x', headers, head, body }, sink, (event) => {
      run.events.push(event);
      if (!FINAL_EVENTS.has(event.kind)) return;
      if (event.kind === 'whole') run.answer = this.client.takeAnswer(start.attemptId);
      end(event);
    });
    return run;
  }

  /** Opens a tunnel by hand; resolves with its socket, paused after the peer's answer. */
  async openRaw(): Promise<Socket> {
    const { host, port } = splitAddress(this.peer.address);
    const socket = connect({ host, port, noDelay: true });
    socket.on('error', () => undefined);
    socket.write(`${encodeTunnelRequest({ kind: 'tunnel', id: 'raw', backend: this.backendAddress })}\n`);
    await new Promise<void>((resolve) => socket.once('data', () => resolve()));
    socket.pause();
    return socket;
  }
}
