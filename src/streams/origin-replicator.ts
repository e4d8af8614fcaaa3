/// Keeps copies of the origins of streams at their keepers while daemons come and go: the daemon at which a stream
/// began sends its origin to keepers that are new, and a stopping daemon hands over all origins that it holds.
/// Relies on the keepers to be told apart by member id, as a restarted daemon has lost its copies.
import type {EffectSink} from "../shared/effect-sink.js"
import type {OriginKeepers} from "./origin-keepers.js"
import {encodeOrigin, type StreamMessage} from "./origin-messages.js"
import type {OriginStore} from "./origin-store.js"

/// Number of keepers that hold a copy, besides the daemon at which the stream began.
const COPIES = 2
/// Origins that are checked in one tick. Choosing among 64 keepers takes some 60 µs.
const CHECKED_PER_TICK = 50
/// The same in a stop, which must be done with them before the process may end.
const CHECKED_PER_TICK_STOPPING = 250
/// Copies that follow a change of the members are sent a second time after this delay: messages to a daemon that
/// has just started may be dropped. Milliseconds; longer than a failed connection is not tried again.
const REPEAT_DELAY_MS = 1000

/// A message to one daemon.
interface Copy {
  readonly address: string
  readonly attemptId: string
}

/// Copies that are sent once more.
interface Repeat {
  readonly dueAt: number
  readonly copies: readonly Copy[]
}

/// The copies of one daemon. Times are monotonic milliseconds.
export class OriginReplicator {
  /// Ids of the members that were sent each origin. Removed with the origin.
  private readonly sentTo = new Map<string, Set<string>>()
  /// Origins to check, as the keepers have changed since.
  private pending: string[] = []
  private repeats: Repeat[] = []
  private stopping = false

  constructor(
    private readonly store: OriginStore,
    private readonly keepers: OriginKeepers,
    private readonly emit: EffectSink<Copy & {readonly message: StreamMessage}>
  ) {}

  /// A stream has begun at this daemon.
  add(attemptId: string): void {
    this.sentTo.set(attemptId, new Set())
    this.sendCopies(attemptId)
  }

  /// A peer's origin was added: a stopping daemon passes it on.
  onReceived(attemptId: string): void {
    if (this.stopping && !this.sentTo.has(attemptId)) this.handOver(attemptId)
  }

  /// This daemon stops: from now on it hands over all origins that it holds.
  startStopping(): void {
    if (this.stopping) return
    this.stopping = true
    for (const attemptId of this.store.ids()) if (!this.sentTo.has(attemptId)) this.handOver(attemptId)
  }

  /// Continues with origins whose keepers may have changed.
  tick(now: number): void {
    if (this.keepers.hasChanged()) this.pending = [...this.sentTo.keys()]
    const checked = this.pending.splice(0, this.stopping ? CHECKED_PER_TICK_STOPPING : CHECKED_PER_TICK)
    const copies = checked.flatMap(attemptId => this.sendCopies(attemptId))
    if (copies.length > 0) this.repeats.push({dueAt: now + REPEAT_DELAY_MS, copies})
    while (this.repeats.length > 0 && now >= this.repeats[0].dueAt)
      for (const copy of this.repeats.shift()?.copies ?? []) this.sendCopy(copy)
  }

  private handOver(attemptId: string): void {
    this.sentTo.set(attemptId, new Set())
    this.pending.push(attemptId)
  }

  /// Sends an origin to those of its keepers that were not sent it before. Returns the copies.
  private sendCopies(attemptId: string): Copy[] {
    const sentTo = this.sentTo.get(attemptId)
    if (!sentTo) return []
    if (!this.store.has(attemptId)) {
      this.sentTo.delete(attemptId)
      return []
    }
    const added = this.keepers.pickMembers(attemptId, COPIES).filter(({id}) => !sentTo.has(id))
    const copies = added.map(({address}) => ({address, attemptId}))
    for (const {id} of added) sentTo.add(id)
    for (const copy of copies) this.sendCopy(copy)
    return copies
  }

  private sendCopy({address, attemptId}: Copy): void {
    const origin = this.store.get(attemptId)
    if (!origin) return
    const message: StreamMessage = {kind: "streamBegan", attemptId, origin: encodeOrigin(origin)}
    this.emit({address, attemptId, message})
  }

  /// Forgets an origin that has expired or was dropped.
  remove(attemptId: string): void {
    this.sentTo.delete(attemptId)
  }
}
