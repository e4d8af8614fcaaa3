/// Finds out from peers where a stream began. Its keepers are asked at once, and once more with further ones:
/// the message that tells a keeper of a stream may still be on its way, and daemons may differ for a moment
/// about who the keepers are. The lookup fails as soon as all that were asked the second time do not know, or
/// when the last round is over.
import type {OriginKeepers} from "./origin-keepers.js"

/// Number of keepers that are asked in each round. More than hold a copy, as members may have come or gone.
const ASKED_KEEPERS: readonly number[] = [3, 6, 12]
/// End of each round, from the start of the lookup. Milliseconds.
const ROUND_ENDS_MS: readonly number[] = [60, 160, 320]
/// From this round on, the lookup fails once all that were asked do not know.
const CONCLUSIVE_ROUND = 1

/// One lookup, for all requests that take the same stream up. Times are monotonic milliseconds.
export class OriginLookup {
  /// The requests that wait for it, with the services of their routes.
  readonly services = new Map<string, string | undefined>()
  private round = 0
  /// Peers that were asked in this round and have not answered.
  private unanswered = new Set<string>()

  constructor(
    private readonly attemptId: string,
    private readonly keepers: OriginKeepers,
    private readonly sendAsk: (address: string) => void,
    readonly startedAt: number
  ) {
    this.startRound()
  }

  /// A peer does not know where the stream began.
  receiveUnknown(address: string): void {
    this.unanswered.delete(address)
  }

  /// Whether nobody knows, as far as this daemon can find out. Starts the next round when one is over.
  tick(now: number): boolean {
    while (!this.isOver() && now >= this.startedAt + ROUND_ENDS_MS[this.round]) {
      this.round += 1
      if (!this.isOver()) this.startRound()
    }
    return this.isOver() || this.hasFailed()
  }

  /// Whether the lookup has already failed: nobody can be asked, or all that were asked again do not know.
  hasFailed(): boolean {
    return this.unanswered.size === 0 && (this.round >= CONCLUSIVE_ROUND || !this.hasKeepers())
  }

  private isOver(): boolean {
    return this.round >= ROUND_ENDS_MS.length
  }

  private hasKeepers(): boolean {
    return this.keepers.pick(this.attemptId, 1).length > 0
  }

  private startRound(): void {
    const addresses = this.keepers.pick(this.attemptId, ASKED_KEEPERS[this.round])
    this.unanswered = new Set(addresses)
    for (const address of addresses) this.sendAsk(address)
  }
}
