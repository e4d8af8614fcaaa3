/* global performance */
/// A daemon is stopped as planned while it passes streams on, and one of the sound servers falls silent for a second or
/// so. All servers are in full use. The daemon must end none of the streams for that.
import { join, dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { call, Record, Server, Site, sleep } from '../lib-2/site.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const DAEMONS = 2;
const SERVERS = 3;
/** Requests that a server works on at once, and that wait there beyond these; it turns further ones away as full. */
const SLOTS = 32;
const QUEUE = 4;
/** Streams at the daemon that is stopped, which take all slots, and at the other one, which wait in the queues. */
const STREAMS = SERVERS * SLOTS;
const WAITING_STREAMS = SERVERS * QUEUE;
const EVENTS = 40;
const EVENT_GAP_MS = 100;
const TIMEOUT_MS = 10_000;
const GRACE_MS = 8000;
/** From the SIGTERM on: when the server falls silent, and for how long. */
const SILENT_AT_MS = 500;
const SILENT_FOR_MS = 1400;

const record = new Record(join(dirname(fileURLToPath(import.meta.url)), 'record.txt'));
const site = new Site();
let silentUntil = 0;
let terminatedAt = Infinity;
/** Events that the servers have written, and streams that they have broken off themselves (none). */
const passedOn = new Set();

function configuration() {
  const route = {
    name: 'reply',
    host: 'desk.example',
    path_prefix: '/reply/',
    route_kind: 'streaming',
    resumable: true,
    timeout_ms: TIMEOUT_MS,
    target_latency_ms: 300,
    target_itl_ms: 150,
    priority: 0,
    max_attempts: 2,
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

/** The server falls silent: it writes nothing, and goes on afterwards. */
async function waitWhileSilent({ id }) {
  while (id === 'i-0001' && performance.now() < silentUntil) await sleep(10);
}

/** Takes a slot, after a wait in the queue if there is room; false if the server is full or the caller has left. */
async function takeSlot(server, socket) {
  server.active ??= 0;
  server.waiting ??= 0;
  if (server.active >= SLOTS) {
    if (server.waiting >= QUEUE) return false;
    server.waiting += 1;
    while (server.active >= SLOTS && !socket.destroyed) await sleep(10);
    server.waiting -= 1;
    if (socket.destroyed) return false;
  }
  server.active += 1;
  return true;
}

async function answer({ headers }, socket, server) {
  const id = headers['x-attempt-id'];
  const from = Number(headers['last-event-id'] ?? 0);
  await waitWhileSilent(server);
  if (socket.destroyed) return;
  if (!(await takeSlot(server, socket))) {
    if (socket.destroyed) return;
    record.write(`server ${server.id} is full and turns ${id} away`);
    const head = ['HTTP/1.1 503 Full', `X-Attempt-Id: ${id}`, 'X-Not-Executed: 1', 'Content-Length: 0'];
    socket.write(`${head.join('\r\n')}\r\n\r\n`);
    return;
  }
  passedOn.add(id);
  record.write(`server ${server.id} runs ${id} from event ${from + 1}`);
  const head = [
    'HTTP/1.1 200 OK',
    `X-Attempt-Id: ${id}`,
    'X-Server-Signature: 3e1b.07',
    'Content-Type: text/event-stream',
    'Transfer-Encoding: chunked',
  ];
  socket.write(`${head.join('\r\n')}\r\n\r\n`);
  let last = from;
  while (last < EVENTS && !socket.destroyed) {
    await waitWhileSilent(server);
    if (socket.destroyed) break;
    last += 1;
    const event = `id: ${last}\ndata: piece ${last}\n\n`;
    socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
    await sleep(EVENT_GAP_MS);
  }
  server.active -= 1;
  if (socket.destroyed)
    record.write(`server ${server.id}: ${id} was closed by its caller after event ${last}`);
  else socket.write('0\r\n\r\n');
}

async function request(daemon, n) {
  const id = typeof n === 'number' ? `a${n}` : n;
  const text = [
    'POST /reply/1 HTTP/1.1',
    'Host: desk.example',
    `X-Attempt-Id: ${id}`,
    `X-Deadline-Ms: ${TIMEOUT_MS}`,
    'Content-Length: 5',
    '',
    'reply',
  ].join('\r\n');
  record.write(`caller sends ${id} to ${daemon.name}`);
  const isEnded = (bytes) => /0\r\n\r\n$|urn:pulleyledge/.test(bytes.toString('latin1'));
  const { bytes, end } = await call(daemon.front, text, TIMEOUT_MS + 2000, isEnded);
  const endedAt = performance.now();
  const answerText = bytes.toString('latin1');
  const status = answerText.slice(9, 12);
  const events = (answerText.match(/^id: \d+$/gm) ?? []).length;
  const afterMs = Math.round(endedAt - terminatedAt);
  const at = TROUBLE ? `, ${afterMs} ms after the SIGTERM` : '';
  record.write(`caller of ${id}: status ${status}, ${events} events, connection: ${end}${at}`);
  return { id, end, status, events, afterMs };
}

async function run() {
  await site.start(DAEMONS);
  site.store.put('op', 'config', configuration());
  for (let i = 1; i <= SERVERS; i += 1) await new Server(site, `i-000${i}`, { slots: SLOTS }, answer).start();
  site.startDaemons();
  if (!(await site.waitUntilReady())) throw new Error('the daemons are not ready');
  record.write('all daemons are ready');
  await sleep(3500);
  const [daemon] = site.daemons;
  const callers = [];
  for (let n = 1; n <= STREAMS; n += 1) {
    callers.push(request(daemon, n));
    await sleep(10);
  }
  const others = [];
  for (let n = 1; n <= WAITING_STREAMS; n += 1) others.push(request(site.daemons[1], `w${n}`));
  await sleep(300);
  if (TROUBLE) {
    terminatedAt = performance.now();
    record.write(`SIGTERM of ${daemon.name}`);
    daemon.signal('SIGTERM');
    await sleep(SILENT_AT_MS);
    silentUntil = performance.now() + SILENT_FOR_MS;
    record.write(`server i-0001 falls silent for ${SILENT_FOR_MS} ms`);
  }
  const results = await Promise.all(callers);
  await Promise.all(others);
  // Cut: the daemon read the request, a server ran it, and its connection ended without the end of the answer, long
  // before its time-out and before the last sixth of the grace.
  const isCut = ({ id, end, status, afterMs }) =>
    end !== 'done' && passedOn.has(id) && status === '200' && afterMs < (GRACE_MS * 5) / 6;
  const cut = results.filter(isCut);
  const whole = results.filter(({ events }) => events === EVENTS).length;
  record.write(`${results.length} streams: ${whole} whole, ${cut.length} cut beside the planned stop`);
  if (!TROUBLE && whole < results.length * 0.9) throw new Error('too few are whole without the disruption');
  record.write(cut.length > 0 ? 'BROKEN' : 'held');
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
