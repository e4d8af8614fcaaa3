/* global performance */
/// Some servers spoil a few of their answers. The daemons must answer all their callers all the same, at the latest
/// when a request's time is over.
import { join, dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { call, encodeAnswer, Record, Server, Site, sleep } from '../lib-2/site.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const TIMEOUT_MS = 600;
/** A request without a final answer for so long after its time was over counts. */
const SLACK_MS = 500;
const WORK_MS = 200;
const REQUESTS_PER_DAEMON = 600;
const GAP_MS = 20;
/** The servers that spoil answers (half of them), from when, for how long, and each which one: 2 in 100. */
const FAULTY = new Set(['i-0001', 'i-0002']);
const TROUBLE_FROM_MS = 3000;
const TROUBLE_FOR_MS = 5000;
const SPOILED_EACH = 50;
/** How they are spoiled, in turn: cut short, no HTTP at all, and a status that HTTP does not have. */
const SPOILED = [
  (answer) => answer.slice(0, answer.length - 20),
  () => '\u0001\u0002 this is no answer\r\n\r\n',
  (answer) => answer.replace('HTTP/1.1 200', 'HTTP/1.1 000'),
];

const record = new Record(join(dirname(fileURLToPath(import.meta.url)), 'record.txt'));
const site = new Site();
let startedAt = Infinity;
let answers = 0;
let spoiled = 0;

function configuration() {
  const route = {
    name: 'note',
    host: 'desk.example',
    path_prefix: '/note/',
    route_kind: 'non_idempotent',
    timeout_ms: TIMEOUT_MS,
    target_latency_ms: 300,
    priority: 2,
    max_attempts: 1,
    service: 'app',
  };
  const service = { name: 'app', health_path: '/healthz', max_conns: 300 };
  const limits = {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15_000,
  };
  return { version: 1, routes: [route], services: [service], limits };
}

function isInTrouble() {
  const at = performance.now() - startedAt;
  return TROUBLE && at >= TROUBLE_FROM_MS && at < TROUBLE_FROM_MS + TROUBLE_FOR_MS;
}

async function answer({ headers }, socket, server) {
  const id = headers['x-attempt-id'];
  record.write(`server ${server.id} runs ${id}`);
  await sleep(WORK_MS);
  const own = { 'X-Attempt-Id': id, 'X-Server-Signature': '3e1b.07' };
  const text = encodeAnswer(200, own, `receipt of ${id} `.repeat(20));
  if (isInTrouble() && FAULTY.has(server.id) && (answers += 1) % SPOILED_EACH === 0) {
    const bytes = SPOILED[spoiled % SPOILED.length](text);
    spoiled += 1;
    record.write(`server ${server.id} spoils its answer to ${id}: ${JSON.stringify(bytes.slice(0, 24))}`);
    socket.end(bytes);
  } else {
    record.write(`server ${server.id} answers ${id}`);
    socket.write(text);
  }
}

const isWhole = (bytes) => {
  const split = bytes.indexOf('\r\n\r\n');
  if (split < 0) return false;
  const length = /content-length: *(\d+)/i.exec(bytes.toString('latin1', 0, split));
  return length !== null && bytes.length >= split + 4 + Number(length[1]);
};

async function request(daemon, id) {
  const text = [
    'POST /note/1 HTTP/1.1',
    'Host: desk.example',
    `X-Attempt-Id: ${id}`,
    `X-Deadline-Ms: ${TIMEOUT_MS}`,
    'Content-Length: 4',
    '',
    'note',
  ].join('\r\n');
  const sentAt = performance.now();
  record.write(`caller sends ${id} to ${daemon.name}`);
  const { bytes, end } = await call(daemon.front, text, 20_000, isWhole);
  const ms = Math.round(performance.now() - sentAt);
  const status = Number(bytes.toString('latin1', 9, 12));
  record.write(`caller of ${id}: status ${status} after ${ms} ms (${end})`);
  return { id, daemon, ms, status };
}

async function run() {
  await site.start(2);
  site.store.put('op', 'config', configuration());
  for (let i = 1; i <= 4; i += 1) await new Server(site, `i-000${i}`, {}, answer).start();
  site.startDaemons();
  if (!(await site.waitUntilReady())) throw new Error('the daemons are not ready');
  record.write('all daemons are ready');
  await sleep(4000);
  startedAt = performance.now();
  const callers = [];
  for (let i = 0; i < REQUESTS_PER_DAEMON; i += 1) {
    for (const [k, daemon] of site.daemons.entries()) callers.push(request(daemon, `a${k + 1}-${i + 1}`));
    await sleep(GAP_MS);
  }
  const results = await Promise.all(callers);
  let broken = false;
  for (const daemon of site.daemons) {
    const own = results.filter((result) => result.daemon === daemon);
    const outlasting = own.filter(({ ms }) => ms > TIMEOUT_MS);
    const unanswered = own.filter(({ ms }) => ms > TIMEOUT_MS + SLACK_MS);
    const longest = Math.max(...own.map(({ ms }) => ms));
    record.write(
      `${daemon.name}: ${own.length} requests, ${outlasting.length} without an answer at ${TIMEOUT_MS} ms, ` +
        `${unanswered.length} of these without one ${SLACK_MS} ms later; the longest took ${longest} ms`,
    );
  }
  const outlasting = results.filter(({ ms }) => ms > TIMEOUT_MS).length;
  const unanswered = results.filter(({ ms }) => ms > TIMEOUT_MS + SLACK_MS).length;
  if (unanswered >= 8 && unanswered > outlasting / 4) broken = true;
  record.write(`${spoiled} answers were spoiled`);
  record.write(`${broken ? 'BROKEN' : 'held'}: ${unanswered} of ${outlasting} that outlasted their time`);
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
