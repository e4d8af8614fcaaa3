/// A loopback proxy that harms the connections that go through it.
import {connect, createServer, type AddressInfo, type Server, type Socket} from "node:net"

/// What the proxy does to bytes: passes them, holds them for a while, drops those of one direction (the
/// connection stays open) or of both.
export type LinkState = "open" | "delayed" | "cutForth" | "cutBack" | "silent"

const FORTH = "forth"
const BACK = "back"

/// One proxy before one address.
export class FaultProxy {
  private state: LinkState = "open"
  private delayMs = 0
  private made = 0
  private readonly sockets = new Set<Socket>()
  /// Connections that pass nothing any more, whatever the state.
  private readonly silenced = new WeakSet<Socket>()
  private readonly server: Server

  /// `getTarget` gives the address behind it now; undefined where nobody listens.
  constructor(private readonly getTarget: () => string | undefined) {
    this.server = createServer(socket => this.accept(socket))
  }

  /// Starts to listen and returns the address.
  async start(): Promise<string> {
    await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve))
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /// Sets what happens to bytes from now on.
  setState(state: LinkState, delayMs = 0): void {
    this.state = state
    this.delayMs = delayMs
  }

  /// Silences the connections that are open now, for good and without a reset; new ones work.
  silenceOpenConnections(): void {
    for (const socket of this.sockets) this.silenced.add(socket)
  }

  /// Connections that have come through it so far.
  getConnectionCount(): number {
    return this.made
  }

  /// Resets every connection.
  resetAll(): void {
    for (const socket of this.sockets) socket.resetAndDestroy()
  }

  /// Closes everything.
  close(): void {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  private accept(near: Socket): void {
    this.made += 1
    const target = this.getTarget()
    if (target === undefined) {
      // At once, as the system refuses it: a daemon judges by some 30 ms whether anybody listens.
      near.on("error", () => undefined)
      near.resetAndDestroy()
      return
    }
    const [host, port] = target.split(":")
    const far = connect({host, port: Number(port)})
    for (const socket of [near, far]) {
      this.sockets.add(socket)
      socket.setNoDelay(true)
      socket.on("error", () => undefined)
      socket.on("close", hadError => {
        this.sockets.delete(socket)
        if (this.silenced.has(socket)) return
        const other = socket === near ? far : near
        if (hadError) other.resetAndDestroy()
        else other.end()
      })
    }
    this.pass(near, far, FORTH)
    this.pass(far, near, BACK)
  }

  private pass(from: Socket, to: Socket, direction: typeof FORTH | typeof BACK): void {
    from.on("data", (bytes: Buffer) => {
      if (this.isCut(direction, from)) return
      const write = () => void (to.writable && to.write(bytes))
      if (this.state === "delayed") setTimeout(write, this.delayMs)
      else write()
    })
    from.on("end", () => {
      if (this.isCut(direction, from)) return
      if (this.state === "delayed") setTimeout(() => to.end(), this.delayMs)
      else to.end()
    })
  }

  private isCut(direction: typeof FORTH | typeof BACK, from: Socket): boolean {
    if (this.state === "silent" || this.silenced.has(from)) return true
    return (
      (this.state === "cutForth" && direction === FORTH) || (this.state === "cutBack" && direction === BACK)
    )
  }
}
