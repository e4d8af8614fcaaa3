/// Finds the route of a request in one version of the configuration.
import type {BackendService, Route, RouteConfiguration} from "./route.js"

/// An index over the routes of one configuration.
export class RouteTable {
  private readonly byHost = new Map<string, Route[]>()
  private readonly services: ReadonlyMap<string, BackendService>

  constructor(readonly configuration: RouteConfiguration) {
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase()
      const routes = this.byHost.get(host) ?? []
      routes.push(route)
      this.byHost.set(host, routes)
    }
    for (const routes of this.byHost.values()) {
      routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)
    }
    this.services = new Map(configuration.services.map(service => [service.name, service]))
  }

  /// The route with the longest prefix of `path` on `host`; a port in `host` and a query in `path` are
  /// ignored.
  findRoute(host: string, path: string): Route | undefined {
    const routes = this.byHost.get(withoutPort(host).toLowerCase())
    if (!routes) return undefined
    const query = path.indexOf("?")
    const plainPath = query < 0 ? path : path.slice(0, query)
    return routes.find(route => plainPath.startsWith(route.pathPrefix))
  }

  /// The service of this name.
  getService(name: string): BackendService | undefined {
    return this.services.get(name)
  }
}

function withoutPort(host: string): string {
  const colon = host.lastIndexOf(":")
  return colon < 0 ? host : host.slice(0, colon)
}
