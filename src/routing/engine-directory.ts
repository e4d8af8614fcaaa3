/**
 * What a daemon knows of the engines that it routes to, and which of them get no work: an engine that leaves
 * or drains, one without a fresh report, and one that is ejected after failures (`takesWork`). Reports are
 * old, so the directory adds what this daemon itself sent since, and lets the reported work run down at the
 * engine's own rate.
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
  /** How old a report may be assumed to be on arrival. Milliseconds. Default 500. */
  readonly reportLagMs: number;
  /**
   * An engine without a report for this long gets no new work: it may be leaving. Milliseconds. Default 5000.
   */
  readonly maximumReportAgeMs: number;
  /** An engine with this many failures in a row is ejected. Default 3. */
  readonly ejectAfterFailures: number;
  /** First ejection; each further one doubles it, up to eight times. Milliseconds. Default 2000. */
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

/** An ejection is doubled so many times at most: eight times the first. */
const MAXIMUM_EJECTION_DOUBLINGS = 3;
/** Of the own prompts without a first token about this share is still to be computed. */
const OWN_WORK_SHARE = 0.5;
/** Time constant of the rate of prompt tokens sent to an engine. Milliseconds. */
const RATE_TIME_CONSTANT_MS = 5000;
/**
 * What others send is not extrapolated beyond this. Milliseconds. As the default of `maximumReportAgeMs`: an
 * older report counts for nothing.
 */
const MAXIMUM_EXTRAPOLATION_MS = 5000;

/** One engine as seen from here. */
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
   * Daemons that route to the engine, this one included. The others are taken to send as much as this one.
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

  /** Takes a load report that was made at about `madeAt` on this daemon's clock. */
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

  /** The engine itself said that it takes no new work. Holds until a newer report. */
  markPhase(phase: EnginePhase, now: number): void {
    this.phase = phase;
    this.reportedAt = Math.max(this.reportedAt, now);
  }

  /** Counts work sent from here. */
  addWork(attemptId: string, promptTokens: number, now: number): void {
    const computed = promptTokens * (1 - this.cachedShare);
    this.promptRate.add(computed, now);
    this.sent.set(attemptId, { promptTokens: computed, sentAt: now, firstTokenSeen: false });
  }

  /** The prompt of an attempt is computed. */
  markFirstToken(attemptId: string): void {
    const work = this.sent.get(attemptId);
    if (work) work.firstTokenSeen = true;
  }

  /** The attempt is over. */
  removeWork(attemptId: string, now: number): void {
    if (!this.sent.delete(attemptId)) return;
    this.finishedAt.push(now);
  }

  /** Attempts of this daemon on the engine. */
  ownStreams(): number {
    return this.sent.size;
  }

  /** The engine worked: earlier failures no longer count. */
  addSuccess(): void {
    this.failures = 0;
    this.ejections = 0;
  }

  /** The engine failed without being asked too much; after a few it is left alone for a while. */
  addFailure(now: number, settings: DirectorySettings): void {
    this.failures += 1;
    if (this.failures < settings.ejectAfterFailures) return;
    this.failures = 0;
    this.ejectedUntil = now + settings.ejectionMs * 2 ** Math.min(this.ejections, MAXIMUM_EJECTION_DOUBLINGS);
    this.ejections += 1;
  }

  /** The engine wants no work from this daemon until then. What it has said before stays in force. */
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
   * Prompt tokens estimated to wait on the engine. Prompts differ much, so the others count by a smoothed
   * rate.
   */
  pendingPrefill(now: number): number {
    const rate = this.prefillRate() / 1000;
    let own = 0;
    let sinceReport = 0;
    for (const work of this.sent.values()) {
      if (work.sentAt > this.reportedAt) sinceReport += work.promptTokens;
      if (!work.firstTokenSeen) own += work.promptTokens;
    }
    const sinceReportMs = Math.min(Math.max(0, now - this.reportedAt), MAXIMUM_EXTRAPOLATION_MS);
    const others = (this.routingDaemons - 1) * (this.promptRate.perSecond(now) / 1000) * sinceReportMs;
    const estimated = this.reportedPrefill + sinceReport + others - rate * sinceReportMs;
    return Math.max(0, estimated, own * OWN_WORK_SHARE);
  }

  /**
   * Streams estimated to be on the engine. Streams are alike, so what this daemon did stands for the others.
   */
  streams(): number {
    let sinceReport = 0;
    for (const work of this.sent.values()) if (work.sentAt > this.reportedAt) sinceReport += 1;
    this.finishedAt = this.finishedAt.filter((at) => at > this.reportedAt);
    const change = (sinceReport - this.finishedAt.length) * this.routingDaemons;
    return Math.max(this.reportedStreams + change, this.sent.size);
  }

  /** Prompt tokens per second in the present role. */
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

/** An engine in short, for status pages. */
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

  /** The engine, added when unknown. */
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

  /** The engine, if known. */
  get(id: string): EngineView | undefined {
    return this.views.get(id);
  }

  /** Every engine. */
  all(): IterableIterator<EngineView> {
    return this.views.values();
  }

  /** Every engine in short, for status pages. */
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

  /** Forgets engines of the cells named that are no longer listed and carry no work from here. */
  retain(listed: ReadonlySet<string>): void {
    for (const [id, view] of this.views) {
      if (!listed.has(id) && view.ownStreams() === 0) this.views.delete(id);
      else if (!listed.has(id)) view.listedLeaving = true;
    }
  }
}
