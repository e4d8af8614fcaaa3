/** Starts the processes of a site on loopback, for the demo and the real-process tests. Owns these processes. */
import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, openSync, readFileSync, renameSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import { stringify } from 'yaml';
import { OperatorClient } from '../src/cli/operator-client.js';
import { findFreeAddresses } from './free-ports.js';
import type { SiteProfile } from './site-profiles.js';

const DAEMON_PROGRAM = fileURLToPath(new URL('../src/cli/main.js', import.meta.url));
const LAB_PROGRAM = fileURLToPath(new URL('./main.js', import.meta.url));
const START_TIMEOUT_MS = 30_000;
const POLL_MS = 100;

/** A started process and its addresses. */
interface RunningProcess {
  readonly name: string;
  readonly child: ChildProcess;
  readonly addresses: Readonly<Record<string, string>>;
}

/** Overrides of the profile's numbers of machines, and settings for the daemons. */
interface SiteOptions {
  readonly engines?: number;
  readonly daemons?: number;
  readonly applications?: number;
  /** Settings of every daemon in addition to the addresses. */
  readonly settings?: Record<string, unknown>;
}

/** A site of separate processes. */
export class LocalSite {
  readonly daemons: RunningProcess[] = [];
  readonly engines: RunningProcess[] = [];
  readonly applications: RunningProcess[] = [];
  platform!: RunningProcess;
  private readonly folder = mkdtempSync(join(tmpdir(), 'pulleyledge-'));
  private readonly children = new Set<ChildProcess>();

  constructor(
    private readonly profile: SiteProfile,
    private readonly options: SiteOptions = {},
  ) {}

  /** Starts all processes, writes the services, and waits until every daemon is ready and has found all engines. */
  async start(): Promise<void> {
    const engineCount = this.options.engines ?? this.profile.engines;
    const daemonCount = this.options.daemons ?? this.profile.zones.length;
    const applicationCount = this.options.applications ?? this.profile.applications;
    const addresses = await findFreeAddresses(1 + engineCount + applicationCount + daemonCount * 3);
    const takeAddress = (): string => addresses.pop() as string;
    this.platform = this.startLabProcess('platform', ['platform'], takeAddress());
    await this.waitFor(async () => this.post(this.platform.addresses.main, '/faults', {}));
    for (let index = 0; index < engineCount; index += 1) await this.startEngine(index, takeAddress());
    for (let index = 0; index < applicationCount; index += 1)
      await this.startApplication(index, takeAddress());
    await this.importServices();
    const daemons = Array.from({ length: daemonCount }, () => ({
      caller: takeAddress(),
      peer: takeAddress(),
      operator: takeAddress(),
    }));
    const peers = daemons.map((daemon) => daemon.peer);
    daemons.forEach((daemon, index) => this.startDaemon(index, daemon, peers));
    await this.waitReady(this.daemons);
    await this.waitFor(async () => {
      for (const daemon of this.daemons) {
        const { engines } = await new OperatorClient(daemon.addresses.operator).getStatus();
        if (engines.filter((engine) => engine.assignment).length < engineCount)
          throw new Error('daemon has not found all engines yet');
      }
    });
  }

  /** Caller addresses of the daemons. */
  getCallerAddresses(): string[] {
    return this.daemons.map((daemon) => daemon.addresses.caller);
  }

  /** Starts a daemon again with the same name, settings and addresses. */
  restartDaemon(index: number): RunningProcess {
    const previous = this.daemons[index];
    const child = this.startDaemonProcess(previous.name);
    const daemon = { ...previous, child };
    this.daemons[index] = daemon;
    return daemon;
  }

  /** Atomically replaces a daemon's settings with invalid ones. */
  writeInvalidSettings(index: number): void {
    const path = this.getSettingsPath(this.daemons[index].name);
    writeFileSync(`${path}.new`, 'name:');
    renameSync(`${path}.new`, path);
  }

  /** Reads the JSON lines that a daemon has logged so far. */
  readLog(index: number): Record<string, unknown>[] {
    const lines = readFileSync(this.getLogPath(this.daemons[index].name), 'utf8').split('\n');
    // The last line may not have been written completely yet.
    return lines
      .slice(0, -1)
      .filter((line) => line.startsWith('{'))
      .map((line) => JSON.parse(line) as Record<string, unknown>);
  }

  /** Sets faults of a stand-in. */
  setFaults(process: RunningProcess, faults: Record<string, unknown>): Promise<unknown> {
    return this.post(process.addresses.main, '/faults', faults);
  }

  /** Waits until daemons are ready. */
  async waitReady(daemons: readonly RunningProcess[]): Promise<void> {
    for (const daemon of daemons) {
      await this.waitFor(async () => {
        const { statusCode, body } = await request(`http://${daemon.addresses.operator}/readyz`);
        await body.dump();
        if (statusCode !== 200) throw new Error('daemon is not ready');
      });
    }
  }

  /** Kills the processes that this site started and removes its folder. */
  async stop(): Promise<void> {
    const ended = [...this.children].map((child) => new Promise((resolve) => child.once('exit', resolve)));
    for (const child of this.children) {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    await Promise.all(ended);
    rmSync(this.folder, { recursive: true, force: true });
  }

  /** Retries `action` until it resolves; after 30 s rejects with its last error. */
  async waitFor(action: () => Promise<unknown>): Promise<void> {
    const deadline = performance.now() + START_TIMEOUT_MS;
    for (;;) {
      try {
        await action();
        return;
      } catch (error) {
        if (performance.now() > deadline) throw error;
        await new Promise((resolve) => setTimeout(resolve, POLL_MS));
      }
    }
  }

  private async startEngine(index: number, address: string): Promise<void> {
    const zone = this.profile.zones[index % this.profile.zones.length];
    const name = `engine-${index + 1}`;
    const adapters = [
      ...new Set(this.profile.services.map((row) => row.adapter).filter((adapter) => adapter !== '')),
    ];
    this.engines.push(
      this.startLabProcess(
        name,
        ['engine', '--model', this.profile.model, '--adapters', adapters.join(',')],
        address,
      ),
    );
    await this.addMachine({
      id: name,
      kind: 'engine',
      address,
      zone,
      cell: this.profile.name,
      state: 'live',
    });
  }

  private async startApplication(index: number, address: string): Promise<void> {
    const zone = this.profile.zones[index % this.profile.zones.length];
    const name = `application-${index + 1}`;
    this.applications.push(this.startLabProcess(name, ['application'], address));
    await this.addMachine({ id: name, kind: 'application', address, zone, cell: zone, state: 'live' });
  }

  /** Adds or updates a machine in the platform's list. */
  addMachine(machine: Record<string, unknown>): Promise<unknown> {
    return this.post(this.platform.addresses.main, '/machine', machine);
  }

  private async importServices(): Promise<void> {
    const writes = this.profile.services.map((row) => ({
      table: 'services',
      key: row.name,
      expectedRevision: 0,
      value: row,
    }));
    await this.post(this.platform.addresses.main, '/v1/table', {
      kind: 'commit',
      writeId: 'site-import',
      writes,
    });
  }

  private startDaemon(
    index: number,
    addresses: { caller: string; peer: string; operator: string },
    peers: readonly string[],
  ): void {
    const name = `daemon-${index + 1}`;
    const settings = {
      name,
      zone: this.profile.zones[index % this.profile.zones.length],
      region: 'main',
      callerAddress: addresses.caller,
      peerAddress: addresses.peer,
      operatorAddress: addresses.operator,
      seeds: [...peers],
      platform: [this.platform.addresses.main],
      allocation: { roleChangeCostSeconds: this.profile.roleChangeCostSeconds },
      ...this.options.settings,
    };
    writeFileSync(this.getSettingsPath(name), stringify(settings));
    this.daemons.push({ name, child: this.startDaemonProcess(name), addresses });
  }

  private getSettingsPath(name: string): string {
    return join(this.folder, `${name}.yaml`);
  }

  private startDaemonProcess(name: string): ChildProcess {
    return this.startProcess(name, [DAEMON_PROGRAM, 'serve', '--settings', this.getSettingsPath(name)]);
  }

  private startLabProcess(name: string, args: readonly string[], address: string): RunningProcess {
    return {
      name,
      child: this.startProcess(name, [LAB_PROGRAM, ...args, '--address', address]),
      addresses: { main: address },
    };
  }

  /** The path of a process's log file. */
  private getLogPath(name: string): string {
    return join(this.folder, `${name}.log`);
  }

  private startProcess(name: string, args: readonly string[]): ChildProcess {
    const log = openSync(this.getLogPath(name), 'a');
    const child = spawn(process.execPath, [...args], { stdio: ['ignore', log, log] });
    this.children.add(child);
    child.once('exit', () => this.children.delete(child));
    return child;
  }

  private async post(address: string, path: string, value: unknown): Promise<unknown> {
    const { body } = await request(`http://${address}${path}`, {
      // Don't reuse connections: the stand-in could close one just as the next call is sent.
      reset: true,
      method: 'POST',
      body: JSON.stringify(value),
    });
    return body.json();
  }
}
