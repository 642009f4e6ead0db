import {MemberState, ServiceKind, type Service} from '@greengagecross/common';
import {checkResponses, checkClaims, checkRefusals} from './check_requests.js';
import {formatNames, makeSinceField} from './format_names.js';
import {checkOrders} from './check_orders.js';
import {PromiseState, type PromiseReport} from './promise_state.js';
import type {FleetView} from './fleet_view.js';

const FIRST_START_ADVICE = 'Accept the answers: docs/operations/first_start.md';
/** Requests per engine below which a multiple of the mean is not meaningful. */
const MIN_MEAN_IN_FLIGHT = 1;

/** Checks each promise against the state that was read from the fleet. */
export function checkPromises(view: FleetView): PromiseReport[] {
  return [
    checkDaemons(view),
    checkConfiguration(view),
    ...checkLoads(view),
    checkResponses(view),
    checkRefusals(view),
    checkClaims(view),
    ...checkOrders(view),
    checkLeaving(view),
  ];
}

function checkLoads(view: FleetView): PromiseReport[] {
  if (view.services.length > 0) {
    const groups = listServicesByEngineSet(view);
    return groups.map(service => checkLoad(view, service));
  }
  const advice = view.storeRevision === 0 ? FIRST_START_ADVICE : undefined;
  return [
    {
      name: 'even load',
      state: PromiseState.UNKNOWN,
      detail: 'the services of the current revision cannot be read',
      ...(advice === undefined ? {} : {advice}),
    },
  ];
}

/**
 * Lists one service for each set of engines, as several services may share the
 * same engines.
 */
function listServicesByEngineSet(view: FleetView): Service[] {
  const groups = new Map<string, Service>();
  for (const service of view.services) {
    if (service.kind !== ServiceKind.ENGINE) continue;
    const ids = service.backendServers.map(server => server.id).join('\n');
    if (!groups.has(ids)) groups.set(ids, service);
  }
  return [...groups.values()];
}

function checkDaemons(view: FleetView): PromiseReport {
  const {readings} = view;
  const silent = readings.filter(reading => reading.report === undefined);
  const stopping = readings.filter(
    reading => reading.report?.self.state === MemberState.LEAVING,
  );
  const name = 'daemons answer';
  const count = `${readings.length - silent.length} of ${readings.length}`;
  const leaving = stopping.length > 0 ? `, ${stopping.length} stopping` : '';
  if (readings.length === 0) {
    return {
      name,
      state: PromiseState.DEGRADED,
      detail: 'the host list shows no daemon',
      advice: 'Start the daemons: docs/operations/first_start.md',
    };
  }
  if (silent.length === 0) {
    return {name, state: PromiseState.HOLDS, detail: `${count}${leaving}`};
  }
  return {
    name,
    state: PromiseState.DEGRADED,
    detail: `${count}; silent: ${formatNames(silent.map(r => r.id))}`,
    advice: 'Replace the silent hosts: docs/operations/host_lost.md',
  };
}

function checkConfiguration(view: FleetView): PromiseReport {
  const name = 'configuration';
  const reports = view.readings.flatMap(({report}) => report ?? []);
  const refused = reports.filter(
    report => report.configuration.refused !== undefined,
  );
  const revisions = reports.map(report => report.configuration.revision);
  const newest = Math.max(view.storeRevision ?? 0, ...revisions, 0);
  const behind = reports.filter(
    report => report.configuration.revision < newest,
  );
  if (view.storeRevision === 0 && newest === 0) {
    return {
      name,
      state: PromiseState.DEGRADED,
      detail:
        'no revision is accepted yet; requests are refused before they run',
      advice: FIRST_START_ADVICE,
    };
  }
  if (reports.length === 0) {
    const detail = 'no daemon reports its revision';
    return {name, state: PromiseState.UNKNOWN, detail};
  }
  const [first] = refused;
  if (first !== undefined) {
    return {
      name,
      state: PromiseState.DEGRADED,
      detail: `revision refused by ${formatNames(refused.map(r => r.self.id))}: ${first.configuration.refused}`,
      ...makeSinceField(refused.map(r => r.configuration.refusedSinceMs)),
      advice:
        'Accept the answers again: docs/operations/configuration_refused.md',
    };
  }
  if (behind.length > 0) {
    return {
      name,
      state: PromiseState.DEGRADED,
      detail: `revision ${newest} is missing on ${formatNames(behind.map(r => r.self.id))}`,
      ...makeSinceField(behind.map(r => r.configuration.notCurrentSinceMs)),
      advice:
        'Wait 5 s and run status again; if this remains, restart these daemons one by one.',
    };
  }
  const unconfirmed = reports.filter(r => !r.configuration.isCurrent);
  if (unconfirmed.length > 0) {
    return {
      name,
      state: PromiseState.UNKNOWN,
      detail: `revision ${newest} on every daemon, but the table service does not confirm that it is current`,
      ...makeSinceField(
        unconfirmed.map(r => r.configuration.notCurrentSinceMs),
      ),
      advice:
        'See docs/operations/platform_outage.md; requests are still served.',
    };
  }
  const detail = `revision ${newest} on ${reports.length} of ${reports.length}`;
  return {name, state: PromiseState.HOLDS, detail};
}

function checkLoad(view: FleetView, service: Service): PromiseReport {
  const name = `even load: ${service.name}`;
  const counts = new Map(service.backendServers.map(({id}) => [id, 0]));
  for (const {report} of view.readings) {
    for (const {engine, inFlight} of report?.ownedEngines ?? []) {
      const previous = counts.get(engine);
      if (previous !== undefined) counts.set(engine, previous + inFlight);
    }
  }
  const total = [...counts.values()].reduce((sum, count) => sum + count, 0);
  const mean = total / Math.max(1, counts.size);
  const [busiest, highest] = [...counts].reduce(
    (top, entry) => (entry[1] > top[1] ? entry : top),
    ['', 0],
  );
  const {maxLoadMultiple} = service.placement;
  if (mean < MIN_MEAN_IN_FLIGHT) {
    const detail = `${total} in flight, at most ${highest} on one engine`;
    return {name, state: PromiseState.HOLDS, detail};
  }
  const multiple = highest / mean;
  const detail = `busiest engine ${busiest} at ${multiple.toFixed(2)} times the mean, bound ${maxLoadMultiple}`;
  // Placement rounds the bound to whole requests; one more is allowed.
  if (highest <= mean * maxLoadMultiple + 1) {
    return {name, state: PromiseState.HOLDS, detail};
  }
  return {
    name,
    state: PromiseState.DEGRADED,
    detail,
    advice: `Run status again in 10 s; if this remains: greengagecross dump --daemon ID --json, and docs/operations/placement.md`,
  };
}

/** Checks that every daemon has the current host list; lists leaving hosts. */
function checkLeaving(view: FleetView): PromiseReport {
  const name = 'leaving servers';
  const staleDaemons = view.readings.flatMap(({report}) =>
    report === undefined || report.hostListIsCurrent ? [] : [report.self.id],
  );
  const leaving =
    view.leaving.length === 0 ? 'none' : formatNames(view.leaving);
  if (view.isHostListUp && staleDaemons.length === 0) {
    return {name, state: PromiseState.HOLDS, detail: leaving};
  }
  return {
    name,
    state: PromiseState.UNKNOWN,
    detail: view.isHostListUp
      ? `the host list is not current on ${formatNames(staleDaemons)}`
      : 'the host list does not answer',
    advice:
      'Take no server away before every daemon reads the host list again.',
  };
}
