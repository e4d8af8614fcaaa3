/// Callers read streams whose servers give neither a length nor chunks. One daemon is killed (SIGKILL) while it
/// passes such streams on. A caller must be able to tell a stream that was cut from one that is whole.
import { join, dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { call, Record, Server, Site, sleep } from '../lib-2/site.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const EVENTS = 20;
const EVENT_GAP_MS = 100;
const STREAMS_PER_DAEMON = 20;
const STREAM_GAP_MS = 100;
const KILL_AFTER_MS = 2500;
const RESTART_AFTER_MS = 1000;

const record = new Record(join(dirname(fileURLToPath(import.meta.url)), 'record.txt'));
const site = new Site();
/** Events that the servers have written of each request. */
const written = new Map();
/** Requests whose connection was closed before their server had written all. */
const cutAtServer = new Set();

function configuration() {
  const route = {
    name: 'review',
    host: 'desk.example',
    path_prefix: '/review/',
    route_kind: 'streaming',
    resumable: false,
    timeout_ms: 6000,
    target_latency_ms: 600,
    target_itl_ms: 150,
    priority: 1,
    max_attempts: 1,
    service: 'app',
  };
  const service = { name: 'app', health_path: '/healthz', max_conns: 250 };
  const limits = {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15_000,
  };
  return { version: 1, routes: [route], services: [service], limits };
}

/** Writes a stream that ends with its connection, after its last event. */
async function answer({ headers }, socket, server) {
  const id = headers['x-attempt-id'];
  record.write(`server ${server.id} begins ${id}`);
  const head = [
    'HTTP/1.1 200 OK',
    `X-Attempt-Id: ${id}`,
    'X-Server-Signature: 3e1b.07',
    'Content-Type: text/event-stream',
    'Connection: close',
  ];
  socket.write(`${head.join('\r\n')}\r\n\r\n`);
  for (let i = 1; i <= EVENTS; i += 1) {
    await sleep(EVENT_GAP_MS);
    if (socket.destroyed || socket.readableEnded) {
      cutAtServer.add(id);
      record.write(`server ${server.id}: ${id} was closed by its caller after ${i - 1} events`);
      return;
    }
    socket.write(`id: ${i}\ndata: piece ${i} of ${id}\n\n`);
    written.set(id, i);
  }
  record.write(`server ${server.id} ends ${id} after ${EVENTS} events`);
  socket.end();
}

/** What a caller makes of the bytes that it got, by HTTP/1.1 and the rules for event streams. */
function judge({ bytes, end }) {
  const split = bytes.indexOf('\r\n\r\n');
  if (split < 0) return { status: 0, events: 0, looksComplete: false, end };
  const head = bytes.toString('latin1', 0, split).toLowerCase();
  const status = Number(head.split(' ')[1]);
  let body = bytes.toString('latin1', split + 4);
  let framingEnded = end === 'end';
  if (head.includes('transfer-encoding: chunked')) {
    framingEnded = body.endsWith('\r\n0\r\n\r\n') || body === '0\r\n\r\n';
    body = body.replace(/(^|\r\n)[0-9a-f]+\r\n/g, '').replace(/\r\n$/, '');
  } else if (head.includes('content-length:')) {
    framingEnded = body.length >= Number(/content-length: *(\d+)/.exec(head)[1]);
  }
  const events = (body.match(/^id: /gm) ?? []).length;
  const endsAtEvent = body.endsWith('\n\n');
  return { status, events, end, looksComplete: framingEnded && endsAtEvent && status === 200 };
}

async function request(daemon, id) {
  record.write(`caller sends ${id} to ${daemon.name}`);
  const text = [
    'POST /review/1 HTTP/1.1',
    'Host: desk.example',
    `X-Attempt-Id: ${id}`,
    'X-Deadline-Ms: 6000',
    'Connection: close',
    'Content-Length: 6',
    '',
    'review',
  ].join('\r\n');
  // A chunked stream may end before its connection.
  const result = judge(await call(daemon.front, text, 8000));
  const { status, events, end, looksComplete } = result;
  const looks = looksComplete ? 'a complete answer' : 'no complete answer';
  record.write(`caller of ${id}: status ${status}, ${events} events, connection: ${end}; ${looks}`);
  return { id, ...result };
}

async function run() {
  await site.start(2);
  site.store.put('op', 'config', configuration());
  for (let i = 1; i <= 3; i += 1) await new Server(site, `i-000${i}`, {}, answer).start();
  site.startDaemons();
  if (!(await site.waitUntilReady())) throw new Error('the daemons are not ready');
  record.write('all daemons are ready');
  await sleep(500);
  const callers = [];
  const [killed] = site.daemons;
  let restarted = Promise.resolve();
  if (TROUBLE)
    restarted = sleep(KILL_AFTER_MS).then(async () => {
      record.write(`SIGKILL of ${killed.name}`);
      killed.signal('SIGKILL');
      await killed.exited;
      await sleep(RESTART_AFTER_MS);
      killed.start(false);
      record.write(`${killed.name} was started again`);
    });
  for (let i = 0; i < STREAMS_PER_DAEMON; i += 1) {
    for (const [k, daemon] of site.daemons.entries()) callers.push(request(daemon, `a${k + 1}-${i + 1}`));
    await sleep(STREAM_GAP_MS);
  }
  const results = await Promise.all(callers);
  await restarted;
  const cut = results.filter(({ looksComplete, events }) => looksComplete && events < EVENTS);
  const whole = results.filter(({ looksComplete, events }) => looksComplete && events === EVENTS);
  for (const { id, events } of cut) {
    const state = cutAtServer.has(id) ? 'its server was still writing' : 'its server had not broken off';
    record.write(`BROKEN: ${id} looks complete with ${events} of ${EVENTS} events; ${state}`);
  }
  record.write(`${results.length} streams: ${whole.length} whole, ${cut.length} cut that look complete`);
  if (!TROUBLE && whole.length < results.length) throw new Error('without the disruption not all are whole');
  return cut.length > 0 ? 1 : 0;
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
