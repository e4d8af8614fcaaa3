/** One run of a site under load and faults, with every promise watched. */
import { getSiteProfile } from '../lab/site-profiles.js';
import type { CompletionDaemonSettings } from '../src/daemon/completion-daemon-settings.js';
import { FaultInjector, type Fault } from './simulated-faults.js';
import type { Violation } from './monitor.js';
import { createSiteOptions } from './site-options.js';
import { SimulatedSite } from './simulated-site.js';
import { Workload, type WorkloadCounts } from './workload.js';

/** What to run. */
export interface FaultRunOptions {
  readonly site: string;
  readonly seed: number;
  readonly faults: readonly Fault[];
  /** Load lasts until this time; then the run waits for the last answers. Milliseconds. */
  readonly loadUntilMs: number;
  readonly settings?: Partial<CompletionDaemonSettings>;
  /** Called before the run begins, for broken variants. */
  readonly prepare?: (site: SimulatedSite) => void;
}

/** What a run showed. */
export interface FaultRunResult {
  readonly violations: readonly Violation[];
  readonly counts: WorkloadCounts;
  /** Streams that ended with a typed error after tokens had been sent. */
  readonly brokenStreams: number;
  /** Requests without any answer long after the last deadline. */
  readonly unanswered: number;
  readonly worstLeavingMs: number;
  readonly roleChanges: number;
}

/** Load starts when the site has had time to come up. Milliseconds. */
const WARM_UP_MS = 6000;
const SETTLE_MS = 90_000;
const SHIFT_MS = 20_000;

/** Runs a site under load and the given faults. */
export function runFaults(options: FaultRunOptions): FaultRunResult {
  const profile = getSiteProfile(options.site);
  const site = new SimulatedSite(createSiteOptions(profile, options.seed, options.settings));
  options.prepare?.(site);
  const workload = new Workload(site, profile.services, options.seed + 1);
  new FaultInjector(site, workload).schedule(options.faults);
  site.time.runUntil(WARM_UP_MS);
  const heavy = (atMs: number): boolean => Math.floor(atMs / SHIFT_MS) % 2 === 0;
  const { engines } = profile;
  workload.addCompletions({ ...profile.longWork, perSecond: (atMs) => engines * (heavy(atMs) ? 0.6 : 0.1) });
  workload.addCompletions({ ...profile.shortWork, perSecond: (atMs) => engines * (heavy(atMs) ? 0.5 : 3) });
  for (const row of profile.services.filter((service) => service.kind === 'application')) {
    workload.addCalls({ service: row.name, perSecond: 3, retryChance: 0.7 });
  }
  site.time.runUntil(options.loadUntilMs);
  workload.stop();
  site.time.runUntil(options.loadUntilMs + SETTLE_MS);
  let roleChanges = 0;
  for (const engine of site.engines.values()) roleChanges += engine.getChangeCount();
  return {
    violations: site.monitor.violations,
    counts: workload.counts,
    brokenStreams: workload.brokenStreams,
    unanswered: workload.getOpenRequestCount(),
    worstLeavingMs: site.monitor.worstLeavingMs,
    roleChanges,
  };
}
