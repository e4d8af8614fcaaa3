/**
 * The parts of undici that the daemon uses. Its whole index sets up fetch, cookies and WebSocket, which costs a starting
 * process 60 ms and some megabytes; the bundle takes this in its place (see the build line of system.toml).
 */
import request from "../node_modules/undici/lib/api/api-request.js"
import buildConnector from "../node_modules/undici/lib/core/connect.js"
import Client from "../node_modules/undici/lib/dispatcher/client.js"
import Dispatcher from "../node_modules/undici/lib/dispatcher/dispatcher.js"
import Pool from "../node_modules/undici/lib/dispatcher/pool.js"

// As undici's own index does.
Dispatcher.prototype.request = request

export {buildConnector, Client, Pool}
