/**
 * Shows the entry of KNOWN-RED.txt on a stream whose successor rejects it while the retry budget is empty, in real
 * processes: no disruption at all, but a new configuration and a sound engine that is silent for 1.4 s while the
 * others are nearly full. A stream that the daemon cuts had an engine that would have gone on.
 */
import { dirname } from 'node:path';
import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { ask } from '../lib/client.mjs';
import { RawServer } from '../lib/server.mjs';
import { HOST, now, runCase, TROUBLE } from '../lib/site.mjs';

const DAEMONS = 7;
const SERVERS = 4;
const SLOTS = 32;
const QUEUE = 4;
/** Streams at once: 28 for each engine. */
const STREAMS = 112;
const PIECES = 30;
const PIECE_MS = 100;
const SILENT_MS = 1400;
const TIMEOUT_MS = 6000;
/** `config_ms` + 1 s after the acknowledgement. */
const PLANNED_MS = 3000;

function createRoute(name, timeoutMs) {
  return {
    name,
    host: HOST,
    path_prefix: `/${name}/`,
    route_kind: 'streaming',
    resumable: true,
    timeout_ms: timeoutMs,
    target_latency_ms: 600,
    target_itl_ms: 150,
    priority: 0,
    service: 'quote-llm',
    max_attempts: 2,
  };
}

/** Versions differ only in the timeout of a route that has no traffic. */
function createConfiguration(version) {
  return {
    version,
    routes: [createRoute('review', TIMEOUT_MS), createRoute('check', 3000 - version)],
    services: [
      {
        name: 'quote-llm',
        health_path: '/healthz',
        max_conns: 250,
        engine: { slots: SLOTS, kv_capacity: 442678, kv_ttl_s: 5, switch_s: 1.1 },
      },
    ],
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 4194304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
    },
  };
}

let silentUntil = 0;

function createEngine(record, number) {
  const row = {
    id: `i-${number}`,
    service: 'quote-llm',
    zone: number % 2 === 0 ? 'zone-b' : 'zone-a',
    version: 'v1',
    slots: SLOTS,
    state: 'ready',
    phase: 'decode',
    cold_left_ms: 0,
    seq: 0,
  };
  const running = new Set();
  return new RawServer(record, row, async ({ id, head }, socket, server) => {
    if (running.size >= SLOTS + QUEUE) {
      record.add(`${id} is turned away by ${server.id}, which is full`);
      socket.write(
        `HTTP/1.1 503 Full\r\nX-Attempt-Id: ${id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`,
      );
      return;
    }
    const run = {};
    running.add(run);
    const end = () => running.delete(run);
    socket.once('close', end);
    const waitWhileSilent = async () => {
      while (number === 1 && performance.now() < silentUntil) await delay(20);
    };
    await waitWhileSilent();
    const first = Number(/^last-event-id: *(\d+)/im.exec(head)?.[1] ?? 0) + 1;
    record.add(`${id} runs at ${server.id} from piece ${first}`);
    socket.write(
      `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nX-Server-Signature: sig.${server.id}.${id}\r\n` +
        'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n',
    );
    for (let piece = first; piece <= PIECES && !socket.destroyed; piece += 1) {
      await delay(PIECE_MS);
      await waitWhileSilent();
      const event = `id: ${piece}\ndata: piece ${piece}\n\n`;
      socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
    }
    if (!socket.destroyed) socket.write('0\r\n\r\n');
    socket.off('close', end);
    end();
  });
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (site, record) => {
  for (let number = 1; number <= SERVERS; number += 1) site.servers.push(createEngine(record, number));
  await site.start(DAEMONS, createConfiguration(1));
  await delay(4000);
  let over = false;
  let count = 0;
  const results = [];
  const sendStreams = async (index) => {
    await delay(index * 25);
    while (!over) {
      count += 1;
      const id = `stream-${count}`;
      const daemon = site.daemons[count % DAEMONS];
      const headers = {
        'X-Attempt-Id': id,
        'X-Deadline-Ms': String(TIMEOUT_MS),
        'X-Model': 'm',
        'X-Token-Usage': '300,30',
        'X-Prefix-Hash': `5c1e07a2:60,${count.toString(16)}:240`,
      };
      const sentAt = now();
      const request = { method: 'POST', path: '/review/a', headers, body: 'question', timeoutMs: 7000 };
      const { status, ending, body } = await ask(daemon.front, request);
      const pieces = (body.match(/^data: piece /gm) ?? []).length;
      const isCut = status === 200 && ending !== 'complete';
      results.push({ sentAt, endedAt: now(), isCut });
      record.add(`${id} at ${daemon.name}: ${status}, ${pieces} pieces${isCut ? ', CUT' : ''}`);
      if (status !== 200) await delay(300);
    }
  };
  const streams = Array.from({ length: STREAMS }, (_, index) => sendStreams(index));
  await delay(9000);
  const changedAt = now();
  record.add('version 2 of the configuration is written');
  site.store.write('op', 'config', createConfiguration(2));
  await delay(300);
  if (TROUBLE) {
    record.add(`i-1 is silent for ${SILENT_MS} ms`);
    silentUntil = performance.now() + SILENT_MS;
  }
  await delay(6000);
  over = true;
  await Promise.all(streams);
  const cut = results.filter(({ isCut }) => isCut);
  const planned = cut.filter(
    ({ sentAt, endedAt }) =>
      endedAt >= changedAt && endedAt < changedAt + PLANNED_MS && endedAt - sentAt < 0.7 * TIMEOUT_MS,
  );
  record.add(
    `${results.length} streams; ${planned.length} were cut beside the change, ` +
      `${cut.length - planned.length} at other times`,
  );
  return planned.length > 0 && planned.length > 3 * (cut.length - planned.length);
});
