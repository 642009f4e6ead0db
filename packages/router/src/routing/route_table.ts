import type {Route} from '../model/route.js';

const SLASH = '/';

/** Node of a tree of path segments; its path from the root is a prefix. */
class PrefixNode {
  route: Route | undefined;
  private readonly children = new Map<string, PrefixNode>();

  /** Returns the node below this one for a segment; undefined if there is none. */
  find(segment: string): PrefixNode | undefined {
    return this.children.get(segment);
  }

  /** Returns the node below this one for a segment; adds it if there is none. */
  add(segment: string): PrefixNode {
    const node = this.children.get(segment) ?? new PrefixNode();
    this.children.set(segment, node);
    return node;
  }
}

/** Index of routes by host and path prefix. */
export class RouteTable {
  /** Roots by host name in lower case; a root is the prefix `/`. */
  private readonly roots = new Map<string, PrefixNode>();

  constructor(routes: readonly Route[]) {
    for (const route of routes) this.add(route);
  }

  /**
   * Returns the route with the longest prefix that matches the path; undefined
   * when none matches. Host names are case-insensitive.
   *
   * The path is read from its start, and no further than a prefix may match:
   * clients without a key choose its length and the number of its slashes.
   */
  find(host: string, path: string): Route | undefined {
    let node = this.roots.get(host.toLowerCase());
    if (node === undefined || !path.startsWith(SLASH)) return undefined;
    let {route} = node;
    let start = SLASH.length;
    for (;;) {
      const end = path.indexOf(SLASH, start);
      if (end < 0) return route;
      node = node.find(path.slice(start, end));
      if (node === undefined) return route;
      route = node.route ?? route;
      start = end + SLASH.length;
    }
  }

  private add(route: Route): void {
    const {pathPrefix} = route;
    if (!pathPrefix.startsWith(SLASH) || !pathPrefix.endsWith(SLASH)) return;
    const host = route.host.toLowerCase();
    let node = this.roots.get(host) ?? new PrefixNode();
    this.roots.set(host, node);
    const segments = pathPrefix.split(SLASH).slice(1, -1);
    for (const segment of segments) node = node.add(segment);
    node.route = route;
  }
}
