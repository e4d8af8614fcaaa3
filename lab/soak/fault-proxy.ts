/// A TCP proxy on loopback that injects faults into the connections through it.
import {connect, createServer, type AddressInfo, type Server, type Socket} from "node:net"

/// What the proxy does with bytes: forwards them, forwards them after a delay, or drops those to the target
/// ("cutForth"), to the client ("cutBack") or both ("silent") while the connection stays open.
export type LinkState = "open" | "delayed" | "cutForth" | "cutBack" | "silent"

/// How a client is cut off from the target: open and new connections hang; open ones are reset and new ones refused;
/// or open ones live on while new ones are refused.
export type CutKind = "hangs" | "resets" | "refusesNew"

const TO_TARGET = "toTarget"
const TO_CLIENT = "toClient"

/// A proxy for one target address.
export class FaultProxy {
  private state: LinkState = "open"
  private delayMs = 0
  private connectionCount = 0
  private isHeld = false
  private readonly sockets = new Set<Socket>()
  /// Sockets whose bytes are dropped whatever the state.
  private readonly silenced = new WeakSet<Socket>()
  /// The clients, by source address, that are cut off from the target.
  private readonly cuts = new Map<string, CutKind>()
  /// The source address of the client of each socket, on both sides.
  private readonly sources = new WeakMap<Socket, string>()
  private readonly server: Server

  /// `getTarget` returns the current target address; undefined when nothing listens there.
  constructor(private readonly getTarget: () => string | undefined) {
    this.server = createServer(socket => this.accept(socket))
  }

  /// Starts to listen and returns the address.
  async start(): Promise<string> {
    await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve))
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /// Sets the state for all connections. `delayMs` applies to "delayed".
  setState(state: LinkState, delayMs = 0): void {
    this.state = state
    this.delayMs = delayMs
  }

  /// Drops all further bytes of the connections that are open at present, without a reset; new connections work.
  silenceOpenConnections(): void {
    for (const socket of this.sockets) this.silenced.add(socket)
  }

  /// Holds all bytes in both directions, those of new connections too, until `release`; none is lost.
  hold(): void {
    this.isHeld = true
    this.updateHolds()
  }

  /// Forwards the bytes that were held, in order, and all further ones.
  release(): void {
    this.isHeld = false
    this.updateHolds()
  }

  /// Cuts the clients with this source address off from the target, until `heal`.
  cut(source: string, kind: CutKind): void {
    this.cuts.set(source, kind)
    if (kind === "resets")
      for (const socket of this.sockets) if (this.sources.get(socket) === source) socket.resetAndDestroy()
    this.updateHolds()
  }

  /// Ends the cut of a source address. What its connections have held goes on.
  heal(source: string): void {
    this.cuts.delete(source)
    this.updateHolds()
  }

  private updateHolds(): void {
    for (const socket of this.sockets) this.updateHold(socket)
  }

  private updateHold(socket: Socket): void {
    if (this.isHeld || this.cuts.get(this.sources.get(socket) ?? "") === "hangs") socket.pause()
    else socket.resume()
  }

  /// Number of connections accepted so far.
  getConnectionCount(): number {
    return this.connectionCount
  }

  /// Resets every connection.
  resetAll(): void {
    for (const socket of this.sockets) socket.resetAndDestroy()
  }

  /// Stops listening and closes every connection.
  close(): void {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  private accept(client: Socket): void {
    this.connectionCount += 1
    const target = this.getTarget()
    const source = client.remoteAddress ?? ""
    const cut = this.cuts.get(source)
    if (target === undefined || cut === "resets" || cut === "refusesNew") {
      // Reset at once, as the operating system refuses a connection: a daemon takes one that fails within about
      // 30 ms as a sign that nothing listens.
      client.on("error", () => undefined)
      client.resetAndDestroy()
      return
    }
    const [host, port] = target.split(":")
    const upstream = connect({host, port: Number(port)})
    for (const socket of [client, upstream]) {
      this.sockets.add(socket)
      this.sources.set(socket, source)
      socket.setNoDelay(true)
      socket.on("error", () => undefined)
      socket.on("close", hadError => {
        this.sockets.delete(socket)
        if (this.silenced.has(socket)) return
        const other = socket === client ? upstream : client
        if (hadError) other.resetAndDestroy()
        else other.end()
      })
    }
    this.forward(client, upstream, TO_TARGET)
    this.forward(upstream, client, TO_CLIENT)
    for (const socket of [client, upstream]) this.updateHold(socket)
  }

  private forward(from: Socket, to: Socket, direction: typeof TO_TARGET | typeof TO_CLIENT): void {
    from.on("data", (bytes: Buffer) => {
      if (this.isDropped(direction, from)) return
      const write = () => void (to.writable && to.write(bytes))
      if (this.state === "delayed") setTimeout(write, this.delayMs)
      else write()
    })
    from.on("end", () => {
      if (this.isDropped(direction, from)) return
      if (this.state === "delayed") setTimeout(() => to.end(), this.delayMs)
      else to.end()
    })
  }

  private isDropped(direction: typeof TO_TARGET | typeof TO_CLIENT, from: Socket): boolean {
    if (this.state === "silent" || this.silenced.has(from)) return true
    return (
      (this.state === "cutForth" && direction === TO_TARGET) ||
      (this.state === "cutBack" && direction === TO_CLIENT)
    )
  }
}
