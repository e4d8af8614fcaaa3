/**
 * The guarantees of the system under randomly generated faults, in virtual time. For each guarantee a broken
 * variant of the system checks that the monitor detects the violation.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import type { Fault, FaultKind } from '../simulation/simulated-faults.js';
import { runFaults, type FaultRunOptions, type FaultRunResult } from '../simulation/fault-run.js';
import type { PromiseName } from '../simulation/monitor.js';
import { faultsArbitrary } from '../simulation/drawn-faults.js';
import { SimulatedSite } from '../simulation/simulated-site.js';
import { createSiteOptions } from '../simulation/site-options.js';
import { getSiteProfile } from '../lab/site-profiles.js';
import {
  DEFAULT_COMPLETION_DAEMON_SETTINGS,
  type CompletionDaemonSettings,
} from '../src/daemon/completion-daemon-settings.js';

const SEED = 20261202;
const LOAD_UNTIL_MS = 60_000;
/** A broken variant must be detected with one of these seeds; the correct system is run with the first. */
const VARIANT_SEEDS = [5, 6, 7, 8, 9, 10, 11, 12];
/** Settings under which engine roles change continually, so that orders coincide with every fault. */
const CONTINUAL_ROLE_CHANGES: Partial<CompletionDaemonSettings> = {
  allocation: { ...DEFAULT_COMPLETION_DAEMON_SETTINGS.allocation, policy: 'threshold' },
};

function run(plan: readonly Fault[], seed: number, options: Partial<FaultRunOptions> = {}): FaultRunResult {
  return runFaults({
    site: 'cundinamarca',
    seed,
    faults: plan,
    loadUntilMs: LOAD_UNTIL_MS,
    settings: CONTINUAL_ROLE_CHANGES,
    ...options,
  });
}

function createFault(kind: FaultKind, atMs: number, durationMs: number, target: number): Fault {
  return { kind, atMs, durationMs, target };
}

/** A fixed plan with each fault kind on every daemon in turn, which provokes many different reactions. */
function createBroadPlan(...kinds: readonly FaultKind[]): Fault[] {
  return kinds.flatMap((kind, index) =>
    [0, 1, 2, 3].map((target) => createFault(kind, 9000 + index * 700 + target * 9000, 8000, target)),
  );
}

function createSiteWithoutLoad(): SimulatedSite {
  return new SimulatedSite(createSiteOptions(getSiteProfile('cundinamarca'), 1));
}

function getViolatedGuarantees(result: FaultRunResult): PromiseName[] {
  return [...new Set(result.violations.map((violation) => violation.promise))];
}

function expectViolationDetected(
  promise: PromiseName,
  plan: readonly Fault[],
  prepare: (site: SimulatedSite) => void,
  options: Partial<FaultRunOptions> = {},
): void {
  const correct = run(plan, VARIANT_SEEDS[0], options.settings ? {} : options);
  expect(correct.violations, 'correct variant').to.deep.equal([]);
  const isDetected = VARIANT_SEEDS.some((seed) =>
    getViolatedGuarantees(run(plan, seed, { prepare, ...options })).includes(promise),
  );
  expect(isDetected, 'the broken variant is detected').to.equal(true);
}

describe('guarantees under faults', () => {
  it('hold under any plan of faults, also overlapping and repeated ones, and every request is answered', () => {
    fc.assert(
      fc.property(faultsArbitrary, fc.nat({ max: 1000 }), (plan, seed) => {
        const result = run(plan, seed);
        expect(result.violations).to.deep.equal([]);
        expect(result.unanswered).to.equal(0);
      }),
      { seed: SEED, numRuns: 60 },
    );
  }).timeout(180_000);

  it('hold at the site trust-tt-north too', () => {
    fc.assert(
      fc.property(faultsArbitrary, fc.nat({ max: 1000 }), (plan, seed) => {
        const result = run(plan, seed, { site: 'trust-tt-north' });
        expect(result.violations).to.deep.equal([]);
        expect(result.unanswered).to.equal(0);
      }),
      { seed: SEED + 1, numRuns: 25 },
    );
  }).timeout(180_000);
});

describe('an engine never receives conflicting orders, and orders without authority have no effect', () => {
  // The lease holder is paused beyond its lease while orders that it sent earlier are still in flight.
  const plan = [0, 1, 2, 3].flatMap((target) => [
    createFault('orders-delayed', 8000, 45_000, target),
    createFault('pause-daemon', target === 3 ? 16_000 : 58_000, 28_000, target),
  ]);

  it('a violation is detected when the engine does not check fencing tokens', () => {
    expectViolationDetected('no-order-without-authority', plan, (site) => {
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
            site.monitor.onOrderAccepted(engine.name, holder, request.epoch, request.sequence, tableEpoch);
          return result;
        };
      }
    });
  }).timeout(60_000);
});

describe('a planned change interrupts no request', () => {
  it('without other faults no stream breaks while roles change continually', () => {
    const result = run([], 3, { loadUntilMs: 100_000 });
    expect(result.roleChanges).to.be.greaterThan(10);
    expect(result.brokenStreams).to.equal(0);
    expect(result.counts.failed.get('attempt-broken') ?? 0).to.equal(0);
  });

  it('a violation is detected when the drain is skipped', () => {
    expectViolationDetected('planned-change-cuts-nothing', [], (site) => {
      for (const engine of site.engines.values()) {
        const control = engine.control.bind(engine);
        engine.control = (request, holder, tableEpoch) => {
          const change = request.kind === 'order' && request.action.kind === 'drain';
          const streams = engine.model.getStreamCount();
          const result = control(request, holder, tableEpoch);
          if (change && result.kind === 'report') site.monitor.onChangeStarted(engine.name, streams);
          return result;
        };
      }
    });
  });
});

describe('a caller receives the complete answer to its own request', () => {
  it('a violation is detected when a broken stream is reported as complete', () => {
    expectViolationDetected('whole-answer', createBroadPlan('crash-engine'), (site) => {
      const offsets = new Map<string, number>();
      site.intercept = (event) => {
        if (event.kind !== 'attemptEvent') return event;
        if (event.event.kind === 'tokens')
          offsets.set(event.attemptId, event.event.offset + event.event.texts.length);
        const tokens = offsets.get(event.attemptId);
        const isBrokenOff = event.event.kind === 'broken' && tokens !== undefined;
        return isBrokenOff ? { ...event, event: { kind: 'end', tokens, finishReason: 'stop' } } : event;
      };
    });
  });
});

describe('a request reported as not executed was not executed', () => {
  it('a violation is detected when a broken connection is reported as never established', () => {
    const plan = createBroadPlan('crash-application', 'cut-daemon-inbound');
    expectViolationDetected('not-run-is-true', plan, (site) => {
      site.intercept = (event) => {
        const isBroken = event.kind === 'applicationEvent' && event.event.kind === 'broken';
        return isBroken ? { ...event, event: { kind: 'unreachable', reason: 'misread' } } : event;
      };
    });
  });
});

describe('a request that must not be retried is executed at most once', () => {
  const crashes = Array.from({ length: 40 }, (_, index) =>
    createFault('crash-application', 9000 + index * 1000, 500, index),
  );
  const plan = [...createBroadPlan('kill-daemon', 'table-loses-answers'), ...crashes];

  it('a violation is detected when a broken call is retried', () => {
    expectViolationDetected('at-most-once', crashes, (site) => {
      site.intercept = (event) => {
        const isBroken = event.kind === 'applicationEvent' && event.event.kind === 'broken';
        return isBroken ? { ...event, event: { kind: 'refused', leaving: false } } : event;
      };
    });
  });

  it('a violation is detected when a lost answer of the table is taken for a success', () => {
    expectViolationDetected('at-most-once', plan, (site) => {
      site.intercept = (event) => {
        const isLost =
          event.kind === 'tableResult' && event.tag.kind === 'ledger' && event.result.kind !== 'committed';
        return isLost ? { ...event, result: { kind: 'committed', revision: 1_000_000 } } : event;
      };
    });
  });
});

describe('a back end that is leaving receives no new work after a few seconds', () => {
  const plan = [
    createFault('leave-engine', 12_000, 0, 1),
    createFault('leave-engine', 20_000, 0, 4),
    createFault('cut-from-platform', 15_000, 20_000, 0),
  ];

  it('holds when the machine list lags and a daemon is cut off from it', () => {
    const result = run(plan, 2);
    expect(result.violations).to.deep.equal([]);
    expect(result.worstLeavingMs).to.be.lessThan(5000);
  });

  it('holds when a daemon resumes from a pause during which the engine left', () => {
    const pausedMeanwhile = [
      createFault('pause-daemon', 23_826, 13_279, 5),
      createFault('leave-engine', 26_737, 0, 9),
    ];
    const result = run([...pausedMeanwhile, createFault('pause-daemon', 28_184, 10_433, 8)], 971_350_688);
    expect(result.violations).to.deep.equal([]);
  });

  it('a violation is detected when daemons ignore what the engine itself reports', () => {
    const directory = { ...DEFAULT_COMPLETION_DAEMON_SETTINGS.directory, maximumReportAgeMs: 1_000_000 };
    expectViolationDetected(
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
      { settings: { ...CONTINUAL_ROLE_CHANGES, directory } },
    );
  });
});

describe('a planned stop interrupts no request', () => {
  it('a rolling restart of every daemon under load fails no request', () => {
    const plan = [0, 1, 2, 3].map((target) =>
      createFault('drain-daemon', 10_000 + target * 10_000, 2000, target),
    );
    const result = runFaults({ site: 'cundinamarca', seed: 8, faults: plan, loadUntilMs: LOAD_UNTIL_MS });
    expect(result.violations).to.deep.equal([]);
    expect(result.counts.lostWithDaemon).to.equal(0);
    expect(result.counts.unconnected).to.equal(0);
    expect([...result.counts.failed]).to.deep.equal([]);
  });

  it('lost requests are detected when the process is killed instead', () => {
    const plan = [0, 1, 2, 3].map((target) =>
      createFault('kill-daemon', 10_000 + target * 10_000, 2000, target),
    );
    const result = runFaults({ site: 'cundinamarca', seed: 8, faults: plan, loadUntilMs: LOAD_UNTIL_MS });
    expect(result.counts.lostWithDaemon).to.be.greaterThan(0);
  });
});

describe('an accepted configuration is in force everywhere within seconds and never reverts', () => {
  const races = [0, 1, 2, 3, 4].map((index) =>
    createFault('operators-race', 12_000 + index * 8000, 0, index),
  );
  const plan = [...races, ...createBroadPlan('cut-daemon', 'pause-daemon')];

  it('holds under concurrent edits of operators while daemons are cut off and paused', () => {
    const result = run(plan, 4);
    expect(result.violations).to.deep.equal([]);
  });

  it('a violation is detected when daemons admit on a configuration of any age', () => {
    const configuration = {
      ...DEFAULT_COMPLETION_DAEMON_SETTINGS.configuration,
      maximumStalenessMs: 1_000_000,
    };
    const cut = [
      createFault('cut-daemon', 11_000, 45_000, 0),
      ...races.map((race) => ({ ...race, target: 1 })),
    ];
    const result = run(cut, 4, { settings: { ...CONTINUAL_ROLE_CHANGES, configuration } });
    expect(getViolatedGuarantees(result)).to.include('configuration-in-force');
  });

  it('a daemon that starts during a table outage receives the revision from its peers before it is ready', () => {
    const site = createSiteWithoutLoad();
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

  it('in a long outage a majority stays ready; a daemon cut off from table and peers is not ready after 11.5 seconds', () => {
    const site = createSiteWithoutLoad();
    site.time.runUntil(8000);
    site.platform.faults.down = true;
    const [isolated, ...others] = site.daemons;
    site.network.cut((from, to) => from === isolated || to === isolated);
    site.time.runUntil(8000 + 11_500);
    expect(isolated.daemon.readiness(site.time.now()).ready).to.equal(false);
    site.time.runUntil(300_000);
    expect(isolated.daemon.readiness(site.time.now()).ready).to.equal(false);
    for (const node of others)
      expect(node.daemon.readiness(site.time.now()).reason).to.equal('majorityInOutage');
  });

  it('a daemon that resumes from a long pause does not admit on its old configuration', () => {
    const site = createSiteWithoutLoad();
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
