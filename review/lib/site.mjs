/**
 * A small deployment for the review's scripts: the platform's store, and daemons started with the command of the
 * deploy file. Stand-ins run in the process of the script; every daemon is a process of its own.
 */
import { Buffer } from 'node:buffer';
import { spawn } from 'node:child_process';
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer as createHttpServer, request as sendHttp } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';

export const ROOT = dirname(dirname(dirname(fileURLToPath(import.meta.url))));
export const HOST = 'site.example';

const startedAt = performance.now();

/** Milliseconds since the start of the script. */
export function now() {
  return Math.round(performance.now() - startedAt);
}

/** Whether the disruption takes place. */
export const TROUBLE = process.env.TROUBLE !== '0';

/** Collects what was sent, answered and run, and writes it to `record.txt` of the case. */
export class Record {
  lines = [];

  constructor(folder) {
    this.path = join(folder, 'record.txt');
  }

  add(text) {
    this.lines.push(`${String(now()).padStart(6)} ms  ${text}`);
  }

  write() {
    writeFileSync(this.path, `${this.lines.join('\n')}\n`);
  }
}

/** Finds free ports on the loopback address. */
export async function findPorts(count) {
  const servers = Array.from({ length: count }, () => createServer());
  await Promise.all(servers.map((server) => new Promise((done) => server.listen(0, '127.0.0.1', done))));
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((done) => server.close(done))));
  return ports;
}

/** The platform's metadata store, as the page describes it: rows, transactions and feeds. */
export class Store {
  rows = new Map();
  history = [];
  version = 0;
  polls = new Set();
  /** While the store is down, calls get no answer and have no effect. */
  isDown = false;
  /** Called with each transaction of a daemon. */
  onTransaction = () => undefined;

  async start() {
    this.server = createHttpServer((request, response) => this.receive(request, response));
    await new Promise((done) => this.server.listen(0, '127.0.0.1', done));
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a row as the operator or a server does. */
  write(table, key, value) {
    const text = Buffer.from(JSON.stringify(value)).toString('base64');
    this.apply([{ table, part: '', key, value: text }], []);
  }

  remove(table, key) {
    this.apply([], [{ table, part: '', key }]);
  }

  apply(put, remove) {
    this.version += 1;
    const ver = this.version;
    for (const row of put) {
      this.rows.set(`${row.table}/${row.key}`, { ...row, ver });
      this.history.push({ ...row, ver });
    }
    for (const row of remove) {
      this.rows.delete(`${row.table}/${row.key}`);
      this.history.push({ ...row, ver, gone: true });
    }
    for (const poll of [...this.polls]) poll();
  }

  receive(request, response) {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      if (this.isDown) return;
      const url = new URL(request.url.replaceAll('+', '%2B'), 'http://store');
      const answer = (status, value) =>
        setTimeout(() => {
          response.writeHead(status, { 'Content-Type': 'application/json' });
          response.end(JSON.stringify(value));
        }, 4);
      if (url.pathname === '/v1/rows-get') answer(200, this.get(url));
      else if (url.pathname === '/v1/rows-feed') this.feed(url, answer);
      else if (url.pathname === '/v1/rows-tx') this.transact(Buffer.concat(chunks).toString('utf8'), answer);
      else answer(404, {});
    });
  }

  get(url) {
    const table = url.searchParams.get('table');
    const from = url.searchParams.get('from') ?? '';
    const until = url.searchParams.get('target_version');
    const rows = [...this.rows.values()]
      .filter((row) => row.table === table && row.key >= from && (until === null || row.key < until))
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    return { rows, more: false, ver: this.version, now_ms: now() };
  }

  feed(url, answer) {
    const table = url.searchParams.get('table');
    const after = Number(url.searchParams.get('after'));
    const finish = () => {
      clearTimeout(timer);
      this.polls.delete(poll);
      const rows = this.history.filter((row) => row.table === table && row.ver > after);
      answer(200, { rows, ver: this.version, now_ms: now() });
    };
    const poll = () => {
      if (this.history.some((row) => row.table === table && row.ver > after)) finish();
    };
    const timer = setTimeout(finish, Number(url.searchParams.get('wait_ms')));
    this.polls.add(poll);
    poll();
  }

  transact(text, answer) {
    const { expected_count: expected = [], put = [], remove = [] } = JSON.parse(text);
    const current = expected.map(
      ({ table, part, key }) => this.rows.get(`${table}/${key}`) ?? { table, part, key, ver: 0 },
    );
    const holds = expected.every(({ ver }, index) => current[index].ver === ver);
    this.onTransaction({ expected, put, remove, holds });
    if (!holds) {
      answer(412, { rows: current, ver: this.version });
      return;
    }
    this.apply(put, remove);
    answer(200, { ver: this.version });
  }
}

function readCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/** One daemon: the deployed program with a settings file like that of a small deployment. */
export class Daemon {
  constructor(site, name, zone, ports) {
    this.site = site;
    this.name = name;
    this.zone = zone;
    [this.front, this.ready, this.control, this.metrics] = ports;
  }

  writeSettings(seeds, bootstrap = true) {
    const { store, folder, bounds } = this.site;
    const lines = Object.entries(bounds).map(([key, value]) => `${key} = ${value}`);
    this.settingsPath = join(folder, `${this.name}.toml`);
    writeFileSync(
      this.settingsPath,
      [
        `node = "${this.name}"`,
        'role = "forwarder"',
        'node_class = "frontend"',
        'serves = ["frontend", "control_plane"]',
        'ip = "127.0.0.1"',
        `zone = "${this.zone}"`,
        'region = "region-a"',
        `port_range = [${this.metrics}, ${this.metrics}]`,
        `seeds = ${JSON.stringify(seeds)}`,
        `bootstrap = ${bootstrap}`,
        'heartbeat_ms = 1200',
        '[zones]',
        'zone-a = "region-a"',
        'zone-b = "region-a"',
        '[listen]',
        `front = "127.0.0.1:${this.front}"`,
        `ready = "127.0.0.1:${this.ready}"`,
        `control = "127.0.0.1:${this.control}"`,
        '[limits]',
        'max_fds = 4100',
        '[bounds]',
        ...lines,
        '[platform]',
        `addr = "${store.address}"`,
        '',
      ].join('\n'),
    );
  }

  start() {
    const [program, ...words] = readCommand();
    const log = openSync(join(this.site.folder, `${this.name}.log`), 'a');
    this.child = spawn(program === 'node' ? process.execPath : program, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: this.site.folder, PULLEYLEDGE_NODE_FILE: this.settingsPath },
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    const { child } = this;
    this.ended = new Promise((done) => child.once('exit', (code, signal) => done({ code, signal })));
  }

  signal(name) {
    if (this.child && this.child.exitCode === null && this.child.signalCode === null) this.child.kill(name);
  }

  async waitUntilReady(limitMs = 15000) {
    const until = performance.now() + limitMs;
    while (performance.now() < until) {
      if (await this.isReady()) return;
      await delay(50);
    }
    throw new Error(`${this.name} did not become ready`);
  }

  isReady() {
    return new Promise((done) => {
      const call = sendHttp(`http://127.0.0.1:${this.ready}/v1/readyz`, (answer) => {
        answer.resume();
        done(answer.statusCode === 200);
      });
      call.on('error', () => done(false));
      call.end();
    });
  }
}

/** The bounds of the smaller deployments of the pages. */
export const BOUNDS = {
  seed_lag_s: 3,
  addr_reuse_s: 2,
  contact_ms: 3000,
  ack_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2000,
  grace_s: 8,
  loss_slack_ms: 200,
  config_ms: 2000,
  rollback_slack_ms: 250,
  max_skew_ms: 5000,
  retry_budget_ratio: 0.2,
  budget_window_s: 10,
  budget_slack: 58,
  recovery_s: 12,
  transit_ms: 120,
  retry_after_s: 10,
  fencing_enforced: true,
  lease_ms: 3000,
  thaw_ms: 300,
};

/** The store and the daemons of one script. Everything that it starts is ended by `close`. */
export class Site {
  daemons = [];
  servers = [];
  store = new Store();
  folder = mkdtempSync(join(tmpdir(), 'review-'));
  bounds = BOUNDS;

  /** Starts the store and `count` daemons in zone-a and zone-b, and waits until they are ready. */
  async start(count, configuration) {
    await this.store.start();
    this.store.write('op', 'config', configuration);
    for (const server of this.servers) await server.start(this.store);
    const ports = await findPorts(4 * count);
    for (let index = 0; index < count; index += 1) {
      const own = ports.slice(4 * index, 4 * index + 4);
      this.daemons.push(
        new Daemon(this, `frontend-${index + 1}`, index % 2 === 0 ? 'zone-a' : 'zone-b', own),
      );
    }
    const seeds = this.daemons.slice(0, 3).map(({ control }) => `127.0.0.1:${control}`);
    for (const daemon of this.daemons) {
      daemon.writeSettings(seeds);
      daemon.start();
    }
    await Promise.all(this.daemons.map((daemon) => daemon.waitUntilReady()));
  }

  async close() {
    for (const daemon of this.daemons) {
      daemon.signal('SIGCONT');
      daemon.signal('SIGKILL');
    }
    await Promise.all(this.daemons.map(({ ended }) => ended));
    for (const server of this.servers) server.close();
    if (this.store.server) this.store.close();
    if (process.env.KEEP_LOGS !== '1') rmSync(this.folder, { recursive: true, force: true });
  }
}

/**
 * Runs a case: `play` starts a site, records what happens and returns whether the rule was broken. Exits with 1 if
 * it was, 0 if it held and 2 if the case couldn't run. The site is closed in every case, also when the script is
 * interrupted.
 */
export async function runCase(folder, play) {
  const site = new Site();
  const record = new Record(folder);
  record.add(TROUBLE ? 'with the disruption' : 'without the disruption (TROUBLE=0)');
  let code = 2;
  let finishing = false;
  const finish = async (reason) => {
    if (finishing) return;
    finishing = true;
    if (reason) record.add(`not run: ${reason}`);
    record.write();
    try {
      await site.close();
    } catch (error) {
      code = 2;
      record.add(`not run: ${error.stack}`);
      record.write();
    }
    process.exit(code);
  };
  const fail = (reason) => {
    if (finishing) return;
    code = 2;
    void finish(reason);
  };
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.on(signal, () => fail(signal));
  for (const event of ['uncaughtException', 'unhandledRejection'])
    process.on(event, (error) => fail(error?.stack ?? String(error)));
  setTimeout(() => fail('the time of the script is over'), 110000).unref();
  try {
    const broken = await play(site, record);
    code = broken ? 1 : 0;
    record.add(broken ? 'the rule was broken' : 'the rule held');
    await finish();
  } catch (error) {
    code = 2;
    await finish(error.stack);
  }
}
