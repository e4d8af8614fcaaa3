/// Makes the code cache of the bundle: runs the program in this process before stand-ins, lets it serve for a moment so
/// that the functions on the way of a request are compiled, and writes down what was compiled.
import {mkdtempSync, rmSync, writeFileSync} from "node:fs"
import {tmpdir} from "node:os"
import {join, resolve} from "node:path"
import {setTimeout as wait} from "node:timers/promises"
import type {Script} from "node:vm"
import {BackendStandIn} from "../lab/soak/backend-stand-in.js"
import {HandleRegistry} from "../lab/soak/handle-registry.js"
import {CallerLoad} from "../lab/soak/caller-load.js"
import {findFreePorts} from "../lab/free-ports.js"
import {formatSettings} from "../lab/soak/settings-file.js"
import {formatConfiguration, SOAK_ROUTES, SOAK_SERVICES} from "../lab/soak/soak-routes.js"
import {SOAK_BOUNDS, SoakRecord} from "../lab/soak/soak-record.js"
import {DutyStandIn} from "../lab/soak/duty-stand-in.js"
import {StoreStandIn} from "../lab/soak/store-stand-in.js"
import {SeededRandom} from "../src/shared/random.js"

const READY_MS = 800
const LOAD_MS = 2000
const REQUESTS_PER_SECOND = 200
const SEED = 1

async function main(folder: string): Promise<void> {
  const generator = new SeededRandom(SEED)
  const random = () => generator.next()
  const record = new SoakRecord(SOAK_BOUNDS)
  const store = new StoreStandIn()
  store.write("op", "config", formatConfiguration(1, SOAK_SERVICES.plain))
  await startBackends(store, record, random)
  const [front, ready, control, metrics] = await findFreePorts(4)
  const address = (port: number) => `127.0.0.1:${port}`
  const ports = {front: address(front), ready: address(ready), control: address(control), metrics}
  const duties = new DutyStandIn(SOAK_BOUNDS.leaseMs)
  const settings = join(mkdtempSync(join(tmpdir(), "code-cache-")), "settings.toml")
  writeFileSync(
    settings,
    formatSettings(
      "daemon-1",
      "zone-a",
      ports,
      [],
      SOAK_BOUNDS,
      await store.open("daemon-1"),
      await duties.open("daemon-1")
    )
  )
  process.env.PULLEYLEDGE_NODE_FILE = settings
  const started = (await import(resolve(folder, "start.cjs"))) as {
    default: {script: Script; cachePath: string}
  }
  await wait(READY_MS)
  const load = new CallerLoad(record, [{daemon: "daemon-1", address: ports.front}], SOAK_ROUTES, random)
  void load.run(REQUESTS_PER_SECOND)
  await wait(LOAD_MS)
  const {script, cachePath} = started.default
  writeFileSync(cachePath, script.createCachedData())
  rmSync(settings)
  process.exit(0)
}

async function startBackends(store: StoreStandIn, record: SoakRecord, random: () => number): Promise<void> {
  const registry = new HandleRegistry()
  const kinds = [
    {service: SOAK_SERVICES.plain, stage: undefined},
    {service: SOAK_SERVICES.engines, stage: "prefill" as const},
    {service: SOAK_SERVICES.engines, stage: "decode" as const}
  ]
  for (const [i, kind] of kinds.entries()) {
    const backend = new BackendStandIn(
      {id: `b${i}`, zone: "zone-a", ...kind},
      store,
      record,
      registry,
      random
    )
    backend.announce(await backend.start())
  }
}

void main(process.argv[2] ?? "target")
