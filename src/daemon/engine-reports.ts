/**
 * Receives load reports of engines and estimates the age of each. There are three sources: digests of the
 * cells' coordinators, answers of engines to coordinators of this daemon, and, where digests are missing,
 * reports that this daemon requests from the engines itself, so that routing does not depend on a
 * coordinator. Owns the times and sequence numbers of the last digests; writes to the engine directory.
 */
import type { EngineReport } from '../contracts/engine-protocol.js';
import type { EngineDirectory, EngineView } from '../routing/engine-directory.js';
import type { EffectSink } from '../shared/effect-sink.js';
import type { CellMessage, EngineLoad } from './cell-messages.js';
import type { CompletionDaemonEffect } from './completion-messages.js';
import type { CompletionDaemonSettings } from './completion-daemon-settings.js';

type CellDigest = Extract<CellMessage, { kind: 'cellDigest' }>;

/** After a process pause, messages that were queued in sockets are read within this time. Milliseconds. */
const PAUSE_GRACE_MS = 1000;
/**
 * Without a digest for this duration, the daemon requests reports from the engines itself. Milliseconds.
 * Large cells send a digest every 2 s.
 */
const DIGEST_TIMEOUT_MS = 3000;
/** Least number of engines that are asked for a report per interval without digests. */
const DIRECT_REPORTS_PER_INTERVAL = 4;
/**
 * Without digests, each engine is asked for a report about once in this number of intervals: every 2 s by
 * default, within the 5 s for which a report is valid.
 */
const DIRECT_REPORT_ROUNDS = 4;

/** The engine reports that one daemon receives. Times are monotonic milliseconds. */
export class EngineReports {
  private readonly lastDigestAt = new Map<string, number>();
  private readonly lastDigest = new Map<string, { coordinator: string; sequence: number }>();
  private nextDirectReportAt = 0;
  private pausedAt = -Infinity;
  private pauseGraceUntil = -Infinity;

  constructor(
    private readonly settings: CompletionDaemonSettings,
    private readonly directory: EngineDirectory,
    private readonly emit: EffectSink<CompletionDaemonEffect>,
  ) {}

  /**
   * Counts the cell's loads as known at `now`: this daemon coordinates it, or has just started to route to
   * it.
   */
  setLoadsKnown(cell: string, now: number): void {
    this.lastDigestAt.set(cell, now);
  }

  /**
   * The process was paused. Messages that it reads now may have been queued in its sockets since then, so for
   * `PAUSE_GRACE_MS` reports count as made before the pause.
   */
  onProcessResumed(pausedAt: number, now: number): void {
    this.pausedAt = pausedAt;
    this.pauseGraceUntil = now + PAUSE_GRACE_MS;
  }

  /** Applies a report that an engine sent itself. */
  applyReport(engineId: string, report: EngineReport, now: number): void {
    this.directory.get(engineId)?.applyReport(report, this.getMadeAt(now, 0));
  }

  /** Applies a digest, unless it is older than the last one of the same coordinator. */
  applyDigest(digest: CellDigest, now: number): void {
    if (!this.isNewDigest(digest)) return;
    this.lastDigestAt.set(digest.cell, now);
    for (const { id, address, zone, report } of digest.descriptions) {
      // The machine list may be unreachable; a digest also names the engines.
      const view = this.directory.ensure(id, address, zone, digest.cell);
      view.applyReport(report, this.getMadeAt(now, this.settings.cells.digestIntervalMs));
    }
    for (const load of digest.loads) this.applyLoad(load, now);
  }

  /**
   * Requests reports from engines whose cells send no digests: first from those without any report, then from
   * those with the oldest.
   */
  tick(now: number): void {
    if (now < this.nextDirectReportAt) return;
    this.nextDirectReportAt = now + this.settings.cells.digestIntervalMs;
    const withoutDigest: EngineView[] = [];
    for (const view of this.directory.all()) {
      const digestAt = this.lastDigestAt.get(view.cell) ?? -Infinity;
      if (view.assignment === undefined || now - digestAt > DIGEST_TIMEOUT_MS) withoutDigest.push(view);
    }
    withoutDigest.sort((left, right) => left.reportTime() - right.reportTime());
    // All engines without a report are asked at once: a starting daemon is not ready without them.
    const unknown = withoutDigest.filter((view) => view.assignment === undefined).length;
    const count = Math.max(unknown, DIRECT_REPORTS_PER_INTERVAL, withoutDigest.length / DIRECT_REPORT_ROUNDS);
    for (const view of withoutDigest.slice(0, count)) this.requestReport(view);
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

  /** The latest time, on this daemon's clock, at which a report of this age was made. */
  private getMadeAt(now: number, ageMs: number): number {
    const madeAt = now - ageMs - this.settings.directory.reportLagMs;
    return now < this.pauseGraceUntil ? Math.min(madeAt, this.pausedAt) : madeAt;
  }

  private isNewDigest({ cell, coordinator, sequence }: CellDigest): boolean {
    const last = this.lastDigest.get(cell);
    if (last?.coordinator === coordinator && last.sequence >= sequence) return false;
    this.lastDigest.set(cell, { coordinator, sequence });
    return true;
  }

  private requestReport({ id, address, cell }: EngineView): void {
    const request = { kind: 'report' } as const;
    this.emit({ kind: 'engineControl', purpose: 'directory', cell, engineId: id, address, request });
  }
}
