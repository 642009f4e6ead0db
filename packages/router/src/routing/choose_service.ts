import {hashUnit} from '@greengagecross/common';
import type {Route} from '../model/route.js';

/**
 * Chooses a service by weight, the same for every attempt with a request id;
 * empty when the route has no service.
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
