/// Builds the program that is deployed: one bundle, and a code cache for it, under the folder named by the argument.
import {execFileSync} from "node:child_process"
import {copyFileSync, mkdirSync, readFileSync} from "node:fs"
import {join} from "node:path"
import {build} from "esbuild"
import {parse} from "smol-toml"

const folder = process.argv[2] ?? "target"

/// A cache is taken by the engine only under the flags under which it was made.
function readFlags() {
  const {roles} = parse(readFileSync("deploy/system.toml", "utf8"))
  return roles.forwarder.run.split(" ").filter(word => word.startsWith("--"))
}

const shared = {
  bundle: true,
  platform: "node",
  format: "cjs",
  target: "node20",
  logLevel: "warning",
  alias: {
    undici: "./deploy/undici-core.mjs",
    "prom-client": "./deploy/prom-client-core.mjs",
    "node:assert": "./deploy/assert.cjs",
    assert: "./deploy/assert.cjs",
    "node:http2": "./deploy/unused.cjs",
    cluster: "./deploy/unused.cjs",
    https: "./deploy/unused.cjs"
  }
}

mkdirSync(folder, {recursive: true})
copyFileSync("deploy/start.cjs", join(folder, "start.cjs"))
await build({
  ...shared,
  entryPoints: ["platform/main.ts"],
  outfile: join(folder, "pulleyledge.cjs"),
  minifyWhitespace: true,
  minifySyntax: true
})
await build({
  ...shared,
  entryPoints: ["deploy/make-code-cache.ts"],
  outfile: join(folder, "make-code-cache.cjs")
})

/// The ports that the program is run on for its cache may be taken by another build on this machine at the same moment.
const CACHE_TRIES = 3

function makeCodeCache() {
  for (let attempt = 1; attempt <= CACHE_TRIES; attempt += 1) {
    try {
      const flags = [...readFlags(), join(folder, "make-code-cache.cjs"), folder]
      execFileSync(process.execPath, flags, {stdio: ["ignore", "ignore", "inherit"]})
      return
    } catch {
      process.stderr.write(`code cache: attempt ${attempt} of ${CACHE_TRIES} failed\n`)
    }
  }
  process.stderr.write("no code cache: the program starts without one, more slowly\n")
}

makeCodeCache()
