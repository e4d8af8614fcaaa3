/// Starts a program with a source address of its own for all its TCP connections, so that the other side can tell
/// which process connects.
///
/// node source-address.js ADDRESS PROGRAM
import {createRequire} from "node:module"
import {Socket} from "node:net"

// The program sets its own listener only when it has been loaded; until then this signal would end the process.
process.on("SIGHUP", () => undefined)

const [, , address, program] = process.argv
process.argv.splice(1, 2)

const {connect} = Socket.prototype as unknown as {connect: (...args: unknown[]) => Socket}

/// Adds the source address to the options of a connection, which are an object, a port, or an array of already
/// normalized arguments.
function addSourceAddress(args: unknown[]): unknown[] {
  const [first, host, ...others] = args
  if (Array.isArray(first)) {
    addSourceAddress(first as unknown[])
    return args
  }
  if (typeof first === "number")
    return typeof host === "string"
      ? [{port: first, host, localAddress: address}, ...others]
      : [{port: first, localAddress: address}, host, ...others]
  if (typeof first === "object" && first !== null && "port" in first)
    Object.assign(first, {localAddress: address})
  return args
}

Object.assign(Socket.prototype, {
  connect(this: Socket, ...args: unknown[]) {
    return connect.apply(this, addSourceAddress(args))
  }
})

createRequire(import.meta.url)(program)
