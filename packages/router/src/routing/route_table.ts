import type {Route} from '../model/route.js';

/** Index of routes by host and path prefix. */
export class RouteTable {
  private readonly hosts = new Map<string, Map<string, Route>>();

  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const host = route.host.toLowerCase();
      const prefixes = this.hosts.get(host) ?? new Map<string, Route>();
      prefixes.set(route.pathPrefix, route);
      this.hosts.set(host, prefixes);
    }
  }

  /**
   * Returns the route with the longest prefix that matches the path; undefined
   * when none matches. Host names are case-insensitive.
   */
  find(host: string, path: string): Route | undefined {
    const prefixes = this.hosts.get(host.toLowerCase());
    if (prefixes === undefined) return undefined;
    let end = path.length;
    for (;;) {
      const slash = path.lastIndexOf('/', end - 1);
      if (slash < 0) return undefined;
      const route = prefixes.get(path.slice(0, slash + 1));
      if (route !== undefined) return route;
      end = slash;
      if (end === 0) return undefined;
    }
  }
}
