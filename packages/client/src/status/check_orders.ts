import type {Service} from '@greengagecross/common';
import {PromiseState, type PromiseReport} from './promise_state.js';
import type {FleetView} from './fleet_view.js';

const ADVICE = 'See docs/operations/model_version.md.';

/** Checks how far the engines of each ordered service are. */
export function checkOrders(view: FleetView): PromiseReport[] {
  return view.services
    .filter(service => service.weights !== undefined)
    .map(service => checkService(view, service));
}

function checkService(view: FleetView, service: Service): PromiseReport {
  const name = `model version: ${service.name}`;
  const [report] = view.readings
    .flatMap(reading => reading.report?.orders ?? [])
    .filter(order => order.service === service.name)
    .sort((a, b) => b.fencingNumber - a.fencingNumber);
  if (report === undefined) {
    const detail = 'no daemon gives its orders now; engines stay as they are';
    return {name, state: PromiseState.UNKNOWN, detail, advice: ADVICE};
  }
  const {asWanted, engines, modelVersion, outOfWork, silent} = report;
  const changing = formatEngines('changing', outOfWork);
  const mute = formatEngines('silent', silent);
  const detail = `${asWanted} of ${engines} have ${modelVersion}${changing}${mute}`;
  return silent.length === 0
    ? {name, state: PromiseState.HOLDS, detail}
    : {name, state: PromiseState.DEGRADED, detail, advice: ADVICE};
}

function formatEngines(what: string, ids: readonly string[]): string {
  return ids.length === 0 ? '' : `, ${what}: ${ids.join(', ')}`;
}
