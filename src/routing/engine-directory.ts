/**
 * The engines that a daemon routes to, with their estimated load. Owns the view of each engine. An engine
 * gets no work while it is leaving, draining, backing off, without a recent report, or ejected after failures
 * (`takesWork`). Since reports are delayed, an estimate adds the work that this daemon has sent since the
 * report and subtracts what the engine has processed since at its nominal rate.
 */
import { SmoothedRate } from '../shared/smoothed-rate.js';
import type {
  EngineAssignment,
  EngineCapability,
  EnginePhase,
  EngineReport,
} from '../contracts/engine-protocol.js';

/** Settings of the directory. */
export interface DirectorySettings {
  /** Assumed age of a report on arrival. Milliseconds. Default 500. */
  readonly reportLagMs: number;
  /**
   * An engine without a report for this duration gets no new work: it may be leaving. Milliseconds. Default
   * 5000.
   */
  readonly maximumReportAgeMs: number;
  /** Consecutive failures after which an engine is ejected. Default 3. */
  readonly ejectAfterFailures: number;
  /**
   * Duration of the first ejection; each further one doubles it, up to eight times the first. Milliseconds.
   * Default 2000.
   */
  readonly ejectionMs: number;
}

/** Default settings. */
export const DEFAULT_DIRECTORY_SETTINGS: DirectorySettings = {
  reportLagMs: 500,
  maximumReportAgeMs: 5000,
  ejectAfterFailures: 3,
  ejectionMs: 2000,
};

interface SentWork {
  readonly promptTokens: number;
  readonly sentAt: number;
  firstTokenSeen: boolean;
}

/** Maximum number of doublings of an ejection: eight times the first. */
const MAXIMUM_EJECTION_DOUBLINGS = 3;
/** Share of the local prompts without a first token that is assumed to be still waiting for computation. */
const LOCAL_WORK_SHARE = 0.5;
/** Time constant of the rate of prompt tokens sent to an engine. Milliseconds. */
const RATE_TIME_CONSTANT_MS = 5000;
/**
 * Limit of the extrapolation of other daemons' work since a report. Milliseconds. Equal to the default of
 * `maximumReportAgeMs`, since older reports are not used.
 */
const MAXIMUM_EXTRAPOLATION_MS = 5000;

/** This daemon's view of one engine. Times are monotonic milliseconds. */
export class EngineView {
  assignment: EngineAssignment | undefined;
  capability: EngineCapability | undefined;
  phase: EnginePhase = 'active';
  maximumStreams = 0;
  cachedShare = 0;
  listedLeaving = false;
  private reportedStreams = 0;
  private reportedPrefill = 0;
  private reportedAt = -Infinity;
  private readonly sent = new Map<string, SentWork>();
  private finishedAt: number[] = [];
  private readonly promptRate = new SmoothedRate(RATE_TIME_CONSTANT_MS);
  /**
   * Number of daemons that route to the engine, this one included. Each of the others is assumed to send as
   * much as this one.
   */
  routingDaemons = 1;
  private failures = 0;
  private ejections = 0;
  private ejectedUntil = -Infinity;
  private backOffUntil = -Infinity;

  constructor(
    readonly id: string,
    public address: string,
    readonly zone: string,
    readonly cell: string,
    private readonly maximumReportAgeMs: number,
  ) {}

  /**
   * Applies a load report that was made at about `madeAt` on this daemon's clock; older reports are ignored.
   */
  applyReport(report: EngineReport, madeAt: number): void {
    if (madeAt < this.reportedAt) return;
    this.assignment = report.assignment;
    this.capability = report.capability;
    this.phase = report.phase;
    this.maximumStreams = report.maximumStreams;
    this.cachedShare = report.cachedShare;
    this.reportedStreams = report.streams;
    this.reportedPrefill = report.waitingPrefillTokens;
    this.reportedAt = madeAt;
  }

  /** When the last report was made, on this daemon's clock; -Infinity before the first. */
  reportTime(): number {
    return this.reportedAt;
  }

  /** Records the phase in which the engine refused work. Valid until a newer report. */
  markPhase(phase: EnginePhase, now: number): void {
    this.phase = phase;
    this.reportedAt = Math.max(this.reportedAt, now);
  }

  /** Adds an attempt that this daemon sent. */
  addWork(attemptId: string, promptTokens: number, now: number): void {
    const computed = promptTokens * (1 - this.cachedShare);
    this.promptRate.add(computed, now);
    this.sent.set(attemptId, { promptTokens: computed, sentAt: now, firstTokenSeen: false });
  }

  /** Records the first token of an attempt: its prompt is computed. */
  markFirstToken(attemptId: string): void {
    const work = this.sent.get(attemptId);
    if (work) work.firstTokenSeen = true;
  }

  /** Removes an attempt that has ended. */
  removeWork(attemptId: string, now: number): void {
    if (!this.sent.delete(attemptId)) return;
    this.finishedAt.push(now);
  }

  /** Number of this daemon's attempts on the engine. */
  localStreams(): number {
    return this.sent.size;
  }

  /** Records a success: earlier failures no longer count. */
  addSuccess(): void {
    this.failures = 0;
    this.ejections = 0;
  }

  /**
   * Records a failure that is no rejection for load. The engine is ejected after several consecutive ones.
   */
  addFailure(now: number, settings: DirectorySettings): void {
    this.failures += 1;
    if (this.failures < settings.ejectAfterFailures) return;
    this.failures = 0;
    this.ejectedUntil = now + settings.ejectionMs * 2 ** Math.min(this.ejections, MAXIMUM_EJECTION_DOUBLINGS);
    this.ejections += 1;
  }

  /** Records that the engine asked for a back-off until `until`. An earlier back-off is never shortened. */
  addBackOff(until: number): void {
    this.backOffUntil = Math.max(this.backOffUntil, until);
  }

  /** Whether the engine may get new work. */
  takesWork(now: number): boolean {
    const fresh = now - this.reportedAt <= this.maximumReportAgeMs;
    const active = this.phase === 'active' && !this.listedLeaving && this.assignment !== undefined;
    return active && fresh && now >= this.ejectedUntil && now >= this.backOffUntil;
  }

  /**
   * Estimated number of prompt tokens that wait on the engine. Prompt lengths vary widely, so the work of
   * other daemons is estimated from a smoothed rate.
   */
  pendingPrefill(now: number): number {
    const rate = this.prefillRate() / 1000;
    let local = 0;
    let sinceReport = 0;
    for (const work of this.sent.values()) {
      if (work.sentAt > this.reportedAt) sinceReport += work.promptTokens;
      if (!work.firstTokenSeen) local += work.promptTokens;
    }
    const sinceReportMs = Math.min(Math.max(0, now - this.reportedAt), MAXIMUM_EXTRAPOLATION_MS);
    const others = (this.routingDaemons - 1) * (this.promptRate.perSecond(now) / 1000) * sinceReportMs;
    const estimated = this.reportedPrefill + sinceReport + others - rate * sinceReportMs;
    return Math.max(0, estimated, local * LOCAL_WORK_SHARE);
  }

  /**
   * Estimated number of streams on the engine. Streams cost about the same, so the change since the report is
   * this daemon's change times the number of daemons.
   */
  streams(): number {
    let sinceReport = 0;
    for (const work of this.sent.values()) if (work.sentAt > this.reportedAt) sinceReport += 1;
    this.finishedAt = this.finishedAt.filter((at) => at > this.reportedAt);
    const change = (sinceReport - this.finishedAt.length) * this.routingDaemons;
    return Math.max(this.reportedStreams + change, this.sent.size);
  }

  /** Prompt tokens per second in the engine's current role. */
  prefillRate(): number {
    const { capability, assignment } = this;
    if (!capability || !assignment) return 1;
    if (assignment.role === 'prefill') return capability.prefillRate;
    return assignment.role === 'mixed' ? capability.mixedPrefillRate : capability.mixedPrefillRate / 2;
  }

  /** Expected time until the first token of a prompt of this length. Milliseconds. */
  expectedFirstTokenMs(promptTokens: number, now: number): number {
    const computed = promptTokens * (1 - this.cachedShare);
    return ((this.pendingPrefill(now) + computed) / this.prefillRate()) * 1000;
  }
}

/** A summary of an engine, for status pages. */
export interface EngineSummary {
  readonly id: string;
  readonly cell: string;
  readonly phase: EnginePhase;
  readonly assignment: EngineAssignment | undefined;
  readonly streams: number;
  readonly maximumStreams: number;
}

/** All engines that a daemon routes to. */
export class EngineDirectory {
  constructor(private readonly settings: DirectorySettings) {}

  private readonly views = new Map<string, EngineView>();

  /** Returns the engine, adding it if unknown. */
  ensure(id: string, address: string, zone: string, cell: string): EngineView {
    const known = this.views.get(id);
    if (known) {
      known.address = address;
      return known;
    }
    const view = new EngineView(id, address, zone, cell, this.settings.maximumReportAgeMs);
    this.views.set(id, view);
    return view;
  }

  /** The engine; undefined if unknown. */
  get(id: string): EngineView | undefined {
    return this.views.get(id);
  }

  /** All engines. */
  all(): IterableIterator<EngineView> {
    return this.views.values();
  }

  /** Summaries of all engines, for status pages. */
  summary(): EngineSummary[] {
    return [...this.views.values()].map((view) => ({
      id: view.id,
      cell: view.cell,
      phase: view.phase,
      assignment: view.assignment,
      streams: view.streams(),
      maximumStreams: view.maximumStreams,
    }));
  }

  /**
   * Removes unlisted engines without work from this daemon. Unlisted engines with work are marked as leaving.
   */
  retain(listed: ReadonlySet<string>): void {
    for (const [id, view] of this.views) {
      if (!listed.has(id) && view.localStreams() === 0) this.views.delete(id);
      else if (!listed.has(id)) view.listedLeaving = true;
    }
  }
}
