/** End-to-end tests with real processes and wide margins: signals, refused and silent connections, outages. */
import { execFile } from 'node:child_process';
import { createServer } from 'node:net';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import { expect } from 'chai';
import { request } from 'undici';
import { LocalSite } from '../lab/launcher.js';
import { LoadGenerator, type LoadPhase } from '../lab/load-generator.js';
import { getSiteProfile } from '../lab/site-profiles.js';
import { OperatorClient } from '../src/cli/operator-client.js';
import { SeededRandom } from '../src/shared/random.js';

const PROFILE = getSiteProfile('trust-tt-north');
const MAIN_MODULE = fileURLToPath(new URL('../src/cli/main.js', import.meta.url));
const execute = promisify(execFile);
/** How long a stopping daemon accepts new connections. Milliseconds; the default of the settings. */
const DRAIN_NOTICE_MS = 2000;
/** How long a daemon is paused around the end of that time. Milliseconds. */
const PAUSE_MS = 600;

function createPhase(seconds: number, perSecond: number): LoadPhase {
  const target = { firstTokenTargetMs: 30_000, betweenTokensTargetMs: 1000 };
  return {
    seconds,
    classes: [
      { service: 'policy-review', perSecond: perSecond / 4, promptTokens: 800, outputTokens: 40, ...target },
      { service: 'eligibility', perSecond, promptTokens: 100, outputTokens: 30, ...target },
    ],
    calls: [{ service: 'confirmation', perSecond: 4 }],
  };
}

interface Totals {
  sent: number;
  complete: number;
  broken: number;
  wrong: number;
  unanswered: number;
  refused: string[];
}

function getTotals(load: LoadGenerator): Totals {
  const sum: Totals = { sent: 0, complete: 0, broken: 0, wrong: 0, unanswered: 0, refused: [] };
  for (const [service, result] of load.results) {
    sum.sent += result.sent;
    sum.complete += result.complete;
    sum.broken += result.broken;
    sum.wrong += result.wrong;
    sum.unanswered += result.unanswered;
    for (const [code, count] of result.refused) sum.refused.push(`${service}: ${count} ${code}`);
  }
  return sum;
}

async function readExecutionCounts(site: LocalSite): Promise<number[]> {
  const counts: number[] = [];
  for (const server of site.applications) {
    const { body } = await request(`http://${server.addresses.main}/executions`, { reset: true });
    counts.push(...Object.values((await body.json()) as Record<string, number>));
  }
  return counts;
}

/** Runs the program and returns its exit code and output. */
async function runProgram(...args: string[]): Promise<{ code: number; stdout: string; stderr: string }> {
  try {
    const { stdout, stderr } = await execute(process.execPath, [MAIN_MODULE, ...args]);
    return { code: 0, stdout, stderr };
  } catch (error) {
    const { code, stdout, stderr } = error as { code: number; stdout: string; stderr: string };
    return { code, stdout, stderr };
  }
}

const delay = (milliseconds: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

describe('real processes', function () {
  this.timeout(90_000);
  let site: LocalSite;

  beforeEach(async () => {
    site = new LocalSite(PROFILE, { engines: 3, daemons: 3, applications: 2 });
    await site.start();
  });

  afterEach(() => site.stop());

  /*
   * Guards against a stopping daemon that resets connections in its accept queue. It closes its listener when
   * the drain notice is over; connections completed since it last accepted any were reset, with the requests
   * sent on them, if the daemon got no CPU time just then. With each daemon paused from 1.7 to 2.3 s after
   * its SIGTERM, 23 of 1,039 requests failed with ECONNRESET, each on a connection that was never accepted,
   * within some milliseconds of the listener's closing. `stopListening` now accepts these connections first.
   */
  it('a rolling restart by SIGTERM under load fails no request', async () => {
    const load = new LoadGenerator(site.getCallerAddresses(), new SeededRandom(1));
    const running = load.run([createPhase(24, 8)]);
    for (let index = 0; index < site.daemons.length; index += 1) {
      const { child } = site.daemons[index];
      const ended = new Promise<number | null>((resolve) => child.once('exit', resolve));
      child.kill('SIGTERM');
      expect(await ended).to.equal(0);
      await site.waitReady([site.restartDaemon(index)]);
    }
    await running;
    const { sent, ...sum } = getTotals(load);
    expect(sum).to.deep.equal({ complete: sent, broken: 0, wrong: 0, unanswered: 0, refused: [] });
  });

  it('a rolling restart of daemons that are paused as their drain notice ends fails no request', async () => {
    const load = new LoadGenerator(site.getCallerAddresses(), new SeededRandom(1));
    const running = load.run([createPhase(24, 8)]);
    for (let index = 0; index < site.daemons.length; index += 1) {
      const { child } = site.daemons[index];
      const ended = new Promise<number | null>((resolve) => child.once('exit', resolve));
      child.kill('SIGTERM');
      await delay(DRAIN_NOTICE_MS - PAUSE_MS / 2);
      child.kill('SIGSTOP');
      await delay(PAUSE_MS);
      child.kill('SIGCONT');
      expect(await ended).to.equal(0);
      await site.waitReady([site.restartDaemon(index)]);
    }
    await running;
    const { sent, ...sum } = getTotals(load);
    expect(sum).to.deep.equal({ complete: sent, broken: 0, wrong: 0, unanswered: 0, refused: [] });
  });

  it('a daemon that reports ready accepts connections of callers', async () => {
    for (let round = 0; round < 3; round += 1) {
      const { child } = site.daemons[0];
      const ended = new Promise((resolve) => child.once('exit', resolve));
      child.kill('SIGKILL');
      await ended;
      const { addresses } = site.restartDaemon(0);
      for (;;) {
        const answer = await request(`http://${addresses.operator}/readyz`).catch(() => undefined);
        await answer?.body.dump();
        if (answer?.statusCode === 200) break;
      }
      const { statusCode, body } = await request(`http://${addresses.caller}/nothing`);
      await body.dump();
      expect(statusCode).to.equal(404);
    }
  });

  it('SIGKILL of a daemon and SIGSTOP of another beyond its lease: no wrong answer, nothing executed twice', async () => {
    const load = new LoadGenerator(site.getCallerAddresses(), new SeededRandom(2));
    const running = load.run([createPhase(20, 6)]);
    await delay(2000);
    site.daemons[0].child.kill('SIGKILL');
    await delay(1000);
    site.daemons[1].child.kill('SIGSTOP');
    await delay(9000);
    site.daemons[1].child.kill('SIGCONT');
    await site.waitReady([site.restartDaemon(0)]);
    await running;
    const sum = getTotals(load);
    expect(sum.wrong).to.equal(0);
    expect(sum.complete).to.be.greaterThan(sum.sent / 3);
    expect(Math.max(...(await readExecutionCounts(site)))).to.equal(1);
    const statuses = await Promise.all(
      site.daemons.map((daemon) => new OperatorClient(daemon.addresses.operator).getStatus()),
    );
    expect(
      statuses.flatMap((status) => status.leases).filter((lease) => lease.heldHere).length,
    ).to.be.at.most(1);
  });

  it('a platform outage: completions continue, calls that may be executed only once are refused and not executed', async () => {
    await site.setFaults(site.platform, { down: true });
    await delay(13_000);
    const load = new LoadGenerator(site.getCallerAddresses(), new SeededRandom(3));
    await load.run([createPhase(5, 8)]);
    expect(load.getResult('eligibility').complete).to.equal(load.getResult('eligibility').sent);
    const calls = load.getResult('confirmation');
    expect(calls.complete).to.equal(0);
    expect(calls.refused.get('ledger-unavailable')).to.equal(calls.sent);
    expect(await readExecutionCounts(site)).to.deep.equal([]);
    await site.setFaults(site.platform, { down: false });
    await delay(3000);
    const after = new LoadGenerator(site.getCallerAddresses(), new SeededRandom(4));
    await after.run([createPhase(3, 8)]);
    expect(after.getResult('confirmation').complete).to.equal(after.getResult('confirmation').sent);
  });

  it('an engine that refuses connections and one that is silent: requests go to another engine', async () => {
    const silent = createServer(() => undefined);
    await new Promise<void>((resolve) => silent.listen(0, '127.0.0.1', resolve));
    const { port } = silent.address() as { port: number };
    site.engines[0].child.kill('SIGKILL');
    await site.addMachine({
      id: 'silent',
      kind: 'engine',
      address: `127.0.0.1:${port}`,
      zone: 'pos-a',
      cell: PROFILE.name,
      state: 'live',
    });
    await delay(2500);
    const load = new LoadGenerator(site.getCallerAddresses(), new SeededRandom(5));
    await load.run([createPhase(5, 8)]);
    silent.close();
    const sum = getTotals(load);
    expect(sum.complete).to.equal(sum.sent);
  });

  it('operators edit the table: a change takes effect at every daemon, a conflicting edit fails showing both values', async () => {
    const operator = site.daemons[0].addresses.operator;
    const edited = await runProgram('services', 'set', 'eligibility', 'weight=7', '--operator', operator);
    expect(edited.code, edited.stderr).to.equal(0);
    await delay(5000);
    for (const daemon of site.daemons) {
      const { services } = await new OperatorClient(daemon.addresses.operator).getServices();
      expect(services.find((entry) => entry.name === 'eligibility')?.row?.weight).to.equal(7);
    }
    const conflicting = await runProgram(
      'services',
      'set',
      'eligibility',
      'weight=9',
      '--revision',
      '1',
      '--operator',
      operator,
    );
    expect(conflicting.code).to.equal(3);
    expect(conflicting.stderr).to.include('"weight": 7').and.to.include('"weight": 9');
    const invalidValue = await runProgram(
      'services',
      'set',
      'eligibility',
      'weight=heavy',
      '--operator',
      operator,
    );
    expect(invalidValue.code).to.equal(1);
    expect(invalidValue.stderr)
      .to.include('eligibility')
      .and.to.include('weight')
      .and.to.include('0.001 to 1000');
  });

  it('a caller that disconnects frees its engine', async () => {
    const abort = new AbortController();
    const body = JSON.stringify({
      model: 'eligibility',
      prompt: 'x'.repeat(400),
      max_tokens: 5000,
      stream: true,
    });
    const answer = await request(`http://${site.getCallerAddresses()[0]}/v1/completions`, {
      method: 'POST',
      body,
      signal: abort.signal,
    });
    answer.body.on('error', () => undefined);
    await delay(1000);
    abort.abort();
    await site.waitFor(async () => {
      const { requests, engines } = await new OperatorClient(site.daemons[0].addresses.operator).getStatus();
      const streams = engines.reduce((sum, engine) => sum + engine.streams, 0);
      if (requests.active > 0 || streams > 0)
        throw new Error(`${requests.active} requests, ${streams} streams`);
    });
  });

  it('refusals are problem documents with notRun and Retry-After', async () => {
    const send = (body: unknown): ReturnType<typeof request> =>
      request(`http://${site.getCallerAddresses()[0]}/v1/completions`, {
        method: 'POST',
        body: JSON.stringify(body),
      });
    const unknown = await send({ model: 'nothing', prompt: 'x' });
    expect(unknown.statusCode).to.equal(404);
    expect(unknown.headers['content-type']).to.equal('application/problem+json');
    expect(await unknown.body.json()).to.include({
      type: 'urn:pulleyledge:problem:unknown-service',
      notRun: true,
    });
    const invalid = await send({ model: 'eligibility', prompt: 5 });
    expect(await invalid.body.json()).to.deep.include({
      status: 400,
      notRun: true,
      context: { field: 'prompt', problem: 'Invalid input: expected string, received number' },
    });
    const overload = await Promise.all(
      Array.from({ length: 60 }, () =>
        send({ model: 'eligibility', prompt: 'y'.repeat(40_000), max_tokens: 5 }),
      ),
    );
    const refused = overload.find((answer) => answer.statusCode === 503);
    expect(Number(refused?.headers['retry-after'])).to.be.greaterThan(0);
    for (const answer of overload) await answer.body.dump();
  });
});
