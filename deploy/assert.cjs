"use strict"
/// Stands in for node:assert in the bundle. For a failed assertion without a message Node.js reads and parses the source
/// around it, which stops the process for seconds where all source stands in a few long lines.

class AssertionError extends Error {
  constructor(message) {
    super(message)
    this.name = "AssertionError"
    this.code = "ERR_ASSERTION"
  }
}

function assert(condition, message = "assertion failed") {
  if (condition) return
  throw message instanceof Error ? message : new AssertionError(message)
}

module.exports = Object.assign(assert, {ok: assert, AssertionError})
