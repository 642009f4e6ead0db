import {hashUnit} from '@greengagecross/common';
import type {Route} from '../model/route.js';

/** Chooses a service by weight; the same one each time for a request's id. */
export function chooseService(route: Route, requestId: string): string {
  const total = route.services.reduce((sum, {weight}) => sum + weight, 0);
  let left = hashUnit(`${route.name}\u0000${requestId}`) * total;
  for (const {service, weight} of route.services) {
    left -= weight;
    if (left < 0) return service;
  }
  return route.services[0]?.service ?? '';
}
