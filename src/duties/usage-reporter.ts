/// Reports each window's usage to the platform, once. What will be reported is written to the store first,
/// under the condition that nothing is written for that window: whoever reports later repeats it word for
/// word, so two different reports of one window are never both made, whoever was frozen, cut off or killed in
/// between.
import type {EffectSink} from "../shared/effect-sink.js"
import type {TableRequest, TableResult} from "../contracts/table-service.js"
import type {DutyAuthority, DutyCall, DutyResult, WindowCounts} from "./duty-messages.js"
import type {UsageCollector} from "./usage-collector.js"

/// Settings of the reports.
export interface UsageReporterSettings {
  /// Length of a window. Milliseconds.
  readonly windowMs: number
  /// A report is due so long after its window's end. Milliseconds.
  readonly dueMs: number
  /// Counts of a window are awaited for so long after its end: two tellings of each daemon and a pause of a
  /// process between them. Milliseconds. Default 2500.
  readonly settleMs: number
  /// First pause after a call that failed; doubled at each further one. Milliseconds. Default 200.
  readonly backoffMs: number
  /// The longest such pause. Milliseconds. Default 1600.
  readonly maximumBackoffMs: number
}

/// Default settings; the windows and when they are due have none.
export const DEFAULT_USAGE_REPORTER_SETTINGS: Omit<UsageReporterSettings, "windowMs" | "dueMs"> = {
  settleMs: 2500,
  backoffMs: 200,
  maximumBackoffMs: 1600
}

/// What the reporter asks for and tells.
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
  /// What the store holds for this window; undefined before it is known.
  counts: WindowCounts | undefined
  done: boolean
  inFlight: boolean
  failures: number
  nextAt: number
  /// Writes to the store so far.
  writes: number
}

/// A window whose report is overdue by so much is dropped: nobody knows any more what was sent for it.
/// Milliseconds.
const MAXIMUM_OVERDUE_MS = 20_000
/// Rows of windows so far back are removed; no daemon still tries to report them. Windows; of 5 s each they
/// are ten minutes, and reports are due after 10 s.
const KEPT_ROWS = 120
/// Revision of a row that does not exist, as the store counts.
const ABSENT_REVISION = 0

/// The reporter of one daemon. `now` is its steady clock, `fleetMs` the fleet's time of day; both in
/// milliseconds.
export class UsageReporter {
  private readonly reports = new Map<number, Report>()

  constructor(
    private readonly settings: UsageReporterSettings,
    private readonly collector: UsageCollector,
    /// The first window that this daemon has seen from its beginning.
    private readonly firstCompleteWindow: number,
    private readonly emit: EffectSink<UsageEffect>
  ) {}

  /// Takes the next step for each window that is due, under the authority of the lease.
  tick(authority: DutyAuthority, fleetMs: number, now: number): void {
    const {windowMs, dueMs, settleMs} = this.settings
    const newest = Math.floor((fleetMs - settleMs) / windowMs) - 1
    const oldest = Math.floor((fleetMs - dueMs - MAXIMUM_OVERDUE_MS) / windowMs)
    this.removeBefore(oldest)
    for (let window = oldest; window <= newest; window += 1) {
      if (this.isReportable(window)) this.runNextStep(this.getReport(window), authority, now)
    }
  }

  /// Takes the answer to a `usageTable` effect.
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
        // Another daemon was first, or an earlier try of this one: what stands there is what counts.
        report.counts = result.rows[0]?.value as WindowCounts | undefined
        report.nextAt = now
        break
      default:
        report.counts = undefined
        this.startBackoff(report, now)
    }
  }

  /// Takes the outcome of a report.
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

  /// A window is reported by whoever has heard of it or has seen it whole: a report of nothing by a daemon
  /// that started later would be final and wrong.
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
