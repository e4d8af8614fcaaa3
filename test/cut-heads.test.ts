/** Guards against an answer whose head is cut off at any byte being taken for an answer, or passed on as a whole one. */
import { once } from 'node:events';
import { connect, createServer, type Server, type Socket } from 'node:net';
import { expect } from 'chai';
import { makeLabBackend } from '../lab/forwarding-site.js';
import { ScriptedBackend } from '../lab/scripted-backend.js';
import { DutyClient } from '../platform/duty-client.js';
import { HttpDialect } from '../platform/http-dialect.js';
import { StoreClient } from '../platform/store-client.js';
import { TableClient } from '../platform/table-client.js';
import { HttpApplicationClient } from '../src/adapters/application-client.js';
import { BackendClient } from '../src/adapters/backend-client.js';
import { HttpEngineClient } from '../src/adapters/engine-client.js';
import { HttpPlatformClient } from '../src/adapters/platform-client.js';
import { encodePeerMessage, encodeTunnelAnswer } from '../src/adapters/peer-codec.js';
import { hasEndedRegularly } from '../src/adapters/tunnel-end.js';
import { OperatorClient } from '../src/cli/operator-client.js';
import type { AttemptStart as EngineAttempt } from '../src/routing/completion-effects.js';
import type { AttemptStart } from '../src/forwarding/forward-messages.js';
import { splitAddress } from '../src/shared/address.js';
import { delay } from '../src/shared/delay.js';
import { ANSWER_HEAD, killChildren, listenOn, startChild, TunnelRig, waitUntil } from './tunnel-rig.js';

type Ending = 'close' | 'reset';
const ENDINGS: readonly Ending[] = ['close', 'reset'];

/** Writes a part of an answer and ends the connection. */
function writePart(socket: Socket, part: string, ending: Ending): void {
  if (ending === 'close') socket.end(part);
  else if (part === '') socket.resetAndDestroy();
  else socket.write(part, () => socket.resetAndDestroy());
}

/** Bytes between the cuts on connections that have brought a whole answer. */
const KEPT_STEP = 5;

interface Answer {
  readonly head: string;
  readonly body: string;
}

/** Adds the two ways in which a head announces its body. */
function makeAnswers(head: string, content: string): Answer[] {
  const bytes = Buffer.byteLength(content);
  return [
    { head: `${head}Content-Length: ${bytes}\r\n\r\n`, body: content },
    {
      head: `${head}Transfer-Encoding: chunked\r\n\r\n`,
      body: `${bytes.toString(16)}\r\n${content}\r\n0\r\n\r\n`,
    },
  ];
}

/** Answers with what the test sets before each request. */
class CuttingServer {
  answer: (socket: Socket) => void = () => undefined;
  readonly backend = new ScriptedBackend((_request, socket) => this.answer(socket));

  /**
   * Cuts the head of each answer at every byte, and at some on a connection that has brought a whole answer; one of the
   * connections is closed, the other reset, and the other way round for the next answer.
   * `call` is true when it takes what it got for an answer.
   */
  async checkCuts(answers: readonly Answer[], call: () => Promise<boolean>): Promise<void> {
    const taken: string[] = [];
    for (const [index, { head, body }] of answers.entries()) {
      const writeWhole = (socket: Socket): void => void socket.write(head + body);
      for (const isKept of [false, true]) {
        const ending = ENDINGS[(index + Number(isKept)) % ENDINGS.length];
        for (let length = 0; length < head.length; length += isKept ? KEPT_STEP : 1) {
          const part = head.slice(0, length);
          if (isKept) {
            this.answer = writeWhole;
            expect(await call(), 'the whole answer').to.equal(true);
          }
          this.answer = (socket) => writePart(socket, part, ending);
          if (await call()) taken.push(`${ending}, ${isKept ? 'kept' : 'new'}: ${JSON.stringify(part)}`);
        }
      }
      this.answer = writeWhole;
      expect(await call(), 'the whole answer').to.equal(true);
    }
    expect(taken).to.deep.equal([]);
  }
}

const FINAL: ReadonlySet<string> = new Set(['whole', 'prefilled', 'broken', 'unreachable', 'notExecuted']);
const OK = 'HTTP/1.1 200 OK\r\n';
const REFUSAL = {
  head: 'HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: id1\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n',
  body: '',
};
const EARLY_HINTS = 'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n';

describe('a head that is cut off, in an answer to an attempt', function () {
  this.timeout(30_000);
  const server = new CuttingServer();
  let rig: TunnelRig;
  /** A peer in a process of its own: one that pauses with the daemon does not open a tunnel in time. */
  let peerAddress: string;

  beforeEach(async () => {
    rig = new TunnelRig((_request, socket) => server.answer(socket));
    await rig.start();
  });

  before(async () => {
    ({ address: peerAddress } = await startChild('peer'));
  });

  afterEach(() => rig.close());
  after(killChildren);

  /** Whether the attempt ends with an answer; a part of one must not have been passed on. */
  async function attempt(fields: Partial<AttemptStart>): Promise<boolean> {
    const run = rig.startAttempt({ via: peerAddress, ...fields });
    while (!run.events.some(({ kind }) => FINAL.has(kind))) await delay(0);
    const event = run.events[run.events.length - 1];
    if (event.kind === 'whole' || event.kind === 'prefilled' || event.kind === 'notExecuted') return true;
    expect(event.kind, JSON.stringify(event)).to.equal('broken');
    expect(run.events.map(({ kind }) => kind)).not.to.include('streamStarted');
    expect(run.streamed).to.deep.equal([]);
    return false;
  }

  const events = makeAnswers(ANSWER_HEAD, 'id: 1\ndata: a\n\n');
  const withHints = events.slice(0, 1).map(({ head, body }) => ({ head: EARLY_HINTS + head, body }));
  const paths: Record<string, [Partial<AttemptStart>, Answer[]]> = {
    'directly, plain': [{ via: undefined }, events],
    'directly, streamed': [{ via: undefined, stream: true }, events],
    'directly, for a prefill': [
      { via: undefined, prefillOnly: true },
      makeAnswers(OK, '{"kv_handle":"3fa09c41"}'),
    ],
    'directly, after an informational answer': [{ via: undefined }, withHints],
    'directly, of a refusal': [{ via: undefined, once: true }, [REFUSAL]],
    'through a tunnel, plain': [{}, events],
    'through a tunnel, streamed': [{ stream: true }, events],
    'through a tunnel, for a prefill': [{ prefillOnly: true }, makeAnswers(OK, '{"kv_handle":"3fa09c41"}')],
    'through a tunnel, of a refusal': [{ once: true }, [REFUSAL]],
    'through a tunnel, after an informational answer': [{}, withHints],
  };
  for (const [name, [fields, answers]] of Object.entries(paths))
    it(`${name}, is no answer`, () => server.checkCuts(answers, () => attempt(fields)));

  it('in parts over more than a second, is no answer', async () => {
    const [{ head }] = events;
    const parts = [0, 1, 2, 3].map((index) =>
      head.slice(index * 20, Math.min(index * 20 + 20, head.length - 1)),
    );
    for (const ending of ENDINGS) {
      server.answer = (socket): void =>
        void (async () => {
          for (const part of parts) {
            socket.write(part);
            await delay(280);
          }
          writePart(socket, '', ending);
        })();
      const runs = [{}, { stream: true }, { via: undefined }, { via: undefined, stream: true }].map(
        (fields, index) =>
          rig.startAttempt({ requestId: `r${index}`, attemptId: `id${index}`, via: peerAddress, ...fields }),
      );
      for (const { ended } of runs) expect((await ended).kind).to.equal('broken');
    }
  });
});

/** Lines end in a line break, without which a peer's answer must not count. */
describe('a first line that is cut off, from a peer', function () {
  this.timeout(30_000);
  let rig: TunnelRig;
  let peer: Server;
  let via: string;
  let answer: (socket: Socket) => void;

  beforeEach(async () => {
    rig = new TunnelRig((_request, socket) => socket.write(`${ANSWER_HEAD}Content-Length: 2\r\n\r\nok`));
    await rig.start();
    peer = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => answer(socket));
    });
    via = await listenOn(peer);
  });

  afterEach(async () => {
    peer.close();
    await rig.close();
  });

  it('opens no tunnel', async () => {
    const line = `${encodeTunnelAnswer({ kind: 'opened' })}\n`;
    for (const ending of ENDINGS)
      for (let length = 0; length < line.length; length += 1) {
        answer = (socket) => writePart(socket, line.slice(0, length), ending);
        const event = await rig.startAttempt({ via }).ended;
        expect(event).to.include({ kind: 'unreachable', tunnelFailure: 'peer' });
      }
    expect(rig.backend.received).to.deep.equal([]);
  });

  it('does not state that a tunnel ended regularly', async () => {
    const line = `${encodeTunnelAnswer({ kind: 'ended', regularly: true })}\n`;
    for (const ending of ENDINGS)
      for (let length = 0; length < line.length; length += 1) {
        answer = (socket) => writePart(socket, line.slice(0, length), ending);
        expect(await hasEndedRegularly(via, 'tunnel')).to.equal(false);
      }
    answer = (socket) => writePart(socket, line, 'close');
    expect(await hasEndedRegularly(via, 'tunnel')).to.equal(true);
  });

  it('is no message', async () => {
    const hello = encodePeerMessage({ kind: 'hello', id: 'stranger', address: '127.0.0.1:9' });
    const message = encodePeerMessage({ kind: 'ping', sequence: 1, target: 'peer', updates: [] });
    const lines = `${hello}\n${message}\n`;
    const { host, port } = splitAddress(rig.peer.address);
    const send = async (part: string, ending: Ending): Promise<void> => {
      const socket = connect({ host, port });
      socket.on('error', () => undefined);
      socket.resume();
      await once(socket, 'connect');
      writePart(socket, part, ending);
      await once(socket, 'close');
    };
    for (const ending of ENDINGS)
      for (let length = 1; length < lines.length; length += 1) await send(lines.slice(0, length), ending);
    await delay(50);
    expect(rig.peer.messages).to.deep.equal([]);
    expect(rig.peer.protocolErrors).to.deep.equal([]);
    await send(lines, 'close');
    await waitUntil(() => rig.peer.messages.length === 1);
  });
});

describe('a head that is cut off, in an answer to the daemon itself', function () {
  this.timeout(30_000);
  const server = new CuttingServer();
  const { backend } = server;
  let address: string;

  before(async () => {
    address = await backend.listen();
  });

  after(() => backend.close());

  it('is no health check passed, status, change of a cache or accepted order, and each is reported as unanswered', async () => {
    const unanswered: string[] = [];
    const signals: unknown[] = [];
    const client = new BackendClient(
      new HttpDialect(),
      { connectTimeoutMs: 500, connectionsPerBackend: 8, callTimeoutMs: 1000, silentConnectionMs: 1000 },
      (kind) => unanswered.push(kind),
      (...signal) => signals.push(signal),
    );
    const record = makeLabBackend('b1', address);
    const head = `${OK}X-Instance-Id: b1\r\n`;
    const report = '{"phase":"decode","utilization":false,"seq":1}';
    const order = { backend: record, stage: 'decode' as const, holder: 'd', fence: 1, expectedOrders: 0 };
    await server.checkCuts(makeAnswers(head, 'ok'), () =>
      client.probe({ backend: record } as never, '/healthz'),
    );
    await server.checkCuts(
      makeAnswers(OK, report),
      async () => (await client.readEngineStatus(record)) !== undefined,
    );
    const changes = '{"epoch":1,"next_token":0,"events":[]}';
    const call = { backend: record, since: 0, waitMs: 0 };
    await server.checkCuts(
      makeAnswers(OK, changes),
      async () => (await client.readKvChanges(call)) !== undefined,
    );
    await server.checkCuts(makeAnswers(OK, '{}'), async () => {
      const result = await client.order(order);
      if (result.kind !== 'accepted') expect(result.kind).to.equal('noAnswer');
      return result.kind === 'accepted';
    });
    await client.close();
  });

  it('leaves the release of a cache unanswered', async () => {
    let failed: () => void = () => undefined;
    const client = new BackendClient(
      new HttpDialect(),
      { connectTimeoutMs: 500, connectionsPerBackend: 8, callTimeoutMs: 1000, silentConnectionMs: 1000 },
      (kind) => kind === 'freeKv' && failed(),
    );
    const head = `${OK}Content-Length: 2\r\n\r\n`;
    for (const ending of ENDINGS)
      for (let length = 0; length < head.length; length += 1) {
        server.answer = (socket) => writePart(socket, head.slice(0, length), ending);
        const unanswered = new Promise<void>((resolve) => (failed = resolve));
        client.freeKv({ address, handle: '3f' } as never);
        await unanswered;
      }
    await client.close();
  });

  it('is no answer of the store', async () => {
    const store = new StoreClient(address, () => undefined);
    const table = new TableClient(address);
    const duties = new DutyClient(address);
    const page = makeAnswers(OK, '{"ver":1,"rows":[],"more":false}');
    const hasAnswer = ({ kind }: { readonly kind: string }): boolean => kind !== 'noAnswer';
    for (const [collection, after] of [
      ['configuration', undefined],
      ['backends', 1],
    ] as const)
      await server.checkCuts(page, async () =>
        hasAnswer(await store.read({ collection, after, waitMs: 0, answerTimeoutMs: 800 })),
      );
    const writes = [{ table: 'leases' as const, key: 'c', expectedRevision: 0, value: 1 }];
    await server.checkCuts(page, async () =>
      hasAnswer(await table.perform({ kind: 'commit', writeId: 'w', writes })),
    );
    await server.checkCuts(page, async () =>
      hasAnswer(await table.perform({ kind: 'read', table: 'leases', key: 'c' })),
    );
    const usage = { kind: 'reportUsage' as const, window: 1, counts: {} as never };
    await server.checkCuts(makeAnswers(OK, '{}'), async () =>
      hasAnswer(await duties.perform(usage, { holder: 'd', fence: 1 })),
    );
  });

  it('is no answer of the platform, an engine, an application server or a daemon to the completions program', async () => {
    const platform = new HttpPlatformClient([address], () => undefined);
    const listing = makeAnswers(OK, '{"cells":[],"machines":[]}');
    await server.checkCuts(listing, async () => (await platform.listMachines([])) !== undefined);
    await server.checkCuts(makeAnswers(OK, '{"kind":"committed","revision":1}'), async () => {
      const { kind } = await platform.sendTableRequest({ kind: 'read', table: 'leases', key: 'k' });
      return kind !== 'noAnswer';
    });
    const engines = new HttpEngineClient();
    const fenced = makeAnswers(OK, '{"kind":"fenced","epoch":1,"sequence":1}');
    await server.checkCuts(
      fenced,
      async () => (await engines.control(address, { kind: 'report' })).kind !== 'noAnswer',
    );
    const start = {
      ...{ attemptId: 'a', address, stage: 'decode', offset: 0, produced: [], remainingMs: 60_000 },
      ...{ request: { prompt: { text: 'x' }, maximumTokens: 1 } },
      row: { model: 'm', version: 'v', adapter: null, priority: 0 },
    } as unknown as EngineAttempt;
    const tokens = makeAnswers(OK, '{"end":true,"tokens":1,"finishReason":"stop"}\n');
    await server.checkCuts(tokens, async () => {
      const { kind } = await new Promise<{ kind: string }>((resolve) => engines.start(start, resolve));
      return kind !== 'broken';
    });
    const applications = new HttpApplicationClient();
    const payload = { method: 'GET', path: '/x', headers: {}, body: new Uint8Array() };
    await server.checkCuts(makeAnswers(OK, 'ok'), async () => {
      const call = { address, payload, remainingMs: 60_000 };
      const { kind } = await new Promise<{ kind: string }>((resolve) => applications.start(call, resolve));
      return kind !== 'broken';
    });
    const refusal = { head: `${OK}Pulleyledge-Not-Run: true\r\nContent-Length: 0\r\n\r\n`, body: '' };
    await server.checkCuts([refusal], async () => {
      const call = { address, payload, remainingMs: 60_000 };
      const { kind } = await new Promise<{ kind: string }>((resolve) => applications.start(call, resolve));
      expect(kind).to.be.oneOf(['refused', 'broken']);
      return kind === 'refused';
    });
    const operator = new OperatorClient(address);
    await server.checkCuts(makeAnswers(OK, '{}'), () =>
      operator.getStatus().then(
        () => true,
        () => false,
      ),
    );
    await Promise.all([platform.close(), engines.close(), applications.close()]);
  });
});
