import type {Service} from '@greengagecross/common';
import {PromiseState, type PromiseReport} from './promise_state.js';
import type {FleetView} from './fleet_view.js';

const ADVICE = 'See docs/operations/model_version.md.';

/**
 * Checks that every engine that gets orders replies, and reports how many
 * engines have the ordered model version.
 *
 * Only services with weights get orders. The state with the highest fencing
 * number is used, as it comes from the latest holder of the lease to send
 * orders.
 */
export function checkOrders(view: FleetView): PromiseReport[] {
  return view.services
    .filter(service => service.weights !== undefined)
    .map(service => checkService(view, service));
}

function checkService(view: FleetView, service: Service): PromiseReport {
  const name = `model version: ${service.name}`;
  const [orderState] = view.readings
    .flatMap(reading => reading.report?.orders ?? [])
    .filter(order => order.service === service.name)
    .sort((a, b) => b.fencingNumber - a.fencingNumber);
  if (orderState === undefined) {
    const detail =
      'no daemon reports orders for this service; engines keep their model version';
    return {name, state: PromiseState.UNKNOWN, detail, advice: ADVICE};
  }
  const {asWanted, engines, modelVersion, outOfWork, silent} = orderState;
  // Engines that are out of work are changing their weights.
  const changingText = formatEngines('changing', outOfWork);
  const silentText = formatEngines('silent', silent);
  const detail = `${asWanted} of ${engines} have ${modelVersion}${changingText}${silentText}`;
  return silent.length === 0
    ? {name, state: PromiseState.HOLDS, detail}
    : {name, state: PromiseState.DEGRADED, detail, advice: ADVICE};
}

function formatEngines(label: string, ids: readonly string[]): string {
  return ids.length === 0 ? '' : `, ${label}: ${ids.join(', ')}`;
}
