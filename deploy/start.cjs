"use strict"
/// Starts the bundle with its code cache, so that a starting process compiles next to nothing. Without a cache, or with
/// one of another engine or other flags, it compiles as usual.

/// Without a listener this signal would end the process, and the program sets its own only when it has started. Before
/// anything is loaded, since that takes a third of the time for which the signal is not caught. The settings are read
/// after this line, so there is nothing else to do for a change of them.
process.on("SIGHUP", () => {})

const {createHash} = require("node:crypto")
const {readFileSync} = require("node:fs")
const {join} = require("node:path")
const {Script} = require("node:vm")

const filename = join(__dirname, "pulleyledge.cjs")

/// The engine takes a cache of any source of the same length, so the name of the cache tells the source it is for.
function findCachePath(source) {
  const digest = createHash("sha256").update(source).digest("hex").slice(0, 16)
  return join(__dirname, `pulleyledge-${digest}.cache`)
}

function readCache(path) {
  try {
    return readFileSync(path)
  } catch {
    return undefined
  }
}

const source = readFileSync(filename, "utf8")
const cachePath = findCachePath(source)
const script = new Script(`(function (require, module, exports) {${source}\n})`, {
  filename,
  cachedData: readCache(cachePath)
})
script.runInThisContext()(require, module, exports)
module.exports = {script, cachePath}
