/// Which exits of a daemon process the fault soak reports as unexpected. The soak itself can make the settings
/// invalid while a daemon starts; the daemon then exits with 78, and must be started again and not be reported.
import { expect } from 'chai';
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { findFreePorts } from '../lab/free-ports.js';
import { DaemonProcess } from '../lab/soak/daemon-process.js';
import type { EarlyReload } from '../lab/soak/early-reload.js';
import { SOAK_BOUNDS } from '../lab/soak/soak-record.js';

const PORTS = { front: '127.0.0.1:1', ready: '127.0.0.1:2', control: '127.0.0.1:3', metrics: 4 };
/// Reads its settings 1.5 s after its start. Exits with 78 if they are invalid, or always under the name "always".
const PROGRAM = `process.on("SIGHUP", () => {})
console.log("up")
setTimeout(() => {
  const text = require("fs").readFileSync(process.env.PULLEYLEDGE_NODE_FILE, "utf8")
  if (text === "node = " || __filename.includes("always")) process.exit(78)
  setInterval(() => {}, 1000)
}, 1500)`;
/// Handles the signal late, so that a reload right after its start is early also when this test is slow to send it.
const SLOW_TO_HANDLE = `setTimeout(() => process.on("SIGHUP", () => {}), 1000)
setInterval(() => {}, 1000)`;
const WAIT_STEP_MS = 20;
const WAIT_STEPS = 400;

async function waitUntil(condition: () => boolean): Promise<void> {
  for (let i = 0; i < WAIT_STEPS && !condition(); i += 1)
    await new Promise((resolve) => setTimeout(resolve, WAIT_STEP_MS));
}

describe('a daemon process of the fault soak', () => {
  const folder = mkdtempSync(join(tmpdir(), 'soak-daemon-'));
  const reasons: string[] = [];
  const earlyReloads: EarlyReload[] = [];

  function makeDaemon(name: string, source = PROGRAM, ports = PORTS): DaemonProcess {
    const program = join(folder, `${name}.cjs`);
    writeFileSync(program, source);
    const site = { folder, program, flags: [], bounds: SOAK_BOUNDS, seeds: [] };
    return new DaemonProcess(
      name,
      'zone-a',
      ports,
      site,
      { store: '127.0.0.1:5', duties: '127.0.0.1:6' },
      {
        onUnexpectedExit: (_name, reason) => reasons.push(reason),
        onEarlyReload: (reload) => earlyReloads.push(reload),
      },
    );
  }

  after(() => rmSync(folder, { recursive: true }));
  beforeEach(() => {
    reasons.splice(0);
    earlyReloads.splice(0);
  });

  it('is started again when the soak made its settings invalid during its start', async () => {
    const daemon = makeDaemon('sometimes');
    daemon.start();
    await waitUntil(() => readFileSync(join(folder, 'sometimes.log'), 'utf8').includes('up'));
    daemon.reload(false);
    await waitUntil(() => daemon.startCount === 2);
    expect(daemon.startCount).to.equal(2);
    expect(daemon.isRunning()).to.equal(true);
    expect(reasons).to.deep.equal([]);
    await daemon.kill();
  }).timeout(20_000);

  it('is reported as an unexpected exit when its settings were always valid', async () => {
    const daemon = makeDaemon('always');
    daemon.start();
    await waitUntil(() => reasons.length > 0);
    expect(reasons).to.deep.equal(['78']);
    expect(daemon.startCount).to.equal(1);
  }).timeout(20_000);

  it('is reported, and started again, when a reload ends it before it handles the signal', async () => {
    const daemon = makeDaemon('early', SLOW_TO_HANDLE);
    daemon.start();
    daemon.reload(true);
    await waitUntil(() => daemon.startCount === 2);
    expect(reasons).to.deep.equal(['SIGHUP before it was handled']);
    expect(daemon.isRunning()).to.equal(true);
    await daemon.kill();
  }).timeout(20_000);

  it('is reported without that reason when it has handled the signal and is ended by it all the same', async () => {
    const daemon = makeDaemon(
      'late',
      `process.on("SIGHUP", () => {
        process.removeAllListeners("SIGHUP")
        process.kill(process.pid, "SIGHUP")
      })
      console.log("up")
      setInterval(() => {}, 1000)`,
    );
    daemon.start();
    await waitUntil(() => readFileSync(join(folder, 'late.log'), 'utf8').includes('up'));
    daemon.reload(true);
    await waitUntil(() => reasons.length > 0);
    expect(reasons).to.deep.equal(['SIGHUP']);
    expect(daemon.startCount).to.equal(1);
  }).timeout(20_000);

  it('tells why the process that an early reload ended was started, and when callers are served again', async () => {
    const [front] = await findFreePorts(1);
    const daemon = makeDaemon(
      'serving',
      `setTimeout(() => {
        process.on("SIGHUP", () => {})
        require("net").createServer().listen(${front}, "127.0.0.1")
      }, 1000)`,
      { ...PORTS, front: `127.0.0.1:${front}` },
    );
    daemon.start();
    await waitUntil(() => daemon.isRunning());
    await daemon.kill();
    await new Promise((resolve) => setTimeout(resolve, 200));
    daemon.start();
    daemon.reload(true);
    daemon.reload(true);
    await waitUntil(() => earlyReloads.length > 0);
    const [reload] = earlyReloads;
    expect(earlyReloads).to.have.length(1);
    expect(reload).to.include({ daemon: 'serving', startReason: 'kill', laterSignals: 1 });
    expect(reload.sinceStopMs).to.be.within(200, 5000);
    expect(reload.sinceSoakStartMs).to.be.at.least(reload.ageMs);
    expect(reload.servesAfterMs).to.be.above(0);
    expect([daemon.reloadCount, daemon.earlyReloadCount]).to.deep.equal([2, 2]);
    daemon.reload(true);
    await waitUntil(() => daemon.reloadCount === 3);
    expect(daemon.earlyReloadCount).to.equal(2);
    expect(reasons).to.deep.equal(['SIGHUP before it was handled']);
    await daemon.kill();
  }).timeout(20_000);

  it('tells that a daemon was killed before it served again after an early reload', async () => {
    const daemon = makeDaemon('silent', SLOW_TO_HANDLE);
    daemon.start();
    daemon.reload(true);
    await waitUntil(() => daemon.startCount === 2);
    await daemon.kill();
    await waitUntil(() => earlyReloads.length > 0);
    expect(earlyReloads[0]).to.include({ startReason: 'firstStart', sinceStopMs: undefined });
    expect(earlyReloads[0].servesAfterMs).to.equal(undefined);
  }).timeout(20_000);

  it('is not started again when it is stopped or killed before its restart', async () => {
    for (const end of ['stop', 'kill'] as const) {
      const daemon = makeDaemon(end, SLOW_TO_HANDLE);
      daemon.start();
      daemon.reload(true);
      await waitUntil(() => !daemon.isRunning());
      await daemon[end]();
      await new Promise((resolve) => setTimeout(resolve, 1000));
      expect(daemon.startCount).to.equal(1);
      expect(daemon.isRunning()).to.equal(false);
    }
    expect(reasons).to.deep.equal(Array(2).fill('SIGHUP before it was handled'));
    expect(earlyReloads).to.have.length(2);
  }).timeout(20_000);

  it('reports an early reload although the restarted process ended by itself', async () => {
    const marker = join(folder, 'started');
    const daemon = makeDaemon(
      'dying',
      `const fs = require("fs")
      if (fs.existsSync(${JSON.stringify(marker)})) process.exit(1)
      fs.writeFileSync(${JSON.stringify(marker)}, "")
      setInterval(() => {}, 1000)`,
    );
    daemon.start();
    await waitUntil(() => existsSync(marker));
    daemon.reload(true);
    await waitUntil(() => reasons.length === 2);
    expect(reasons).to.deep.equal(['SIGHUP before it was handled', '1']);
    await waitUntil(() => earlyReloads.length > 0);
    expect(earlyReloads).to.have.length(1);
  }).timeout(20_000);
});
