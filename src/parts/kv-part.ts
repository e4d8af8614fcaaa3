/// Follows the engines' KV caches once the process is warm.
import {KvFollower} from "../forwarding/kv-cache/kv-follower.js"
import {DaemonPart, type AnswerEvent, type PartContext} from "./daemon-part.js"

/// Engines' caches are followed from so long after the start on: before, the process is needed for the first
/// requests. Milliseconds. A small machine takes about as long until its code is warm.
const WARM_UP_MS = 2000

/// The follower as a part.
export class KvPart extends DaemonPart {
  override readonly name = "kv"
  private readonly follower: KvFollower

  constructor(
    {settings, directory, kvIndex, emit, members, routes}: PartContext,
    private readonly startedAt: number
  ) {
    super()
    this.follower = new KvFollower(
      settings.kvFollower,
      {
        countMembers: () => members().length,
        capacityTokens: service => routes()?.getService(service)?.engine?.kvCapacityTokens
      },
      directory,
      kvIndex,
      call => emit({kind: "readKvChanges", call})
    )
  }

  override removeBackend(id: string): void {
    this.follower.removeEngine(id)
  }

  override receiveAnswer(event: AnswerEvent, now: number): void {
    if (event.kind === "kvChangesRead") this.follower.receive(event.backend, event.answer, now)
  }

  override scan(_leaving: boolean, now: number): void {
    if (now - this.startedAt >= WARM_UP_MS) this.follower.tick(now)
  }
}
