/** Runs a simulated site under load and faults while the monitor checks every promise. */
import { getSiteProfile } from '../lab/site-profiles.js';
import type { CompletionDaemonSettings } from '../src/daemon/completion-daemon-settings.js';
import { FaultInjector, type Fault } from './simulated-faults.js';
import type { Violation } from './monitor.js';
import { createSiteOptions } from './site-options.js';
import { SimulatedSite } from './simulated-site.js';
import { Workload, type WorkloadCounts } from './workload.js';

/** The site, load and faults of a run. */
export interface FaultRunOptions {
  readonly site: string;
  readonly seed: number;
  readonly faults: readonly Fault[];
  /** Virtual time at which the load ends; the run then waits for outstanding answers. Milliseconds. */
  readonly loadUntilMs: number;
  readonly settings?: Partial<CompletionDaemonSettings>;
  /** Called before the run starts; tests of the monitor use it to break the system deliberately. */
  readonly prepare?: (site: SimulatedSite) => void;
}

/** The outcome of a run. */
export interface FaultRunResult {
  readonly violations: readonly Violation[];
  readonly counts: WorkloadCounts;
  /** Streams that ended with a typed error after tokens had been sent. */
  readonly brokenStreams: number;
  /** Requests that still have no answer long after the last deadline. */
  readonly unanswered: number;
  /** Longest time from a back end's announcement that it leaves to its last new request. Milliseconds. */
  readonly worstLeavingMs: number;
  /** Changes of role or model over all engines. */
  readonly roleChanges: number;
}

/** Time for the site to become ready before load starts. Milliseconds. */
const WARM_UP_MS = 6000;
/** Time after the load ends, longer than every deadline; a request without an answer then is lost. Milliseconds. */
const SETTLE_MS = 90_000;
/** The load alternates at this interval between long and short work, to provoke role changes. Milliseconds. */
const LOAD_PHASE_MS = 20_000;

/** Runs a site under load and the given faults. */
export function runFaults(options: FaultRunOptions): FaultRunResult {
  const profile = getSiteProfile(options.site);
  const site = new SimulatedSite(createSiteOptions(profile, options.seed, options.settings));
  options.prepare?.(site);
  const workload = new Workload(site, profile.services, options.seed + 1);
  new FaultInjector(site, workload).schedule(options.faults);
  site.time.runUntil(WARM_UP_MS);
  const isLongWorkPhase = (atMs: number): boolean => Math.floor(atMs / LOAD_PHASE_MS) % 2 === 0;
  const { engines } = profile;
  workload.addCompletions({
    ...profile.longWork,
    perSecond: (atMs) => engines * (isLongWorkPhase(atMs) ? 0.6 : 0.1),
  });
  workload.addCompletions({
    ...profile.shortWork,
    perSecond: (atMs) => engines * (isLongWorkPhase(atMs) ? 0.5 : 3),
  });
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
