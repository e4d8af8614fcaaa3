/**
 * While the store is down, an engine crashes and comes back with newer software under the id that it had, and then
 * crashes again. Its streams go on at other engines. No stream may hold events of two software versions.
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
const PER_SECOND = 30;
const PIECES = 10;
const PIECE_MS = 80;
const TIMEOUT_MS = 3000;
const LONGEST_MS = 4000;
/** The platform's store is down for so long. */
const DOWN_MS = 4500;
/** The engine crashes after this part of it, is down for `CRASHED_MS`, and crashes again `SECOND_CRASH_MS` later. */
const FIRST_CRASH_MS = 200;
const CRASHED_MS = 2000;
const SECOND_CRASH_MS = 1700;
/** More mixed streams than this break the rule. */
const MIXED_ALLOWED = 2;

const CONFIGURATION = {
  version: 1,
  routes: [
    {
      name: 'eligibility-check',
      host: HOST,
      path_prefix: '/check/',
      route_kind: 'streaming',
      resumable: true,
      timeout_ms: TIMEOUT_MS,
      target_latency_ms: 300,
      target_itl_ms: 150,
      priority: 0,
      service: 'quote-llm',
      max_attempts: 2,
    },
  ],
  services: [
    {
      name: 'quote-llm',
      health_path: '/healthz',
      max_conns: 250,
      engine: { slots: 32, kv_capacity: 442678, kv_ttl_s: 5, switch_s: 1.1 },
    },
  ],
  limits: {
    max_header_bytes: 16384,
    max_body_bytes: 4194304,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15000,
  },
};

/** A decode engine. Each piece tells the software version that wrote it. */
function createEngine(record, number) {
  const row = {
    id: `i-${number}`,
    service: 'quote-llm',
    zone: number % 2 === 0 ? 'zone-b' : 'zone-a',
    version: 'v1',
    slots: 32,
    state: 'ready',
    phase: 'decode',
    cold_left_ms: 0,
    seq: 0,
    born: Date.now(),
  };
  return new RawServer(record, row, async (request, socket, server) => {
    const { version } = server.row;
    const first = Number(/^last-event-id: *(\d+)/im.exec(request.head)?.[1] ?? 0) + 1;
    record.add(`${request.id} runs at ${server.id} (${version}) from piece ${first}`);
    const head = [
      'HTTP/1.1 200 OK',
      `X-Attempt-Id: ${request.id}`,
      `X-Server-Signature: sig.${server.id}.${request.id}`,
      'Content-Type: text/event-stream',
      'Transfer-Encoding: chunked',
    ];
    socket.write(`${head.join('\r\n')}\r\n\r\n`);
    for (let piece = first; piece <= PIECES; piece += 1) {
      await delay(PIECE_MS);
      if (socket.destroyed) return;
      const event = `id: ${piece}\ndata: piece ${piece} by ${server.id} ${version}\n\n`;
      socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
    }
    socket.write('0\r\n\r\n');
  });
}

/** Sends streams to all daemons in turn at a steady pace until `isOver`. */
async function send(site, record, answers, isOver) {
  const startedAt = performance.now();
  for (let count = 0; !isOver(); count += 1) {
    const id = `stream-${count + 1}`;
    const daemon = site.daemons[count % site.daemons.length];
    record.add(`${id} sent to ${daemon.name}`);
    const headers = {
      'X-Attempt-Id': id,
      'X-Deadline-Ms': String(TIMEOUT_MS),
      'X-Model': 'm',
      'X-Token-Usage': '300,10',
      'X-Prefix-Hash': `5c1e07a2:60,${(count + 1).toString(16)}:240`,
    };
    const request = { method: 'POST', path: '/check/a', headers, body: 'question', timeoutMs: LONGEST_MS };
    answers.push(ask(daemon.front, request).then((answer) => ({ id, ...answer })));
    await delay(Math.max(0, startedAt + ((count + 1) * 1000) / PER_SECOND - performance.now()));
  }
}

async function disturb(site, record, engine) {
  record.add('the store is down');
  site.store.isDown = true;
  const upAgain = delay(DOWN_MS).then(() => {
    record.add('the store is up again');
    site.store.isDown = false;
  });
  await delay(FIRST_CRASH_MS);
  record.add(`${engine.id} (v1) crashes`);
  engine.crash();
  await delay(CRASHED_MS);
  await engine.restart({ version: 'v2', born: Date.now() });
  record.add(`${engine.id} is back with v2, under the same id`);
  await delay(SECOND_CRASH_MS);
  record.add(`${engine.id} (v2) crashes`);
  engine.crash();
  await upAgain;
  await delay(CRASHED_MS);
  await engine.restart({ born: Date.now() });
  record.add(`${engine.id} is back with v2`);
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (site, record) => {
  for (let number = 1; number <= SERVERS; number += 1) site.servers.push(createEngine(record, number));
  await site.start(DAEMONS, CONFIGURATION);
  await delay(4000);
  let over = false;
  const answers = [];
  const sending = send(site, record, answers, () => over);
  await delay(3000);
  if (TROUBLE) await disturb(site, record, site.servers[0]);
  else await delay(DOWN_MS + CRASHED_MS);
  await delay(2000);
  over = true;
  await sending;
  let mixed = 0;
  for (const { id, status, body } of await Promise.all(answers)) {
    const pieces = [...body.matchAll(/^data: piece \d+ by (\S+) (\S+)$/gm)];
    const writers = [...new Set(pieces.map(([, server, version]) => `${server} ${version}`))];
    const isMixed = new Set(pieces.map(([, , version]) => version)).size > 1;
    if (isMixed) mixed += 1;
    record.add(
      `${id} answered ${status}, ${pieces.length} of ${PIECES} pieces by ${writers.join(', ')}${isMixed ? ': MIXED' : ''}`,
    );
  }
  record.add(`${mixed} of ${answers.length} streams hold events of two software versions`);
  return mixed > MIXED_ALLOWED;
});
