/**
 * Some servers spoil a few of their answers: bytes that are no answer in the protocol. Every daemon has to go on
 * answering its other requests in the time that their route allows.
 */
import { dirname } from 'node:path';
import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { ask } from '../lib/client.mjs';
import { RawServer } from '../lib/server.mjs';
import { HOST, runCase, TROUBLE } from '../lib/site.mjs';

const DAEMONS = 3;
const SERVERS = 4;
const WORK_MS = 30;
/** Half of the servers spoil 2 in 100 of their answers for 5 s. */
const SPOILED_EACH = 50;
const SPOILED_FOR_MS = 5000;
const QUIET_MS = 4000;
const TIMEOUT_MS = 400;
const DEADLINE_MS = 4000;
/** The rule: a final answer half a second after the route's timeout. */
const GRACE_MS = 500;
const LEAST_UNANSWERED = 8;
const PER_SECOND = 40;

function createRoute(name, kind) {
  return {
    name,
    host: HOST,
    path_prefix: `/${name}/`,
    route_kind: kind,
    timeout_ms: TIMEOUT_MS,
    target_latency_ms: 150,
    priority: 2,
    service: 'quote-app',
    max_attempts: kind === 'idempotent' ? 2 : 1,
  };
}

const CONFIGURATION = {
  version: 1,
  routes: [createRoute('quote-doc', 'non_idempotent'), createRoute('quote-confirm', 'idempotent')],
  services: [{ name: 'quote-app', health_path: '/healthz', max_conns: 110 }],
  limits: {
    max_header_bytes: 16384,
    max_body_bytes: 4194304,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15000,
  },
};

let spoils = false;

function createServer(record, number) {
  const row = {
    id: `i-${number}`,
    service: 'quote-app',
    zone: number % 2 === 0 ? 'zone-b' : 'zone-a',
    version: 'v1',
    slots: 16,
    state: 'ready',
    cold_left_ms: 0,
    seq: 0,
  };
  let answers = 0;
  return new RawServer(record, row, async (request, socket, server) => {
    await delay(WORK_MS);
    const isFaulty = number % 2 === 1;
    if (isFaulty && spoils) answers += 1;
    const isSpoiled = isFaulty && spoils && answers % SPOILED_EACH === 0;
    const body = `answer to ${request.id}`;
    const head = [
      isSpoiled ? 'HTTP/1.1 000 OK' : 'HTTP/1.1 200 OK',
      `X-Attempt-Id: ${request.id}`,
      `X-Server-Signature: sig.${server.id}.${request.id}`,
      `Content-Length: ${body.length}`,
    ];
    if (isSpoiled) record.add(`${request.id} ran at ${server.id}, its answer is spoiled: ${head[0]}`);
    socket.write(`${head.join('\r\n')}\r\n\r\n${body}`);
  });
}

/** Sends requests to a daemon at a steady pace until `isOver`. */
async function send(daemon, record, results, isOver) {
  const pending = [];
  const startedAt = performance.now();
  for (let count = 0; !isOver(); count += 1) {
    const id = `${daemon.name}-${count + 1}`;
    const route = count % 2 === 0 ? 'quote-doc' : 'quote-confirm';
    const sentAt = performance.now();
    const answer = ask(daemon.front, {
      method: 'POST',
      path: `/${route}/a`,
      headers: { 'X-Attempt-Id': id, 'X-Deadline-Ms': String(DEADLINE_MS) },
      body: 'order',
      timeoutMs: DEADLINE_MS,
    }).then(({ status, ending }) => {
      const tookMs = Math.round(performance.now() - sentAt);
      results.push({ id, status, tookMs, answered: status > 0 });
      record.add(`${id} answered ${status === 0 ? `nothing (${ending})` : status} after ${tookMs} ms`);
    });
    pending.push(answer);
    await delay(Math.max(0, startedAt + ((count + 1) * 1000) / PER_SECOND - performance.now()));
  }
  await Promise.all(pending);
}

/** Asks for the readiness each 250 ms, as the platform does each second, and records slow answers. */
async function watchReadiness(daemon, record, isOver) {
  while (!isOver()) {
    const askedAt = performance.now();
    await daemon.isReady();
    const tookMs = Math.round(performance.now() - askedAt);
    if (tookMs > 500) record.add(`${daemon.name} answered GET /v1/readyz after ${tookMs} ms`);
    await delay(250);
  }
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (site, record) => {
  for (let number = 1; number <= SERVERS; number += 1) site.servers.push(createServer(record, number));
  await site.start(DAEMONS, CONFIGURATION);
  await delay(4000);
  let over = false;
  const isOver = () => over;
  const results = [];
  const work = site.daemons.flatMap((daemon) => [
    send(daemon, record, results, isOver),
    watchReadiness(daemon, record, isOver),
  ]);
  await delay(QUIET_MS);
  if (TROUBLE) {
    record.add('half of the servers begin to spoil 2 in 100 of their answers');
    spoils = true;
  }
  await delay(SPOILED_FOR_MS);
  spoils = false;
  await delay(QUIET_MS);
  over = true;
  await Promise.all(work);
  const outlasted = results.filter(({ tookMs, answered }) => tookMs > TIMEOUT_MS || !answered);
  const unanswered = outlasted.filter(({ tookMs, answered }) => tookMs > TIMEOUT_MS + GRACE_MS || !answered);
  record.add(
    `${results.length} requests, ${outlasted.length} outlasted the ${TIMEOUT_MS} ms of their route, ` +
      `${unanswered.length} of them without an answer ${GRACE_MS} ms later`,
  );
  return unanswered.length >= LEAST_UNANSWERED && unanswered.length > outlasted.length / 4;
});
