/**
 * A machine that was suspended: its monotonic clock did not count that time, so leases and ages measured by
 * it are no longer valid.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { makeLabBackend, makeLabConfiguration, makeLabRoute } from '../lab/forwarding-site.js';
import { PlatformModel } from '../lab/platform-model.js';
import { ForwardingFleet } from '../simulation/forwarding-fleet.js';
import { CellLease, DEFAULT_LEASE_SETTINGS, type LeaseEffect } from '../src/lease/cell-lease.js';
import { SuspensionDetector } from '../src/shared/suspension-detector.js';

const SEED = 20261203;
const WALL_MS = 1_800_000_000_000;
const SUSPENDED_MS = 8000;

/** A contender for the lease whose clock may be behind that of the others. */
class Contender {
  readonly lease: CellLease;
  behindMs = 0;
  /** Whether answers of the store are held until `deliverAnswers` is called. */
  delaysAnswers = false;
  private readonly answers: (() => void)[] = [];

  constructor(
    name: string,
    private readonly platform: PlatformModel,
    private readonly getNow: () => number,
  ) {
    this.lease = new CellLease('cell', name, DEFAULT_LEASE_SETTINGS, (effect) => this.perform(effect), 0);
  }

  now(): number {
    return this.getNow() - this.behindMs;
  }

  tick(): void {
    this.lease.tick(this.now(), true);
    if (!this.delaysAnswers) this.deliverAnswers();
  }

  deliverAnswers(): void {
    for (const deliver of this.answers.splice(0)) deliver();
  }

  holds(): boolean {
    return this.lease.getHeldLease(this.now()) !== undefined;
  }

  private perform(effect: LeaseEffect): void {
    if (effect.kind !== 'leaseTable') return;
    const result = this.platform.applyTableRequest(effect.request, this.getNow());
    if (result) this.answers.push(() => this.lease.receiveTableResult(result, this.now()));
  }
}

/** Creates two contenders, of which the first holds the lease. */
function startContest(): { now: (ms?: number) => number; first: Contender; second: Contender } {
  let nowMs = 0;
  const now = (ms = 0) => (nowMs += ms);
  const platform = new PlatformModel({ perSecond: 10_000, burst: 10_000 });
  const first = new Contender('first', platform, now);
  const second = new Contender('second', platform, now);
  for (let step = 0; step < 100 && !first.holds(); step += 1) {
    now(100);
    first.tick();
  }
  expect(first.holds()).to.equal(true);
  second.tick();
  return { now, first, second };
}

describe('a machine that was suspended', () => {
  it('is detected by the wall clock, unlike any other change of the clocks', () => {
    const step = fc.record({ ms: fc.nat(5000), suspendedMs: fc.nat(20_000), setBackMs: fc.nat(5000) });
    fc.assert(
      fc.property(fc.array(step), (steps) => {
        const detector = new SuspensionDetector();
        let [steady, wall] = [0, WALL_MS];
        detector.observe(steady, wall);
        for (const { ms, suspendedMs, setBackMs } of steps) {
          steady += ms;
          wall += ms + suspendedMs;
          expect(detector.observe(steady, wall)).to.equal(suspendedMs > 250 ? suspendedMs : 0);
          wall -= setBackMs;
          expect(detector.observe(steady, wall)).to.equal(0);
        }
      }),
      { seed: SEED, numRuns: 300 },
    );
  });

  it('holds no lease after it resumes, and acquires none by an answer to an earlier write', () => {
    const { now, first, second } = startContest();
    // A renewal is in flight when the machine is suspended.
    first.delaysAnswers = true;
    now(DEFAULT_LEASE_SETTINGS.renewIntervalMs + 100);
    first.tick();
    first.behindMs += SUSPENDED_MS;
    for (let ms = 0; ms < SUSPENDED_MS; ms += 100) {
      now(100);
      second.tick();
    }
    expect(second.holds()).to.equal(true);
    expect(first.holds(), 'by its monotonic clock alone').to.equal(true);
    first.lease.onMachineSuspended();
    expect(first.holds()).to.equal(false);
    first.delaysAnswers = false;
    first.deliverAnswers();
    expect(first.holds(), 'after the answer').to.equal(false);
    for (let step = 0; step < 20; step += 1) {
      now(100);
      first.tick();
      second.tick();
      expect([first.holds(), second.holds()]).to.deep.equal([false, true]);
    }
  });

  it('acquires no lease by a write from before the suspension', () => {
    const { now, first, second } = startContest();
    first.lease.release(now());
    first.tick();
    first.deliverAnswers();
    second.delaysAnswers = true;
    for (let step = 0; step < 60; step += 1) {
      now(100);
      second.tick();
      if (step % 10 === 5) second.deliverAnswers();
    }
    second.behindMs += SUSPENDED_MS;
    now(SUSPENDED_MS);
    second.lease.onMachineSuspended();
    second.deliverAnswers();
    expect(second.holds()).to.equal(false);
  });

  it('treats its configuration as stale and denies no request because of it', () => {
    const fleet = new ForwardingFleet(3, 1);
    fleet.write({
      collection: 'configuration',
      revision: 0,
      value: makeLabConfiguration(1, [makeLabRoute({})]),
    });
    fleet.write({
      collection: 'backends',
      id: 'b1',
      revision: 0,
      value: makeLabBackend('b1', '10.1.0.1:80'),
    });
    fleet.time.runUntil(6000);
    const [node] = fleet.nodes;
    node.refusals.length = 0;
    fleet.submit(node, 'r1', '/new/x');
    fleet.suspend(node, SUSPENDED_MS);
    fleet.submit(node, 'r2', '/new/x');
    expect(node.refusals.map(({ status }) => status)).to.deep.equal([404, 503]);
  });
});
