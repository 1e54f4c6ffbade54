/**
 * Route look-up. `RouteTable` indexes the routes of one configuration by host and prefix. A look-up takes one step for
 * each slash of the path, whatever the number of routes.
 */
import { type Route } from './shape.js'

/** Finds the route of a request: among the routes of its host, the route with the longest prefix of its path. */
export class RouteTable {
  readonly #hosts = new Map<string, Map<string, Route>>()

  constructor (routes: readonly Route[]) {
    for (const route of routes) this.#add(route)
  }

  /**
   * @param host the Host header, with or without a port
   * @param target the request target: a path, with or without a query string
   */
  find (host: string, target: string): Route | undefined {
    const routes = this.#hosts.get(hostName(host))
    if (routes === undefined) return undefined
    const query = target.indexOf('?')
    const path = query < 0 ? target : target.slice(0, query)
    for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
      const route = routes.get(path.slice(0, end + 1))
      if (route !== undefined) return route
    }
    return undefined
  }

  /** Adds a route. It replaces an earlier route with the same host and prefix. */
  #add (route: Route): void {
    const host = hostName(route.host)
    const routes = this.#hosts.get(host) ?? new Map<string, Route>()
    this.#hosts.set(host, routes.set(route.prefix, route))
  }
}

function hostName (host: string): string {
  const colon = host.indexOf(':')
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase()
}
