/* global clearTimeout, performance, setTimeout */
/// Half of the engines that read prompts spoil a few of their answers. No such answer may cost other callers, whose
/// requests run at sound servers, their answers.
import { join, dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { connect } from 'node:net';
import { call, encodeAnswer, MessageReader, Record, Server, Site, sleep } from '../lib-2/site.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const DAEMONS = 2;
/** A process that ended is started again after a short delay. */
const RESTART_DELAY_MS = 500;
const RUN_MS = 16_000;
/** Reviews, over all daemons. */
const REVIEW_GAP_MS = 12;
/** Callers of the application service at each daemon; each keeps its connection, and rests between two requests. */
const KEPT_CALLERS = 30;
const REST_MS = 60;
const WORK_MS = 90;
const TROUBLE_FROM_MS = 3000;
const TROUBLE_FOR_MS = 5000;
const FAULTY = new Set(['i-0001']);
const SPOILED_EACH = 50;
const HANDLE = '3fa09c41b7d5';
/** How the body of an answer is spoiled, in turn. */
const SPOILED = [
  (body) => body.slice(0, 10),
  (body) => body.replace(HANDLE, '3fa0\u0001c41b7d5'),
  // A text that was cut within a character: JSON for the first half of a surrogate pair.
  (body) => body.replace(HANDLE, '3fa09c41\\ud83d'),
];
/** Requests that were passed on and whose kept connection was closed without an answer; more break the rule. */
const ALLOWED = 3;

const record = new Record(join(dirname(fileURLToPath(import.meta.url)), 'record.txt'));
const site = new Site();
/** Requests that a server of the application service has begun to run. */
const passedOn = new Set();
const kept = { answered: 0, refused: 0, closed: [] };
const reviews = { whole: 0, other: 0 };
let startedAt = Infinity;
let over = false;
let answers = 0;
let spoiled = 0;

function configuration() {
  const host = 'desk.example';
  const review = {
    name: 'review',
    host,
    path_prefix: '/review/',
    route_kind: 'streaming',
    resumable: false,
    timeout_ms: 6000,
    target_latency_ms: 600,
    target_itl_ms: 150,
    priority: 1,
    max_attempts: 1,
    service: 'llm',
  };
  const document = {
    name: 'document',
    host,
    path_prefix: '/document/',
    route_kind: 'non_idempotent',
    timeout_ms: 1000,
    target_latency_ms: 193,
    priority: 2,
    max_attempts: 1,
    service: 'app',
  };
  const engine = {
    slots: 32,
    kv_capacity: 442_678,
    kv_ttl_s: 5,
    switch_s: 3,
    kv_bytes: 163_840,
    link_mbps: 1_400_000,
  };
  const services = [
    { name: 'llm', health_path: '/healthz', max_conns: 250, engine },
    { name: 'app', health_path: '/healthz', max_conns: 110 },
  ];
  const limits = {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15_000,
  };
  return { version: 1, routes: [review, document], services, limits };
}

function isInTrouble() {
  const at = performance.now() - startedAt - TROUBLE_FROM_MS;
  return TROUBLE && at >= 0 && at < TROUBLE_FOR_MS;
}

async function answerDocument({ headers }, socket, server) {
  const id = headers['x-attempt-id'];
  passedOn.add(id);
  record.write(`server ${server.id} runs ${id}`);
  await sleep(WORK_MS);
  const own = { 'X-Attempt-Id': id, 'X-Server-Signature': '3e1b.07' };
  if (!socket.destroyed) socket.write(encodeAnswer(200, own, `document of ${id}`));
}

async function answerReview(request, socket, server) {
  const id = request.headers['x-attempt-id'];
  if (request.headers['x-inference-phase'] === 'prefill') await answerPrefill(id, socket, server);
  else await writeStream(request, id, socket, server);
}

async function answerPrefill(id, socket, server) {
  await sleep(20);
  let body = JSON.stringify({ kv_handle: HANDLE, tokens: 17_020, version: 1 });
  if (isInTrouble() && FAULTY.has(server.id) && (answers += 1) % SPOILED_EACH === 0) {
    body = SPOILED[spoiled % SPOILED.length](body);
    spoiled += 1;
    record.write(`server ${server.id} spoils its answer to ${id}: ${JSON.stringify(body)}`);
  }
  const head = [
    'HTTP/1.1 200 OK',
    `X-Attempt-Id: ${id}`,
    'Content-Type: application/json',
    `Content-Length: ${body.length}`,
  ];
  if (!socket.destroyed) socket.write(`${head.join('\r\n')}\r\n\r\n${body}`);
}

async function writeStream({ headers }, id, socket, server) {
  record.write(`server ${server.id} runs ${id} from ${headers['x-kv-source']}`);
  const head = [
    'HTTP/1.1 200 OK',
    `X-Attempt-Id: ${id}`,
    'X-Server-Signature: 3e1b.07',
    'Content-Type: text/event-stream',
    'Transfer-Encoding: chunked',
  ];
  socket.write(`${head.join('\r\n')}\r\n\r\n`);
  for (let i = 1; i <= 10 && !socket.destroyed; i += 1) {
    await sleep(30);
    const event = `id: ${i}\ndata: piece ${i}\n\n`;
    socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
  }
  if (!socket.destroyed) socket.write('0\r\n\r\n');
}

async function sendReview(daemon, n) {
  const text = [
    'POST /review/1 HTTP/1.1',
    'Host: desk.example',
    `X-Attempt-Id: r${n}`,
    'X-Model: m',
    'X-Token-Usage: 17020,17',
    `X-Prefix-Hash: 5c1e07a2:13300,${(0x100000 + n).toString(16)}:3720`,
    'X-Deadline-Ms: 6000',
    'Content-Length: 6',
    '',
    'review',
  ].join('\r\n');
  const isEnded = (bytes) => /0\r\n\r\n$|urn:pulleyledge/.test(bytes.toString('latin1'));
  const { bytes, end } = await call(daemon.front, text, 8000, isEnded);
  if (end === 'done' && bytes.toString('latin1', 9, 12) === '200') reviews.whole += 1;
  else reviews.other += 1;
}

/** One connection that a caller keeps; it takes one request at a time. */
class KeptConnection {
  reader = new MessageReader();
  bytes = 0;

  constructor(daemon) {
    const [host, port] = daemon.front.split(':');
    this.socket = connect({ host, port: Number(port), noDelay: true });
    this.socket.on('data', (chunk) => {
      this.bytes += chunk.length;
      const [answer] = this.reader.push(chunk);
      if (answer) this.finish?.(answer);
    });
    this.socket.on('error', () => undefined);
    this.socket.on('close', () => {
      this.isClosed = true;
      this.finish?.(undefined);
    });
  }

  /** Sends a request. Resolves with the answer; undefined when the connection was closed, null without either. */
  ask(text) {
    this.bytes = 0;
    return new Promise((done) => {
      const timer = setTimeout(() => done(null), 3000);
      this.finish = (answer) => {
        clearTimeout(timer);
        this.finish = undefined;
        done(answer);
      };
      this.socket.write(text);
    });
  }
}

/** A caller that sends one document request after another on the connection that it keeps. */
async function runKeptCaller(daemon, name) {
  let connection;
  let uses = 0;
  for (let n = 1; !over; n += 1) {
    if (!connection || connection.isClosed) {
      connection = new KeptConnection(daemon);
      uses = 0;
      await sleep(20);
      if (connection.isClosed) {
        await sleep(200);
        continue;
      }
    }
    const id = `${name}-${n}`;
    uses += 1;
    const head = [
      'POST /document/1 HTTP/1.1',
      'Host: desk.example',
      `X-Attempt-Id: ${id}`,
      'X-Deadline-Ms: 1000',
    ];
    const answer = await connection.ask(`${head.join('\r\n')}\r\nContent-Length: 3\r\n\r\ndoc`);
    if (answer === undefined) {
      const isCounted = uses > 1 && connection.bytes === 0 && passedOn.has(id);
      record.write(
        `${daemon.name} closes the connection of ${id}${isCounted ? ', which it had passed on' : ''}`,
      );
      if (isCounted) kept.closed.push(id);
    } else if (answer?.start.includes(' 200 ')) kept.answered += 1;
    else kept.refused += 1;
    await sleep(REST_MS);
  }
  connection?.socket.destroy();
}

const findError = (daemon) => (daemon.log().match(/^\w*Error.*$/gm) ?? ['no message']).pop();

/** Starts a process that has ended by itself again, and counts its ends. */
async function watch(daemon) {
  daemon.ends = 0;
  for (;;) {
    const { code, signal } = await daemon.exited;
    if (over) return;
    daemon.ends += 1;
    record.write(`${daemon.name} ended by itself (${signal ?? code}): ${findError(daemon)}`);
    await sleep(RESTART_DELAY_MS);
    if (over) return;
    daemon.start(false);
  }
}

async function run() {
  await site.start(DAEMONS);
  site.store.put('op', 'config', configuration());
  for (let i = 1; i <= 5; i += 1) {
    const phase = i <= 2 ? 'prefill' : 'decode';
    const models = [{ name: 'm', version: 1, adapters: [] }];
    await new Server(site, `i-000${i}`, { service: 'llm', phase, models }, answerReview).start();
  }
  for (let i = 6; i <= 8; i += 1)
    await new Server(site, `i-000${i}`, { service: 'app' }, answerDocument).start();
  site.startDaemons();
  if (!(await site.waitUntilReady())) throw new Error('the daemons are not ready');
  record.write('all daemons are ready');
  for (const daemon of site.daemons) void watch(daemon);
  await sleep(4000);
  startedAt = performance.now();
  const callers = [];
  for (const [k, daemon] of site.daemons.entries())
    for (let i = 1; i <= KEPT_CALLERS; i += 1) callers.push(runKeptCaller(daemon, `k${k + 1}-${i}`));
  for (let n = 1; performance.now() - startedAt < RUN_MS; n += 1) {
    callers.push(sendReview(site.daemons[n % DAEMONS], n));
    await sleep(REVIEW_GAP_MS);
  }
  over = true;
  await Promise.all(callers);
  const { answered, refused, closed } = kept;
  record.write(`${spoiled} answers were spoiled; reviews: ${reviews.whole} whole, ${reviews.other} other`);
  record.write(`documents: ${answered} answered, ${refused} refused or failed`);
  for (const { name, ends } of site.daemons) record.write(`${name} ended by itself ${ends} times`);
  const broken = closed.length > ALLOWED;
  record.write(
    `${broken ? 'BROKEN' : 'held'}: ${closed.length} requests from kept connections were passed on to sound servers ` +
      'and their connections closed without an answer',
  );
  if (!TROUBLE && reviews.other > 0) throw new Error('not all reviews are served without the disruption');
  if (TROUBLE && spoiled < SPOILED.length) throw new Error('too few answers were spoiled');
  return broken ? 1 : 0;
}

let code = 2;
try {
  code = await run();
} catch (error) {
  record.write(`could not run: ${error.stack}`);
}
await site.close();
record.write(`exit ${code}`);
process.exit(code);
