/// Confirms through peers that a back end has ended: that this daemon finds no process at its address may only
/// show that its own path is lost. Owns the checks that wait for the answers of peers; the caller sends them.
import type {BackendCheck} from "../../quarantine/crash-detector.js"

/// Peers that are asked, all at once: the back end may be started again soon, and peers may have lost their own
/// paths without knowing.
const MAXIMUM_PEERS_ASKED = 8

/// The outcome of a check of one incarnation of a back end.
export interface CheckOutcome {
  readonly incarnation: string
  readonly check: BackendCheck
  /// Peer through which it was checked; undefined for a direct check.
  readonly via: string | undefined
}

/// What follows from an outcome: checks through these peers, or the result. Undefined while peers have not
/// answered.
export type CheckStep =
  | {readonly kind: "askPeers"; readonly peers: readonly string[]}
  | {readonly kind: "settled"; readonly check: BackendCheck}

interface Confirmation {
  readonly direct: BackendCheck
  readonly unanswered: Set<string>
  /// Whether a peer has tried to reach the back end and failed.
  isConfirmed: boolean
}

/// What the confirmation relies on.
interface ConfirmationContext {
  /// Peers that take tunnels, at most `count`.
  pickPeers(count: number, now: number): readonly string[]
  /// Whether this daemon reaches no back end by itself.
  isCutOff(): boolean
}

/// The confirmations of one daemon. Times are monotonic milliseconds.
export class CrashConfirmation {
  private readonly waiting = new Map<string, Confirmation>()

  constructor(private readonly context: ConfirmationContext) {}

  /// Applies the outcome of a check.
  receive({incarnation, check, via}: CheckOutcome, now: number): CheckStep | undefined {
    if (via === undefined) return this.receiveDirect(incarnation, check, now)
    const confirmation = this.waiting.get(incarnation)
    if (!confirmation?.unanswered.delete(via)) return undefined
    if (check === "answered") return this.settle(incarnation, check)
    if (check !== "unknown") confirmation.isConfirmed = true
    if (confirmation.unanswered.size > 0) return undefined
    return this.settle(incarnation, this.getResult(confirmation))
  }

  private receiveDirect(incarnation: string, check: BackendCheck, now: number): CheckStep {
    if (check === "answered") return this.settle(incarnation, check)
    const peers = this.context.pickPeers(MAXIMUM_PEERS_ASKED, now)
    const confirmation = {direct: check, unanswered: new Set(peers), isConfirmed: false}
    if (peers.length === 0) return this.settle(incarnation, this.getResult(confirmation))
    this.waiting.set(incarnation, confirmation)
    return {kind: "askPeers", peers}
  }

  private getResult({direct, isConfirmed}: Confirmation): BackendCheck {
    return isConfirmed || !this.context.isCutOff() ? direct : "unknown"
  }

  private settle(incarnation: string, check: BackendCheck): CheckStep {
    this.waiting.delete(incarnation)
    return {kind: "settled", check}
  }
}
