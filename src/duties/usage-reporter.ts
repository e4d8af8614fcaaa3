/// Reports each window's usage to the platform once. The report is written to the table store first, on the
/// condition that there is none for that window yet. A later reporter repeats the stored report exactly, so two
/// different reports of one window are never made, even if a daemon was paused, unreachable or killed in between.
import type {EffectSink} from "../shared/effect-sink.js"
import type {TableRequest, TableResult} from "../contracts/table-service.js"
import type {DutyAuthority, DutyCall, DutyResult, WindowCounts} from "./duty-messages.js"
import type {UsageCollector} from "./usage-collector.js"

/// Settings of the reports.
export interface UsageReporterSettings {
  /// Length of a window. Milliseconds.
  readonly windowMs: number
  /// A report is due this long after the end of its window. Milliseconds.
  readonly dueMs: number
  /// How long counts of a window are awaited after its end: two send intervals of each daemon, with a process
  /// pause between them. Milliseconds. Default 2500.
  readonly settleMs: number
  /// Back-off after the first failed call; doubled for each further failure. Milliseconds. Default 200.
  readonly backoffMs: number
  /// The longest back-off. Milliseconds. Default 1600.
  readonly maximumBackoffMs: number
}

/// Default settings; the window length and the due time have none.
export const DEFAULT_USAGE_REPORTER_SETTINGS: Omit<UsageReporterSettings, "windowMs" | "dueMs"> = {
  settleMs: 2500,
  backoffMs: 200,
  maximumBackoffMs: 1600
}

/// Effects of the reporter: writes to the store, calls to the platform and notifications.
export type UsageEffect =
  | {readonly kind: "usageTable"; readonly window: number; readonly request: TableRequest}
  | {readonly kind: "callDuty"; readonly call: DutyCall; readonly authority: DutyAuthority}
  | {
      readonly kind: "usageReported"
      readonly window: number
      readonly requests: number
      readonly lateMs: number
    }
  | {readonly kind: "usageMissed"; readonly window: number}

interface Report {
  readonly window: number
  /// The report in the store for this window; undefined while it is unknown.
  counts: WindowCounts | undefined
  done: boolean
  inFlight: boolean
  failures: number
  nextAt: number
  /// Number of writes to the store so far, which makes their ids unique.
  writes: number
}

/// A window whose report is overdue by more than this is dropped, because no daemon knows any longer what was
/// reported for it. Milliseconds.
const MAXIMUM_OVERDUE_MS = 20_000
/// Number of windows after which a row is removed from the store: no daemon tries to report it any longer. With
/// windows of 5 s this is ten minutes, and reports are due after 10 s.
const KEPT_ROWS = 120
/// Revision that the store expects for a row that does not exist.
const ABSENT_REVISION = 0

/// The reporter of one daemon. `now` is its monotonic clock, `fleetMs` the fleet's time of day; both in
/// milliseconds.
export class UsageReporter {
  private readonly reports = new Map<number, Report>()

  constructor(
    private readonly settings: UsageReporterSettings,
    private readonly collector: UsageCollector,
    /// The first window that began after this daemon started.
    private readonly firstCompleteWindow: number,
    private readonly emit: EffectSink<UsageEffect>
  ) {}

  /// Runs the next step for each window that is due, under the authority of the lease.
  tick(authority: DutyAuthority, fleetMs: number, now: number): void {
    const {windowMs, dueMs, settleMs} = this.settings
    const newest = Math.floor((fleetMs - settleMs) / windowMs) - 1
    const oldest = Math.floor((fleetMs - dueMs - MAXIMUM_OVERDUE_MS) / windowMs)
    this.removeBefore(oldest)
    for (let window = oldest; window <= newest; window += 1) {
      if (this.isReportable(window)) this.runNextStep(this.getReport(window), authority, now)
    }
  }

  /// Applies the answer to a `usageTable` effect.
  receiveTableResult(window: number, result: TableResult, now: number): void {
    const report = this.reports.get(window)
    if (!report) return
    report.inFlight = false
    switch (result.kind) {
      case "committed":
        report.failures = 0
        report.nextAt = now
        break
      case "conflict":
        // Another daemon or an earlier attempt of this one was first; the stored report is the valid one.
        report.counts = result.rows[0]?.value as WindowCounts | undefined
        report.nextAt = now
        break
      default:
        report.counts = undefined
        this.startBackoff(report, now)
    }
  }

  /// Applies the result of a report.
  receiveResult(window: number, result: DutyResult, fleetMs: number, now: number): void {
    const report = this.reports.get(window)
    if (!report) return
    report.inFlight = false
    if (result.kind !== "accepted") {
      this.startBackoff(report, now)
      return
    }
    report.done = true
    const {windowMs, dueMs} = this.settings
    const requests = Object.values(report.counts ?? {}).reduce((sum, count) => sum + count, 0)
    const lateMs = Math.max(0, Math.round(fleetMs - (window + 1) * windowMs - dueMs))
    this.emit({kind: "usageReported", window, requests, lateMs})
  }

  /// Whether this daemon may report a window: it has counts of it, or was running throughout the window. An
  /// empty report by a daemon that started later would be final and wrong.
  private isReportable(window: number): boolean {
    return window >= this.firstCompleteWindow || this.collector.has(window)
  }

  private runNextStep(report: Report, authority: DutyAuthority, now: number): void {
    if (report.done || report.inFlight || now < report.nextAt) return
    report.inFlight = true
    const {window, counts} = report
    if (counts === undefined) this.writeCounts(report, authority)
    else this.emit({kind: "callDuty", call: {kind: "reportUsage", window, counts}, authority})
  }

  private writeCounts(report: Report, {holder}: DutyAuthority): void {
    const {window} = report
    const counts = this.collector.sum(window)
    report.counts = counts
    report.writes += 1
    const key = String(window)
    const writes = [{table: "usage" as const, key, expectedRevision: ABSENT_REVISION, value: counts}]
    const removes = [{table: "usage" as const, key: String(window - KEPT_ROWS)}]
    this.emit({
      kind: "usageTable",
      window,
      request: {kind: "commit", writeId: `usage/${key}/${holder}/${report.writes}`, writes, removes}
    })
  }

  private getReport(window: number): Report {
    let report = this.reports.get(window)
    if (!report) {
      report = {
        window,
        counts: undefined,
        done: false,
        inFlight: false,
        failures: 0,
        nextAt: -Infinity,
        writes: 0
      }
      this.reports.set(window, report)
    }
    return report
  }

  private removeBefore(oldest: number): void {
    for (const {window, done} of this.reports.values()) {
      if (window >= oldest) continue
      this.reports.delete(window)
      if (!done) this.emit({kind: "usageMissed", window})
    }
    this.collector.removeBefore(oldest)
  }

  private startBackoff(report: Report, now: number): void {
    const {backoffMs, maximumBackoffMs} = this.settings
    report.nextAt = now + Math.min(maximumBackoffMs, backoffMs * 2 ** report.failures)
    report.failures += 1
  }
}
