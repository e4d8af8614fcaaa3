"use strict"
/// Starts the bundle with its code cache, so that a starting process compiles next to nothing. Without a cache, or with
/// one of another engine or other flags, it compiles as usual.
const {readFileSync} = require("node:fs")
const {join} = require("node:path")
const {Script} = require("node:vm")

const filename = join(__dirname, "pulleyledge.cjs")

function readCache() {
  try {
    return readFileSync(join(__dirname, "pulleyledge.cache"))
  } catch {
    return undefined
  }
}

const source = readFileSync(filename, "utf8")
const script = new Script(`(function (require, module, exports) {${source}\n})`, {
  filename,
  cachedData: readCache()
})
script.runInThisContext()(require, module, exports)
module.exports = {script}
