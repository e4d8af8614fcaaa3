/// Connects the paths to back ends (backend-paths.ts) with the rest of the daemon: offers tunnels to peers and
/// takes their offers, and checks lost direct paths by health checks.
import type {PeerMessage} from "../daemon/peer-messages.js"
import {PathProber} from "../forwarding/paths/path-prober.js"
import type {MembershipMessage} from "../membership/membership-messages.js"
import {DaemonPart, type AnswerEvent, type PartContext, type PartFigures} from "./daemon-part.js"

/// The part that maintains the paths.
export class PathPart extends DaemonPart {
  override readonly name = "paths"
  private readonly prober = new PathProber()

  constructor(private readonly context: PartContext) {
    super()
  }

  override removeBackend(id: string): void {
    this.context.paths.removeBackend(id)
    this.prober.remove(id)
  }

  /// Adds to probes between daemons and their answers whether this daemon takes tunnels.
  override addToMembership(message: MembershipMessage, now: number): MembershipMessage {
    const isProbe = message.kind === "ping" || message.kind === "ack"
    return isProbe && this.context.paths.offersTunnels(now) ? {...message, tunnels: true} : message
  }

  override receivePeer(_fromId: string, fromAddress: string, message: PeerMessage, now: number): void {
    const {paths, identity} = this.context
    if (message.kind !== "ping" && message.kind !== "ack" && message.kind !== "loadDigest") return
    if (fromAddress !== identity.address) paths.applyOffer(fromAddress, message.tunnels === true, now)
    if (message.kind !== "loadDigest") return
    for (const [id, , , , , succeeded = 0] of message.loads) if (succeeded > 0) paths.onPeerSuccess(id, now)
  }

  override receiveAnswer(event: AnswerEvent, now: number): void {
    if (event.kind !== "probed") return
    const {paths} = this.context
    if (!event.succeeded) {
      paths.onProbeFailed(event.backendId, now)
      return
    }
    paths.onProbeAnswered(event.backendId, now)
    this.prober.onAnswered(event.backendId)
    this.sendProbe(now)
  }

  override onProcessResumed(now: number): void {
    this.context.paths.onProcessResumed(now)
  }

  override scan(_draining: boolean, now: number): void {
    this.context.paths.tick(now)
    this.sendProbe(now)
  }

  override getFigures(now: number): PartFigures {
    return this.context.paths.getFigures(now)
  }

  private sendProbe(now: number): void {
    const {directory, emit, getRoutes, paths} = this.context
    const id = this.prober.pickDue(paths.getUncheckedIds(now), now)
    const backend = id === undefined ? undefined : directory.get(id)?.record
    const healthPath = backend && getRoutes()?.getService(backend.service)?.healthPath
    if (backend === undefined || healthPath === undefined) return
    paths.onProbeSent(backend.id, now)
    emit({kind: "probeBackend", probe: {backend}, healthPath})
  }
}
