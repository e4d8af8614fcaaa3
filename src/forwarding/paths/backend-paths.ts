/// Decides the path of each attempt: a direct connection, or a tunnel through a peer while this daemon's own
/// links to a back end, or to all of them, are lost (docs/design/paths-to-back-ends.md). Owns the state of
/// being cut off and the peers in use. Relies on link-watch.ts for what direct connections show, and on
/// tunnel-peers.ts for the peers.
import type {RandomSource} from "../../shared/random.js"
import type {DaemonIdentity, Member} from "../../membership/membership-messages.js"
import type {DirectContact} from "./direct-contact.js"
import {LinkWatch, type LinkWatchContext} from "./link-watch.js"
import {TunnelPeers} from "./tunnel-peers.js"
import type {TunnelRefusal} from "../tunnel-messages.js"

/// Number of tunnels that a daemon carries for its peers at most. Each takes two descriptors of the 4,100 of
/// a process, of which callers use 0.45.
const MAXIMUM_TUNNELS = 500
/// From this part of the bound on a daemon doesn't offer tunnels. A share.
const OFFERED_SHARE = 0.8
/// A count of tunnels is out of date after this time. Milliseconds.
const TUNNEL_COUNT_LIFETIME_MS = 1000

/// A success of a peer at a back end, heard this long after an attempt was sent, came after it: digests are
/// sent every 100 to 400 ms. Milliseconds.
const PEER_SUCCESS_DELAY_MS = 300
/// A peer's success shows for this time that a back end is sound. Milliseconds.
const PEER_SUCCESS_LIFETIME_MS = 2000

/// Tunnels that are tried for one send of a request.
const MAXIMUM_TUNNEL_FAILURES = 2

/// Tunnels of a peer that isn't needed any more are closed this long after their last use. Milliseconds.
const TUNNEL_IDLE_MS = 1000

/// While this daemon is cut off, a back end that peers didn't reach is tried again after this time: its health
/// checks, which are direct, can't tell. Milliseconds.
const TUNNELLED_LOSS_MS = 2000

/// After this time without contact and without a peer that takes tunnels, requests are refused at once.
/// Milliseconds; longer than sound back ends are silent.
const REFUSAL_DELAY_MS = 1500
/// Bounds of the Retry-After of these refusals. Milliseconds.
const SHORTEST_RETRY_AFTER_MS = 500
const LONGEST_RETRY_AFTER_MS = 3000

/// Refusals after which a peer takes no tunnels until it offers them again.
const LASTING_REFUSALS: ReadonlySet<string> = new Set<TunnelRefusal>(["cut-off", "stopping"])

/// An attempt that found no connection.
export interface FailedConnection {
  readonly backendId: string
  readonly via: string | undefined
  /// Code of the failure; a peer's refusal of a tunnel.
  readonly reason: string
  readonly startedAt: number
  /// Tunnels that failed before it for the same send of the request.
  readonly tunnelFailures: number
}

/// What follows from a failed connection.
export interface ConnectionVerdict {
  /// The peer through which the request is sent again to the same back end at once.
  readonly retryVia: string | undefined
  /// Whether the back end counts as unreachable.
  readonly isBackendLost: boolean
}

/// What the paths rely on.
export interface PathContext extends LinkWatchContext {
  readonly identity: DaemonIdentity
  readonly random: RandomSource
  /// Active members, this daemon included.
  getMembers(): readonly Member[]
  /// Closes the tunnels through a peer once nothing uses them.
  closeTunnels(via: string): void
  /// What this daemon tells its peers of tunnels has changed.
  onOfferChanged(now: number): void
  logChange(
    event: "daemon.cut-off" | "daemon.contact-regained",
    fields: Readonly<Record<string, unknown>>
  ): void
}

/// The paths of one daemon. Times are monotonic milliseconds.
export class BackendPaths {
  private readonly links: LinkWatch
  private readonly contact: DirectContact
  private readonly peers: TunnelPeers
  /// When this daemon was found to be cut off, and since when it has had no direct answer; undefined while it
  /// is not.
  private cutOff: {readonly at: number; readonly since: number} | undefined
  /// Peers with open tunnels, and when an attempt was last sent through each.
  private readonly usedPeers = new Map<string, number>()
  /// When a peer last reported an answer of a back end, and when one last came through a tunnel.
  private readonly peerSuccessAt = new Map<string, number>()
  private readonly tunnelSuccessAt = new Map<string, number>()
  private readonly attempts = {direct: 0, tunnelled: 0}
  private openTunnels = {count: 0, at: -Infinity}
  private stopping = false

  constructor(private readonly context: PathContext) {
    this.links = new LinkWatch(context)
    this.contact = this.links.contact
    this.peers = new TunnelPeers(context)
  }

  /// Whether this daemon reaches no back end by itself.
  isCutOff(): boolean {
    return this.cutOff !== undefined
  }

  /// Counts an attempt that is sent.
  addAttempt(via: string | undefined): void {
    this.attempts[via === undefined ? "direct" : "tunnelled"] += 1
  }

  /// Whether this daemon reaches no back end by itself and peers do.
  isServedByPeers(now: number): boolean {
    return this.isCutOff() && this.peers.getCount(now) > 0
  }

  /// The peer through which an attempt at the back end goes; undefined for a direct connection.
  pickPeer(backendId: string, now: number): string | undefined {
    if (!this.isCutOff() && !this.isOnlyReachedByPeers(backendId, now)) return undefined
    return this.addUsed(this.peers.pick(backendId, now), now)
  }

  /// Peers that take tunnels, `count` at most.
  pickPeers(count: number, now: number): readonly string[] {
    return this.peers.pickSeveral(count, now)
  }

  /// When to come back, if no path to any back end is known; undefined if a request may be sent. Milliseconds.
  getRefusalMs(now: number): number | undefined {
    if (!this.cutOff || this.peers.getCount(now) > 0) return undefined
    const quietMs = now - this.cutOff.since
    if (quietMs < REFUSAL_DELAY_MS) return undefined
    return Math.round(Math.min(LONGEST_RETRY_AFTER_MS, Math.max(SHORTEST_RETRY_AFTER_MS, quietMs)))
  }

  /// Whether this daemon offers tunnels to its peers.
  offersTunnels(now: number): boolean {
    if (this.stopping || this.isCutOff() || !this.links.isSound(now)) return false
    const {count, at} = this.openTunnels
    return now - at > TUNNEL_COUNT_LIFETIME_MS || count < MAXIMUM_TUNNELS * OFFERED_SHARE
  }

  /// Why this daemon takes no tunnel to the address of a back end; undefined if it takes one. `openTunnels` are
  /// those that it carries now.
  checkTunnel(backendAddress: string, openTunnels: number, now: number): TunnelRefusal | undefined {
    this.openTunnels = {count: openTunnels, at: now}
    if (this.stopping) return "stopping"
    if (this.isCutOff()) return "cut-off"
    if (openTunnels >= MAXIMUM_TUNNELS) return "busy"
    for (const {record} of this.context.directory.all())
      if (record.address === backendAddress) return this.contact.isLost(record.id) ? "cut-off" : undefined
    return "unknown-backend"
  }

  /// This daemon is stopping: it takes no more tunnels.
  onStopping(now: number): void {
    this.stopping = true
    this.context.onOfferChanged(now)
  }

  /// Takes a peer's word whether it takes tunnels.
  applyOffer(address: string, offers: boolean, now: number): void {
    this.peers.applyOffer(address, offers, now)
  }

  /// A peer has had answers of a back end.
  onPeerSuccess(backendId: string, now: number): void {
    this.peerSuccessAt.set(backendId, now)
    this.contact.setUp(backendId)
  }

  /// A back end has answered an attempt that was sent at `sentAt`.
  onAnswered(backendId: string, via: string | undefined, sentAt: number, now: number): void {
    if (via !== undefined) {
      this.tunnelSuccessAt.set(backendId, now)
      this.contact.setUp(backendId)
      return
    }
    this.contact.onContact(backendId, sentAt, now)
    if (this.cutOff && sentAt >= this.cutOff.at) this.onRegained(backendId, now)
  }

  /// A health check was sent.
  onProbeSent(backendId: string, now: number): void {
    this.links.onProbeSent(backendId, now)
  }

  /// A back end has answered a health check.
  onProbeAnswered(backendId: string, now: number): void {
    this.links.onProbeAnswered(backendId, now)
    if (this.isCutOff()) this.onRegained(backendId, now)
  }

  /// A health check has failed.
  onProbeFailed(backendId: string, now: number): void {
    this.links.onProbeFailed(backendId, now)
    this.update(now)
  }

  /// An attempt found no connection, directly or through a peer.
  onConnectionFailed(
    failed: FailedConnection,
    tunnelFailure: "peer" | "backend" | undefined,
    now: number
  ): ConnectionVerdict {
    if (failed.via === undefined) return this.onDirectFailed(failed, now)
    this.peers.onFailed(failed.via, now)
    if (LASTING_REFUSALS.has(failed.reason)) this.peers.removeOffer(failed.via)
    const mayTryOther = failed.tunnelFailures + 1 < MAXIMUM_TUNNEL_FAILURES
    // A peer may have lost its links without knowing, as this daemon has: one peer's word isn't enough.
    const isDecided = tunnelFailure === "backend" && !this.isCutOff()
    const retryVia =
      mayTryOther && !isDecided ? this.addUsed(this.peers.pickOther(failed.backendId, now), now) : undefined
    const isBackendLost = retryVia === undefined && (tunnelFailure === "backend" || !this.isCutOff())
    if (tunnelFailure === "backend" && !this.isCutOff()) this.contact.setDown(failed.backendId)
    return {retryVia, isBackendLost}
  }

  /// An attempt through a peer stalled or broke: the peer may be the cause.
  onTunnelFailed(via: string, now: number): void {
    this.peers.onFailed(via, now)
  }

  /// This process was paused until now.
  onProcessResumed(now: number): void {
    this.links.onProcessResumed(now)
  }

  /// The record of a back end is gone.
  removeBackend(backendId: string): void {
    this.links.removeBackend(backendId)
    this.peerSuccessAt.delete(backendId)
    this.tunnelSuccessAt.delete(backendId)
  }

  /// The back ends whose direct paths are to be checked; all while this daemon is cut off.
  getUncheckedIds(now: number): readonly string[] {
    return this.isCutOff() ? this.links.getCheckableIds() : this.links.getUncheckedIds(now)
  }

  /// Advances the state.
  tick(now: number): void {
    this.peers.removeExpired(now)
    this.links.tick(now)
    this.update(now)
    if (this.isServedByPeers(now)) this.forgetLosses(now)
    this.closeUnused(now)
  }

  /// Figures for operators.
  getFigures(now: number): Readonly<Record<string, number>> {
    return {
      cut_off: this.isCutOff() ? 1 : 0,
      attempts_direct: this.attempts.direct,
      attempts_tunnelled: this.attempts.tunnelled,
      lost_paths: this.contact.getLostIds().length,
      tunnel_peers: this.peers.getCount(now)
    }
  }

  private onDirectFailed({backendId, startedAt}: FailedConnection, now: number): ConnectionVerdict {
    this.contact.onLost(backendId, startedAt, now)
    this.update(now)
    const tries = this.contact.isRefused(backendId) || this.isCutOff()
    const retryVia =
      tries || this.hasPeerSuccess(backendId, startedAt)
        ? this.addUsed(this.peers.pickOther(backendId, now), now)
        : undefined
    return {retryVia, isBackendLost: retryVia === undefined}
  }

  private addUsed(address: string | undefined, now: number): string | undefined {
    if (address !== undefined) this.usedPeers.set(address, now)
    return address
  }

  /// Whether the direct path to a sound back end is lost.
  private isOnlyReachedByPeers(backendId: string, now: number): boolean {
    const lostAt = this.contact.getLostAt(backendId)
    if (lostAt === undefined) return false
    if ((this.tunnelSuccessAt.get(backendId) ?? -Infinity) > lostAt) return true
    const peerSuccessAt = this.peerSuccessAt.get(backendId) ?? -Infinity
    return peerSuccessAt > lostAt + PEER_SUCCESS_DELAY_MS && now - peerSuccessAt < PEER_SUCCESS_LIFETIME_MS
  }

  /// Whether a peer had an answer of the back end after `sentAt`.
  private hasPeerSuccess(backendId: string, sentAt: number): boolean {
    return (this.peerSuccessAt.get(backendId) ?? -Infinity) > sentAt + PEER_SUCCESS_DELAY_MS
  }

  private update(now: number): void {
    if (this.isCutOff()) return
    const quietMs = this.links.findLostMs(now)
    if (quietMs === undefined) return
    this.cutOff = {at: now, since: now - quietMs}
    for (const view of this.context.directory.all()) view.ignoreWaiting()
    this.forgetLosses(now, quietMs)
    this.context.logChange("daemon.cut-off", {
      lost: this.contact.getLostIds().length,
      backends: this.links.countBackends(),
      quietMs: Math.round(quietMs),
      peers: this.peers.getCount(now)
    })
    this.context.onOfferChanged(now)
  }

  /// Losses that this daemon's own links caused, at most `withinMs` ago, say nothing about the back ends; nor do
  /// older ones that no health check can end now.
  private forgetLosses(now: number, withinMs = 0): void {
    for (const {health} of this.context.directory.all()) {
      const ageMs = now - health.getContactTimes().lostAt
      if (health.hasLostContact() && (ageMs <= withinMs || ageMs > TUNNELLED_LOSS_MS)) health.forgetLoss(now)
    }
  }

  private onRegained(backendId: string, now: number): void {
    const afterMs = Math.round(now - (this.cutOff?.since ?? now))
    this.cutOff = undefined
    this.context.logChange("daemon.contact-regained", {backend: backendId, afterMs})
    this.context.onOfferChanged(now)
  }

  /// Closes the tunnels through peers that take none any more, and all when the direct paths work again.
  private closeUnused(now: number): void {
    const isUsed = this.isCutOff() || this.contact.getLostIds().some(id => this.isOnlyReachedByPeers(id, now))
    if (!isUsed) this.peers.removeChoices()
    for (const [address, usedAt] of this.usedPeers)
      if (!this.peers.hasOffer(address) || (!isUsed && now - usedAt > TUNNEL_IDLE_MS)) {
        this.usedPeers.delete(address)
        this.context.closeTunnels(address)
      }
  }
}
