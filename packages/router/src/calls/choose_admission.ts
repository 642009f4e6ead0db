import type {ClientCall} from '../model/client_call.js';
import type {Route} from '../model/route.js';
import {chooseService} from '../routing/choose_service.js';
import type {ConfigurationView} from '../state/configuration_book.js';
import {CallOutcome} from './call_answer.js';

/** Least urgent rank that a backend server knows. */
const MAX_PRIORITY = 9;

/** What a request may use, once its route and customer are known. */
export interface Admitted {
  readonly route: Route;
  readonly service: string;
  readonly customer: string | undefined;
  readonly priority: number;
}

/** Finds a request's route and customer, or why there is none. */
export function chooseAdmission(
  view: ConfigurationView,
  call: ClientCall,
): Admitted | CallOutcome {
  const route = view.routes.find(call.host, call.path);
  if (route === undefined) return CallOutcome.NO_ROUTE;
  const service = chooseService(route, call.id ?? '');
  const base = {route, service, customer: undefined, priority: route.priority};
  if (route.isPublic || view.customers === undefined) return base;
  const customer = view.customers.find(call.credential ?? '');
  if (customer === undefined) return CallOutcome.UNKNOWN_KEY;
  const priority = customer.priority ?? route.priority;
  return {
    ...base,
    customer: customer.name,
    priority: Math.min(MAX_PRIORITY, Math.max(0, priority)),
  };
}
