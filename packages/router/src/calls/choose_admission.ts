import type {CallAddress} from '../model/client_call.js';
import type {Route} from '../model/route.js';
import {chooseService} from '../routing/choose_service.js';
import type {ConfigurationView} from '../state/current_configuration.js';
import {CallOutcome} from './call_answer.js';

/** Least urgent priority that a backend server accepts. */
const LEAST_URGENT_PRIORITY = 9;

/**
 * Route, service and customer of an admitted request. Admitted means that the
 * request has a route and a valid API key; limits of engines are not checked.
 */
export interface AdmittedRequest {
  readonly route: Route;
  readonly service: string;
  /** Name of the customer; undefined when no API key is required. */
  readonly customer: string | undefined;
  /** Priority from 0 to 9; 0 is the most urgent. */
  readonly priority: number;
}

/** Finds the route and customer of a request, or the reason to refuse it. */
export function chooseAdmission(
  view: ConfigurationView,
  call: CallAddress,
): AdmittedRequest | CallOutcome {
  const route = view.routes.find(call.host, call.path);
  if (route === undefined) return CallOutcome.NO_ROUTE;
  const service = chooseService(route, call.id ?? '');
  const base = {route, service, customer: undefined, priority: route.priority};
  if (route.isPublic || view.customers === undefined) return base;
  const customer = view.customers.find(call.apiKey ?? '');
  if (customer === undefined) return CallOutcome.UNKNOWN_KEY;
  const priority = customer.priority ?? route.priority;
  return {
    ...base,
    customer: customer.name,
    priority: Math.min(LEAST_URGENT_PRIORITY, Math.max(0, priority)),
  };
}
