/**
 * Tests of the deployed program: the bundle that deploy/system.toml builds starts, reads the store and
 * serves.
 */
import { execFile, spawn, type ChildProcess } from 'node:child_process';
import { copyFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { once } from 'node:events';
import { createServer, get, type Server } from 'node:http';
import { createServer as createNetServer, type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import { expect } from 'chai';
import { parse } from 'smol-toml';
import { ScriptedBackend } from '../lab/scripted-backend.js';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const execute = promisify(execFile);

interface DeployFile {
  readonly build: string;
  readonly roles: Readonly<Record<string, { readonly run: string }>>;
}

async function findFreePort(): Promise<number> {
  const server = createNetServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

function createStore(rows: Readonly<Record<string, { key: string; value: object }[]>>): Server {
  return createServer((request, response) => {
    const url = new URL(request.url ?? '/', 'http://store');
    const feed = url.pathname.endsWith('feed');
    const table = rows[url.searchParams.get('table') ?? ''] ?? [];
    const found = table.map(({ key, value }, index) => ({
      key,
      ver: index + 1,
      value: Buffer.from(JSON.stringify(value)).toString('base64'),
    }));
    const answer = JSON.stringify({ rows: feed ? [] : found, ver: 10, more: false });
    setTimeout(() => response.end(answer), feed ? 500 : 0);
  });
}

function readDeployFile(): DeployFile {
  return parse(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')) as unknown as DeployFile;
}

/** The words of the program's command line after that of the runtime, with the start script at `path`. */
function getArguments({ roles }: DeployFile, path: string): string[] {
  return roles.forwarder.run.replace('target/start.cjs', path).split(' ').slice(1);
}

/** The platform takes a daemon out that does not answer a health check in this time. Milliseconds. */
const HEALTH_CHECK_LIMIT_MS = 1000;

/** The status of the answer to a request of the route. */
function ask(address: string): Promise<number | undefined> {
  const headers = { Host: 'h.example', 'X-Attempt-Id': 'id1' };
  return new Promise((resolve, reject) => {
    get(`http://${address}/p/x`, { headers, agent: false }, (answer) => {
      answer.resume();
      resolve(answer.statusCode);
    }).on('error', reject);
  });
}

describe('the deployed bundle', () => {
  const folder = mkdtempSync(join(tmpdir(), 'bundle-'));
  let daemon: ChildProcess | undefined;
  let store: Server | undefined;
  let backend: ScriptedBackend | undefined;
  let addresses = { front: '', ready: '' };

  after(() => {
    daemon?.kill('SIGKILL');
    store?.close();
    store?.closeAllConnections();
    backend?.close();
    rmSync(folder, { recursive: true });
  });

  it('starts, reads the store, forwards, serves metrics; a second process reports that its address is in use', async () => {
    const deploy = readDeployFile();
    const bundle = join(folder, 'start.cjs');
    const build = deploy.build.replace(/^.*npm ci --silent; /, '').replace(/target$/, folder);
    await execute('bash', ['-c', build], { cwd: ROOT });

    backend = new ScriptedBackend((_request, socket) => {
      const head =
        'HTTP/1.1 200 OK\r\nX-Attempt-Id: id1\r\nX-Server-Signature: s\r\nContent-Length: 2\r\n\r\n';
      socket.write(`${head}ok`);
    });
    const addr = await backend.listen();
    const route = {
      name: 'r',
      host: 'h.example',
      path_prefix: '/p/',
      route_kind: 'idempotent',
      service: 's',
    };
    store = createStore({
      op: [
        {
          key: 'config',
          value: { version: 1, routes: [{ ...route, timeout_ms: 2000 }], services: [{ name: 's' }] },
        },
      ],
      servers: [{ key: 'i-1', value: { service: 's', addr, zone: 'z', slots: 4, state: 'ready' } }],
    });
    await new Promise<void>((resolve) => store?.listen(0, '127.0.0.1', resolve));
    const storePort = (store.address() as AddressInfo).port;

    const [front, ready, control, metrics] = [
      await findFreePort(),
      await findFreePort(),
      await findFreePort(),
      await findFreePort(),
    ];
    const settings = join(folder, 'settings.toml');
    writeFileSync(
      settings,
      `node = "n1"\nzone = "z"\nip = "127.0.0.1"\nregion = "r"\nport_range = [${metrics}, ${metrics}]\n` +
        'heartbeat_ms = 1200\nseeds = []\n[listen]\n' +
        `front = "127.0.0.1:${front}"\nready = "127.0.0.1:${ready}"\ncontrol = "127.0.0.1:${control}"\n` +
        '[bounds]\ncontact_ms = 3000\nconfig_ms = 2000\ngrace_s = 8\nlease_ms = 3000\n' +
        'retry_budget_ratio = 0.2\nbudget_slack = 54\nbudget_window_s = 10\n' +
        `[platform]\naddr = "127.0.0.1:${storePort}"\n`,
    );
    addresses = { front: `127.0.0.1:${front}`, ready: `127.0.0.1:${ready}` };
    const programArguments = getArguments(deploy, bundle);
    daemon = spawn(process.execPath, programArguments, {
      env: { ...process.env, PULLEYLEDGE_NODE_FILE: settings },
      stdio: 'ignore',
    });

    await waitForStatus(`http://127.0.0.1:${ready}/v1/readyz`, 200);
    const answer = await fetch(`http://127.0.0.1:${front}/p/x`, {
      headers: { 'X-Attempt-Id': 'id1', Host: 'h.example' },
    });
    // fetch sets the Host header itself, so no route matches. A 404 shows that the daemon has loaded its
    // routes.
    expect(answer.status).to.equal(404);
    const text = await (await fetch(`http://127.0.0.1:${metrics}/metrics`)).text();
    expect(text).to.match(/pulleyledge_ready 1/);
    expect(text).to.match(/pulleyledge_store_calls_total\{call="backends",outcome="snapshot"\} 1/);
    expect(text).to.match(/pulleyledge_forward_decisions_total\{event="request.refused"/);

    const second = await execute(process.execPath, programArguments, {
      env: { ...process.env, PULLEYLEDGE_NODE_FILE: settings },
    }).then(
      () => ({ code: 0, stderr: '' }),
      (error: { code: number; stderr: string }) => error,
    );
    expect(second.code).to.equal(71);
    expect(second.stderr).to.match(/^listen-failed: cannot listen on 127\.0\.0\.1:\d+: EADDRINUSE/);
  });

  /*
   * Guards against a process that stands still for seconds after one invalid answer: the runtime parsed the whole bundle
   * for the message of a failed assertion.
   */
  for (const status of ['000', '099', '101'])
    it(`stays responsive when a back end answers with the status ${status}`, async () => {
      if (backend)
        backend.script = ({ head }, socket) => {
          const answered = head.startsWith('GET /p/') ? status : '200';
          socket.write(`HTTP/1.1 ${answered} OK\r\nX-Attempt-Id: id1\r\nContent-Length: 2\r\n\r\nok`);
        };
      const answer = ask(addresses.front);
      let longestMs = 0;
      for (let check = 0; check < 20; check += 1) {
        const startedAt = performance.now();
        await fetch(`http://${addresses.ready}/v1/readyz`);
        longestMs = Math.max(longestMs, performance.now() - startedAt);
        await new Promise((resolve) => setTimeout(resolve, 10));
      }
      expect(await answer).to.equal(502);
      expect(longestMs, 'longest health check').to.be.lessThan(HEALTH_CHECK_LIMIT_MS);
    });

  it('contains no assertion whose message is made from the source', () => {
    const bundle = readFileSync(join(folder, 'pulleyledge.cjs'), 'utf8');
    expect(bundle).not.to.match(/require\("(node:)?assert(\/strict)?"\)/);
    expect(bundle).not.to.match(/\bassert\d*\.(?!ok\b|AssertionError\b)\w+\(/);
  });

  it('SIGHUP during startup does not end the program', async () => {
    const copy = mkdtempSync(join(tmpdir(), 'early-signal-'));
    copyFileSync(join(ROOT, 'deploy/start.cjs'), join(copy, 'start.cjs'));
    const slowStart =
      'process.stdout.write("starting"); const end = Date.now() + 500; while (Date.now() < end);';
    writeFileSync(join(copy, 'pulleyledge.cjs'), slowStart);
    const starting = spawn(process.execPath, [join(copy, 'start.cjs')], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    starting.stdout?.once('data', () => starting.kill('SIGHUP'));
    const [code, signal] = (await once(starting, 'exit')) as [number | null, string | null];
    expect({ code, signal }).to.deep.equal({ code: 0, signal: null });
    rmSync(copy, { recursive: true });
  });

  /*
   * Guards against a needlessly long time in which SIGHUP ends a starting process: the start script loaded
   * modules before it handled the signal.
   */
  it('the start script handles SIGHUP before it loads anything', () => {
    const source = readFileSync(join(ROOT, 'deploy/start.cjs'), 'utf8');
    const handled: string[] = [];
    const load = (name: string): never => {
      throw new Error(`loads ${name}`);
    };
    const run = new Function('require', 'module', 'process', '__dirname', source);
    const stub = { on: (signal: string) => handled.push(signal) };
    expect(() => void run(load, {}, stub, '')).to.throw('loads');
    expect(handled).to.deep.equal(['SIGHUP']);
  });

  it('does not use a code cache that was made from another source of the same length', async () => {
    const copy = mkdtempSync(join(tmpdir(), 'code-cache-'));
    copyFileSync(join(ROOT, 'deploy/start.cjs'), join(copy, 'start.cjs'));
    const writeBundle = (value: number): void =>
      writeFileSync(
        join(copy, 'pulleyledge.cjs'),
        `const getValue = () => ${value}; process.stdout.write(String(getValue()))`,
      );
    const cachePath = `started.cachePath || require('path').join('${copy}', 'pulleyledge.cache')`;
    const makeCache = `const started = require('${copy}/start.cjs'); require('fs').writeFileSync(${cachePath}, started.script.createCachedData())`;
    writeBundle(111);
    expect((await execute(process.execPath, ['-e', makeCache])).stdout).to.equal('111');
    writeBundle(222);
    expect((await execute(process.execPath, [join(copy, 'start.cjs')])).stdout).to.equal('222');
    rmSync(copy, { recursive: true });
  });

  /*
   * Guards against a start that compiles the program or loads modules of the runtime that no start needs: each costs
   * callers of a daemon that restarts some milliseconds of refused connections.
   */
  it('starts from its code cache and without modules that it does not need', async () => {
    const flags = getArguments(readDeployFile(), join(folder, 'start.cjs')).slice(0, -1);
    const list = "process.moduleLoadList.map(name => name.replace('NativeModule ', ''))";
    const show = `const {script} = require('${folder}/start.cjs'); process.stderr.write(JSON.stringify({rejected: script.cachedDataRejected, loaded: ${list}})); process.exit(0)`;
    const { stderr } = await execute(process.execPath, [...flags, '-e', show], {
      env: { ...process.env, PULLEYLEDGE_NODE_FILE: join(folder, 'settings.toml') },
    });
    const { rejected, loaded } = JSON.parse(stderr) as { rejected: boolean; loaded: string[] };
    expect(rejected).to.equal(false);
    const unneeded = ['zlib', 'v8', 'http2', 'https', 'tls', 'cluster'];
    expect(loaded.filter((name) => unneeded.includes(name))).to.deep.equal([]);
  });
});

async function waitForStatus(url: string, status: number): Promise<void> {
  for (let tries = 0; tries < 200; tries += 1) {
    const answer = await fetch(url).catch(() => undefined);
    if (answer?.status === status) return;
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  throw new Error(`${url} did not answer ${status}`);
}
