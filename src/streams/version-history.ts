/// Which software versions the back ends of each service have had. While there was one version for as long as a
/// stream may last, every stream of the service began at it, whoever served it.
import type {BackendRecord} from "../forwarding/routes/route.js"
import {getSoftwareVersion} from "./stream-origin.js"

/// The versions that one daemon has seen. Times are monotonic milliseconds.
export class VersionHistory {
  private readonly records = new Map<string, BackendRecord>()
  /// When a back end of a version was last listed, by service and version; those listed now are not included.
  private readonly lastSeenAt = new Map<string, Map<string | null, number>>()
  /// When the first record arrived.
  private knownSince = Infinity

  /// Applies the record of a back end that is new or has changed.
  apply(record: BackendRecord, now: number): void {
    this.knownSince = Math.min(this.knownSince, now)
    this.remove(record.id, now)
    this.records.set(record.id, record)
  }

  /// Removes a back end whose record no longer exists.
  remove(id: string, now: number): void {
    const record = this.records.get(id)
    if (!record) return
    this.records.delete(id)
    const seen = this.lastSeenAt.get(record.service) ?? new Map<string | null, number>()
    this.lastSeenAt.set(record.service, seen.set(getSoftwareVersion(record), now))
  }

  /// Finds the only version of a service within the last `spanMs`; undefined if there were several, one was not
  /// known, or this daemon has not watched for that long.
  findOnly(service: string, spanMs: number, now: number): string | undefined {
    if (now - this.knownSince < spanMs) return undefined
    const versions = new Set<string | null>()
    for (const record of this.records.values())
      if (record.service === service) versions.add(getSoftwareVersion(record))
    for (const [version, at] of this.lastSeenAt.get(service) ?? [])
      if (now - at < spanMs) versions.add(version)
    const [only] = versions
    return versions.size === 1 && only !== null ? only : undefined
  }

  /// Number of back ends that are listed without a version that is known.
  countUnknown(): number {
    return [...this.records.values()].filter(record => getSoftwareVersion(record) === null).length
  }

  /// Forgets the versions that were last listed more than `spanMs` ago.
  removeOld(spanMs: number, now: number): void {
    for (const seen of this.lastSeenAt.values())
      for (const [version, at] of seen) if (now - at >= spanMs) seen.delete(version)
  }

  /// This daemon has missed changes for a while, so it knows the past only from now on.
  restart(now: number): void {
    this.knownSince = now
  }
}
