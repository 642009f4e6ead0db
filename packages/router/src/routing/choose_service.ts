import {hashUnit} from '@greengagecross/common';
import type {Route} from '../model/route.js';

/**
 * Chooses a service by weight, the same each time for one request id. Requests
 * without an id, which is then empty, all get the same service of a route. The
 * result is empty when the route has no service.
 */
export function chooseService(route: Route, requestId: string): string {
  const total = route.services.reduce((sum, {weight}) => sum + weight, 0);
  let remaining = hashUnit(`${route.name}\u0000${requestId}`) * total;
  for (const {service, weight} of route.services) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return route.services[0]?.service ?? '';
}
