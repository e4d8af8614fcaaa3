/// Load that the other daemons put on the back ends, summed from their digests. In a large fleet there is one
/// digest, the relay's, with the sums of the whole fleet. Owns the digests and the sums.

/// Load on one back end in messages between daemons: id, requests in flight, prompt tokens that can be
/// computed in time, votes to eject it (1 from a daemon that ejects it, `STAGE_CHANGE_VOTES` from one that is
/// changing its stage), tokens of overdue prompts, and attempts that succeeded and failed there since the
/// last digest.
export type BackendLoad = [
  id: string,
  inFlight: number,
  pendingTokens: number,
  ejectionVotes: number,
  overdueTokens?: number | undefined,
  succeeded?: number | undefined,
  failed?: number | undefined
]

/// Ejection votes of a daemon that changes the stage of an engine: enough to eject the engine in a fleet of
/// any size.
export const STAGE_CHANGE_VOTES = 1000

interface Digest {
  readonly loads: readonly BackendLoad[]
  readonly at: number
}

interface Sum {
  inFlight: number
  pendingTokens: number
  overdueTokens: number
  ejectionVotes: number
}

/// A peer's digest expires after this time: eight intervals of the relays. Milliseconds.
const DIGEST_LIFETIME_MS = 2000
/// Votes that eject a back end here: at least this number, and at least this share of the fleet's daemons. A
/// single daemon that ejects a back end may be the only one that cannot reach it.
const MINIMUM_VOTES = 2
const MINIMUM_VOTE_SHARE = 1 / 16

/// The loads that the peers of one daemon have reported. Times are monotonic milliseconds.
export class PeerLoads {
  private readonly digests = new Map<string, Digest>()
  private readonly sums = new Map<string, Sum>()
  private neededVotes = MINIMUM_VOTES

  /// Sets the number of daemons in the fleet.
  setDaemonCount(count: number): void {
    this.neededVotes = Math.max(MINIMUM_VOTES, Math.ceil(count * MINIMUM_VOTE_SHARE))
  }

  /// Applies the digest of a peer, which replaces its previous one.
  applyDigest(peerId: string, loads: readonly BackendLoad[], now: number): void {
    this.removeDigest(peerId)
    this.digests.set(peerId, {loads, at: now})
    for (const load of loads) this.addLoad(load, 1)
  }

  /// Removes digests that have expired.
  removeOld(now: number): void {
    for (const [peerId, {at}] of this.digests) if (now - at > DIGEST_LIFETIME_MS) this.removeDigest(peerId)
  }

  /// Requests of other daemons in flight at a back end.
  getInFlight(backendId: string): number {
    return this.sums.get(backendId)?.inFlight ?? 0
  }

  /// Prompt tokens of other daemons that wait there, without overdue prompts.
  getPendingTokens(backendId: string): number {
    return this.sums.get(backendId)?.pendingTokens ?? 0
  }

  /// The same for overdue prompts.
  getOverdueTokens(backendId: string): number {
    return this.sums.get(backendId)?.overdueTokens ?? 0
  }

  /// Whether enough daemons eject it, or one is changing its stage.
  isEjectedByPeers(backendId: string): boolean {
    return (this.sums.get(backendId)?.ejectionVotes ?? 0) >= this.neededVotes
  }

  private removeDigest(peerId: string): void {
    for (const load of this.digests.get(peerId)?.loads ?? []) this.addLoad(load, -1)
    this.digests.delete(peerId)
  }

  private addLoad(
    [id, inFlight, pendingTokens, ejectionVotes, overdueTokens = 0]: BackendLoad,
    sign: 1 | -1
  ): void {
    let sum = this.sums.get(id)
    if (!sum) this.sums.set(id, (sum = {inFlight: 0, pendingTokens: 0, overdueTokens: 0, ejectionVotes: 0}))
    sum.inFlight += sign * inFlight
    sum.pendingTokens += sign * pendingTokens
    sum.overdueTokens += sign * overdueTokens
    sum.ejectionVotes += sign * ejectionVotes
    if (Object.values(sum).every(count => count === 0)) this.sums.delete(id)
  }
}
