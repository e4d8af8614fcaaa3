/** The promises of the brief, under faults drawn by a generator, in virtual time. Each has a broken variant. */
import { expect } from 'chai';
import fc from 'fast-check';
import type { Fault, FaultKind } from '../simulation/simulated-faults.js';
import { runFaults, type FaultRunOptions, type FaultRunResult } from '../simulation/fault-run.js';
import type { PromiseName } from '../simulation/monitor.js';
import { drawnFaults } from '../simulation/drawn-faults.js';
import { SimulatedSite } from '../simulation/simulated-site.js';
import { optionsForSite } from '../simulation/site-options.js';
import { getSiteProfile } from '../lab/site-profiles.js';
import {
  DEFAULT_COMPLETION_DAEMON_SETTINGS,
  type CompletionDaemonSettings,
} from '../src/daemon/completion-daemon-settings.js';

const SEED = 20261202;
const LOAD_UNTIL_MS = 60_000;
/** A broken variant must be caught in one of these runs; the sound one is run with the first. */
const VARIANT_SEEDS = [5, 6, 7, 8, 9, 10, 11, 12];
/** Changes roles all the time, so that orders meet every fault. */
const RESTLESS: Partial<CompletionDaemonSettings> = {
  allocation: { ...DEFAULT_COMPLETION_DAEMON_SETTINGS.allocation, policy: 'threshold' },
};

function run(plan: readonly Fault[], seed: number, extra: Partial<FaultRunOptions> = {}): FaultRunResult {
  return runFaults({
    site: 'cundinamarca',
    seed,
    faults: plan,
    loadUntilMs: LOAD_UNTIL_MS,
    settings: RESTLESS,
    ...extra,
  });
}

function fault(kind: FaultKind, atMs: number, durationMs: number, target: number): Fault {
  return { kind, atMs, durationMs, target };
}

/** Each fault kind on every daemon in turn: a fixed plan that provokes much of everything. */
function broadPlan(...kinds: readonly FaultKind[]): Fault[] {
  return kinds.flatMap((kind, index) =>
    [0, 1, 2, 3].map((target) => fault(kind, 9000 + index * 700 + target * 9000, 8000, target)),
  );
}

function bareSite(): SimulatedSite {
  return new SimulatedSite(optionsForSite(getSiteProfile('cundinamarca'), 1));
}

function brokenPromises(result: FaultRunResult): PromiseName[] {
  return [...new Set(result.violations.map((violation) => violation.promise))];
}

function expectCaught(
  promise: PromiseName,
  plan: readonly Fault[],
  prepare: (site: SimulatedSite) => void,
  extra: Partial<FaultRunOptions> = {},
): void {
  const sound = run(plan, VARIANT_SEEDS[0], extra.settings ? {} : extra);
  expect(sound.violations, 'sound variant').to.deep.equal([]);
  const caught = VARIANT_SEEDS.some((seed) =>
    brokenPromises(run(plan, seed, { prepare, ...extra })).includes(promise),
  );
  expect(caught, 'the broken variant is caught').to.equal(true);
}

describe('promises under faults', () => {
  it('hold under any plan of faults, two at once and the same twice, and every request is answered', () => {
    fc.assert(
      fc.property(drawnFaults, fc.nat({ max: 1000 }), (plan, seed) => {
        const result = run(plan, seed);
        expect(result.violations).to.deep.equal([]);
        expect(result.unanswered).to.equal(0);
      }),
      { seed: SEED, numRuns: 60 },
    );
  }).timeout(180_000);

  it('hold at the Trust too', () => {
    fc.assert(
      fc.property(drawnFaults, fc.nat({ max: 1000 }), (plan, seed) => {
        const result = run(plan, seed, { site: 'trust-tt-north' });
        expect(result.violations).to.deep.equal([]);
        expect(result.unanswered).to.equal(0);
      }),
      { seed: SEED + 1, numRuns: 25 },
    );
  }).timeout(180_000);
});

describe('an engine never receives conflicting orders, and orders without authority have no effect', () => {
  // The holder sleeps past its lease while orders that it sent before are still on their way.
  const plan = [0, 1, 2, 3].flatMap((target) => [
    fault('orders-delayed', 8000, 45_000, target),
    fault('pause-daemon', target === 3 ? 16_000 : 58_000, 28_000, target),
  ]);

  it('is caught when the engine does not fence', () => {
    expectCaught('no-order-without-authority', plan, (site) => {
      for (const engine of site.engines.values()) {
        const control = engine.control.bind(engine);
        engine.control = (request, holder, tableEpoch) => {
          const { epoch, sequence } = engine.model.getState();
          const unfenced =
            request.kind === 'order'
              ? { ...request, epoch, sequence: sequence + 1, expiresAtClockMs: Infinity }
              : request;
          const result = control(unfenced, holder, tableEpoch);
          const accepted = request.kind === 'order' && result.kind === 'report';
          if (accepted)
            site.monitor.orderAccepted(engine.name, holder, request.epoch, request.sequence, tableEpoch);
          return result;
        };
      }
    });
  }).timeout(60_000);
});

describe('no request is cut by a planned change', () => {
  it('without other faults no stream breaks while roles change all the time', () => {
    const result = run([], 3, { loadUntilMs: 100_000 });
    expect(result.roleChanges).to.be.greaterThan(10);
    expect(result.cut).to.equal(0);
    expect(result.counts.failed.get('attempt-broken') ?? 0).to.equal(0);
  });

  it('is caught when the drain is skipped', () => {
    expectCaught('planned-change-cuts-nothing', [], (site) => {
      for (const engine of site.engines.values()) {
        const control = engine.control.bind(engine);
        engine.control = (request, holder, tableEpoch) => {
          const change = request.kind === 'order' && request.action.kind === 'drain';
          const streams = engine.model.getStreamCount();
          const result = control(request, holder, tableEpoch);
          if (change && result.kind === 'report') site.monitor.changeWithStreams(engine.name, streams);
          return result;
        };
      }
    });
  });
});

describe('a caller receives the whole answer to its own request', () => {
  it('is caught when a broken stream passes for a complete one', () => {
    expectCaught('whole-answer', broadPlan('crash-engine'), (site) => {
      const offsets = new Map<string, number>();
      site.intercept = (event) => {
        if (event.kind !== 'attemptEvent') return event;
        if (event.event.kind === 'tokens')
          offsets.set(event.attemptId, event.event.offset + event.event.texts.length);
        const tokens = offsets.get(event.attemptId);
        const brokenOff = event.event.kind === 'broken' && tokens !== undefined;
        return brokenOff ? { ...event, event: { kind: 'end', tokens, finishReason: 'stop' } } : event;
      };
    });
  });
});

describe('a refusal saying "not run" is true', () => {
  it('is caught when a broken connection passes for one never made', () => {
    const plan = broadPlan('crash-application', 'cut-daemon-inbound');
    expectCaught('not-run-is-true', plan, (site) => {
      site.intercept = (event) => {
        const misread = event.kind === 'applicationEvent' && event.event.kind === 'broken';
        return misread ? { ...event, event: { kind: 'unreachable', reason: 'misread' } } : event;
      };
    });
  });
});

describe('a request that may not be repeated runs at most once', () => {
  const crashes = Array.from({ length: 40 }, (_, index) =>
    fault('crash-application', 9000 + index * 1000, 500, index),
  );
  const plan = [...broadPlan('kill-daemon', 'table-loses-answers'), ...crashes];

  it('is caught when a broken call is sent again', () => {
    expectCaught('at-most-once', crashes, (site) => {
      site.intercept = (event) => {
        const misread = event.kind === 'applicationEvent' && event.event.kind === 'broken';
        return misread ? { ...event, event: { kind: 'refused', leaving: false } } : event;
      };
    });
  });

  it('is caught when a lost answer of the table passes for a success', () => {
    expectCaught('at-most-once', plan, (site) => {
      site.intercept = (event) => {
        const lost =
          event.kind === 'tableResult' && event.tag.kind === 'ledger' && event.result.kind !== 'committed';
        return lost ? { ...event, result: { kind: 'committed', revision: 1_000_000 } } : event;
      };
    });
  });
});

describe('a back end that is leaving receives no new work after a few seconds', () => {
  const plan = [
    fault('leave-engine', 12_000, 0, 1),
    fault('leave-engine', 20_000, 0, 4),
    fault('cut-from-platform', 15_000, 20_000, 0),
  ];

  it('holds although the machine list lags and a daemon is cut off from it', () => {
    const result = run(plan, 2);
    expect(result.violations).to.deep.equal([]);
    expect(result.worstLeavingMs).to.be.lessThan(5000);
  });

  it('holds when a daemon wakes from a pause during which the engine left', () => {
    const pausedMeanwhile = [fault('pause-daemon', 23_826, 13_279, 5), fault('leave-engine', 26_737, 0, 9)];
    const result = run([...pausedMeanwhile, fault('pause-daemon', 28_184, 10_433, 8)], 971_350_688);
    expect(result.violations).to.deep.equal([]);
  });

  it('is caught when daemons do not listen to the engine itself', () => {
    const directory = { ...DEFAULT_COMPLETION_DAEMON_SETTINGS.directory, maximumReportAgeMs: 1_000_000 };
    expectCaught(
      'leaving-gets-no-work',
      plan,
      (site) => {
        site.intercept = (event) => {
          if (event.kind === 'attemptEvent' && event.event.kind === 'refused')
            return { ...event, event: { kind: 'refused', reason: 'full' } };
          if (event.kind === 'machineListing' || event.kind === 'engineControlResult')
            return site.time.now() > 11_000 ? undefined : event;
          return event.kind === 'peerMessage' && event.message.kind === 'cellDigest' ? undefined : event;
        };
      },
      { settings: { ...RESTLESS, directory } },
    );
  });
});

describe('a planned stop cuts no request', () => {
  it('a rolling restart of every daemon under load fails no request', () => {
    const plan = [0, 1, 2, 3].map((target) => fault('drain-daemon', 10_000 + target * 10_000, 2000, target));
    const result = runFaults({ site: 'cundinamarca', seed: 8, faults: plan, loadUntilMs: LOAD_UNTIL_MS });
    expect(result.violations).to.deep.equal([]);
    expect(result.counts.lostWithDaemon).to.equal(0);
    expect(result.counts.unconnected).to.equal(0);
    expect([...result.counts.failed]).to.deep.equal([]);
  });

  it('is caught when the process is killed instead', () => {
    const plan = [0, 1, 2, 3].map((target) => fault('kill-daemon', 10_000 + target * 10_000, 2000, target));
    const result = runFaults({ site: 'cundinamarca', seed: 8, faults: plan, loadUntilMs: LOAD_UNTIL_MS });
    expect(result.counts.lostWithDaemon).to.be.greaterThan(0);
  });
});

describe('an accepted configuration is in force everywhere within seconds and never reverts', () => {
  const races = [0, 1, 2, 3, 4].map((index) => fault('operators-race', 12_000 + index * 8000, 0, index));
  const plan = [...races, ...broadPlan('cut-daemon', 'pause-daemon')];

  it('holds while operators race and daemons are cut off and paused', () => {
    const result = run(plan, 4);
    expect(result.violations).to.deep.equal([]);
  });

  it('is caught when daemons admit on a configuration of any age', () => {
    const configuration = {
      ...DEFAULT_COMPLETION_DAEMON_SETTINGS.configuration,
      maximumStalenessMs: 1_000_000,
    };
    const cut = [fault('cut-daemon', 11_000, 45_000, 0), ...races.map((race) => ({ ...race, target: 1 }))];
    const result = run(cut, 4, { settings: { ...RESTLESS, configuration } });
    expect(brokenPromises(result)).to.include('configuration-in-force');
  });

  it('a daemon that starts during a table outage learns the revision from its peers before it is ready', () => {
    const site = bareSite();
    site.time.runUntil(8000);
    site.platform.faults.down = true;
    site.time.runUntil(25_000);
    const [node] = site.daemons;
    site.restart(node);
    expect(node.daemon.readiness(site.time.now()).ready).to.equal(false);
    site.time.runUntil(40_000);
    expect(node.daemon.readiness(site.time.now())).to.deep.equal({ ready: true, reason: 'majorityInOutage' });
    expect(node.daemon.configurationRevision()).to.equal(site.daemons[1].daemon.configurationRevision());
  });

  it('in a long outage a majority goes on; a daemon cut off from table and peers stops within the stated seconds', () => {
    const site = bareSite();
    site.time.runUntil(8000);
    site.platform.faults.down = true;
    const [alone, ...others] = site.daemons;
    site.network.cut((from, to) => from === alone || to === alone);
    site.time.runUntil(8000 + 11_500);
    expect(alone.daemon.readiness(site.time.now()).ready).to.equal(false);
    site.time.runUntil(300_000);
    expect(alone.daemon.readiness(site.time.now()).ready).to.equal(false);
    for (const node of others)
      expect(node.daemon.readiness(site.time.now()).reason).to.equal('majorityInOutage');
  });

  it('a daemon that wakes from a long pause does not admit on what it knew', () => {
    const site = bareSite();
    site.time.runUntil(8000);
    const [node] = site.daemons;
    site.pause(node);
    site.time.runUntil(40_000);
    expect(node.daemon.readiness(site.time.now()).ready).to.equal(false);
    site.resume(node);
    site.time.runUntil(46_000);
    expect(node.daemon.readiness(site.time.now()).ready).to.equal(true);
  });
});
