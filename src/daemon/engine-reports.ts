/**
 * What a daemon learns of the load of its engines, and how old it takes each report to be. Three sources:
 * digests of the cells' coordinators, answers of engines to this daemon's own coordinators, and, where
 * digests are missing, engines that it asks itself, so that routing depends on no coordinator. Owns the times
 * and sequences of the last digests; writes to the engine directory.
 */
import type { EngineReport } from '../contracts/engine-protocol.js';
import type { EngineDirectory, EngineView } from '../routing/engine-directory.js';
import type { EffectSink } from '../shared/effect-sink.js';
import type { CellMessage, EngineLoad } from './cell-messages.js';
import type { CompletionDaemonEffect } from './completion-messages.js';
import type { CompletionDaemonSettings } from './completion-daemon-settings.js';

type CellDigest = Extract<CellMessage, { kind: 'cellDigest' }>;

/** After a pause messages that waited in sockets are read within this time. Milliseconds. */
const WAKE_GRACE_MS = 1000;
/**
 * Without a digest for this long the daemon asks the engines itself. Milliseconds; large cells get a
 * digest each 2 s.
 */
const DIGEST_MISSING_MS = 3000;
/** Engines asked per interval without digests, at least. */
const DIRECT_REPORTS_PER_INTERVAL = 4;
/**
 * Without digests every engine is asked about once in this many intervals: 2 s by default, within the 5 s for
 * which a report counts.
 */
const DIRECT_REPORT_ROUNDS = 4;

/** The reports of one daemon. Times are monotonic milliseconds. */
export class EngineReports {
  private readonly lastDigestAt = new Map<string, number>();
  private readonly lastDigest = new Map<string, { coordinator: string; sequence: number }>();
  private nextDirectReportAt = 0;
  private pausedAt = -Infinity;
  private distrustUntil = -Infinity;

  constructor(
    private readonly settings: CompletionDaemonSettings,
    private readonly directory: EngineDirectory,
    private readonly emit: EffectSink<CompletionDaemonEffect>,
  ) {}

  /** The cell's loads are known at `now`: this daemon coordinates it, or has just begun to route to it. */
  setLoadsKnown(cell: string, now: number): void {
    this.lastDigestAt.set(cell, now);
  }

  /**
   * The process was paused. What it reads now may have waited in its sockets all the time, so for a moment
   * reports count as made before the pause.
   */
  onProcessResumed(pausedAt: number, now: number): void {
    this.pausedAt = pausedAt;
    this.distrustUntil = now + WAKE_GRACE_MS;
  }

  /** Takes an engine's own answer. */
  applyReport(engineId: string, report: EngineReport, now: number): void {
    this.directory.get(engineId)?.applyReport(report, this.getMadeAt(now, 0));
  }

  /** Takes a digest. One that is older than the last of the same coordinator is dropped. */
  applyDigest(digest: CellDigest, now: number): void {
    if (!this.isNewDigest(digest)) return;
    this.lastDigestAt.set(digest.cell, now);
    for (const { id, address, zone, report } of digest.descriptions) {
      // The machine list may be out of reach; a digest names the engines too.
      const view = this.directory.ensure(id, address, zone, digest.cell);
      view.applyReport(report, this.getMadeAt(now, this.settings.cells.digestIntervalMs));
    }
    for (const load of digest.loads) this.applyLoad(load, now);
  }

  /**
   * Asks engines whose cells send no digests: those of which nothing is known, then those with the oldest
   * reports.
   */
  tick(now: number): void {
    if (now < this.nextDirectReportAt) return;
    this.nextDirectReportAt = now + this.settings.cells.digestIntervalMs;
    const missing: EngineView[] = [];
    for (const view of this.directory.all()) {
      const digestAt = this.lastDigestAt.get(view.cell) ?? -Infinity;
      if (view.assignment === undefined || now - digestAt > DIGEST_MISSING_MS) missing.push(view);
    }
    missing.sort((left, right) => left.reportTime() - right.reportTime());
    // Engines of which nothing is known come first, all of them: a starting daemon needs them.
    const unknown = missing.filter((view) => view.assignment === undefined).length;
    const count = Math.max(unknown, DIRECT_REPORTS_PER_INTERVAL, missing.length / DIRECT_REPORT_ROUNDS);
    for (const view of missing.slice(0, count)) this.askEngine(view);
  }

  private applyLoad([id, phase, streams, waitingPrefillTokens, ageMs]: EngineLoad, now: number): void {
    const view = this.directory.get(id);
    if (!view) return;
    const { assignment, capability, maximumStreams, cachedShare } = view;
    if (!assignment || !capability) return;
    const known = { assignment, capability, maximumStreams, cachedShare };
    const report = { ...known, phase, streams, waitingPrefillTokens, clockMs: 0, epoch: 0, sequence: 0 };
    view.applyReport(report, this.getMadeAt(now, ageMs));
  }

  /** When a report of this age was made, at the latest, on this daemon's clock. */
  private getMadeAt(now: number, ageMs: number): number {
    const madeAt = now - ageMs - this.settings.directory.reportLagMs;
    return now < this.distrustUntil ? Math.min(madeAt, this.pausedAt) : madeAt;
  }

  private isNewDigest({ cell, coordinator, sequence }: CellDigest): boolean {
    const last = this.lastDigest.get(cell);
    if (last?.coordinator === coordinator && last.sequence >= sequence) return false;
    this.lastDigest.set(cell, { coordinator, sequence });
    return true;
  }

  private askEngine({ id, address, cell }: EngineView): void {
    const request = { kind: 'report' } as const;
    this.emit({ kind: 'engineControl', purpose: 'directory', cell, engineId: id, address, request });
  }
}
