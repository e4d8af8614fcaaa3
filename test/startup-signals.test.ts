/**
 * Guards against a starting daemon that SIGHUP terminates, or that misses the settings the signal announces. The order
 * of events is forced: each file that the program reads is a FIFO, and its store accepts no call, until the signal is
 * delivered.
 */
import { execFile, spawn, type ChildProcess } from 'node:child_process';
import { closeSync, constants, cpSync, mkdtempSync, openSync, readdirSync } from 'node:fs';
import { readFileSync, renameSync, rmSync, writeFileSync } from 'node:fs';
import { open } from 'node:fs/promises';
import { connect, createServer, type AddressInfo, type Server } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import { expect } from 'chai';
import { parse } from 'smol-toml';
import { findFreePorts } from '../lab/free-ports.js';
import { formatSettings } from '../lab/soak/settings-file.js';
import { SOAK_BOUNDS } from '../lab/soak/soak-record.js';
import { formatConfiguration, SOAK_SERVICES } from '../lab/soak/soak-routes.js';
import { StoreStandIn } from '../lab/soak/store-stand-in.js';
import { delay } from '../src/shared/delay.js';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const execute = promisify(execFile);
const POLL_MS = 2;
const STATUS_UNAVAILABLE = 503;
const PROGRAM = 'pulleyledge.cjs';
const START_SCRIPT = 'start.cjs';
const SETTINGS = 'settings.toml';
const TLS_CONFIGURATION = 'openssl.cnf';
/** The events of a start in their order, after the first line of the start script. */
const EVENTS = [
  'opens the program',
  'opens the code cache',
  'opens the settings',
  'connects to the store',
  'is ready',
] as const;
/** An event of the runtime's own start, at which no JavaScript has run. */
const RUNTIME_EVENT = 'reads its TLS configuration';
type StartEvent = (typeof EVENTS)[number] | 'opens the start script' | typeof RUNTIME_EVENT;

/** The outcome of a start: how the process was terminated, or how it serves and which settings it read again. */
type Outcome = { readonly signal: string | null } | { readonly status: number; readonly reloads: string[] };

function readFlags(): string[] {
  const deploy = parse(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')) as {
    roles: Record<string, { run: string }>;
  };
  return deploy.roles.forwarder.run.split(' ').filter((word) => word.startsWith('--'));
}

function hasExited({ exitCode, signalCode }: ChildProcess): boolean {
  return exitCode !== null || signalCode !== null;
}

/** Whether SIGHUP was sent to the process and neither handled nor its default action taken. */
function isPending({ pid }: ChildProcess): boolean {
  const pending = /^ShdPnd:\s*([0-9a-f]+)$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'));
  return pending !== null && (BigInt(`0x${pending[1]}`) & 1n) !== 0n;
}

/** Polls until the condition holds; returns false when the process exits first. */
async function waitFor(child: ChildProcess, condition: () => boolean | Promise<boolean>): Promise<boolean> {
  while (!hasExited(child)) {
    if (await condition()) return true;
    await delay(POLL_MS);
  }
  return false;
}

/**
 * Opens a FIFO for writing if a process has opened it for reading; undefined otherwise. The descriptor keeps the reader
 * from the end of the file; it does not block.
 */
function openFifo(path: string): number | undefined {
  try {
    return openSync(path, constants.O_WRONLY | constants.O_NONBLOCK);
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'ENXIO') return undefined;
    throw error;
  }
}

/** One start of the deployed program, with SIGHUP at some of its events. */
class HeldStart {
  private child!: ChildProcess;
  private readonly folder = mkdtempSync(join(tmpdir(), 'startup-signals-'));
  private readonly store = new StoreStandIn();
  private proxy: Server | undefined;
  private addresses = { front: '', ready: '', control: '', metrics: 0 };

  constructor(
    program: string,
    private readonly signalledAt: readonly StartEvent[],
  ) {
    cpSync(program, this.folder, { recursive: true });
  }

  /** Removes the lines of the start script that match, for a broken variant. */
  removeLines(pattern: RegExp): void {
    const path = join(this.folder, START_SCRIPT);
    writeFileSync(path, readFileSync(path, 'utf8').replaceAll(pattern, ''));
  }

  async run(): Promise<Outcome> {
    await this.writeSettings();
    const settings = join(this.folder, SETTINGS);
    const cache = readdirSync(this.folder).find((name) => name.endsWith('.cache'));
    if (cache === undefined) expect.fail('the build has made no code cache');
    const files: [StartEvent, string, string?][] = [
      ['opens the start script', join(this.folder, START_SCRIPT)],
      ['opens the program', join(this.folder, PROGRAM)],
      ['opens the code cache', join(this.folder, cache)],
      ['opens the settings', settings, readFileSync(settings, 'utf8').replace('"before"', '"changed"')],
    ];
    const tlsConfiguration = join(this.folder, TLS_CONFIGURATION);
    const holdsRuntime = this.signalledAt.includes(RUNTIME_EVENT);
    if (holdsRuntime) {
      writeFileSync(tlsConfiguration, '');
      files.unshift([RUNTIME_EVENT, tlsConfiguration]);
    }
    const contents = files.map(([, path]) => readFileSync(path));
    for (const [, path] of files) {
      rmSync(path);
      await execute('mkfifo', [path]);
    }
    const log = openSync(join(this.folder, 'log'), 'w');
    this.child = spawn(process.execPath, [...readFlags(), join(this.folder, START_SCRIPT)], {
      env: {
        PATH: process.env.PATH,
        PULLEYLEDGE_NODE_FILE: settings,
        ...(holdsRuntime && { OPENSSL_CONF: tlsConfiguration }),
      },
      stdio: ['ignore', log, 'inherit'],
    });
    closeSync(log);
    for (const [index, [event, path, next]] of files.entries())
      await this.runHeldEvent(event, path, contents[index], next);
    return this.waitForOutcome();
  }

  async close(): Promise<void> {
    if (!hasExited(this.child)) {
      const exited = new Promise((resolve) => this.child.once('exit', resolve));
      this.child.kill('SIGKILL');
      await exited;
    }
    this.proxy?.close();
    this.store.close();
    rmSync(this.folder, { recursive: true });
  }

  /**
   * Waits until the process has opened the FIFO, signals, and then lets it read the content. Later readers find a
   * regular file with `next`.
   */
  private async runHeldEvent(event: StartEvent, path: string, content: Buffer, next?: string): Promise<void> {
    let held: number | undefined;
    await waitFor(this.child, () => (held = openFifo(path)) !== undefined);
    if (held === undefined) return;
    const writer = await open(path, 'w');
    closeSync(held);
    writeFileSync(`${path}.next`, next ?? content);
    renameSync(`${path}.next`, path);
    await this.onEvent(event);
    if (!hasExited(this.child)) await writer.writeFile(content);
    await writer.close();
  }

  private async onEvent(event: StartEvent): Promise<void> {
    if (!this.signalledAt.includes(event) || hasExited(this.child)) return;
    this.child.kill('SIGHUP');
    await waitFor(this.child, () => !isPending(this.child));
  }

  private async waitForOutcome(): Promise<Outcome> {
    const { front, ready } = this.addresses;
    const isReady = await waitFor(this.child, async () => {
      const answer = await fetch(`http://${ready}/v1/readyz`).catch(() => undefined);
      return answer?.status === 200;
    });
    if (isReady) await this.onEvent('is ready');
    await waitFor(this.child, () => this.readReloads().length >= this.signalledAt.length);
    if (hasExited(this.child)) return { signal: this.child.signalCode };
    return { status: await this.readStatus(`http://${front}/unknown`), reloads: this.readReloads() };
  }

  /** Returns the status of an answer; 503 is one while the copy of the configuration may be out of date. */
  private async readStatus(url: string): Promise<number> {
    let status = 0;
    await waitFor(this.child, async () => ({ status } = await fetch(url)).status !== STATUS_UNAVAILABLE);
    return status;
  }

  /** The `node` of each settings file that was read again and found valid, from the complete lines of the log. */
  private readReloads(): string[] {
    const lines = readFileSync(join(this.folder, 'log'), 'utf8').split('\n').slice(0, -1);
    const events = lines.map((line) => JSON.parse(line) as { event: string; valid?: boolean; node?: string });
    return events
      .filter(({ event }) => event === 'process.reloaded')
      .map(({ valid, node }) => (valid ? String(node) : 'invalid'));
  }

  private async writeSettings(): Promise<void> {
    this.store.write('op', 'config', formatConfiguration(1, SOAK_SERVICES.plain, new Set()));
    const backend = {
      service: SOAK_SERVICES.plain,
      addr: '127.0.0.1:9',
      zone: 'z',
      slots: 4,
      state: 'ready',
    };
    this.store.write('servers', 'i-1', backend);
    const store = await this.openProxy(await this.store.open('before'));
    const [front, ready, control, metrics] = await findFreePorts(4);
    const host = '127.0.0.1';
    this.addresses = {
      front: `${host}:${front}`,
      ready: `${host}:${ready}`,
      control: `${host}:${control}`,
      metrics,
    };
    const text = formatSettings('before', 'z', this.addresses, [], SOAK_BOUNDS, store, `${host}:9`);
    writeFileSync(join(this.folder, SETTINGS), text);
  }

  /** Opens a port that passes connections on to the store; the first one only after the signal was delivered. */
  private async openProxy(store: string): Promise<string> {
    const port = Number(store.split(':')[1]);
    let delivered: Promise<void> | undefined;
    const proxy = createServer((socket) => {
      const upstream = connect(port, '127.0.0.1');
      for (const side of [socket, upstream])
        side.on('error', () => [socket, upstream].map((s) => s.destroy()));
      delivered ??= this.onEvent('connects to the store');
      void delivered.then(() => socket.pipe(upstream).pipe(socket));
    });
    this.proxy = proxy;
    await new Promise<void>((resolve) => proxy.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(proxy.address() as AddressInfo).port}`;
  }
}

describe('the deployed program, SIGHUP at an event of its start', () => {
  const program = mkdtempSync(join(tmpdir(), 'startup-program-'));
  let start: HeldStart | undefined;

  before(async () => {
    await execute(process.execPath, ['deploy/build.mjs', program], { cwd: ROOT });
  });
  afterEach(() => start?.close());
  after(() => rmSync(program, { recursive: true }));

  for (const event of EVENTS)
    it(`serves, and reads the changed settings, when the signal comes as it ${event}`, async () => {
      start = new HeldStart(program, [event]);
      expect(await start.run()).to.deep.equal({ status: 404, reloads: ['changed'] });
    });

  it('serves, and reads the changed settings, when the signal comes as the runtime opens the start script', async () => {
    start = new HeldStart(program, ['opens the start script']);
    expect(await start.run()).to.deep.equal({ status: 404, reloads: ['changed'] });
  });

  it('serves, and reads the changed settings, when the signal comes as the runtime reads its TLS configuration', async () => {
    start = new HeldStart(program, [RUNTIME_EVENT]);
    expect(await start.run()).to.deep.equal({ status: 404, reloads: ['changed'] });
  });

  it('serves, and reads the changed settings each time, when the signal comes at every event', async () => {
    start = new HeldStart(program, EVENTS);
    expect(await start.run()).to.deep.equal({ status: 404, reloads: EVENTS.map(() => 'changed') });
  });

  it('a program that handles the signal only after it has started is terminated, and noticed here', async () => {
    for (const event of EVENTS.slice(0, 3)) {
      start = new HeldStart(program, [event]);
      start.removeLines(/^process\.on\(.*$/gm);
      expect(await start.run(), event).to.deep.equal({ signal: 'SIGHUP' });
      await start.close();
    }
    start = undefined;
  });
});
