/**
 * The parts of prom-client that the daemon uses. Its whole index loads the default metrics, the push gateway and
 * OpenTelemetry, and with them zlib, v8 and perf_hooks, at every start; the bundle takes this in its place.
 */
import Counter from "../node_modules/prom-client/lib/counter.js"
import Gauge from "../node_modules/prom-client/lib/gauge.js"
import Histogram from "../node_modules/prom-client/lib/histogram.js"
import Registry from "../node_modules/prom-client/lib/registry.js"

export {Counter, Gauge, Histogram, Registry}
