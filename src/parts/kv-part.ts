/// Follows the engines' KV caches once the process has warmed up.
import {KvFollower} from "../forwarding/kv-cache/kv-follower.js"
import {DaemonPart, type AnswerEvent, type PartContext} from "./daemon-part.js"

/// Delay after the start before engines' caches are followed, so that the process serves the first requests
/// without this load. Milliseconds. A small machine takes about this long to warm up its code.
const WARM_UP_MS = 2000

/// The part that runs the KV cache follower.
export class KvPart extends DaemonPart {
  override readonly name = "kv"
  private readonly follower: KvFollower

  constructor(
    {settings, directory, kvIndex, emit, getMembers: members, getRoutes: routes}: PartContext,
    private readonly startedAt: number
  ) {
    super()
    this.follower = new KvFollower(
      settings.kvFollower,
      {
        countMembers: () => members().length,
        getCapacityTokens: service => routes()?.getService(service)?.engine?.kvCapacityTokens
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

  override scan(_draining: boolean, now: number): void {
    if (now - this.startedAt >= WARM_UP_MS) this.follower.tick(now)
  }
}
