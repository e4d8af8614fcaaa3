/// What the other daemons put on the back ends, summed up from their digests. In a large fleet there is one
/// digest, the relay's, with the sums of the whole fleet.

/// Load on one back end in the form that travels: id, requests, prompt tokens that can be in time, distrust
/// (1 a daemon avoids it, `CHANGING_DISTRUST` one is changing its stage), tokens of overdue prompts, and
/// attempts that succeeded and failed there since the digest before.
export type BackendLoad = [
  id: string,
  inFlight: number,
  pendingTokens: number,
  distrust: number,
  lateTokens?: number | undefined,
  succeeded?: number | undefined,
  failed?: number | undefined
]

/// Distrust of a daemon that changes the stage of an engine: enough for every fleet to leave the engine
/// alone.
export const STAGE_CHANGE_VOTES = 1000

interface Digest {
  readonly loads: readonly BackendLoad[]
  readonly at: number
}

interface Sum {
  inFlight: number
  pendingTokens: number
  lateTokens: number
  distrust: number
}

/// A peer's digest counts for this long. Milliseconds. Eight intervals of the relays.
const DIGEST_LIFETIME_MS = 2000
/// One daemon that avoids a back end may be the only one that cannot reach it; so many daemons are believed,
/// or this share of the fleet where that is more.
const DISTRUSTED = 2
const MINIMUM_DISTRUST_SHARE = 1 / 16

/// The loads that one daemon has heard of. Times are monotonic milliseconds.
export class PeerLoads {
  private readonly digests = new Map<string, Digest>()
  private readonly sums = new Map<string, Sum>()
  private distrusted = DISTRUSTED

  /// Takes the number of daemons in the fleet.
  setDaemonCount(count: number): void {
    this.distrusted = Math.max(DISTRUSTED, Math.ceil(count * MINIMUM_DISTRUST_SHARE))
  }

  /// Takes what another daemon says of its load, in place of what it said before.
  applyDigest(peerId: string, loads: readonly BackendLoad[], now: number): void {
    this.removeDigest(peerId)
    this.digests.set(peerId, {loads, at: now})
    for (const load of loads) this.addLoad(load, 1)
  }

  /// Forgets digests that are too old.
  removeOld(now: number): void {
    for (const [peerId, {at}] of this.digests) if (now - at > DIGEST_LIFETIME_MS) this.removeDigest(peerId)
  }

  /// Requests of the others at a back end.
  getInFlight(backendId: string): number {
    return this.sums.get(backendId)?.inFlight ?? 0
  }

  /// Prompt tokens of the others that wait there.
  getPendingTokens(backendId: string): number {
    return this.sums.get(backendId)?.pendingTokens ?? 0
  }

  /// The same of overdue prompts.
  getOverdueTokens(backendId: string): number {
    return this.sums.get(backendId)?.lateTokens ?? 0
  }

  /// Whether several daemons avoid it, or the one that changes its stage does.
  isEjectedByPeers(backendId: string): boolean {
    return (this.sums.get(backendId)?.distrust ?? 0) >= this.distrusted
  }

  private removeDigest(peerId: string): void {
    for (const load of this.digests.get(peerId)?.loads ?? []) this.addLoad(load, -1)
    this.digests.delete(peerId)
  }

  private addLoad([id, inFlight, pendingTokens, distrust, lateTokens = 0]: BackendLoad, sign: 1 | -1): void {
    let sum = this.sums.get(id)
    if (!sum) this.sums.set(id, (sum = {inFlight: 0, pendingTokens: 0, lateTokens: 0, distrust: 0}))
    sum.inFlight += sign * inFlight
    sum.pendingTokens += sign * pendingTokens
    sum.lateTokens += sign * lateTokens
    sum.distrust += sign * distrust
    if (Object.values(sum).every(count => count === 0)) this.sums.delete(id)
  }
}
