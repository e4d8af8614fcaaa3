/* global clearInterval, clearTimeout, performance, setInterval, setTimeout */
/// The daemons are stopped and started in turn, as in a planned restart of the system, while callers read long streams
/// that may be resumed. The streams at the last daemon are cut when it ends; their callers take them up elsewhere.
import { join, dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { connect } from 'node:net';
import { call, encodeAnswer, Record, Server, Site, sleep } from '../lib-2/site.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const DAEMONS = 5;
/** Planned restart: one daemon each gap; a process that ended is started again after a short delay. */
const TERM_GAP_MS = 1300;
const RESTART_DELAY_MS = 500;
const GRACE_MS = 8000;
const CONTACT_MS = 3000;
const STREAMS = 20;
const EVENTS = 100;
const EVENT_GAP_MS = 100;
const TIMEOUT_MS = 20_000;
/** Without the planned restart, the callers' connections break after so long. */
const BREAK_AFTER_MS = 7000;
/** A caller honours Retry-After up to a third of its remaining time, and tries so often. */
const TRIES = 3;
/** A caller that has lost its connection tries again after so long. */
const RETRY_DELAY_MS = 150;
/** Connections to each daemon that callers keep, and how long they are at rest; at most 0.8 of `idle_timeout_ms`. */
const KEPT_CONNECTIONS = 4;
const REST_MS = 9000;

const record = new Record(join(dirname(fileURLToPath(import.meta.url)), 'record.txt'));
const site = new Site();
const kept = [];

function configuration() {
  const route = {
    name: 'reply',
    host: 'desk.example',
    path_prefix: '/reply/',
    route_kind: 'streaming',
    resumable: true,
    timeout_ms: TIMEOUT_MS,
    target_latency_ms: 600,
    target_itl_ms: 150,
    priority: 0,
    max_attempts: 2,
    service: 'app',
  };
  const note = {
    ...route,
    name: 'note',
    path_prefix: '/note/',
    route_kind: 'idempotent',
    resumable: false,
    timeout_ms: 1000,
    target_latency_ms: 200,
  };
  const service = { name: 'app', health_path: '/healthz', max_conns: 250 };
  const limits = {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15_000,
  };
  return { version: 1, routes: [route, note], services: [service], limits };
}

/** Answers a short request, or writes a stream. */
async function answer(request, socket, server) {
  if (request.path.startsWith('/note/')) {
    const own = { 'X-Attempt-Id': request.headers['x-attempt-id'], 'X-Server-Signature': '3e1b.07' };
    socket.write(encodeAnswer(200, own, 'noted'));
  } else await writeStream(request, socket, server);
}

/** Writes a stream in chunks, from the event after `Last-Event-Id` on. */
async function writeStream({ headers }, socket, server) {
  const id = headers['x-attempt-id'];
  const from = Number(headers['last-event-id'] ?? 0);
  record.write(`server ${server.id} runs ${id} from event ${from + 1}`);
  const head = [
    'HTTP/1.1 200 OK',
    `X-Attempt-Id: ${id}`,
    'X-Server-Signature: 3e1b.07',
    'Content-Type: text/event-stream',
    'Transfer-Encoding: chunked',
  ];
  socket.write(`${head.join('\r\n')}\r\n\r\n`);
  for (let i = from + 1; i <= EVENTS; i += 1) {
    if (socket.destroyed) return;
    const event = `id: ${i}\ndata: piece ${i}\n\n`;
    socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
    await sleep(EVENT_GAP_MS);
  }
  if (!socket.destroyed) socket.write('0\r\n\r\n');
}

function makeRequest(id, remainingMs, resumed) {
  const lines = [
    'POST /reply/1 HTTP/1.1',
    'Host: desk.example',
    `X-Attempt-Id: ${id}`,
    `X-Deadline-Ms: ${Math.floor(remainingMs)}`,
    'Content-Length: 5',
  ];
  if (resumed) lines.push(`Last-Event-Id: ${resumed.lastEventId}`, `Resumes: ${resumed.firstAttemptId}`);
  return `${lines.join('\r\n')}\r\n\r\nreply`;
}

const findLastId = (text) => [...text.matchAll(/^id: (\d+)$/gm)].pop()?.[1];
const isEnded = (text) => text.endsWith('0\r\n\r\n') || /content-length/i.test(text.split('\r\n\r\n')[0]);

/** Reads a stream on a new connection until it ends or breaks. */
function read(daemon, id, remainingMs, resumed, breakAfterMs) {
  const [host, port] = daemon.front.split(':');
  return new Promise((done) => {
    let text = '';
    const socket = connect({ host, port: Number(port) }, () =>
      socket.write(makeRequest(id, remainingMs, resumed)),
    );
    const finish = (end) => {
      clearTimeout(timer);
      socket.destroy();
      const status = Number(text.slice(9, 12));
      const retryAfter = /^retry-after: *([\d.]+)/im.exec(text)?.[1];
      done({ status, end, lastEventId: findLastId(text), whole: text.endsWith('0\r\n\r\n'), retryAfter });
    };
    const timer = setTimeout(() => finish('broken'), breakAfterMs ?? remainingMs + 1000);
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      if (isEnded(text)) finish('done');
    });
    socket.on('end', () => finish('end'));
    socket.on('error', (error) => finish(error.code));
  });
}

/** Machines in touch now: no SIGTERM, end or start of their process within `contact_ms`. */
function findInTouch() {
  const now = performance.now();
  return site.daemons.filter(
    ({ exit, process, touchedAt }) => process && !exit && now - touchedAt >= CONTACT_MS,
  );
}

/** Takes a stream up until it goes on, or the caller gives up. */
async function takeUp(first, from, deadline) {
  let tries = 0;
  let result;
  for (let i = 0; i < TRIES && performance.now() < deadline; i += 1) {
    const inTouch = findInTouch().filter((daemon) => daemon !== first.daemon);
    const daemon = inTouch[(from + i) % Math.max(1, inTouch.length)];
    if (!daemon) {
      await sleep(100);
      i -= 1;
      continue;
    }
    tries += 1;
    const id = `${first.id}-again${tries}`;
    const resumed = { lastEventId: first.lastEventId, firstAttemptId: first.id };
    record.write(`caller takes ${first.id} up after event ${first.lastEventId} as ${id} at ${daemon.name}`);
    result = await read(daemon, id, deadline - performance.now(), resumed);
    record.write(`caller of ${id}: status ${result.status}, last event ${result.lastEventId}, ${result.end}`);
    if (result.status === 200) break;
    const wait = Number(result.retryAfter ?? 0.2) * 1000;
    await sleep(Math.min(wait, (deadline - performance.now()) / 3));
  }
  return { tried: tries > 0, wentOn: result?.status === 200 && result.lastEventId !== undefined };
}

async function runStream(daemon, n) {
  const deadline = performance.now() + TIMEOUT_MS;
  const id = `a${n}`;
  record.write(`caller sends ${id} to ${daemon.name}`);
  const first = await read(daemon, id, TIMEOUT_MS, undefined, TROUBLE ? undefined : BREAK_AFTER_MS);
  record.write(`caller of ${id}: status ${first.status}, last event ${first.lastEventId}, ${first.end}`);
  if (first.whole || first.lastEventId === undefined) return { tried: false, wentOn: false };
  await sleep(RETRY_DELAY_MS);
  return takeUp({ ...first, id, daemon }, n, deadline);
}

/** A connection that a caller keeps for short requests; where it is closed, it opens another one while that works. */
function keepConnection(daemon, n) {
  const [host, port] = daemon.front.split(':');
  const socket = connect({ host, port: Number(port) });
  const send = () =>
    socket.write(`GET /note/1 HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: k${n}-${daemon.name}\r\n\r\n`);
  const timer = setInterval(send, REST_MS);
  socket.on('connect', send);
  socket.on('data', () => undefined);
  socket.on('error', () => undefined);
  socket.on('close', () => clearInterval(timer));
  kept.push(socket);
}

/** Stops a daemon as the platform does, and starts it again. */
async function restart(daemon) {
  record.write(`SIGTERM of ${daemon.name}`);
  daemon.touchedAt = Infinity;
  daemon.signal('SIGTERM');
  const killer = setTimeout(() => daemon.signal('SIGKILL'), GRACE_MS);
  const { code, signal } = await daemon.exited;
  clearTimeout(killer);
  record.write(`${daemon.name} ended (${signal ?? code})`);
  await sleep(RESTART_DELAY_MS);
  daemon.start(false);
  daemon.touchedAt = performance.now();
  record.write(`${daemon.name} was started again`);
}

/** Short new streams at the machines in touch: how many of them begin. */
async function runNewStreams(until, counts) {
  for (let n = 1; performance.now() < until; n += 1) {
    for (const daemon of findInTouch()) {
      void call(daemon.front, makeRequest(`n${n}-${daemon.name}`, 3000), 3000, (bytes) =>
        /^id: 3$|content-length/im.test(bytes.toString('latin1')),
      ).then(({ bytes }) => {
        counts.asked += 1;
        if (/^id: 1$/m.test(bytes.toString('latin1'))) counts.begun += 1;
      });
    }
    await sleep(250);
  }
  await sleep(3000);
}

async function run() {
  await site.start(DAEMONS);
  site.store.put('op', 'config', configuration());
  for (let i = 1; i <= 4; i += 1) await new Server(site, `i-000${i}`, {}, answer).start();
  site.startDaemons();
  for (const daemon of site.daemons) daemon.touchedAt = performance.now();
  if (!(await site.waitUntilReady())) throw new Error('the daemons are not ready');
  record.write('all daemons are ready');
  // Longer than the time for which the daemons look back.
  await sleep(CONTACT_MS + 500);
  for (const daemon of site.daemons) for (let n = 1; n <= KEPT_CONNECTIONS; n += 1) keepConnection(daemon, n);
  await sleep(500);
  const startedAt = performance.now();
  const restarts = [];
  if (TROUBLE)
    for (const [i, daemon] of site.daemons.entries())
      restarts.push(sleep(i * TERM_GAP_MS).then(() => restart(daemon)));
  // The streams begin at the last daemon, just before its own turn comes.
  await sleep((DAEMONS - 1) * TERM_GAP_MS - STREAMS * 30 - 100);
  const streams = [];
  const last = site.daemons[DAEMONS - 1];
  for (let n = 1; n <= STREAMS; n += 1) {
    streams.push(runStream(last, n));
    await sleep(30);
  }
  const counts = { asked: 0, begun: 0 };
  const newStreams = runNewStreams(startedAt + 18_000, counts);
  const results = await Promise.all(streams);
  await Promise.all([...restarts, newStreams]);
  const tried = results.filter((result) => result.tried).length;
  const wentOn = results.filter((result) => result.wentOn).length;
  record.write(`${counts.begun} of ${counts.asked} new streams began at machines in touch`);
  record.write(`${wentOn} of ${tried} streams went on that their callers took up at machines in touch`);
  if (tried < 12 || counts.asked < 12) throw new Error('too few streams were taken up or begun');
  const broken = wentOn / tried < counts.begun / counts.asked / 2;
  record.write(broken ? 'BROKEN: under half of the share of new streams' : 'held');
  return broken ? 1 : 0;
}

let code = 2;
try {
  code = await run();
} catch (error) {
  record.write(`could not run: ${error.stack}`);
}
for (const socket of kept) socket.destroy();
await site.close();
record.write(`exit ${code}`);
process.exit(code);
